"""Tests of the number of calls and transactions, in virtual time.

The tasks of a step end one after the other within a few hundredths of a second. Each
end could cost a heartbeat to its worker and a transaction of its own.
"""

from __future__ import annotations

import pytest

from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import Submission
from redwingrun.jobs.workerpool import Worker
from tests.jobs.cluster import (
    QUEUE,
    SimulatedCluster,
    SimulatedWorker,
    job,
    job_id,
    make_cluster,
    make_queues,
    step,
)
from tests.jobs.test_workerreports import EngineHarness

FIRST_END_S = 0.5
TASKS = 6


@pytest.fixture
def cluster():
    """Return a cluster with one member and one worker."""
    cluster = make_cluster(members=1, workers=1)
    cluster.run(1.0)
    yield cluster
    cluster.close()


def run_until_first_end(cluster: SimulatedCluster, gap_s: float) -> None:
    """Run a job until shortly before its tasks end one after the other.

    :param gap_s: time between two ends.
    """
    lengths = [FIRST_END_S + gap_s * number for number in range(TASKS)]
    cluster.submit(job_id(1), job(*(step(1, seconds) for seconds in lengths)))
    cluster.run(FIRST_END_S - 0.1)


def test_ends_in_quick_succession_are_stored_together(cluster: SimulatedCluster):
    """Six ends within 60 ms need three transactions, not six."""
    run_until_first_end(cluster, 0.012)
    before = cluster.rows.version
    cluster.run(0.3)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.rows.version - before <= 3


def test_ends_in_quick_succession_share_heartbeats(
    cluster: SimulatedCluster, monkeypatch
):
    """Six ends within 150 ms need at most 4 heartbeats, and 1 that waits for more."""
    calls = []
    heartbeat = SimulatedWorker.heartbeat
    run_until_first_end(cluster, 0.03)
    monkeypatch.setattr(
        SimulatedWorker, "heartbeat", lambda *args: calls.append(1) or heartbeat(*args)
    )
    cluster.run(0.4)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(calls) <= 5
    assert cluster.all_violations() == []


def worker_accesses_of_plan(monkeypatch, steps: int) -> int:
    """Return how often a plan reads ``Worker.info`` while steps await the policy."""
    harness = EngineHarness(50)
    harness.engine.set_queues(make_queues(uses_policy=True))
    for number in range(steps):
        submission = Submission(QUEUE, job(step(3, 1.0)), 0)
        harness.engine.add_job(job_id(number + 1), submission, None, harness.now_s)
    assert len(harness.engine.plan(harness.now_s).policy_queries) >= 1
    accesses = []
    info = Worker.info
    monkeypatch.setattr(
        Worker,
        "info",
        property(lambda worker: accesses.append(1) or info.__get__(worker)),
    )
    harness.engine.plan(harness.now_s)
    monkeypatch.undo()
    return len(accesses)


def test_a_plan_does_not_access_all_workers_for_each_waiting_step(monkeypatch):
    """At peak load many steps await the policy, and each end causes a new plan."""
    accesses_for_2_steps = worker_accesses_of_plan(monkeypatch, 2)
    accesses_for_40_steps = worker_accesses_of_plan(monkeypatch, 40)
    assert accesses_for_40_steps <= accesses_for_2_steps + 50
