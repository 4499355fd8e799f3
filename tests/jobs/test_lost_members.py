"""Tests of what goes on when members are lost for good with their hosts.

Nobody removes the row of such a member at once, and calls to it hang until they time
out. The bounds are those of the users: from 5 s after a loss a job starts within 3 s.
"""

from __future__ import annotations

from contextlib import closing

import pytest
from attrs import evolve

from redwingrun.jobs.ownerwatch import SUCCESSOR_TIMEOUT_S
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import QueueSet
from tests.helpers import DOWN
from tests.jobs.cluster import (
    QUEUE,
    SimulatedCluster,
    job,
    job_id,
    make_cluster,
    make_queues,
    step,
)

MEMBERS = 8
WORKERS = 24
# As of a queue of large batch jobs: queries are long and go to other members.
POLICY_CALL_MS = 420.0
POLICY_PER_WORKER_MS = 6.1
BATCH_PRIORITY = 2
SETTLED_S = 5.0
FIRST_START_WITHIN_S = 3.0
# The longest that a request may wait for one peer that is lost.
ONE_LOST_PEER_S = 0.9
PLANNED_TAKEOVER_S = 0.2
SILENT_TAKEOVER_S = 2.5
ALL = [f"m{number}" for number in range(MEMBERS)]


def policy_queues() -> QueueSet:
    """Return a configuration with a queue of batch jobs that use the policy."""
    queue = make_queues(uses_policy=True).queue_by_name[QUEUE]
    queue = evolve(
        queue,
        priority=BATCH_PRIORITY,
        policy_call_ms=POLICY_CALL_MS,
        policy_per_worker_ms=POLICY_PER_WORKER_MS,
    )
    return QueueSet(2, {QUEUE: queue})


@pytest.fixture
def cluster():
    """Return a quiet cluster in which no query was sent to the policy yet."""
    with closing(make_cluster(members=MEMBERS, workers=WORKERS)) as made:
        made.queues = policy_queues()
        made.policy_answer_s = (POLICY_CALL_MS + POLICY_PER_WORKER_MS * WORKERS) / 1000
        made.run(13.0)
        yield made


def lose(cluster: SimulatedCluster, names: list[str]) -> None:
    """Lose members with their hosts, all in the same moment."""
    for name in names:
        cluster.lose_host(name)


def first_start_s(cluster: SimulatedCluster, number: int) -> float:
    """Submit a job, and return how long its first start took."""
    submitted_s = cluster.loop.time()
    cluster.submit(job_id(number), job(step(4, 4.0)))
    cluster.run(15.0)
    started = [s for s, run, _ in cluster.starts if run.task.job == job_id(number)]
    assert started, f"{job_id(number)} has not started"
    return started[0] - submitted_s


# Guards against review/8 (LOST): a job that never starts, as its policy queries go to
# members that are gone.
@pytest.mark.parametrize(
    "lost",
    [ALL[:4], ALL[4:], ALL[::2], ALL[1:], ALL[:-1], ALL[:3] + ALL[4:]],
    ids=lambda names: ",".join(names),
)
def test_jobs_start_after_members_that_send_policy_queries_are_lost(
    cluster: SimulatedCluster, lost: list[str]
):
    """Queries went round among the lost members, and the job never started."""
    lose(cluster, lost)
    cluster.run(SETTLED_S)
    assert first_start_s(cluster, 1) < FIRST_START_WITHIN_S
    assert first_start_s(cluster, 2) < FIRST_START_WITHIN_S
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_request_is_relayed_past_lost_members(cluster: SimulatedCluster):
    """A client waited for two lost members in turn, and was turned away."""
    lose(cluster, ALL[1:7])
    cluster.run(SETTLED_S)
    cluster.process_by_name["m0"].table_mode = DOWN
    cluster.run(2.0)
    for number in range(1, 6):
        began_s = cluster.loop.time()
        cluster.submit(job_id(number), job(step(1, 1.0)), at="m0")
        assert job_id(number) in cluster.accepted
        assert cluster.loop.time() - began_s < ONE_LOST_PEER_S
        cluster.run(1.0)


def test_an_owner_serves_requests_without_its_lost_peers(cluster: SimulatedCluster):
    """It took the table for unavailable between two reads, and turned clients away."""
    owner = cluster.owner_name()
    lose(cluster, [name for name in ALL if name != owner])
    cluster.run(SETTLED_S)
    for number in range(1, 30):
        began_s = cluster.loop.time()
        cluster.submit(job_id(number), job(step(1, 0.1)), at=owner)
        assert job_id(number) in cluster.accepted
        assert cluster.loop.time() - began_s < 0.1
        cluster.run(0.13)


def takeover_s(cluster: SimulatedCluster) -> float:
    """Stop the owner as planned; return how long the slice had no owner."""
    cluster.leave(cluster.owner_name())
    began_s = cluster.loop.time()
    while cluster.owner_name() is None:
        cluster.run(0.02)
    return cluster.loop.time() - began_s


@pytest.mark.parametrize("lost", [(), ("fast1",), ("fast1", "fast2", "fast3")])
def test_a_planned_stop_hands_over_to_a_member_that_lives(
    lost: tuple[str, ...],
):
    """The owner named the fastest host, which was lost; the others waited for it."""
    with closing(make_cluster(members=0, workers=WORKERS)) as cluster:
        cluster.add_ready_member("fastest", speed=3.0)
        for name in ("fast1", "fast2", "fast3"):
            cluster.add_ready_member(name, speed=2.0)
        for number in range(3):
            cluster.add_ready_member(f"m{number}", speed=0.4)
        cluster.run(10.0)
        assert cluster.owner_name() == "fastest"
        lose(cluster, list(lost))
        cluster.run(SETTLED_S)
        assert takeover_s(cluster) < PLANNED_TAKEOVER_S


def test_a_planned_stop_without_a_successor_is_not_waited_for(
    cluster: SimulatedCluster,
):
    """All members waited for a successor that the owner could not name."""
    cluster.isolated_members.add(cluster.owner_name())
    assert takeover_s(cluster) < SUCCESSOR_TIMEOUT_S


@pytest.mark.parametrize("lost", [(), ("fast1", "fast2", "fast3")])
def test_a_silent_owner_is_replaced_in_time_if_fast_hosts_are_lost(
    lost: tuple[str, ...],
):
    """Members on slower hosts wait for the lost ones to claim first."""
    with closing(make_cluster(members=0, workers=WORKERS)) as cluster:
        cluster.add_ready_member("fastest", speed=3.0)
        for name in ("fast1", "fast2", "fast3"):
            cluster.add_ready_member(name, speed=2.0)
        for number in range(3):
            cluster.add_ready_member(f"m{number}", speed=0.4)
        cluster.run(10.0)
        lose(cluster, list(lost))
        cluster.run(SETTLED_S)
        cluster.lose_host("fastest")
        cluster.run(SILENT_TAKEOVER_S)
        assert cluster.owner_name() is not None
