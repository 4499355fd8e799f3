"""Reports that list only some of a worker's ends."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from attrs import evolve

from redwingrun.jobs.progress import JobState
from redwingrun.jobs.workerpool import EndKind, RunEnd, WorkerReport
from tests.helpers import DOWN, OK
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step
from tests.jobs.test_workerreports import EngineHarness

TASKS = 12


@pytest.fixture
def cluster() -> Iterator[SimulatedCluster]:
    """Return a cluster whose workers list two ends in a report."""
    made = make_cluster()
    for worker in made.worker_by_id.values():
        worker.max_listed_ends = 2
    yield made
    made.close()


def set_table_mode(cluster: SimulatedCluster, mode: str) -> None:
    """Set how all members' calls to the table end."""
    for process in cluster.process_by_name.values():
        process.table_mode = mode


def report_ends(harness: EngineHarness, ends: list, lists_all_ends: bool) -> None:
    """Process a report of w0 without running runs.

    :param ends: the ids of the runs that are done, the first one with number 1.
    """
    listed = tuple(
        RunEnd(number + 1, run_id, EndKind.DONE, "")
        for number, run_id in enumerate(ends)
    )
    harness.now_s += 0.5
    report = WorkerReport(
        harness.now_s * 1000, (), listed, born_ms=7, lists_all_ends=lists_all_ends
    )
    harness.engine.process_report("w0", report, harness.now_s, harness.now_s)


# Guards against a list of ends that is taken for complete when it was cut: runs that
# had ended done were taken for lost, and their tasks ran again.
def test_runs_that_a_cut_report_does_not_list_are_not_lost():
    harness = EngineHarness(1)
    run_ids = [order.run_id for order in harness.start_job(step(4))]
    report_ends(harness, run_ids[:2], lists_all_ends=False)
    assert harness.engine.plan(harness.now_s).starts == ()
    report_ends(harness, run_ids, lists_all_ends=True)
    state = harness.engine.job_by_id[job_id(1)].progress.state
    assert state is JobState.COMPLETED
    assert harness.engine.worker_by_id["w0"].run_by_id == {}


# Guards against a run that is left lying because a report was cut when it was missing.
def test_runs_that_a_later_complete_report_does_not_list_are_lost():
    harness = EngineHarness(1)
    run_ids = [order.run_id for order in harness.start_job(step(4))]
    report_ends(harness, run_ids[:2], lists_all_ends=False)
    report_ends(harness, run_ids[:3], lists_all_ends=True)
    restarted = [order.run_id for order in harness.engine.plan(harness.now_s).starts]
    assert restarted == [evolve(run_ids[3], run=2)]


# Guards against ended runs that are stopped as stuck while their ends are not listed:
# their worker would get no work for seconds.
def test_ended_runs_whose_ends_are_not_listed_are_not_stuck():
    harness = EngineHarness(1)
    run_ids = [order.run_id for order in harness.start_job(step(4))]
    for _ in range(20):
        report_ends(harness, run_ids[:2], lists_all_ends=False)
        assert harness.engine.plan(harness.now_s).stops == ()


# Guards against the same through an outage of the table, in which ends can't be stored.
def test_no_task_runs_again_after_an_outage_with_more_ends_than_a_report_lists(
    cluster: SimulatedCluster,
):
    cluster.submit(job_id(1), job(step(TASKS, 2.0)))
    cluster.run(1.0)
    set_table_mode(cluster, DOWN)
    cluster.run(4.2)
    set_table_mode(cluster, OK)
    cluster.run(6.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == TASKS
    assert cluster.all_violations() == []


# Guards against the same in the first report that a new owner gets.
def test_no_task_runs_again_after_a_change_of_the_owner_with_many_ends(
    cluster: SimulatedCluster,
):
    cluster.submit(job_id(1), job(step(TASKS, 1.5)))
    cluster.run(1.0)
    cluster.kill(cluster.owner_name())
    cluster.run(8.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == TASKS
    assert cluster.all_violations() == []


# Guards against the runs of a new incarnation that have ended before its first report:
# they were taken for those of the former one, and their tasks ran again.
def test_a_run_that_a_new_incarnation_has_ended_does_not_start_again():
    harness = EngineHarness(1)
    (order,) = harness.start_job(step(1))
    harness.now_s += 1.0
    end = RunEnd(1, order.run_id, EndKind.DONE, "")
    report = WorkerReport(900.0, (), (end,), born_ms=8)
    harness.engine.worker_restarted("w0", report, harness.now_s, harness.now_s)
    harness.engine.process_report("w0", report, harness.now_s, harness.now_s)
    state = harness.engine.job_by_id[job_id(1)].progress.state
    assert state is JobState.COMPLETED
    assert harness.engine.plan(harness.now_s).starts == ()
