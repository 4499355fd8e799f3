"""Workers that can't be reached: cut off, crashed or replaced."""

from __future__ import annotations

import math
from collections.abc import Iterator

import pytest
from expression import Error

from redwingrun.coordination.verdict import not_run
from redwingrun.jobs.ports import WorkerFault
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import RunId, TaskId
from redwingrun.jobs.workerlease import (
    LEASE_EXPIRY_MARGIN_S,
    LEASE_S,
    MAX_ORDER_DELAY_S,
)
from redwingrun.jobs.workerpool import MIN_CLOCK_RATE
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step
from tests.jobs.clusterports import SimulatedWorkers
from tests.jobs.simulatedworker import MAX_LEASE_MS

# Longest time from a worker's crash until its lease has certainly expired, with a
# second for the next plan and the start.
MAX_RESTART_S = LEASE_S / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S + 1.0
# Longest time until the lease of a restarted worker has certainly expired, if an order
# for its former incarnation may still be carried out.
MAX_LATE_LEASE_S = MAX_ORDER_DELAY_S + MAX_LEASE_MS / 1000 / MIN_CLOCK_RATE + 1.0


@pytest.fixture
def cluster() -> Iterator[SimulatedCluster]:
    """Return a cluster with three members and three workers."""
    made = make_cluster()
    yield made
    made.close()


def cut_off(cluster: SimulatedCluster, worker_id: str, refuses: bool) -> None:
    """Cut a worker off from all members; it runs on."""
    worker = cluster.worker_by_id[worker_id]
    worker.cut.update(cluster.member_by_name)
    worker.cut_refuses = refuses


def reconnect(cluster: SimulatedCluster, worker_id: str) -> None:
    """Let all members reach a worker again."""
    worker = cluster.worker_by_id[worker_id]
    worker.cut.clear()
    worker.cut_refuses = False


def starts_at(cluster: SimulatedCluster, worker_id: str) -> int:
    """Return the number of starts at a worker."""
    return sum(started_at == worker_id for _, _, started_at in cluster.starts)


def last_start_s(cluster: SimulatedCluster) -> float:
    """Return the time of the last start; infinity if there was none."""
    return max((at_s for at_s, _, _ in cluster.starts), default=math.inf)


# Guards against refused connections that are taken for the end of a worker: its tasks
# were started elsewhere while they ran on.
@pytest.mark.parametrize("refuses", [True, False], ids=["refused", "silent"])
def test_a_worker_that_is_cut_off_for_less_than_its_lease_keeps_its_tasks(
    cluster: SimulatedCluster, refuses: bool
):
    cluster.submit(job_id(1), job(step(9, 8.0)))
    cluster.run(1.0)
    cut_off(cluster, "i-1", refuses)
    cluster.run(4.5)
    reconnect(cluster, "i-1")
    cluster.run(6.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 9
    assert cluster.all_violations() == []


# Guards against the same when the connections stay refused: the tasks may start
# elsewhere only after the lease of the worker that runs on has expired.
def test_tasks_of_a_worker_that_stays_cut_off_restart_after_its_lease(
    cluster: SimulatedCluster,
):
    cluster.worker_by_id["i-1"].rate = MIN_CLOCK_RATE
    cluster.submit(job_id(1), job(step(9, 8.0)))
    cluster.run(1.0)
    interrupted = starts_at(cluster, "i-1")
    cut_off(cluster, "i-1", refuses=True)
    cluster.run(25.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 9 + interrupted
    assert cluster.all_violations() == []


# Guards against the same over a change of the owner, who inherits runs on a worker
# that it can't reach.
def test_a_new_owner_waits_for_the_lease_of_a_worker_that_refuses_connections(
    cluster: SimulatedCluster,
):
    cluster.submit(job_id(1), job(step(9, 8.0)))
    cluster.run(1.0)
    cut_off(cluster, "i-1", refuses=True)
    cluster.kill(cluster.owner_name())
    cluster.run(25.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


# Guards against a worker that gets starts although its connections are refused.
def test_a_worker_that_refuses_connections_gets_no_new_tasks(
    cluster: SimulatedCluster,
):
    cut_off(cluster, "i-1", refuses=True)
    cluster.run(0.5)
    cluster.submit(job_id(1), job(step(9, 0.5)))
    cluster.run(3.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    refused = [kind for _, _, kind, _ in cluster.log_lines if kind == "start-refused"]
    assert refused == []


# Guards against tasks that are left lying after their worker has crashed.
def test_tasks_of_a_crashed_worker_restart_when_its_lease_has_expired(
    cluster: SimulatedCluster,
):
    cluster.submit(job_id(1), job(step(9, 8.0)))
    cluster.run(1.0)
    interrupted = starts_at(cluster, "i-1")
    cluster.worker_by_id["i-1"].crash()
    crashed_s = cluster.loop.time()
    cluster.run(25.0)
    assert len(cluster.starts) == 9 + interrupted
    assert last_start_s(cluster) <= crashed_s + MAX_RESTART_S
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


# Guards against a wait for the lease when the worker's next life has answered.
def test_tasks_of_a_worker_that_is_back_under_its_id_restart_at_once(
    cluster: SimulatedCluster,
):
    cluster.submit(job_id(1), job(step(9, 8.0)))
    cluster.run(1.0)
    interrupted = starts_at(cluster, "i-1")
    worker = cluster.worker_by_id["i-1"]
    worker.crash()
    cluster.run(1.5)
    worker.restart()
    restarted_s = cluster.loop.time()
    cluster.run(25.0)
    assert len(cluster.starts) == 9 + interrupted
    assert last_start_s(cluster) <= restarted_s + 1.0
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


# Guards against a link that repeats a stop for ever, and so never notices that its
# worker has crashed: the tasks there were left lying.
def test_a_worker_that_crashes_while_it_is_sent_a_stop_is_lost(
    cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch
):
    """The stop is for a start of earlier that the next life might still carry out."""
    worker = cluster.worker_by_id["i-1"]
    owner = cluster.member_by_name[cluster.owner_name()]._owner
    late_run = RunId(TaskId(job_id(9), 0, 0, 0), 1)
    owner._link_by_worker["i-1"]._unanswered_start_s[late_run] = cluster.loop.time()

    async def crash_at_stop(self, target, order, fence):
        worker.crash()
        return Error(WorkerFault(not_run("connection-refused")))

    monkeypatch.setattr(SimulatedWorkers, "stop", crash_at_stop)
    worker.crash()
    worker.restart()
    cluster.submit(job_id(1), job(step(9, 2.0)))
    cluster.run(0.1)
    assert starts_at(cluster, "i-1")
    cluster.run(MAX_LATE_LEASE_S + 5.0)
    assert not worker.up
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


# Guards against the lease of a new incarnation that is counted too short: starts that
# were sent before its restart was known have deadlines on the clock of the former one,
# which the new one takes for the longest lease.
def test_a_worker_that_is_cut_off_after_a_restart_keeps_its_tasks(
    cluster: SimulatedCluster,
):
    cluster.run(30.0)
    worker = cluster.worker_by_id["i-1"]
    worker.crash()
    worker.restart()
    cluster.submit(job_id(1), job(step(9, 12.0)))
    cluster.run(0.3)
    assert worker.runs
    while not any(kind == "worker-reborn" for _, _, kind, _ in cluster.log_lines):
        cluster.run(0.05)
    cut_off(cluster, "i-1", refuses=True)
    cluster.run(25.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []
