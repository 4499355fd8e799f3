"""Workers whose capacity shrinks and grows while tasks run on them."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from attrs import evolve

from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import Submission, TaskSize
from tests.jobs.cluster import (
    QUEUE,
    SimulatedCluster,
    job,
    job_id,
    make_cluster,
    step,
)
from tests.jobs.simulatedworker import SimulatedWorker
from tests.jobs.test_workerreports import EngineHarness

FULL = TaskSize(8000, 64_000)
# The owner reads the registrations at this interval, and orders are on their way.
REGISTRATION_INTERVAL_S = 2.0


@pytest.fixture
def cluster() -> Iterator[SimulatedCluster]:
    """Return a cluster with two members and four workers of eight cores."""
    made = make_cluster(members=2, workers=4)
    yield made
    made.close()


def resize(worker: SimulatedWorker, cpu_milli: int) -> None:
    """Change a worker's capacity, as its registration says from now on."""
    worker.info = evolve(worker.info, capacity=evolve(FULL, cpu_milli=cpu_milli))


def used(cluster: SimulatedCluster, worker: SimulatedWorker) -> int:
    """Return the processor time that the runs on a worker have, in millicores."""
    return sum(cluster.step_of(run_id.task).size.cpu_milli for run_id in worker.runs)


# Guards against starts that bring a worker over a capacity that has shrunk; the cluster
# checks each start against the capacity of the moment.
@pytest.mark.parametrize(
    "more",
    [{}, {"gang": True}, {"lasting": True}, {"max_per_worker": 3}],
    ids=["task", "gang", "lasting", "limited"],
)
def test_no_start_brings_a_worker_over_its_shrunk_capacity(
    cluster: SimulatedCluster, more: dict
):
    """Half of the workers shrink below what runs on them, while jobs wait."""
    workers = list(cluster.worker_by_id.values())
    for number in range(6):
        cluster.submit(job_id(number), job(step(4, 6.0)))
    cluster.run(1.0)
    for worker in workers[:2]:
        resize(worker, 2000)
        assert used(cluster, worker) > 2000
    cluster.run(REGISTRATION_INTERVAL_S)
    cluster.kill(cluster.owner_name())
    for number in range(6, 12):
        cluster.submit(job_id(number), job(step(4, 1.0, **more)))
    cluster.run(12.0)
    assert all(used(cluster, worker) <= 2000 for worker in workers[:2])
    for worker in workers[:2]:
        resize(worker, 8000)
    cluster.run(20.0)
    assert cluster.all_violations() == []
    if not more.get("lasting"):
        states = {cluster.state(job_id(number)) for number in range(12)}
        assert states == {JobState.COMPLETED}


# Guards against a start that was planned before the worker shrank and waited for the
# table: it was sent all the same.
def test_a_start_planned_before_the_worker_shrank_is_not_sent():
    harness = EngineHarness(1)
    harness.start_job(step(1))
    submission = Submission(QUEUE, job(step(2)), 0)
    harness.engine.add_job(job_id(2), submission, None, harness.now_s)
    starts = harness.engine.plan(harness.now_s).starts
    worker = harness.engine.worker_by_id["w0"]
    smaller = evolve(worker.info, capacity=TaskSize(2000, 64_000))
    harness.engine.register_worker(smaller)
    sent = []
    for order in starts:
        if harness.engine.should_send_start(order):
            sent.append(order)
        else:
            harness.engine.withdraw_start(order, harness.now_s)
    assert len(sent) == 1
    assert worker.cpu_used == 2000


# Guards against a task that waits for ever for a worker which has shrunk to nothing.
def test_work_goes_on_elsewhere_and_comes_back_when_the_capacity_grows(
    cluster: SimulatedCluster,
):
    """Three of four workers have no capacity at all for some seconds."""
    workers = list(cluster.worker_by_id.values())
    for worker in workers[:3]:
        resize(worker, 0)
    cluster.run(REGISTRATION_INTERVAL_S)
    for number in range(16):
        cluster.submit(job_id(number), job(step(8, 1.0)))
    cluster.run(2.0)
    assert not any(used(cluster, worker) for worker in workers[:3])
    assert used(cluster, workers[3]) == FULL.cpu_milli
    for worker in workers[:3]:
        resize(worker, 8000)
    cluster.run(REGISTRATION_INTERVAL_S)
    assert all(used(cluster, worker) for worker in workers)
    cluster.run(8.0)
    assert cluster.all_violations() == []
    states = {cluster.state(job_id(number)) for number in range(16)}
    assert states == {JobState.COMPLETED}
