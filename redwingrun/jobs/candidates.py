"""The workers on which something new may start, as one plan sees them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from redwingrun.jobs.workerpool import Worker

# A worker that hasn't answered for so long gets nothing new.
SILENT_S = 2.2


class Candidates:
    """The usable workers by pool; made once a plan, not once a step.

    :param workers: all that the slice knows.
    """

    def __init__(self, workers: Iterable[Worker], now_s: float):
        self._by_pool: dict[str, dict[str, Worker]] = {}
        for worker in workers:
            if worker.listed and is_usable(worker, now_s):
                pool = self._by_pool.setdefault(worker.info.pool, {})
                pool[worker.worker_id] = worker

    def of_pool(self, pool: str) -> Mapping[str, Worker]:
        """Return a pool's usable workers by their names."""
        return self._by_pool.get(pool, {})


def is_usable(worker: Worker, now_s: float) -> bool:
    """Tell whether anything new may start on the worker now."""
    return (
        worker.adopted
        and not worker.info.draining
        and now_s - worker.heard_s < SILENT_S
        and now_s >= worker.avoid_until_s
    )
