"""The workers that may be given new runs, for the duration of one plan."""

from __future__ import annotations

from collections.abc import Mapping

from redwingrun.jobs.tasksize import TaskSize, sum_sizes
from redwingrun.jobs.workerpool import Worker

# A worker whose last report is older gets no new runs.
MAX_REPORT_AGE_S = 2.2


class Candidates:
    """The usable workers by pool, computed on first use and kept for the whole plan.

    :param workers: all workers of the slice, by id.
    """

    def __init__(self, workers: Mapping[str, Worker], now_s: float):
        self._workers = workers
        self._now_s = now_s
        self._by_pool: dict[str, dict[str, Worker]] | None = None
        self._largest_by_pool: dict[str, TaskSize] = {}
        self._total_by_pool: dict[str, TaskSize] = {}
        self._sizes_without_room_by_pool: dict[str, list[TaskSize]] = {}

    def in_pool(self, pool: str) -> Mapping[str, Worker]:
        """Return the usable workers of a pool, by id."""
        if self._by_pool is None:
            self._by_pool = self._group_by_pool()
        return self._by_pool.get(pool, {})

    def largest_capacity(self, pool: str) -> TaskSize:
        """Return the largest capacity of a usable worker of a pool, by resource."""
        if pool not in self._largest_by_pool:
            capacities = [
                worker.info.capacity for worker in self.in_pool(pool).values()
            ]
            self._largest_by_pool[pool] = TaskSize(
                max((item.cpu_milli for item in capacities), default=0),
                max((item.memory_mb for item in capacities), default=0),
                max((item.gpus for item in capacities), default=0),
            )
        return self._largest_by_pool[pool]

    def total_capacity(self, pool: str) -> TaskSize:
        """Return the capacity of all usable workers of a pool, by resource."""
        if pool not in self._total_by_pool:
            workers = self.in_pool(pool).values()
            self._total_by_pool[pool] = sum_sizes(
                [worker.info.capacity for worker in workers]
            )
        return self._total_by_pool[pool]

    def has_room(self, pool: str, size: TaskSize) -> bool:
        """Return whether a usable worker of a pool has room for a task now.

        Room only becomes less during a plan, so sizes without room are remembered.
        """
        without_room = self._sizes_without_room_by_pool.setdefault(pool, [])
        if any(_is_as_large(size, other) for other in without_room):
            return False
        if any(worker.fits(size) for worker in self.in_pool(pool).values()):
            return True
        without_room.append(size)
        return False

    def _group_by_pool(self) -> dict[str, dict[str, Worker]]:
        by_pool: dict[str, dict[str, Worker]] = {}
        for worker_id, worker in self._workers.items():
            if worker.is_registered and is_usable(worker, self._now_s):
                by_pool.setdefault(worker.info.pool, {})[worker_id] = worker
        return by_pool


def _is_as_large(size: TaskSize, other: TaskSize) -> bool:
    return (
        size.cpu_milli >= other.cpu_milli
        and size.memory_mb >= other.memory_mb
        and size.gpus >= other.gpus
    )


def is_usable(worker: Worker, now_s: float) -> bool:
    """Return whether new runs may start on the worker now."""
    return (
        worker.is_reachable
        and not worker.info.draining
        and now_s - worker.last_report_s < MAX_REPORT_AGE_S
        and now_s >= worker.avoid_until_s
    )
