"""Tests of a worker that restarts under its id while orders to it are in flight."""

from __future__ import annotations

import pytest

from redwingrun.jobs.progress import JobState
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step


@pytest.fixture
def cluster():
    """Return a cluster with three members and three workers."""
    cluster = make_cluster()
    yield cluster
    cluster.close()


def test_a_start_accepted_by_the_new_incarnation_is_not_repeated(
    cluster: SimulatedCluster,
):
    """The worker restarts before the starts arrive; the owner learns of it after them.

    The owner used to treat all its runs there as lost, although the new incarnation had
    started them. Found by the randomized test of complete members with seed 2.
    """
    worker = cluster.worker_by_id["i-1"]
    worker.crash()
    worker.restart()
    cluster.submit(job_id(1), job(step(9, 2.0)))
    cluster.run(8.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 9
    assert cluster.all_violations() == []
