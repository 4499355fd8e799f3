"""Queued tasks of one team and priority, grouped by shape."""

from __future__ import annotations

from collections import deque

from attrs import define, field

from redwingrun.tasks import QUEUED, Task

Shape = tuple[object, ...]


@define
class TeamQueue:
    """One team's queued tasks of one priority, in order of submission.

    Tasks of the same shape are interchangeable for placement: when the first does
    not fit, the others don't either. So a placement decision examines one task of
    each shape, and there are few shapes.
    """

    _tasks_by_shape: dict[Shape, deque[Task]] = field(factory=dict)

    def add(self, task: Task) -> None:
        """Add a task; one that was queued before regains its position."""
        tasks = self._tasks_by_shape.setdefault(shape_of(task), deque())
        if tasks and tasks[-1].row.order > task.row.order:
            tasks.append(task)
            ordered = sorted(tasks, key=lambda item: item.row.order)
            tasks.clear()
            tasks.extend(ordered)
        else:
            tasks.append(task)

    def heads(self, excluded: set[Shape]) -> list[tuple[int, Shape]]:
        """Return submission order and shape of each shape's first task, sorted.

        :param excluded: shapes to leave out.
        """
        heads = []
        for shape, tasks in list(self._tasks_by_shape.items()):
            while tasks and tasks[0].state != QUEUED:
                # Cancelled while queued: dropped here, so that placement does not
                # examine it.
                tasks.popleft()
            if not tasks:
                del self._tasks_by_shape[shape]
            elif shape not in excluded:
                heads.append((tasks[0].row.order, shape))
        heads.sort(key=lambda item: item[0])
        return heads

    def head(self, shape: Shape) -> Task:
        """Return the first task of a shape."""
        return self._tasks_by_shape[shape][0]

    def pop(self, shape: Shape) -> None:
        """Remove the first task of a shape."""
        self._tasks_by_shape[shape].popleft()

    def queued_tasks(self) -> list[Task]:
        """Return all tasks that are still queued."""
        tasks = [task for tasks in self._tasks_by_shape.values() for task in tasks]
        return [task for task in tasks if task.state == QUEUED]


def shape_of(task: Task) -> Shape:
    """Return the properties that decide where a task fits and whose quota it uses."""
    row = task.row
    size = (row.cores, row.memory_gb, row.accelerators)
    return (
        *size,
        row.count,
        row.team,
        row.workload,
        row.run_s,
        *sorted(task.excluded_workers),
    )
