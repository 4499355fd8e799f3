"""What ends that come close together cost in calls, in virtual time.

The pattern is a step whose tasks end one after the other within a few hundredths of a
second: each end could be a look at its worker and a transaction of its own.
"""

from __future__ import annotations

import pytest

from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import Submission
from redwingrun.jobs.workerpool import Worker
from tests.jobs.cluster import (
    QUEUE,
    Minion,
    SimulatedCluster,
    job,
    job_id,
    make_cluster,
    make_queues,
    step,
)
from tests.jobs.test_workerreports import Pool

FIRST_END_S = 0.5
TASKS = 6


@pytest.fixture
def cluster():
    """Return a world with one member and one minion."""
    made = make_cluster(members=1, minions=1)
    made.run(1.0)
    yield made
    made.close()


def play(cluster: SimulatedCluster, gap_s: float) -> None:
    """Run a job whose tasks end one shortly after the other."""
    lengths = [FIRST_END_S + gap_s * number for number in range(TASKS)]
    cluster.submit(job_id(1), job(*(step(1, seconds) for seconds in lengths)))
    cluster.run(FIRST_END_S - 0.1)


def test_ends_that_come_close_together_are_stored_together(cluster: SimulatedCluster):
    """Six ends within 60 ms need three transactions, not six."""
    play(cluster, 0.012)
    before = cluster.rows.version
    cluster.run(0.3)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.rows.version - before <= 3


def test_ends_that_come_close_together_are_seen_with_one_look(
    cluster: SimulatedCluster, monkeypatch
):
    """Six ends within 150 ms need at most four looks, and one that waits for more."""
    looks = []
    heartbeat = Minion.heartbeat
    play(cluster, 0.03)
    monkeypatch.setattr(
        Minion, "heartbeat", lambda *args: looks.append(1) or heartbeat(*args)
    )
    cluster.run(0.4)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(looks) <= 5
    assert cluster.all_violations() == []


def looks_of_a_plan(monkeypatch, steps: int) -> int:
    """Count the workers that a plan looks at while steps wait for the policy."""
    pool = Pool(50)
    pool.engine.set_queues(make_queues(uses_policy=True))
    for number in range(steps):
        submission = Submission(QUEUE, job(step(3, 1.0)), 0)
        pool.engine.add_job(job_id(number + 1), submission, None, pool.now_s)
    assert len(pool.engine.plan(pool.now_s).policy_queries) >= 1
    looks = []
    spec = Worker.info
    monkeypatch.setattr(
        Worker,
        "info",
        property(lambda worker: looks.append(1) or spec.__get__(worker)),
    )
    pool.engine.plan(pool.now_s)
    monkeypatch.undo()
    return len(looks)


def test_a_plan_does_not_look_at_all_workers_for_each_step_that_waits(monkeypatch):
    """The pattern is a crest: the policy takes a while, and ends come all the time."""
    few = looks_of_a_plan(monkeypatch, 2)
    many = looks_of_a_plan(monkeypatch, 40)
    assert many <= few + 50
