"""Queued tasks of one team and priority, by shape."""

from __future__ import annotations

from collections import deque

from attrs import define, field

from redwingrun.tasks import QUEUED, Task

Shape = tuple[object, ...]


@define
class Lane:
    """One team's queued tasks of one priority, in order, by shape.

    Tasks of one shape fit or do not fit together, so a decision looks at shapes,
    of which there are few, and not at tasks.
    """

    _by_shape: dict[Shape, deque[Task]] = field(factory=dict)

    def add(self, task: Task) -> None:
        """Add a task; one that was queued before comes back to its place."""
        tasks = self._by_shape.setdefault(shape_of(task), deque())
        if tasks and tasks[-1].row.order > task.row.order:
            tasks.append(task)
            ordered = sorted(tasks, key=lambda item: item.row.order)
            tasks.clear()
            tasks.extend(ordered)
        else:
            tasks.append(task)

    def heads(self, without: set[Shape]) -> list[tuple[int, Shape]]:
        """Return order and shape of the first task of each shape, first come first."""
        found = []
        for shape, tasks in list(self._by_shape.items()):
            while tasks and tasks[0].state != QUEUED:
                # Cancelled while it waited: it costs no placement time.
                tasks.popleft()
            if not tasks:
                del self._by_shape[shape]
            elif shape not in without:
                found.append((tasks[0].row.order, shape))
        found.sort(key=lambda item: item[0])
        return found

    def head(self, shape: Shape) -> Task:
        """Return the first task of a shape."""
        return self._by_shape[shape][0]

    def take(self, shape: Shape) -> None:
        """Remove the first task of a shape."""
        self._by_shape[shape].popleft()

    def tasks(self) -> list[Task]:
        """Return all that wait."""
        found = [task for tasks in self._by_shape.values() for task in tasks]
        return [task for task in found if task.state == QUEUED]


def shape_of(task: Task) -> Shape:
    """Return what decides where a task fits and what it counts against."""
    row = task.row
    size = (row.cores, row.memory_gb, row.accelerators)
    return (*size, row.count, row.team, row.workload, row.run_s, *sorted(task.avoid))
