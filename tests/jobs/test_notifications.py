"""Notifications of new jobs and cancellations from peers to the owner."""

from __future__ import annotations

import pytest

from redwingrun.jobs.progress import JobState
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step


@pytest.fixture
def cluster():
    """Return a cluster with three members and three workers."""
    made = make_cluster()
    yield made
    made.close()


def submit_elsewhere(cluster: SimulatedCluster, number: int, *steps) -> None:
    """Submit a job at a member that does not own the slice."""
    owner = cluster.owner_name()
    cluster.submit(job_id(number), job(*steps), at=next(n for n in NAMES if n != owner))


NAMES = ("m0", "m1", "m2")


def test_notified_job_starts_while_the_feed_is_silent(cluster: SimulatedCluster):
    """After the table has dropped its history, its feed is silent for a second."""
    cluster.feed_is_silent = True
    submit_elsewhere(cluster, 1, step(2, 0.3))
    cluster.run(0.15)
    assert len(cluster.starts) == 2


def test_job_starts_through_the_feed_when_its_notification_is_lost(
    cluster: SimulatedCluster,
):
    """A lost notification delays the start by less than half a second."""
    cluster.notifications_are_lost = True
    submit_elsewhere(cluster, 1, step(2, 0.3))
    cluster.run(0.5)
    assert len(cluster.starts) == 2


def test_notified_cancellation_takes_effect_while_the_feed_is_silent(
    cluster: SimulatedCluster,
):
    """The owner is notified of cancellations as well as of jobs."""
    submit_elsewhere(cluster, 1, step(2, 30.0))
    cluster.run(0.5)
    cluster.feed_is_silent = True
    assert cluster.cancel(job_id(1)).ok is True
    cluster.run(1.0)
    assert cluster.state(job_id(1)) is JobState.CANCELLED
    assert not any(cluster.live_runs.values())


def test_job_that_is_received_twice_runs_once(cluster: SimulatedCluster):
    """It arrives by notification and by feed, and again after a takeover."""
    submit_elsewhere(cluster, 1, step(2, 0.3))
    cluster.run(1.0)
    cluster.kill(cluster.owner_name())
    cluster.run(3.0)
    for member in cluster.member_by_name.values():
        member.receive_notification(job_id(1), cluster.encoded_submission(job_id(1)))
    cluster.run(2.0)
    assert len(cluster.starts) == 2
    assert cluster.all_violations() == []
