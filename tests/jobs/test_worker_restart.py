"""Tests of a worker that restarts under its id while orders to it are in flight."""

from __future__ import annotations

import math

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


# Guards against a task that runs twice because its first start, which got no answer, is
# carried out by a later incarnation than the one with which the owner settled it.
def test_a_start_that_a_third_incarnation_carries_out_late_runs_alone(
    cluster: SimulatedCluster,
):
    delay_s = 8.0
    cluster.order_delays_s.append(delay_s)
    cluster.submit(job_id(1), job(step(1, 20.0)))
    sent_s = cluster.loop.time()
    cluster.run(0.1)
    assert not cluster.order_delays_s
    owner = cluster.member_by_name[cluster.owner_name()]._owner
    (worker_id,) = [
        key for key, item in owner.engine.worker_by_id.items() if item.run_by_id
    ]
    # The second run starts on another worker.
    owner.engine.worker_by_id[worker_id].avoid_until_s = math.inf
    worker = cluster.worker_by_id[worker_id]
    worker.crash()
    cluster.run(0.2)
    worker.restart()
    cluster.run(delay_s - 2.0)
    worker.crash()
    cluster.run(sent_s + delay_s - cluster.loop.time())
    worker.restart()
    cluster.run(60.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []
