"""A route is removed while a job of it runs, and the members are restarted."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

from review.standins3.case import main
from review.standins3.cell import BOUNDS, Cell, route
from review.standins3.record import Record

CHECKS = route("checks", "/checks/")
PLANS = route("plans", "/plans/", priority=2, attempts=4)
CHECK_S = 0.7
PLAN_S = 4.0
CHECK_JOB = {
    "spec": "check",
    "steps": [{"taskCount": 6, "cpu": 2500, "memMb": 1000, "estRuntimeMs": 700}],
}
PLAN_STEP = {"taskCount": 4, "cpu": 2500, "memMb": 1000, "estRuntimeMs": 4000}
PLAN_JOB = {
    "spec": "plan",
    "steps": [PLAN_STEP, {**PLAN_STEP, "after": [0]}, {**PLAN_STEP, "after": [1]}],
}
PLAN_TASKS = 12
CONFIG_DEADLINE_S = BOUNDS["configDeadlineMs"] / 1000
FINISH_S = BOUNDS["finish_s"]
STILL_S = 3.0
POLL_S = 0.05
# The last client's request comes this long after the job was handed in.
TRAFFIC_S = 20.0
CHECK_GAP_S = 1.0


async def play(record: Record, with_trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken.

    ``TROUBLE=config`` or ``TROUBLE=restart`` leaves out the other disruption.
    """
    only = os.environ.get("TROUBLE", "")
    cell = Cell(record, lambda task, spec: PLAN_S if spec == "plan" else CHECK_S)
    try:
        await cell.open([CHECKS, PLANS])
        plan = await cell.submit("/plans/", PLAN_JOB)
        traffic = asyncio.get_running_loop().create_task(_checks(cell))
        await asyncio.sleep(1.5)
        if with_trouble and only != "restart":
            cell.configure([CHECKS])
        await asyncio.sleep(CONFIG_DEADLINE_S)
        if with_trouble and only != "config":
            await _restart_in_turn(cell)
        checks = await traffic
        await asyncio.sleep(FINISH_S)
        ran = await _runs_within(cell, plan, STILL_S)
        done = {
            end.task
            for end in cell.history
            if end.how == "done" and end.task.startswith(plan)
        }
        record.note("case", "tasks of the job that are done", count=len(done))
        shown = [await cell.state("/checks/", job) for job in checks]
        record.note("case", "states of the other jobs", states=shown)
        broken = []
        if len(done) < PLAN_TASKS and not ran:
            broken.append(
                f"LOST: {FINISH_S} s after the end of the traffic {len(done)} of the"
                f" {PLAN_TASKS} tasks of the accepted job {plan} are done, and nothing"
                f" of it ran for {STILL_S} s on idle minions"
            )
        return broken
    finally:
        await cell.close()


async def _checks(cell: Cell) -> list[str]:
    """Hand in jobs of the other queue; return them."""
    jobs = []
    until_s = time.monotonic() + TRAFFIC_S
    while time.monotonic() < until_s:
        jobs.append(await cell.submit("/checks/", CHECK_JOB))
        await asyncio.sleep(CHECK_GAP_S)
    return jobs


async def _restart_in_turn(cell: Cell) -> None:
    """Restart the members one after the other, the owner first."""
    owner = cell.owner()
    names = [owner, *(name for name in cell.names if name != owner)]
    for name in names:
        await cell.restart_gracefully(name)
        await asyncio.sleep(1.0)


async def _runs_within(cell: Cell, job: str, seconds: float) -> bool:
    """Return whether anything of a job runs within a time."""
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        for minion in cell.minions:
            if any(task.startswith(job) for task in minion.runs):
                return True
        await asyncio.sleep(POLL_S)
    return False


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
