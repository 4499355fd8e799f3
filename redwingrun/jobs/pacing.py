"""How fast fillers may work beside tasks that serve users.

A serving task's tail latency is held below its target by slowing the fillers on the
same worker: at once when the tail is over the target, and back up in steps.
"""

from __future__ import annotations

from redwingrun.jobs.workerpool import PaceOrder, Run, RunPhase, Worker

FULL_PERCENT = 100
# Parts of the target: above the first fillers stop, above the second they halve,
# below the third they may work more.
STOP_SHARE = 1.0
SLOW_SHARE = 0.85
QUICKEN_SHARE = 0.6
STEP_PERCENT = 20
# Time for a change to show before fillers are quickened again.
QUICKEN_EVERY_S = 1.0


def has_mixed_load(worker: Worker) -> bool:
    """Tell whether fillers and tasks with a target run side by side."""
    runs = worker.run_by_id.values()
    return any(run.is_filler for run in runs) and any(run.target_ms for run in runs)


def pace_orders(worker: Worker, now_s: float) -> list[PaceOrder]:
    """Return the changes of pace that a worker's last report calls for."""
    fillers = [run for run in worker.run_by_id.values() if run.is_filler]
    if not fillers:
        return []
    wanted = _wanted_percent(worker, fillers, now_s)
    if wanted is None:
        return []
    worker.paced_s = now_s
    return [
        PaceOrder(run.run_id, worker.worker_id, wanted)
        for run in fillers
        if run.phase is RunPhase.ALIVE and run.pace != wanted
    ]


def _wanted_percent(worker: Worker, fillers: list[Run], now_s: float) -> int | None:
    """Return the pace for all fillers of a worker, ``None`` for no change."""
    pace = min(run.pace for run in fillers)
    worst = max(
        (
            run.metric_value / run.target_ms
            for run in worker.run_by_id.values()
            if run.target_ms and run.phase is not RunPhase.STOPPING
        ),
        default=0.0,
    )
    if worst > STOP_SHARE:
        return 0
    if worst > SLOW_SHARE:
        return pace // 2
    may_quicken = now_s - worker.paced_s >= QUICKEN_EVERY_S
    if worst < QUICKEN_SHARE and pace < FULL_PERCENT and may_quicken:
        return min(FULL_PERCENT, pace + STEP_PERCENT)
    if any(run.pace != pace for run in fillers):
        # One that has just started works at full speed beside paced ones.
        return pace
    return None
