"""Estimates how long a run will still take, from its progress and its estimate."""

from __future__ import annotations

import math

from redwingrun.jobs.job import Job
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.workerpool import Run, Worker

MS_PER_S = 1000
COMPLETE_PERCENT = 100
# Progress is reported in whole percent: a rate from less progress is too inaccurate.
MIN_PROGRESS_PERCENT = 5


def remaining_s(
    run: Run, job: Job, worker: Worker, speed_model: SpeedModel, now_s: float
) -> float:
    """Return the seconds until a run probably ends; infinite if nothing is known.

    The measured rate of progress is preferred to the client's estimate, which may be
    wrong by a factor.
    """
    if job.step(run.run_id.task.step_id).lasting:
        return math.inf
    if run.percent >= COMPLETE_PERCENT:
        return 0.0
    progress = run.percent - run.measured_from_percent
    if run.measured_from_s is not None and progress >= MIN_PROGRESS_PERCENT:
        percent_s = (run.percent_changed_s - run.measured_from_s) / progress
        left_s = (COMPLETE_PERCENT - run.percent) * percent_s
        return max(0.0, left_s - (now_s - run.percent_changed_s))
    return _by_estimate_s(run, job, worker, speed_model, now_s)


def _by_estimate_s(
    run: Run, job: Job, worker: Worker, speed_model: SpeedModel, now_s: float
) -> float:
    """Return the remaining time by the estimate; infinite once it has passed."""
    step = job.step(run.run_id.task.step_id)
    whole_s = step.estimate_ms / MS_PER_S * speed_model.estimate_bias(job.queue.name)
    whole_s *= speed_model.slowness(worker.worker_id, worker.info.kind)
    left_s = whole_s * (1 - run.percent / COMPLETE_PERCENT)
    left_s -= now_s - run.percent_changed_s
    return left_s if left_s > 0 else math.inf
