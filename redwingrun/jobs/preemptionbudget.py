"""Bounds how many runs are preempted at a time, and how much of a pool's capacity."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from attrs import frozen

from redwingrun.jobs.slicestate import SliceState
from redwingrun.jobs.spec import RunId
from redwingrun.jobs.tasksize import TaskSize
from redwingrun.jobs.workerpool import Run

# A part of the stops that the owner sends at the same time, so that preemption does not
# delay stops for other reasons.
MAX_STOPS_IN_FLIGHT = 64
# At most this share of a pool's capacity is preempted within the window. Each preempted
# run loses its stop and its restore, about a second together where stops take long: the
# loss is about a tenth of the pool at most.
MAX_PREEMPTED_SHARE = 0.2
WINDOW_S = 2.0


@frozen
class _Preempted:
    """A run that was preempted.

    :param stopped_s: monotonic time at which its stop was ordered.
    :param share: share of the pool's scarcest resource that it had reserved.
    """

    stopped_s: float
    pool: str
    share: float


class PreemptionBudget:
    """Counts the stops of preempted runs."""

    def __init__(self, state: SliceState):
        self._state = state
        self._worker_id_by_run: dict[RunId, str] = {}
        self._recent: deque[_Preempted] = deque()
        self._share_by_pool: dict[str, float] = {}

    def update(self, now_s: float) -> None:
        """Remove the runs that have ended, and those that left the window."""
        for run_id, worker_id in list(self._worker_id_by_run.items()):
            if self._state.run(worker_id, run_id) is None:
                del self._worker_id_by_run[run_id]
        while self._recent and now_s - self._recent[0].stopped_s >= WINDOW_S:
            self._recent.popleft()
        self._share_by_pool = {}
        for item in self._recent:
            share = self._share_by_pool.get(item.pool, 0.0) + item.share
            self._share_by_pool[item.pool] = share

    def allows(self, pool: str, capacity: TaskSize, runs: Iterable[Run]) -> bool:
        """Return whether some runs of a pool may be stopped now, all of them.

        A single run may be stopped also in a pool of which it is a larger share.

        :param capacity: the capacity of the pool's usable workers.
        """
        shares = [_share(run.size, capacity) for run in runs]
        if len(self._worker_id_by_run) + len(shares) > MAX_STOPS_IN_FLIGHT:
            return False
        used = self._share_by_pool.get(pool, 0.0)
        if not used and len(shares) <= 1:
            return True
        return used + sum(shares) <= MAX_PREEMPTED_SHARE

    def record(self, pool: str, capacity: TaskSize, run: Run, now_s: float) -> None:
        """Count a run of a pool that is stopped now."""
        share = _share(run.size, capacity)
        self._worker_id_by_run[run.run_id] = run.worker_id
        self._recent.append(_Preempted(now_s, pool, share))
        self._share_by_pool[pool] = self._share_by_pool.get(pool, 0.0) + share


def _share(size: TaskSize, capacity: TaskSize) -> float:
    """Return the share of a capacity that a size is, by the scarcest resource."""
    return max(
        size.cpu_milli / max(1, capacity.cpu_milli),
        size.memory_mb / max(1, capacity.memory_mb),
        size.gpus / max(1, capacity.gpus),
    )
