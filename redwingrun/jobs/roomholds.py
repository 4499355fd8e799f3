"""Holds workers for waiting tasks that need a large part of one.

Small tasks take the room of a worker as soon as some of it is free, so that a task that
needs most of a worker could wait for as long as there are small ones.
"""

from __future__ import annotations

from collections.abc import Mapping

from redwingrun.jobs.placement import StepView, may_run, reserved_size
from redwingrun.jobs.slicestate import ReadyStep
from redwingrun.jobs.spec import TaskSize
from redwingrun.jobs.workerpool import Worker

# Of tasks that need a smaller part of a worker, some soon find room without a hold.
LARGE_SHARE = 0.5
# Workers are held for a step that has found no room for this time.
HOLD_AFTER_S = 1.0
# A hold is renewed by each plan, and lasts longer than a query to the policy.
ROOM_HOLD_S = 1.5
# At most this share of the workers is held, but always one.
MAX_HELD_SHARE = 0.25


def needs_large_part(size: TaskSize, largest: TaskSize) -> bool:
    """Return whether a task needs a large part of the largest worker."""
    return (
        size.cpu_milli >= LARGE_SHARE * max(1, largest.cpu_milli)
        or size.memory_mb >= LARGE_SHARE * max(1, largest.memory_mb)
        or size.gpus >= LARGE_SHARE * max(1, largest.gpus)
    )


def hold_room(
    ready_step: ReadyStep,
    view: StepView,
    workers: Mapping[str, Worker],
    tasks: int,
    now_s: float,
) -> None:
    """Hold workers for a step that has found no room for some time.

    Held are those that the policy is known to allow, then those with the most free
    room; more urgent jobs may still start tasks there.

    :param workers: the workers that may be given new runs, by id.
    :param tasks: number of waiting tasks.
    """
    if not view.is_large:
        return
    size = reserved_size(view.step)
    suitable = [
        worker
        for worker in workers.values()
        if worker.can_hold(size) and may_run(view.step, view.policy_cache, worker)
    ]
    if any(worker.fits(size) for worker in suitable):
        ready_step.no_room_since_s = None
        return
    if ready_step.no_room_since_s is None:
        ready_step.no_room_since_s = now_s
    if now_s - ready_step.no_room_since_s < HOLD_AFTER_S:
        return
    job_id = view.step_id.job
    held_by_others = sum(
        worker.is_room_held(now_s) and worker.room_held_by_job != job_id
        for worker in workers.values()
    )
    count = max(1, int(MAX_HELD_SHARE * len(workers))) - held_by_others
    allowed = view.policy_cache.allowed if view.policy_cache else ()
    free = [
        worker
        for worker in suitable
        if not worker.is_room_held(now_s) or worker.room_held_by_job == job_id
    ]
    free.sort(
        key=lambda worker: (
            worker.room_held_by_job != job_id,
            worker.worker_id not in allowed,
            -worker.free_share,
        )
    )
    for worker in free[: max(0, min(count, tasks))]:
        worker.hold_room(job_id, view.priority, now_s + ROOM_HOLD_S)
