"""A seeded search: hosts are lost, freeze, stop and are replaced, while jobs arrive.

Run more seeds by hand: ``python -m tests.jobs.test_lost_members_search FIRST COUNT``.
"""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Coroutine
from contextlib import closing

import pytest
from expression import Result

from redwingrun.jobs.peercalls import PeerCalls
from redwingrun.jobs.peerhealth import PeerHealth
from redwingrun.jobs.policysender import PolicySender
from redwingrun.jobs.workerpool import PolicyQuery
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step
from tests.jobs.test_lost_members import (
    FIRST_START_WITHIN_S,
    MEMBERS,
    SETTLED_S,
    WORKERS,
    policy_queues,
)

SEEDS_IN_CI = 3
ROUNDS = 5
# Long enough for a takeover, short enough not to be taken for a loss for good.
LONGEST_FREEZE_S = 6.0
POLICY_ANSWER_S = 0.6
# Jobs are small, so that there is room for all of them at any time.
TASKS = 2
TASK_S = 1.0
# By then all jobs have had their turn.
END_S = 20.0


class Search:
    """One run of the search.

    :param seed: decides what happens, to which members, and when.
    """

    def __init__(self, seed: int, cluster: SimulatedCluster):
        self._random = random.Random(seed)
        self._cluster = cluster
        self._names = iter(range(1000))
        self._job_numbers = iter(range(1, 1000))
        self.late: list[str] = []

    def run(self) -> None:
        """Play some rounds of trouble, and submit a job after each.

        In about half of them jobs arrive before and meanwhile, too; in the others the
        first job after the trouble meets a quiet cell.
        """
        for _ in range(ROUNDS):
            is_quiet = self._random.random() < 0.5
            if not is_quiet:
                self._submit()
            self._make_trouble()
            if not is_quiet:
                self._submit()
            self._cluster.run(SETTLED_S + self._random.uniform(0, 4))
            self._check_first_start(self._submit())
        self._cluster.run(END_S)

    def _make_trouble(self) -> None:
        names = sorted(self._cluster.member_by_name)
        kinds = ["lose", "lose", "freeze", "replace", "stop"]
        kind = self._random.choice(kinds if len(names) > 2 else ["replace"])
        count = self._random.randint(1, max(1, len(names) - 1))
        chosen = self._random.sample(names, count)
        if kind == "lose":
            for name in chosen:
                self._cluster.lose_host(name)
        elif kind == "freeze":
            self._freeze(chosen)
        elif kind == "stop":
            self._cluster.leave(chosen[0])
        else:
            for _ in range(3):
                speed = self._random.choice([0.4, 1.0, 2.0])
                self._cluster.add_ready_member(f"new{next(self._names)}", speed)

    def _freeze(self, names: list[str]) -> None:
        for name in names:
            self._cluster.process_by_name[name].resumed.clear()
        self._cluster.run(self._random.uniform(0.5, LONGEST_FREEZE_S))
        for name in names:
            self._cluster.process_by_name[name].resumed.set()

    def _submit(self) -> str:
        name = job_id(next(self._job_numbers))
        self._cluster.submit(name, job(step(TASKS, TASK_S)))
        return name

    def _check_first_start(self, name: str) -> None:
        submitted_s = self._cluster.loop.time()
        self._cluster.run(FIRST_START_WITHIN_S)
        if not any(run.task.job == name for _, run, _ in self._cluster.starts):
            self.late.append(f"{name}, submitted at {submitted_s:.1f}")


def play(seed: int) -> list[str]:
    """Play one seed; return what was wrong."""
    with closing(make_cluster(MEMBERS, WORKERS)) as cluster:
        cluster.queues = policy_queues()
        cluster.policy_answer_s = POLICY_ANSWER_S
        cluster.run(13.0)
        search = Search(seed, cluster)
        search.run()
        unfinished = [
            name
            for name in sorted(cluster.accepted)
            if not cluster.state(name).is_final
        ]
        return [
            *cluster.all_violations(),
            *(f"LATE: {text}" for text in search.late),
            *(f"UNFINISHED: {name}" for name in unfinished),
        ]


@pytest.mark.parametrize("seed", range(1, SEEDS_IN_CI + 1))
def test_jobs_start_in_time_whatever_happens_to_members(seed: int):
    """A job waited for ever when queries went to members that were gone."""
    assert play(seed) == []


def test_the_search_finds_queries_that_go_round_among_lost_members(monkeypatch):
    """Taken out together: the peers' health, probes beside calls, and other ways."""

    async def answer(calls: PeerCalls, address: str, call: Coroutine) -> Result:
        return await call

    async def send_one_way(sender: PolicySender, query: PolicyQuery) -> Result:
        sent = await sender._send_through(query, -math.inf)
        return sent.result

    monkeypatch.setattr(PeerHealth, "is_available", PeerHealth.is_known)
    monkeypatch.setattr(PeerCalls, "_answer_or_give_up", answer)
    monkeypatch.setattr(PolicySender, "send", send_one_way)
    assert any(text.startswith("UNFINISHED") for text in play(1))


if __name__ == "__main__":
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for number in range(first, first + count):
        wrong = play(number)
        failed += bool(wrong)
        sys.stdout.write(f"seed {number}: {wrong or 'none'}\n")
        sys.stdout.flush()
    sys.stdout.write(f"{count - failed} passed, {failed} failed\n")
