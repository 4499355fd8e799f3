"""Workers that have become slow, by the progress of what runs on them.

A single task may be long by itself, and the estimate of a whole step may be far off. So
a task is compared with those of its step on other workers, and the lower half of what
runs on a worker must lag. Then what can begin or resume elsewhere sooner than it would
end here is moved.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from redwingrun.jobs.candidates import is_usable
from redwingrun.jobs.job import Job
from redwingrun.jobs.placement import has_required_label, reserved_size
from redwingrun.jobs.slicestate import SliceState
from redwingrun.jobs.spec import StepId
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.workerpool import Run, RunPhase, Worker

MS_PER_S = 1000
COMPLETE_PERCENT = 100
# Progress says nothing before a run has worked for so long.
MIN_RUN_S = 0.5
# Progress is told in whole percent: no percent yet is at most this much.
MIN_PERCENT = 0.5
# One long task among two says nothing about the worker.
MIN_RUNS = 2
# So many tasks on other workers must tell how the same step fares there.
MIN_OTHER_RUNS = 3
# A worker that takes this many times as long as it should is slow.
SLOW_FACTOR = 3.0
# What a move costs: the stop, and the start elsewhere.
MOVE_OVERHEAD_S = 1.2
RESUME_OVERHEAD_S = 0.3
# Moved only if the time left here is this many times that elsewhere.
MIN_GAIN = 1.5


class StragglerDetector:
    """Judges workers by their reports, and names the runs to move.

    :param speeds: learned speeds; read only.
    """

    def __init__(self, state: SliceState, speed_model: SpeedModel):
        self._state = state
        self._speed_model = speed_model
        self._factors_by_step: dict[StepId, dict[str, list[float]]] = {}

    def update_slow_factor(self, worker: Worker, now_s: float) -> None:
        """Note how many times as long as it should a worker takes now."""
        factors_by_step: dict[StepId, list[float]] = {}
        for run in worker.run_by_id.values():
            factor = self._slowdown(worker, run, now_s)
            if factor is not None:
                step_id = run.run_id.task.step_id
                factors_by_step.setdefault(step_id, []).append(factor)
        lags: list[float] = []
        for step_id, factors in factors_by_step.items():
            elsewhere = self._record_factors(step_id, worker, factors)
            if elsewhere is not None:
                lags += [factor / elsewhere for factor in factors]
        if len(lags) < MIN_RUNS:
            return
        worker.slow_factor = max(1.0, statistics.median_low(lags))
        worker.slow_factor_updated_s = now_s

    def _record_factors(
        self, step_id: StepId, worker: Worker, factors: list[float]
    ) -> float | None:
        """Note how a step's tasks fare on a worker.

        :return: how they fare on the others, ``None`` if too few tell.
        """
        by_worker = self._factors_by_step.setdefault(step_id, {})
        by_worker[worker.worker_id] = factors
        others = [
            factor
            for name, told in by_worker.items()
            if name != worker.worker_id
            for factor in told
        ]
        if len(others) < MIN_OTHER_RUNS:
            return None
        return max(1.0, statistics.median_low(others))

    def _remove_final_jobs(self) -> None:
        """Drop what was noted of jobs that have ended."""
        for step_id in list(self._factors_by_step):
            job = self._state.job_by_id.get(step_id.job)
            if job is None or job.is_final:
                del self._factors_by_step[step_id]

    def runs_to_move(self, now_s: float) -> Iterable[tuple[Worker, Run]]:
        """Return the runs on slow workers that would end sooner elsewhere."""
        self._remove_final_jobs()
        for worker in self._state.worker_by_id.values():
            if worker.slowdown(now_s) < SLOW_FACTOR:
                continue
            for run in list(worker.run_by_id.values()):
                if self._is_worth_moving(worker, run, now_s):
                    self._state.job_by_id[run.run_id.task.job].moved_tasks.add(
                        run.run_id.task
                    )
                    yield worker, run

    def _job(self, run: Run) -> Job | None:
        """Return the job of a run whose progress can be judged."""
        job = self._state.job_by_id.get(run.run_id.task.job)
        if job is None or job.is_final or run.phase is not RunPhase.ALIVE:
            return None
        step = job.step(run.run_id.task.step_id)
        if step.lasting or step.gang or step.filler or not step.estimate_ms:
            return None
        return job

    def _expected_s(self, job: Job, run: Run) -> float:
        """Return how long a task of this step takes on an average worker."""
        step = job.step(run.run_id.task.step_id)
        return (
            step.estimate_ms
            / MS_PER_S
            * self._speed_model.estimate_bias(job.queue.name)
        )

    def _projected_s(self, run: Run, now_s: float) -> float | None:
        """Return how long a run will have taken, by its progress so far."""
        if run.answered_s is None or now_s - run.answered_s < MIN_RUN_S:
            return None
        percent = max(MIN_PERCENT, run.percent)
        return (now_s - run.answered_s) * COMPLETE_PERCENT / percent

    def _slowdown(self, worker: Worker, run: Run, now_s: float) -> float | None:
        job = self._job(run)
        projected_s = self._projected_s(run, now_s)
        if job is None or projected_s is None:
            return None
        info = worker.info
        slowness = self._speed_model.slowness(info.worker_id, info.kind)
        return projected_s / (self._expected_s(job, run) * slowness)

    def _is_worth_moving(self, worker: Worker, run: Run, now_s: float) -> bool:
        job = self._job(run)
        projected_s = self._projected_s(run, now_s)
        if job is None or projected_s is None or run.run_id.task in job.moved_tasks:
            return False
        left_s = projected_s - (now_s - run.answered_s)
        elsewhere_s = self._expected_s(job, run)
        if job.step(run.run_id.task.step_id).checkpointed:
            elsewhere_s = left_s / worker.slow_factor + RESUME_OVERHEAD_S
        if left_s < MIN_GAIN * elsewhere_s + MOVE_OVERHEAD_S:
            return False
        return self._has_room_elsewhere(job, run, now_s)

    def _has_room_elsewhere(self, job: Job, run: Run, now_s: float) -> bool:
        step_id = run.run_id.task.step_id
        step = job.step(step_id)
        size = reserved_size(step)
        policy_cache = self._state.policy_cache_by_step.get(step_id)
        return any(
            worker.is_registered
            and worker.info.pool == job.queue.pool
            and is_usable(worker, now_s)
            and has_required_label(step, worker)
            and worker.slowdown(now_s) < SLOW_FACTOR
            and worker.fits(size)
            and (policy_cache is None or policy_cache.may_allow(worker.worker_id))
            for worker in self._state.worker_by_id.values()
        )
