"""The workers on which something new may start, as one plan sees them."""

from __future__ import annotations

from collections.abc import Mapping

from redwingrun.jobs.workerpool import Worker

# A worker that hasn't answered for so long gets nothing new.
MAX_REPORT_AGE_S = 2.2


class Candidates:
    """The usable workers by pool; found once a plan, for the first step that asks.

    :param workers: all that the slice knows, by name.
    """

    def __init__(self, workers: Mapping[str, Worker], now_s: float):
        self._workers = workers
        self._now_s = now_s
        self._by_pool: dict[str, dict[str, Worker]] | None = None

    def in_pool(self, pool: str) -> Mapping[str, Worker]:
        """Return a pool's usable workers by their names."""
        if self._by_pool is None:
            self._by_pool = self._group_by_pool()
        return self._by_pool.get(pool, {})

    def _group_by_pool(self) -> dict[str, dict[str, Worker]]:
        by_pool: dict[str, dict[str, Worker]] = {}
        for worker_id, worker in self._workers.items():
            if worker.is_registered and is_usable(worker, self._now_s):
                by_pool.setdefault(worker.info.pool, {})[worker_id] = worker
        return by_pool


def is_usable(worker: Worker, now_s: float) -> bool:
    """Tell whether anything new may start on the worker now."""
    return (
        worker.has_reported
        and not worker.info.draining
        and now_s - worker.last_report_s < MAX_REPORT_AGE_S
        and now_s >= worker.avoid_until_s
    )
