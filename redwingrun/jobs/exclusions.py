"""Excludes workers from running a task that has failed there."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence

from redwingrun.jobs.job import Job
from redwingrun.jobs.spec import StepId, TaskId
from redwingrun.jobs.tasksize import TaskSize, tasks_that_fit
from redwingrun.jobs.workerpool import Worker

# A failed task waits for another worker for at most this time: one that could hold it
# may never have room, and a job must not stand still for it.
EXCLUSION_S = 1.5


def excluded_by_index(
    job: Job,
    step_id: StepId,
    waiting: Sequence[int],
    candidates: Collection[Worker],
    now_s: float,
) -> dict[int, frozenset[str]]:
    """Return the ids of the workers excluded for each waiting task, by task index.

    A worker on which every run fails always has free capacity, so a failed task waits
    for another worker instead, for ``EXCLUSION_S`` at most. The workers on which it
    failed are not excluded if no other candidate could run it even when empty.

    :param candidates: all workers that may run the step, busy or not.
    """
    if not job.failed_s_by_worker_by_task:
        return {}
    if job.step(step_id).gang:
        return _excluded_for_gang(job, step_id, waiting, candidates, now_s)
    excluded = {}
    for index in waiting:
        failed = _failed_recently(job, step_id.task(index), now_s)
        if failed and _capacity_elsewhere(job, step_id, failed, candidates):
            excluded[index] = frozenset(failed)
    return excluded


def _excluded_for_gang(
    job: Job,
    step_id: StepId,
    waiting: Sequence[int],
    candidates: Collection[Worker],
    now_s: float,
) -> dict[int, frozenset[str]]:
    """Exclude the workers on which any task of the gang failed, for all its tasks.

    None is excluded if the other candidates, when empty, can't hold all waiting tasks.
    """
    failed: set[str] = set()
    for task_id in job.task_ids(step_id):
        failed |= _failed_recently(job, task_id, now_s)
    if _capacity_elsewhere(job, step_id, failed, candidates) < len(waiting):
        return {}
    return dict.fromkeys(waiting, frozenset(failed))


def _failed_recently(job: Job, task_id: TaskId, now_s: float) -> set[str]:
    """Return the workers where a task has failed, empty ``EXCLUSION_S`` after the last.

    All of them count until then: two workers on which it fails would else take turns.
    """
    failed_s_by_worker = job.failed_s_by_worker_by_task.get(task_id, {})
    if now_s - max(failed_s_by_worker.values(), default=-math.inf) >= EXCLUSION_S:
        return set()
    return set(failed_s_by_worker)


def _capacity_elsewhere(
    job: Job, step_id: StepId, failed: set[str], candidates: Collection[Worker]
) -> int:
    """Return how many tasks of the step fit on the other workers when empty."""
    step = job.step(step_id)
    return sum(
        _max_tasks(worker, step.size, step.max_per_worker)
        for worker in candidates
        if worker.worker_id not in failed
    )


def _max_tasks(worker: Worker, size: TaskSize, limit: int) -> int:
    """Return how many tasks fit on the worker when it is empty.

    :param limit: maximum number of the step's tasks on one worker; 0 for no limit.
    """
    tasks = min(limit or math.inf, tasks_that_fit(worker.info.capacity, size))
    return int(tasks) if math.isfinite(tasks) else 1
