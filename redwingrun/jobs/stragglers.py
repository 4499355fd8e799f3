"""Detects slow workers by the progress of their runs, and selects runs to move.

A single task may take long by itself, and the estimate of a whole step may be far off.
So runs are compared with runs of the same step on other workers, and a worker is slow
only if the median of its runs lags behind. A run is then moved if it would end sooner
after a restart or a resumption on another worker.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from redwingrun.jobs.candidates import is_usable
from redwingrun.jobs.job import Job
from redwingrun.jobs.placement import has_required_label, reserved_size
from redwingrun.jobs.runtimemodel import RunTimeModel
from redwingrun.jobs.slicestate import SliceState
from redwingrun.jobs.spec import StepId
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.workerpool import Run, RunPhase, Worker

MS_PER_S = 1000
COMPLETE_PERCENT = 100
# The progress of a younger run is not used.
MIN_RUN_S = 0.5
# Progress is reported in whole percent: a reported 0 is at most this much.
MIN_PERCENT = 0.5
# The lower median of two runs is the faster one, so one long task does not count.
MIN_RUNS = 2
# Number of runs on other workers needed for a comparison within a step.
MIN_OTHER_RUNS = 3
# A worker is slow if its runs take this many times as long as expected.
SLOW_FACTOR_THRESHOLD = 3.0
# Time lost by a move for the stop and the new start, and for loading a checkpoint.
MOVE_OVERHEAD_S = 1.2
RESUME_OVERHEAD_S = 0.3
# Apart from that loss, a move must shorten the remaining time by this factor.
MIN_GAIN = 1.5


class StragglerDetector:
    """Computes workers' slow factors and selects the runs to move.

    :param speed_model: read only.
    :param run_times: learned run times, read only; ``None`` if clients' estimates are
        used.
    """

    def __init__(
        self,
        state: SliceState,
        speed_model: SpeedModel,
        run_times: RunTimeModel | None = None,
    ):
        self._state = state
        self._speed_model = speed_model
        self._run_times = run_times
        # The factors of the runs of each step, by worker.
        self._factors_by_step: dict[StepId, dict[str, list[float]]] = {}

    def update_slow_factor(self, worker: Worker, now_s: float) -> None:
        """Compute a worker's slow factor from the progress of its runs.

        It stays unchanged if there is too little to compare.
        """
        factors_by_step: dict[StepId, list[float]] = {}
        for run in worker.run_by_id.values():
            factor = self._run_factor(worker, run, now_s)
            if factor is not None:
                step_id = run.run_id.task.step_id
                factors_by_step.setdefault(step_id, []).append(factor)
        relative_factors: list[float] = []
        for step_id, factors in factors_by_step.items():
            others_factor = self._record_factors(step_id, worker, factors)
            if others_factor is not None:
                relative_factors += [factor / others_factor for factor in factors]
        if len(relative_factors) < MIN_RUNS:
            return
        worker.slow_factor = max(1.0, statistics.median_low(relative_factors))
        worker.slow_factor_updated_s = now_s

    def _record_factors(
        self, step_id: StepId, worker: Worker, factors: list[float]
    ) -> float | None:
        """Record the factors of a step's runs on a worker.

        :param factors: ratio of projected to expected run time, for each run.
        :return: median factor on the other workers, at least 1; ``None`` if there are
            too few runs.
        """
        by_worker = self._factors_by_step.setdefault(step_id, {})
        by_worker[worker.worker_id] = factors
        others = [
            factor
            for worker_id, reported in by_worker.items()
            if worker_id != worker.worker_id
            for factor in reported
        ]
        if len(others) < MIN_OTHER_RUNS:
            return None
        return max(1.0, statistics.median_low(others))

    def _remove_final_jobs(self) -> None:
        """Remove the recorded factors of jobs that have ended."""
        for step_id in list(self._factors_by_step):
            job = self._state.job_by_id.get(step_id.job)
            if job is None or job.is_final:
                del self._factors_by_step[step_id]

    def runs_to_move(self, now_s: float) -> Iterable[tuple[Worker, Run]]:
        """Yield the runs on slow workers that would end sooner elsewhere.

        Each is recorded as moved.
        """
        self._remove_final_jobs()
        for worker in self._state.worker_by_id.values():
            if worker.recent_slow_factor(now_s) < SLOW_FACTOR_THRESHOLD:
                continue
            for run in list(worker.run_by_id.values()):
                if self._is_worth_moving(worker, run, now_s):
                    self._state.job_by_id[run.run_id.task.job].moved_tasks.add(
                        run.run_id.task
                    )
                    yield worker, run

    def _comparable_job(self, run: Run) -> Job | None:
        """Return the job of a run; ``None`` if its progress can't be compared."""
        job = self._state.job_by_id.get(run.run_id.task.job)
        if job is None or job.is_final or run.phase is not RunPhase.ALIVE:
            return None
        step = job.step(run.run_id.task.step_id)
        if step.lasting or step.gang or step.filler or not step.estimate_ms:
            return None
        return job

    def _expected_s(self, job: Job, run: Run) -> float:
        """Return the expected run time of the task on an average worker."""
        step = job.step(run.run_id.task.step_id)
        queue = job.queue.name
        if self._run_times is not None and self._run_times.has_learned(queue, step):
            return self._run_times.expected_ms(queue, step) / MS_PER_S
        return step.estimate_ms / MS_PER_S * self._speed_model.estimate_bias(queue)

    def _projected_s(self, run: Run, now_s: float) -> float | None:
        """Return the total run time extrapolated from a run's progress.

        :return: ``None`` if the run is too young.
        """
        if run.answered_s is None or now_s - run.answered_s < MIN_RUN_S:
            return None
        percent = max(MIN_PERCENT, run.percent)
        return (now_s - run.answered_s) * COMPLETE_PERCENT / percent

    def _run_factor(self, worker: Worker, run: Run, now_s: float) -> float | None:
        """Return a run's time as a multiple of the expected; ``None`` if unknown."""
        job = self._comparable_job(run)
        projected_s = self._projected_s(run, now_s)
        if job is None or projected_s is None:
            return None
        info = worker.info
        slowness = self._speed_model.slowness(info.worker_id, info.kind)
        return projected_s / (self._expected_s(job, run) * slowness)

    def _is_worth_moving(self, worker: Worker, run: Run, now_s: float) -> bool:
        """Return whether a run would end clearly sooner on another worker."""
        job = self._comparable_job(run)
        projected_s = self._projected_s(run, now_s)
        if job is None or projected_s is None or run.run_id.task in job.moved_tasks:
            return False
        remaining_s = projected_s - (now_s - run.answered_s)
        elsewhere_s = self._expected_s(job, run)
        if job.step(run.run_id.task.step_id).checkpointed:
            elsewhere_s = remaining_s / worker.slow_factor + RESUME_OVERHEAD_S
        if remaining_s < MIN_GAIN * elsewhere_s + MOVE_OVERHEAD_S:
            return False
        return self._fits_elsewhere(job, run, now_s)

    def _fits_elsewhere(self, job: Job, run: Run, now_s: float) -> bool:
        """Return whether a worker that is not slow could take the task now."""
        step_id = run.run_id.task.step_id
        step = job.step(step_id)
        size = reserved_size(step)
        policy_cache = self._state.policy_cache_by_step.get(step_id)
        return any(
            worker.is_registered
            and worker.info.pool == job.queue.pool
            and is_usable(worker, now_s)
            and has_required_label(step, worker)
            and worker.recent_slow_factor(now_s) < SLOW_FACTOR_THRESHOLD
            and worker.fits(size)
            and (policy_cache is None or policy_cache.may_allow(worker.worker_id))
            for worker in self._state.worker_by_id.values()
        )
