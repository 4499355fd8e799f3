"""Tests of the engine's reaction to workers' reports, without a network."""

from __future__ import annotations

from redwingrun.jobs.engine import Engine, EngineSettings
from redwingrun.jobs.spec import Submission
from redwingrun.jobs.workerpool import (
    EndKind,
    RunEnd,
    RunStatus,
    StartOrder,
    WorkerInfo,
    WorkerReport,
)
from tests.jobs.cluster import POOL, QUEUE, TaskSize, job, job_id, make_queues, step

REPORT_INTERVAL_S = 0.5


class EngineHarness:
    """An engine with workers whose reports are given by the test.

    :param workers: number of workers; each has room for four tasks of one core.
    :param settings: of the engine; the defaults if ``None``.
    """

    def __init__(self, workers: int = 3, settings: EngineSettings | None = None):
        self.engine = Engine(settings or EngineSettings())
        self.engine.set_queues(make_queues())
        self.now_s = 100.0
        self.names: list[str] = []
        for number in range(workers):
            self.add_worker(f"w{number}")

    def add_worker(self, name: str) -> None:
        """Register a worker and let it report."""
        self.names.append(name)
        capacity = TaskSize(4000, 64_000)
        info = WorkerInfo(name, f"{name}:1", POOL, capacity=capacity, born_ms=7)
        self.engine.register_worker(info)
        self.report(name, {})

    def report(self, name: str, percent_by_run: dict) -> None:
        """Process a worker's report of running runs."""
        running = tuple(
            RunStatus(run_id, "", percent) for run_id, percent in percent_by_run.items()
        )
        report = WorkerReport(self.now_s * 1000, running, (), born_ms=7)
        self.engine.process_report(name, report, self.now_s, self.now_s)

    def report_with_ends(self, name: str, percent_by_run: dict, done: list) -> None:
        """Process a worker's report of running runs and of runs that are done.

        :param done: number and run id of each end.
        """
        running = tuple(
            RunStatus(run_id, "", percent) for run_id, percent in percent_by_run.items()
        )
        ends = tuple(
            RunEnd(number, run_id, EndKind.DONE, "") for number, run_id in done
        )
        report = WorkerReport(self.now_s * 1000, running, ends, born_ms=7)
        self.engine.process_report(name, report, self.now_s, self.now_s)

    def start_job(self, *steps) -> tuple[StartOrder, ...]:
        """Add a job, accept its first starts and return them."""
        submission = Submission(QUEUE, job(*steps), 0)
        self.engine.add_job(job_id(1), submission, None, self.now_s)
        starts = self.engine.plan(self.now_s).starts
        for order in starts:
            self.engine.start_accepted(order, self.now_s)
        return starts

    def report_for(self, seconds: float, percent) -> list[str]:
        """Report all runs at intervals; return the reasons of the stop orders.

        :param percent: function of a run id and the seconds since the start of this
            call; returns the run's progress in percent.
        """
        starts = list(self._runs())
        stop_reasons = []
        began_s = self.now_s
        while self.now_s < began_s + seconds:
            self.now_s += REPORT_INTERVAL_S
            for name in self.names:
                percent_by_run = {
                    run_id: percent(run_id, self.now_s - began_s)
                    for run_id, worker in starts
                    if worker == name
                }
                self.report(name, percent_by_run)
            stop_reasons += [stop.why for stop in self.engine.plan(self.now_s).stops]
        return stop_reasons

    def run_rounds(self, rounds: int, failing: str = "") -> None:
        """Start all waiting tasks and end their runs, several times.

        :param failing: id of the only worker whose runs fail; empty if all runs fail.
        """
        for _ in range(rounds):
            starts = self.engine.plan(self.now_s).starts
            for order in starts:
                self.engine.start_accepted(order, self.now_s)
            self.now_s += 1.0
            for name in self.names:
                self.end_runs(name, not failing or name == failing)

    def end_runs(self, name: str, failed: bool) -> None:
        """Report the end of all runs of a worker, as failed or as done."""
        worker = self.engine.worker_by_id[name]
        kind = EndKind.FAILED if failed else EndKind.DONE
        ends = tuple(
            RunEnd(worker.last_end_number + number + 1, run_id, kind, "")
            for number, run_id in enumerate(worker.run_by_id)
        )
        report = WorkerReport(self.now_s * 1000, (), ends, born_ms=7)
        self.engine.process_report(name, report, self.now_s, self.now_s)

    def workers(self):
        """Return the workers as the engine knows them."""
        return list(self.engine.worker_by_id.values())

    def _runs(self):
        for worker in self.engine.worker_by_id.values():
            for run_id in worker.run_by_id:
                yield run_id, worker.worker_id


def stop_reasons_of_gang(percent) -> list[str]:
    """Report a gang of six for ten seconds; return the reasons of the stop orders."""
    harness = EngineHarness()
    harness.start_job(step(6, 4.0, gang=True))
    return harness.report_for(10.0, percent)


def test_gang_members_at_100_percent_are_not_stuck():
    """The members end together, so the fast ones wait for the slow ones.

    In an incident two gangs lost all their work because the waiting members were
    stopped as stuck, one gang twice.
    """

    def percent(run_id, since_s):
        is_fast = run_id.task.index < 3
        return min(100, since_s * (100 if is_fast else 8))

    assert stop_reasons_of_gang(percent) == []


def test_a_gang_with_a_stuck_member_is_stopped():
    """A member without progress delays all others."""

    def percent(run_id, since_s):
        return 40 if run_id.task.index == 2 else min(100, since_s * 50)

    stop_reasons = stop_reasons_of_gang(percent)
    assert any(reason.startswith("stuck") for reason in stop_reasons)


def test_a_gang_member_stuck_at_0_percent_is_stopped():
    """A member that hung from its start used to block its gang forever."""

    def percent(run_id, since_s):
        return 0 if run_id.task.index == 2 else min(100, since_s * 20)

    stop_reasons = stop_reasons_of_gang(percent)
    assert any(reason.startswith("stuck at 0") for reason in stop_reasons)


def test_an_incomplete_gang_is_not_stuck():
    """No member works before all have started."""
    assert stop_reasons_of_gang(lambda run_id, since_s: 0) == []


def test_jobs_that_fail_everywhere_do_not_quarantine_most_workers():
    """Many failing jobs used to make all workers unavailable for seconds."""
    harness = EngineHarness()
    for number in range(12):
        submission = Submission(QUEUE, job(step(1, 1.0)), 0)
        harness.engine.add_job(job_id(number + 1), submission, None, harness.now_s)
    harness.run_rounds(rounds=5)
    avoided = [worker for worker in harness.workers() if worker.avoid_until_s]
    assert len(avoided) <= 1
    assert all(item.is_final for item in harness.engine.job_by_id.values())


def test_a_worker_on_which_all_runs_fail_is_quarantined():
    """The same jobs succeed on other workers."""
    harness = EngineHarness()
    for number in range(12):
        submission = Submission(QUEUE, job(step(1, 1.0)), 0)
        harness.engine.add_job(job_id(number + 1), submission, None, harness.now_s)
    harness.run_rounds(rounds=1, failing="w1")
    avoided = [worker.worker_id for worker in harness.workers() if worker.avoid_until_s]
    assert avoided == ["w1"]


def test_the_first_run_of_a_gang_has_number_1():
    """All members share one run number, and no number is skipped."""
    starts = EngineHarness().start_job(step(6, 4.0, gang=True))
    assert {order.run_id.run for order in starts} == {1}
