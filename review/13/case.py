"""A gang of 6,000 small tasks."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.standins3.case import main
from review.standins3.cell import BOUNDS, CaseNotRun, Cell, route
from review.standins3.record import Record

PATH = "/checks/"
ROUTES = [route("checks", PATH)]
TASK_S = 0.7
ORDINARY = {
    "spec": "ordinary",
    "steps": [{"taskCount": 6, "cpu": 2500, "memMb": 1000, "estRuntimeMs": 700}],
}
JOBS_BEFORE = 3
JOBS_AFTER = 3
# Fewer than clients make, so that the case ends in time.
TRIES = 2
JOB_GAP_S = 1.0
GANG_TASKS = 6_000
FINISH_S = BOUNDS["finish_s"]
STILL_S = 3.0
# In thousandths of a core: a task, and all tasks of a step.
LARGEST_TASK_CPU = 2500
LARGEST_STEP_CPU = 30_000
POLL_S = 0.05
# The stand-ins must not be what is slow.
MAX_LAG_S = 0.5
_lags = [0.0]


def gang(tasks: int) -> dict:
    """Return a job that is one gang, for which the idle minions have room."""
    step = {"taskCount": tasks, "cpu": 5, "memMb": 5, "estRuntimeMs": 700}
    return {"spec": "gang", "steps": [{**step, "gang": True}]}


async def play(record: Record, with_trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    size = GANG_TASKS if with_trouble else 8
    cell = Cell(
        record,
        lambda task, spec: TASK_S,
        gang_size_of=lambda task, spec: size if spec == "gang" else 0,
    )
    try:
        await cell.open(ROUTES)
        jobs = [await _submit_later(cell, ORDINARY) for _ in range(JOBS_BEFORE)]
        jobs.append(await cell.submit(PATH, gang(size)))
        lag = asyncio.get_running_loop().create_task(_watch_lag())
        jobs += [await _try_later(cell) for _ in range(JOBS_AFTER)]
        await asyncio.sleep(FINISH_S)
        still = await _watch(cell, jobs)
        lag.cancel()
        record.note("case", "longest delay of the stand-ins", seconds=_lags[-1])
        if _lags[-1] > MAX_LAG_S:
            raise CaseNotRun("the stand-ins were too slow for this machine")
        broken = []
        for job in filter(None, jobs):
            state = await cell.state(PATH, job, TRIES)
            if state == "completed" or job not in still:
                continue
            broken.append(
                f"LOST: {FINISH_S} s after the end of the traffic job {job} is"
                f" {state}, and nothing of it ran for {STILL_S} s on idle minions"
            )
        claims = cell.log_lines("claimed")
        record.note("members", "claims of the slice", count=len(claims))
        return broken
    finally:
        await cell.close()


async def _submit_later(cell: Cell, body: dict) -> str:
    await asyncio.sleep(JOB_GAP_S)
    return await cell.submit(PATH, body)


async def _try_later(cell: Cell) -> str:
    """Hand in a job; return an empty text if no member has accepted it."""
    await asyncio.sleep(JOB_GAP_S)
    try:
        return await cell.submit(PATH, ORDINARY, TRIES)
    except CaseNotRun as error:
        cell.record.note("client", "gives up", why=str(error))
        return ""


async def _watch_lag() -> None:
    """Record how long the event loop of the stand-ins was busy at most."""
    while True:
        began_s = time.monotonic()
        await asyncio.sleep(POLL_S)
        lag_s = time.monotonic() - began_s - POLL_S
        _lags.append(round(max(_lags[-1], lag_s), 3))


async def _watch(cell: Cell, jobs: list[str]) -> set[str]:
    """Return the jobs of which nothing runs for ``STILL_S`` although there is room.

    As the rule says: there is room twice over, and under half of it is in use.
    """
    service_cpu = sum(minion.cpu for minion in cell.minions)
    still = set(jobs)
    until_s = time.monotonic() + STILL_S
    while time.monotonic() < until_s:
        for minion in cell.minions:
            still -= {task.partition(".")[0] for task in minion.runs}
        used_cpu = sum(len(minion.runs) for minion in cell.minions) * LARGEST_TASK_CPU
        if 2 * used_cpu >= service_cpu or service_cpu - used_cpu < 2 * LARGEST_STEP_CPU:
            return set()
        await asyncio.sleep(POLL_S)
    return still


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
