"""Starts of suspected tasks on workers where no other job's task starts meanwhile."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from redwingrun.jobs.job import Job
from redwingrun.jobs.spec import TaskId
from redwingrun.jobs.workerpool import SUSPECT_AGE_S, Worker

# A worker is held for a start until it has been answered, but not longer than this.
START_HOLD_S = 3.0
# A task under which several workers crashed has its worker for itself for this long.
ISOLATION_S = 5.0
# A worker on which other tasks have just started is held until none of them is young.
QUIET_HOLD_S = SUSPECT_AGE_S + 0.3
# At most this share of the workers is held, unless a gang needs more.
MAX_HELD_SHARE = 0.25
# A suspected task that no worker could be held for starts like any other after this.
MAX_WAIT_S = 2.0


def quiet_workers(
    job_id: str, workers: Mapping[str, Worker], now_s: float
) -> dict[str, Worker]:
    """Return the workers on which a job's suspected task may start now, by id."""
    return {
        worker_id: worker
        for worker_id, worker in workers.items()
        if not worker.is_held_from(job_id, now_s) and _is_quiet(worker, job_id, now_s)
    }


def hold_for_start(worker: Worker, job_id: str, now_s: float) -> None:
    """Let no other job start a task on a worker until a start is answered."""
    _hold(worker, job_id, now_s + START_HOLD_S)


def start_answered(worker: Worker, job: Job, task_id: TaskId, now_s: float) -> None:
    """Set how long a worker is still held once a start there has been answered."""
    task = job.task(task_id)
    if task is None or worker.held_by_job != job.job_id or now_s >= worker.held_until_s:
        return
    hold_s = ISOLATION_S if task.is_isolated else SUSPECT_AGE_S
    worker.held_until_s = now_s + hold_s


def hold_until_quiet(
    job_id: str,
    count: int,
    workers: Iterable[Worker],
    now_s: float,
    is_gang: bool,
) -> None:
    """Hold workers for a job's suspected tasks, those with the fewest runs first.

    :param count: number of workers to hold, those that the job holds included.
    :param workers: the workers that have room for one of the tasks.
    """
    usable = list(workers)
    held = [worker for worker in usable if now_s < worker.held_until_s]
    count -= sum(worker.held_by_job == job_id for worker in held)
    if not is_gang:
        count = min(count, max(1, int(MAX_HELD_SHARE * len(usable))) - len(held))
    free = [worker for worker in usable if now_s >= worker.held_until_s]
    free.sort(key=lambda worker: len(worker.run_by_id))
    for worker in free[: max(0, count)]:
        _hold(worker, job_id, now_s + QUIET_HOLD_S)


def _hold(worker: Worker, job_id: str, until_s: float) -> None:
    worker.held_by_job = job_id
    worker.held_until_s = until_s


def _is_quiet(worker: Worker, job_id: str, now_s: float) -> bool:
    """Return whether no run of another job has just started or may be starting."""
    return all(
        run.run_id.task.job == job_id
        or (run.started_s is not None and now_s - run.started_s > SUSPECT_AGE_S)
        for run in worker.run_by_id.values()
    )
