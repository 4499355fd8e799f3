"""Admission of new tasks.

Refuses tasks that could never start, and all tasks in a full pool.
"""

from __future__ import annotations

import base64

from redwingrun.coordination.verdict import Failure, not_run
from redwingrun.objects import (
    SERVICE,
    ObjectSet,
    Policy,
    Resources,
    Workload,
    never_fits_reason,
)
from redwingrun.peer_pb2 import SubmitTask
from redwingrun.tasks import TaskRow

MAX_TASKS_PER_POOL = 50_000


def check_admission(
    objects: ObjectSet, message: SubmitTask, workload: Workload, task_count: int
) -> Failure | None:
    """Return why a new task is refused, ``None`` when it is admitted.

    :param task_count: number of the pool's tasks, with the ended ones that are kept.
    """
    reason = never_fits_reason(workload, objects.pools[workload.pool])
    if reason:
        return not_run("never-fits", reason)
    total_size = Resources().plus(workload.task_resources, workload.count)
    for name in objects.team_and_ancestors(message.team):
        excess = total_size.excess(objects.teams[name].quota_resources)
        if excess:
            return not_run(
                "over-quota", f"can never start: quota of team {name}: {excess}"
            )
    if task_count >= MAX_TASKS_PER_POOL:
        return not_run(
            "queue-full",
            f"pool {workload.pool} has its maximum of {MAX_TASKS_PER_POOL} tasks",
        )
    return None


def new_row(
    message: SubmitTask, workload: Workload, policy: Policy, order: int
) -> TaskRow:
    """Return the row of a new task.

    :param order: sequence number of the submission in the pool.
    """
    size = workload.task_resources
    return TaskRow(
        task_id=message.task_id,
        pool=workload.pool,
        workload=workload.name,
        team=message.team,
        digest=message.digest,
        order=order,
        run_s=message.run_s,
        cores=size.cores,
        memory_gb=size.memory_gb,
        accelerators=size.accelerators,
        count=workload.count,
        urgent=message.urgent,
        restartable=policy.restart == "checkpoint",
        service=workload.kind == SERVICE,
        body=base64.b64encode(message.body).decode(),
    )
