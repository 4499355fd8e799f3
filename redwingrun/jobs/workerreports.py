"""Applies workers' reports, and stops runs that are stuck or on slow workers."""

from __future__ import annotations

import math

from attrs import evolve

from redwingrun.jobs.crashes import CrashRecorder, CrashReport
from redwingrun.jobs.evidence import AbsentFromReport, LaterIncarnation, ListedEnd
from redwingrun.jobs.interferencemeter import InterferenceMeter
from redwingrun.jobs.job import Job, apply_run_end, remove_done_occurrences
from redwingrun.jobs.pacing import pace_orders
from redwingrun.jobs.progress import TaskState
from redwingrun.jobs.runtimemeter import RunTimeMeter
from redwingrun.jobs.runtimemodel import RunTimeModel
from redwingrun.jobs.slicestate import SliceState
from redwingrun.jobs.spec import RunId
from redwingrun.jobs.speedmeter import SpeedMeter
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.stragglers import StragglerDetector
from redwingrun.jobs.workerlease import MAX_ORDER_DELAY_S
from redwingrun.jobs.workerpool import (
    MIN_CLOCK_RATE,
    EndKind,
    PaceOrder,
    Run,
    RunEnd,
    RunPhase,
    Worker,
    WorkerReport,
)

MS_PER_S = 1000
# A worker gets no new runs for QUARANTINE_S after runs of QUARANTINE_FAILED_JOBS jobs
# failed there with no run done in between.
QUARANTINE_FAILED_JOBS = 3
QUARANTINE_S = 6.0
# A run is stuck after this time plus this share of its estimate without progress.
STUCK_BASE_S = 2.2
STUCK_ESTIMATE_SHARE = 0.15
CHECK_INTERVAL_S = 0.4
# A worker that has run for less may have crashed since a former owner's last report.
RECENT_START_S = 10.0
COMPLETE_PERCENT = 100
# The tasks of a gang make progress only once all of them run: if one has reached this
# percentage, all have started.
GANG_STARTED_PERCENT = 25


