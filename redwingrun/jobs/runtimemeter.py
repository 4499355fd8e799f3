"""Measures the run times of tasks that are done, for the model of run times."""

from __future__ import annotations

import math

from attrs import define

from redwingrun.jobs.job import Job
from redwingrun.jobs.runtimemodel import RunTimeModel
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.workerpool import Run, Worker

MS_PER_S = 1000


@define
class RunTimeMeter:
    """Measures whole runs near their data.

    :param model: learns from the measurements.
    :param speed_model: speeds of the workers; read only.
    """

    model: RunTimeModel
    speed_model: SpeedModel

    def run_done(self, worker: Worker, run: Run, job: Job, now_s: float) -> None:
        """Measure a run that is done, unless it tells nothing about a whole run."""
        step = job.step(run.run_id.task.step_id)
        is_far = bool(step.data_rack) and step.data_rack != worker.info.rack
        if is_far or run.is_resumed or not _is_start_known(run):
            return
        slowness = self.speed_model.slowness(worker.worker_id, worker.info.kind)
        run_ms = (now_s - run.started_s) * MS_PER_S / slowness
        self.model.learn(job.queue.name, step, run_ms)


def _is_start_known(run: Run) -> bool:
    """Return whether a run's start was answered, and not only seen in a report."""
    return (
        run.started_s is not None
        and math.isfinite(run.started_s)
        and run.unanswered_s is None
    )
