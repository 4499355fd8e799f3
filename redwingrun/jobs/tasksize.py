"""The resources that a task needs."""

from __future__ import annotations

import math
from collections.abc import Collection

from attrs import frozen


@frozen
class TaskSize:
    """The resources that one task needs.

    :param cpu_milli: thousandths of a core.
    :param memory_mb: megabytes of memory.
    :param gpus: number of accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0


def sum_sizes(sizes: Collection[TaskSize]) -> TaskSize:
    """Return the sum of some sizes, by resource."""
    return TaskSize(
        sum(size.cpu_milli for size in sizes),
        sum(size.memory_mb for size in sizes),
        sum(size.gpus for size in sizes),
    )


def tasks_that_fit(room: TaskSize, size: TaskSize) -> float:
    """Return how many tasks of a size fit into some room, infinite for an empty size.

    Negative if more is in use than there is, so that the room is negative.
    """
    return min(
        room.cpu_milli // size.cpu_milli if size.cpu_milli else math.inf,
        room.memory_mb // size.memory_mb if size.memory_mb else math.inf,
        room.gpus // size.gpus if size.gpus else math.inf,
    )
