"""Which workers a task is kept off because it has failed there."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from redwingrun.jobs.job import Job
from redwingrun.jobs.spec import StepId, TaskSize
from redwingrun.jobs.workerpool import Worker


def excluded_by_index(
    job: Job,
    step_id: StepId,
    waiting: Sequence[int],
    candidates: Collection[Worker],
) -> dict[int, frozenset[str]]:
    """Return by task the workers that it should not be tried on again.

    A worker on which everything fails always has room, so a failed task waits for
    room elsewhere. It goes back only when it could never fit elsewhere.

    :param candidates: the workers that may run the step, with room or without.
    """
    if not job.failed_workers_by_task:
        return {}
    if job.step(step_id).gang:
        return _excluded_for_gang(job, step_id, waiting, candidates)
    excluded = {}
    for index in waiting:
        failed = job.failed_workers_by_task.get(step_id.task(index))
        if failed and _capacity_elsewhere(job, step_id, failed, candidates):
            excluded[index] = frozenset(failed)
    return excluded


def _excluded_for_gang(
    job: Job,
    step_id: StepId,
    waiting: Sequence[int],
    candidates: Collection[Worker],
) -> dict[int, frozenset[str]]:
    """Keep every member off the workers on which any of them failed."""
    failed: set[str] = set()
    for task_id in job.task_ids(step_id):
        failed |= job.failed_workers_by_task.get(task_id, set())
    if _capacity_elsewhere(job, step_id, failed, candidates) < len(waiting):
        return {}
    return dict.fromkeys(waiting, frozenset(failed))


def _capacity_elsewhere(
    job: Job, step_id: StepId, failed: set[str], candidates: Collection[Worker]
) -> int:
    """Count the step's tasks that the other workers hold when they are empty."""
    step = job.step(step_id)
    return sum(
        _max_tasks(worker, step.size, step.max_per_worker)
        for worker in candidates
        if worker.worker_id not in failed
    )


def _max_tasks(worker: Worker, size: TaskSize, limit: int) -> int:
    """Count the tasks that an empty worker holds.

    :param limit: most tasks of the step on a worker; 0 for no limit.
    """
    capacity = worker.info.capacity
    counts = [limit] if limit else []
    if size.cpu_milli:
        counts.append(capacity.cpu_milli // size.cpu_milli)
    if size.memory_mb:
        counts.append(capacity.memory_mb // size.memory_mb)
    if size.gpus:
        counts.append(capacity.gpus // size.gpus)
    return min(counts, default=1)
