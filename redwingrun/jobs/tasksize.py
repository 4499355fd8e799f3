"""The resources that a task needs."""

from __future__ import annotations

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
