"""What the owner hears from its peers before, or instead of, the table's feed."""

from __future__ import annotations

import pytest

from redwingrun.jobs.progress import JobState
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step


@pytest.fixture
def cluster():
    """Return a world with three members and three minions."""
    made = make_cluster()
    yield made
    made.close()


def submit_elsewhere(cluster: SimulatedCluster, number: int, *steps) -> None:
    """Hand a job to a member that does not own the slice."""
    owner = cluster.owner_name()
    cluster.submit(job_id(number), job(*steps), at=next(n for n in NAMES if n != owner))


NAMES = ("m0", "m1", "m2")


def test_a_job_starts_although_the_feed_says_nothing(cluster: SimulatedCluster):
    """While the table's history is dropped its feed is silent for a second."""
    cluster.feed_is_deaf = True
    submit_elsewhere(cluster, 1, step(2, 0.3))
    cluster.run(0.15)
    assert len(cluster.starts) == 2


def test_a_job_that_the_owner_was_not_told_of_starts_by_the_feed(
    cluster: SimulatedCluster,
):
    """A lost message costs a little time only."""
    cluster.peers_are_deaf = True
    submit_elsewhere(cluster, 1, step(2, 0.3))
    cluster.run(0.5)
    assert len(cluster.starts) == 2


def test_a_cancellation_needs_no_feed(cluster: SimulatedCluster):
    """The owner is told of it as of a job."""
    submit_elsewhere(cluster, 1, step(2, 30.0))
    cluster.run(0.5)
    cluster.feed_is_deaf = True
    assert cluster.cancel(job_id(1)).ok is True
    cluster.run(1.0)
    assert cluster.state(job_id(1)) is JobState.CANCELLED
    assert not any(cluster.live.values())


def test_a_job_that_comes_twice_is_one(cluster: SimulatedCluster):
    """By message and by feed, before and after a takeover."""
    submit_elsewhere(cluster, 1, step(2, 0.3))
    cluster.run(1.0)
    cluster.kill(cluster.owner_name())
    cluster.run(3.0)
    for member in cluster.member_by_name.values():
        member.hear(job_id(1), cluster.encoded(job_id(1)))
    cluster.run(2.0)
    assert len(cluster.starts) == 2
    assert cluster.all_violations() == []
