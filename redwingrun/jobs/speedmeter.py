"""Measures how fast runs make progress, for the model of workers' speeds."""

from __future__ import annotations

from attrs import define

from redwingrun.jobs.job import Job
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.workerpool import Run, Worker

MS_PER_S = 1000
COMPLETE_PERCENT = 100
# Progress is reported in whole percent, so a shorter way would be measured badly.
MIN_PROGRESS_PERCENT = 5
# The times of a start and of a report are known only to some tens of milliseconds.
MIN_TIME_S = 0.3


@define
class SpeedMeter:
    """Measures each run once, as soon as it has made enough progress.

    Runs must not be measured only when they have ended: the first to end are the short
    ones, and those of slow workers count last.

    :param model: learns from the measurements.
    """

    model: SpeedModel

    def run_reported(self, worker: Worker, run: Run, job: Job, now_s: float) -> None:
        """Measure a run with the progress in its worker's newest report."""
        if run.is_measured or not _is_measurable(run, job):
            return
        if run.measured_from_s is None:
            run.measured_from_s = now_s
            run.measured_from_percent = run.percent
            return
        if now_s - run.measured_from_s >= MIN_TIME_S:
            self._measure(worker, run, job, run.percent, now_s)

    def run_done(self, worker: Worker, run: Run, job: Job, now_s: float) -> None:
        """Measure a run that is done, unless it was measured before."""
        if not run.is_measured and _is_measurable(run, job):
            self._measure(worker, run, job, COMPLETE_PERCENT, now_s)

    def _measure(
        self, worker: Worker, run: Run, job: Job, percent: float, now_s: float
    ) -> None:
        progress = percent - run.measured_from_percent
        if run.measured_from_s is None or progress < MIN_PROGRESS_PERCENT:
            return
        run.is_measured = True
        step_id = run.run_id.task.step_id
        self.model.learn(
            step_id,
            job.queue.name,
            worker.worker_id,
            worker.info.kind,
            (now_s - run.measured_from_s) * COMPLETE_PERCENT / progress,
            job.step(step_id).estimate_ms / MS_PER_S,
        )


def _is_measurable(run: Run, job: Job) -> bool:
    """Return whether a run's progress tells the speed of its worker.

    A gang is as fast as its slowest task, lasting tasks have no end, and fillers get
    only the processor time that others leave.
    """
    step = job.step(run.run_id.task.step_id)
    return not (step.gang or step.lasting or step.filler)
