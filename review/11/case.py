"""A task that asks for no memory on a queue with a placement policy."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.standins3.case import main
from review.standins3.cell import BOUNDS, Cell, route
from review.standins3.record import Record

PATH = "/checks/"
ROUTES = [
    route("checks", PATH, advice={"decideMs": 20, "eachMs": 0.3, "validMs": 2500})
]
TASK_S = 0.7
ORDINARY = {
    "spec": "ordinary",
    "steps": [{"taskCount": 6, "cpu": 2500, "memMb": 1000, "estRuntimeMs": 700}],
}
JOBS_BEFORE = 3
JOBS_AFTER = 6
JOB_GAP_S = 1.0
FINISH_S = BOUNDS["finish_s"]
STILL_S = 3.0
# In thousandths of a core: a task, and all tasks of a step.
LARGEST_TASK_CPU = 2500
LARGEST_STEP_CPU = 30_000
POLL_S = 0.05


def filler(memory_mb: int) -> dict:
    """Return a job that fills; a field whose value is 0 is omitted."""
    step = {"taskCount": 2, "cpu": 500, "estRuntimeMs": 700, "fills": True}
    if memory_mb:
        step["memMb"] = memory_mb
    return {"spec": "filler", "steps": [step]}


async def play(record: Record, with_trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    cell = Cell(record, lambda task, spec: TASK_S)
    try:
        await cell.open(ROUTES)
        jobs = [await _submit_later(cell, ORDINARY) for _ in range(JOBS_BEFORE)]
        memory_mb = 0 if with_trouble else 64
        jobs.append(await cell.submit(PATH, filler(memory_mb)))
        jobs += [await _submit_later(cell, ORDINARY) for _ in range(JOBS_AFTER)]
        await asyncio.sleep(FINISH_S)
        still = await _watch(cell, jobs)
        broken = []
        for job in jobs:
            state = await cell.state(PATH, job)
            if state == "completed" or job not in still:
                continue
            broken.append(
                f"LOST: {FINISH_S} s after the end of the traffic job {job} is"
                f" {state}, and nothing of it ran for {STILL_S} s on idle minions"
            )
        failures = cell.log_lines("member-task-failed")
        causes = sorted({line["why"] for line in failures})
        record.note("members", "task failures", count=len(failures), why=causes)
        return broken
    finally:
        await cell.close()


async def _submit_later(cell: Cell, body: dict) -> str:
    await asyncio.sleep(JOB_GAP_S)
    return await cell.submit(PATH, body)


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
