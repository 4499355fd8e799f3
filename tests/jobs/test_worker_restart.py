"""Tests of a worker that restarts under its id while orders to it are in flight."""

from __future__ import annotations

import math

import pytest

from redwingrun.jobs.progress import JobState
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step
from tests.jobs.simulatedworker import SimulatedWorker

# An order without an answer is carried out this much later.
ORDER_DELAY_S = 8.0


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


def send_a_start_that_is_late(
    cluster: SimulatedCluster, **more: object
) -> tuple[SimulatedWorker, float]:
    """Submit a task whose first start is carried out ``ORDER_DELAY_S`` late.

    Its second run starts on another worker.

    :return: the worker to which the start was sent, and when.
    """
    cluster.order_delays_s.append(ORDER_DELAY_S)
    cluster.submit(job_id(1), job(step(1, 20.0, **more)))
    sent_s = cluster.loop.time()
    cluster.run(0.05)
    assert not cluster.order_delays_s
    owner = cluster.member_by_name[cluster.owner_name()]._owner
    (worker_id,) = [
        key for key, item in owner.engine.worker_by_id.items() if item.run_by_id
    ]
    owner.engine.worker_by_id[worker_id].avoid_until_s = math.inf
    return cluster.worker_by_id[worker_id], sent_s


def restart_twice_before_the_start(
    cluster: SimulatedCluster, worker: SimulatedWorker, sent_s: float
) -> None:
    """Restart a worker, and again just before the late start arrives."""
    worker.crash()
    cluster.run(0.2)
    worker.restart()
    cluster.run(ORDER_DELAY_S - 2.0)
    worker.crash()
    cluster.run(sent_s + ORDER_DELAY_S - cluster.loop.time())
    worker.restart()


# Guards against a task that runs twice because its first start, which got no answer, is
# carried out by a later incarnation than the one with which the owner settled it.
def test_a_start_that_a_third_incarnation_carries_out_late_runs_alone(
    cluster: SimulatedCluster,
):
    worker, sent_s = send_a_start_that_is_late(cluster)
    restart_twice_before_the_start(cluster, worker, sent_s)
    cluster.run(60.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


# Guards against the same with a task that lasts, which does not wait.
def test_a_lasting_task_that_a_third_incarnation_starts_late_runs_alone(
    cluster: SimulatedCluster,
):
    worker, sent_s = send_a_start_that_is_late(cluster, lasting=True)
    restart_twice_before_the_start(cluster, worker, sent_s)
    cluster.run(30.0)
    assert cluster.all_violations() == []


# Guards against the same with a worker that is down for longer than its lease, and back
# just before the start arrives.
def test_a_start_that_arrives_after_its_lease_at_the_next_incarnation_runs_alone(
    cluster: SimulatedCluster,
):
    worker, sent_s = send_a_start_that_is_late(cluster)
    worker.crash()
    cluster.run(sent_s + ORDER_DELAY_S - 0.05 - cluster.loop.time())
    worker.restart()
    cluster.run(30.0)
    assert cluster.all_violations() == []
