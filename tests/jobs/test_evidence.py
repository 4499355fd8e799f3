"""Tests of the evidence that a run has ended."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from redwingrun.jobs.evidence import (
    AbsentFromReport,
    LaterIncarnation,
    LeaseExpired,
)
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import RunId, TaskId, TaskSize
from redwingrun.jobs.workerpool import (
    EndKind,
    Run,
    RunEnd,
    RunStatus,
    Worker,
    WorkerInfo,
    WorkerReport,
)
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step

RUN_ID = RunId(TaskId(job_id(1), 0, 0, 0), 1)
SENT_S = 100.0
SEEN_S = 100.5
STATUS = RunStatus(RUN_ID, "", 50)
END = RunEnd(1, RUN_ID, EndKind.DONE, "")


@pytest.fixture
def cluster() -> Iterator[SimulatedCluster]:
    """Return a cluster with three members and three workers."""
    made = make_cluster()
    yield made
    made.close()


def make_run(answered_s: float | None) -> Run:
    """Return a run whose start was answered at some time, or not at all."""
    return Run(RUN_ID, "w0", TaskSize(), 90.0, answered_s=answered_s)


def make_worker(lease_expiry_s: float = 0.0) -> Worker:
    """Return a worker whose lease expires at some time."""
    return Worker(WorkerInfo("w0", "w0:1", "pool"), lease_expiry_s=lease_expiry_s)


# Guards against a report that is taken for news of a run which it does not cover.
@pytest.mark.parametrize("kind", [AbsentFromReport, LaterIncarnation])
@pytest.mark.parametrize(
    ("report", "answered_s", "is_proof"),
    [
        (WorkerReport(1.0, (), ()), 99.0, True),
        (WorkerReport(1.0, (STATUS,), ()), 99.0, False),
        (WorkerReport(1.0, (), (END,)), 99.0, False),
        (WorkerReport(1.0, (), (), lists_all_ends=False), 99.0, False),
        (WorkerReport(1.0, (), ()), 100.2, False),
        (WorkerReport(1.0, (), ()), None, False),
    ],
    ids=["absent", "running", "ended", "cut", "answered-later", "unanswered"],
)
def test_a_report_proves_the_end_of_a_run_that_it_covers_only(
    kind: type[AbsentFromReport],
    report: WorkerReport,
    answered_s: float | None,
    is_proof: bool,
):
    evidence = kind(SEEN_S, report, SENT_S)
    assert evidence.proves_end(make_run(answered_s), make_worker()) is is_proof


# Guards against a lease that is taken for expired before it has.
@pytest.mark.parametrize(
    ("expiry_s", "is_proof"), [(100.4, True), (100.5, False), (107.0, False)]
)
def test_a_lease_proves_the_end_of_a_run_once_it_has_expired(
    expiry_s: float, is_proof: bool
):
    evidence = LeaseExpired(SEEN_S)
    assert evidence.proves_end(make_run(99.0), make_worker(expiry_s)) is is_proof


# Guards against a restart whose reason can't be read from the logs.
def test_the_start_of_a_task_that_ran_before_is_logged_with_the_evidence(
    cluster: SimulatedCluster,
):
    cluster.submit(job_id(1), job(step(9, 8.0)))
    cluster.run(1.0)
    lost = {run.task for run in cluster.worker_by_id["i-1"].runs}
    cluster.worker_by_id["i-1"].cut.update(cluster.member_by_name)
    cluster.run(25.0)
    restarts = [fields for _, _, kind, fields in cluster.log_lines if kind == "restart"]
    assert {fields["task"] for fields in restarts} == {
        f"0.0.{task.index}" for task in lost
    }
    for fields in restarts:
        assert fields["before_worker"] == "i-1"
        assert fields["evidence"] == "lease-expired"
        assert fields["lease_left_s"] < 0
    assert cluster.state(job_id(1)) is JobState.COMPLETED


# Guards against memory that grows with the tasks of jobs that have finished.
def test_nothing_is_kept_of_the_runs_of_a_finished_job(cluster: SimulatedCluster):
    cluster.submit(job_id(1), job(step(9, 1.0)))
    cluster.run(10.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    owner = cluster.member_by_name[cluster.owner_name()]._owner
    assert owner.engine.state.ended_run_by_task == {}
