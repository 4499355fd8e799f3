"""Limits the pace of fillers on workers that also run serving tasks.

The tail latency of a serving task is kept below its target by slowing down the fillers
on the same worker. The pace is cut with the first report over a limit, and raised again
in steps.
"""

from __future__ import annotations

from redwingrun.jobs.workerpool import PaceOrder, Run, RunPhase, Worker

FULL_PERCENT = 100
# Ratios of tail latency to target: above STOP_RATIO fillers pause, above HALVE_RATIO
# their pace is halved, below RAISE_RATIO it is raised.
STOP_RATIO = 1.0
HALVE_RATIO = 0.85
RAISE_RATIO = 0.6
RAISE_STEP_PERCENT = 20
# After a change of pace its effect must show before the pace is raised again.
RAISE_INTERVAL_S = 1.0


def has_mixed_load(worker: Worker) -> bool:
    """Return whether fillers run beside tasks with a latency target."""
    runs = worker.run_by_id.values()
    return any(run.is_filler for run in runs) and any(run.target_ms for run in runs)


def pace_orders(worker: Worker, now_s: float) -> list[PaceOrder]:
    """Return the pace orders that follow from a worker's last report."""
    fillers = [run for run in worker.run_by_id.values() if run.is_filler]
    if not fillers:
        return []
    new_percent = _new_percent(worker, fillers, now_s)
    if new_percent is None:
        return []
    worker.last_paced_s = now_s
    return [
        PaceOrder(run.run_id, worker.worker_id, new_percent)
        for run in fillers
        if run.phase is RunPhase.ALIVE and run.pace_percent != new_percent
    ]


def _new_percent(worker: Worker, fillers: list[Run], now_s: float) -> int | None:
    """Return the pace for all fillers of a worker; ``None`` for no change."""
    pace_percent = min(run.pace_percent for run in fillers)
    worst_ratio = max(
        (
            run.metric_value / run.target_ms
            for run in worker.run_by_id.values()
            if run.target_ms and run.phase is not RunPhase.STOPPING
        ),
        default=0.0,
    )
    if worst_ratio > STOP_RATIO:
        return 0
    if worst_ratio > HALVE_RATIO:
        return pace_percent // 2
    may_raise = now_s - worker.last_paced_s >= RAISE_INTERVAL_S
    if worst_ratio < RAISE_RATIO and pace_percent < FULL_PERCENT and may_raise:
        return min(FULL_PERCENT, pace_percent + RAISE_STEP_PERCENT)
    if any(run.pace_percent != pace_percent for run in fillers):
        # A filler that has just started still runs at full speed.
        return pace_percent
    return None