class ReportProcessor:
    """Applies workers' reports to the state of a slice.

    :param speed_meter: measures the progress of runs.
    :param speed_model: what is learned from that; read only.
    :param crashes: counts the runs that ended with their workers.
    :param run_times: learns the run times of tasks; ``None`` if clients' estimates are
        used.
    :param interference_meter: measures runs beside their neighbours; ``None`` if that
        is not learned.
    """

    def __init__(
        self,
        state: SliceState,
        speed_meter: SpeedMeter,
        speed_model: SpeedModel,
        crashes: CrashRecorder,
        run_times: RunTimeModel | None = None,
        interference_meter: InterferenceMeter | None = None,
    ):
        self._state = state
        self._crashes = crashes
        self._speed_meter = speed_meter
        self._run_time_meter: RunTimeMeter | None = None
        if run_times is not None:
            self._run_time_meter = RunTimeMeter(run_times, speed_model)
        self._stragglers = StragglerDetector(state, speed_model, run_times)
        self._interference_meter = interference_meter
        self._failed_jobs_by_worker: dict[str, set[str]] = {}
        self._checked_s = 0.0
        self._pace_orders: list[PaceOrder] = []

    def check_progress(self, now_s: float) -> None:
        """Stop runs that are stuck or on a slow worker, every ``CHECK_INTERVAL_S``."""
        if now_s - self._checked_s > CHECK_INTERVAL_S:
            self._checked_s = now_s
            self.stop_stuck_runs(now_s)
            for worker, run in self._stragglers.runs_to_move(now_s):
                why = f"slow by {worker.slow_factor:.1f} at {run.percent:g} %"
                self._state.stop(run.run_id, worker, why)

    def pop_pace_orders(self) -> tuple[PaceOrder, ...]:
        """Return and clear the pace orders that reports have called for."""
        paces, self._pace_orders = self._pace_orders, []
        return tuple(paces)

    def process_report(
        self, worker_id: str, report: WorkerReport, sent_s: float, now_s: float
    ) -> CrashReport:
        """Apply a worker's report.

        :param sent_s: monotonic time at which the heartbeat was sent.
        :return: the tasks that are suspected or given up because of a crash that the
            report shows.
        """
        worker = self._state.worker_by_id.get(worker_id)
        if worker is None:
            return CrashReport()
        if report.born_ms:
            worker.info = evolve(worker.info, born_ms=report.born_ms)
        worker.is_reachable = True
        worker.last_report_s = worker.last_contact_s = now_s
        if worker.info.draining:
            self.evacuate(worker)
        changed_jobs = {}
        for end in report.ends:
            if end.number > worker.last_end_number:
                worker.last_end_number = end.number
                job = self._apply_end(worker, end, now_s)
                if job is not None:
                    changed_jobs[job.job_id] = job
        for job in changed_jobs.values():
            self._finish_if_done(job)
        self._apply_running(worker, report, now_s)
        return self._lose_missing_runs(worker, report, sent_s, now_s)

    def worker_restarted(
        self, worker_id: str, report: WorkerReport, sent_s: float, now_s: float
    ) -> CrashReport:
        """Record that a worker process has restarted.

        The runs of its former incarnation are lost. Runs that the report lists, as
        running or ended, or whose start was answered after ``sent_s`` belong to the new
        incarnation and are kept, and so are those that the report has no room for.
        A start without an answer may have reached the new one: that run is stopped.

        :param report: the first report of the new incarnation.
        :param sent_s: monotonic time at which the heartbeat for it was sent.
        :return: the tasks that are suspected or given up because of it.
        """
        worker = self._state.worker_by_id.get(worker_id)
        if worker is None:
            return CrashReport()
        worker.last_end_number = 0
        worker.info = evolve(worker.info, born_ms=report.born_ms)
        evidence = LaterIncarnation(now_s, report, sent_s)
        former = {
            run_id: run
            for run_id, run in worker.run_by_id.items()
            if run_id not in report.listed_runs
            and report.lists_all_ends
            and (run.answered_s is None or run.answered_s < sent_s)
        }
        crash = self._crashes.record_crash(worker, former.values(), True)
        for run_id, run in list(worker.run_by_id.items()):
            late_until_s = self._late_until_s(run, now_s)
            run.late_until_s = max(run.late_until_s, late_until_s)
            may_be_late = now_s < run.late_until_s and run_id not in report.listed_runs
            if run.answered_s is None or may_be_late:
                self._state.stop(run_id, worker, "ordered-before-new-life")
            else:
                self._state.lose_run(worker, run_id, evidence)
        self._crashes.give_up(crash)
        return crash

    def _late_until_s(self, run: Run, now_s: float) -> float:
        """Return until when a start of a run may still be carried out after a restart.

        Stops that this incarnation acknowledges do not bind the next one. A lasting
        task does not wait for that: it would be away for too long.
        """
        if run.answered_s is None:
            unanswered_s = now_s
        elif run.unanswered_s is not None:
            unanswered_s = run.unanswered_s
        else:
            return -math.inf
        job = self._state.job_by_id.get(run.run_id.task.job)
        if job is not None and job.step(run.run_id.task.step_id).lasting:
            return -math.inf
        return unanswered_s + MAX_ORDER_DELAY_S

    def evacuate(self, worker: Worker) -> None:
        """Stop the runs to be moved off a worker that will shut down.

        These are runs that can resume from a checkpoint and runs of lasting tasks; all
        others may finish.
        """
        for run_id in list(worker.run_by_id):
            job = self._state.job_by_id.get(run_id.task.job)
            if job is None or job.is_final:
                continue
            step = job.step(run_id.task.step_id)
            if step.lasting or step.checkpointed:
                self._state.stop(run_id, worker, "worker-leaves")

    def stop_stuck_runs(self, now_s: float) -> None:
        """Stop stuck runs.

        Their workers get no new runs for ``QUARANTINE_S``, so that the next run of the
        task starts elsewhere.
        """
        for worker in self._state.worker_by_id.values():
            for run_id, run in list(worker.run_by_id.items()):
                unchanged_s = worker.last_report_s - run.percent_changed_s
                if run.phase is RunPhase.ALIVE and self._is_stuck(run, unchanged_s):
                    worker.avoid_until_s = now_s + QUARANTINE_S
                    why = f"stuck at {run.percent:g} % for {unchanged_s:.1f} s"
                    self._state.stop(run_id, worker, why)

    def _is_stuck(self, run: Run, unchanged_s: float) -> bool:
        """Return whether a run has made no progress for too long.

        Fillers and lasting tasks are never stuck: their progress says nothing.

        :param unchanged_s: time from the last change of progress to the worker's last
            report. The time since that report does not count.
        """
        job = self._state.job_by_id.get(run.run_id.task.job)
        if job is None or job.is_final or run.is_filler:
            return False
        step = job.step(run.run_id.task.step_id)
        if step.lasting:
            return False
        if step.gang and self._waits_for_gang(run, job):
            return False
        limit_s = STUCK_BASE_S + STUCK_ESTIMATE_SHARE * step.estimate_ms / MS_PER_S
        return unchanged_s > limit_s

    def _waits_for_gang(self, run: Run, job: Job) -> bool:
        """Return whether a gang's run waits for the others to start or to end.

        The runs of a gang make no progress before all of them run, and end together.
        """
        if run.percent >= COMPLETE_PERCENT:
            return True
        task_id = run.run_id.task
        gang_runs = [
            self._state.run(worker_id, RunId(other, number))
            for other in job.task_ids(task_id.step_id)
            for number, worker_id in self._state.live_runs.get(other, {}).items()
        ]
        highest = max((item.percent for item in gang_runs if item), default=0)
        return not run.percent and highest < GANG_STARTED_PERCENT

    def _apply_end(self, worker: Worker, end: RunEnd, now_s: float) -> Job | None:
        """Apply the end of a run; return its job if the end has changed it."""
        run = self._state.remove_run(worker, end.run_id)
        job = self._state.job_by_id.get(end.run_id.task.job)
        if job is None:
            return None
        if not apply_run_end(job, end, worker.worker_id, now_s):
            return None
        self._state.changed.add(job.job_id)
        if job.task(end.run_id.task).state is TaskState.WAITING:
            evidence = ListedEnd(now_s, end.kind, end.number)
            self._state.record_ended_run(worker, end.run_id, evidence)
        self._update_failed_jobs(worker, job, end, now_s)
        if end.kind is EndKind.DONE and run is not None:
            self._speed_meter.run_done(worker, run, job, now_s)
            if self._run_time_meter is not None:
                self._run_time_meter.run_done(worker, run, job, now_s)
            if self._interference_meter is not None:
                self._interference_meter.run_done(worker, run, now_s)
        if end.kind is not EndKind.DONE:
            self._state.stop_gang(job, end.run_id.task)
        self._state.add_ready_steps(job, end.run_id.task.occurrence)
        return job

    def _finish_if_done(self, job: Job) -> None:
        """Remove the occurrences of a job that are done, and finish it after the last.

        It may also have failed.
        """
        remove_done_occurrences(job, self._state.unix_ms)
        if job.is_final:
            self._state.finish(job)

    def _update_failed_jobs(
        self, worker: Worker, job: Job, end: RunEnd, now_s: float
    ) -> None:
        """Record an end, and quarantine a worker on which several jobs failed.

        A job that fails on more than one worker counts against none of them.
        """
        failed = self._failed_jobs_by_worker.setdefault(worker.worker_id, set())
        if end.kind is EndKind.DONE:
            failed.clear()
        if end.kind is not EndKind.FAILED:
            return
        failed_workers = set().union(*job.failed_s_by_worker_by_task.values())
        if len(failed_workers) > 1:
            for worker_id in failed_workers:
                self._failed_jobs_by_worker.get(worker_id, set()).discard(job.job_id)
            return
        failed.add(job.job_id)
        if len(failed) >= QUARANTINE_FAILED_JOBS and self._may_quarantine_more(now_s):
            failed.clear()
            worker.avoid_until_s = now_s + QUARANTINE_S

    def _may_quarantine_more(self, now_s: float) -> bool:
        """Return whether at most half of the workers would be avoided with one more."""
        workers = [
            item for item in self._state.worker_by_id.values() if item.is_registered
        ]
        avoided = sum(1 for item in workers if item.avoid_until_s > now_s)
        return 2 * (avoided + 1) <= len(workers)

    def _apply_running(
        self, worker: Worker, report: WorkerReport, now_s: float
    ) -> None:
        """Update the runs that the report lists, and stop those that are unknown."""
        for status in report.running:
            run = worker.run_by_id.get(status.run_id)
            job = self._state.job_by_id.get(status.run_id.task.job)
            if run is None:
                self._stop_unknown_run(worker, job, status.run_id, now_s)
                continue
            if run.phase is RunPhase.ORDERED:
                started_s = now_s if run.answered_s is None else -math.inf
                worker.confirm_start(run, started_s, now_s)
            if status.percent != run.percent:
                run.percent = status.percent
                run.percent_changed_s = now_s
            run.metric_value = status.metric_value
            if job is not None:
                self._speed_meter.run_reported(worker, run, job, now_s)
            task = job.task(status.run_id.task) if job else None
            if task is not None and status.checkpoint:
                if task.checkpoint != status.checkpoint:
                    run.saved_s = now_s
                task.checkpoint = status.checkpoint
        if self._interference_meter is not None:
            self._interference_meter.report_applied(worker, now_s)
        self._pace_orders += pace_orders(worker, now_s)
        self._stragglers.update_slow_factor(worker, now_s)

    def _stop_unknown_run(
        self, worker: Worker, job: Job | None, run_id: RunId, now_s: float
    ) -> None:
        """Stop a run that the state does not hold; reserve its resources until it ends.

        If the job is unknown, so is the size: the whole worker is reserved.
        """
        known = job is not None and run_id.task.step < len(job.spec.steps)
        if known:
            self._state.add_run(job, run_id, worker, now_s)
        else:
            worker.add(Run(run_id, worker.worker_id, worker.info.capacity, now_s))
        self._state.stop(run_id, worker, "not-ours")

    def _await_ends(self, missing: list[Run]) -> None:
        """Record that runs are gone whose ends a later report will list."""
        for run in missing:
            if run.phase is not RunPhase.STOPPING:
                run.phase = RunPhase.ENDED

    def _lose_missing_runs(
        self,
        worker: Worker,
        report: WorkerReport,
        sent_s: float,
        now_s: float,
    ) -> CrashReport:
        """Treat runs as lost that the report should list but does not.

        If the report does not list all ends, they are kept until one does.

        If the worker has started a short while ago, those that a former owner placed
        there may have ended in a crash. They have if the worker is younger than they
        are.

        :param sent_s: monotonic time at which the heartbeat was sent. A run whose start
            was answered later may be missing without being lost.
        """
        evidence = AbsentFromReport(now_s, report, sent_s)
        missing = [run for run in worker.run_by_id.values() if evidence.is_missing(run)]
        if not report.lists_all_ends:
            self._await_ends(missing)
            return CrashReport()
        crash = CrashReport()
        if report.clock_ms < RECENT_START_S * MS_PER_S:
            inherited = [run for run in missing if run.answered_s == -math.inf]
            max_age_s = report.clock_ms / MS_PER_S / MIN_CLOCK_RATE
            is_certain = all(now_s - run.ordered_s > max_age_s for run in inherited)
            crash = self._crashes.record_crash(worker, inherited, is_certain)
        for run in missing:
            self._state.lose_run(worker, run.run_id, evidence)
        self._crashes.give_up(crash)
        return crash
