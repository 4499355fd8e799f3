"""Case 4: the progress of a large job does not fit into a row of the store."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from review.cell.cell import QUEUE_HOST, CaseNotRun, Cell, main

FOLDER = Path(__file__).resolve().parent
MINIONS = 6
LARGE_JOB_TASKS = 4000
SMALL_JOBS = 3
TASK_S = 1.0
# Bounds of the sites: finish_s, and the 3 s for which a job has nothing running.
FINISH_S = 14.0
IDLE_S = 3.0
ROUTE = {
    "name": "plans",
    "hostname": QUEUE_HOST,
    "pathPrefix": "/plans/",
    "backend": "desk",
    "priority": 2,
    "attempts": 4,
    "stretch": 2,
    "sloMs": 1200,
}


async def run(has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    cell = Cell(MINIONS, lambda task_id, spec: TASK_S)
    try:
        await cell.open([ROUTE])
        await asyncio.sleep(3.0)
        await _submit(cell, 1, tasks=10, cpu=1000)
        await asyncio.sleep(3.0)
        if has_trouble:
            await _submit(cell, 2, tasks=LARGE_JOB_TASKS, cpu=1)
        await asyncio.sleep(1.0)
        small = [
            await _submit(cell, 3 + n, tasks=10, cpu=1000) for n in range(SMALL_JOBS)
        ]
        await asyncio.sleep(FINISH_S)
        cell.note(f"client: {FINISH_S:g} s after the last job; free of load")
        before = len(cell.events)
        is_idle = await cell.is_idle(IDLE_S)
        has_run = {event.task_id.partition(".")[0] for event in cell.events}
        broken = []
        for job_id in small:
            status, body = await cell.call("GET", f"/plans/{job_id}")
            cell.note(f"client: GET /plans/{job_id} -> {status} {body}")
            if is_idle and body.get("state") != "completed" and job_id not in has_run:
                broken.append(job_id)
        cell.note(
            f"minions: {len(cell.events) - before} events in the last {IDLE_S:g} s"
        )
        for key, size in cell.store.too_large[:3]:
            cell.note(
                f"store: 400 for a row of {size} bytes, more than rowBytes: {key}"
            )
        cell.note(f"store: {len(cell.store.too_large)} such calls")
        cell.note(
            f"result: {len(broken)} accepted jobs break LOST: nothing has started"
        )
        return 1 if broken else 0
    except CaseNotRun as error:
        cell.note(f"not run: {error}")
        return 2
    finally:
        cell.save(FOLDER / "record.txt")
        cell.close(FOLDER / "logs" if os.environ.get("KEEP_LOGS") else None)


async def _submit(cell: Cell, number: int, tasks: int, cpu: int) -> str:
    job_id = f"{number:016x}"
    step = {"taskCount": tasks, "cpu": cpu, "memMb": 1, "estRuntimeMs": 1000}
    status, _ = await cell.call(
        "POST", f"/plans/{job_id}", {"spec": "s", "steps": [step]}
    )
    cell.note(f"client: POST /plans/{job_id} with {tasks} tasks -> {status}")
    if status != 200:
        raise CaseNotRun("a job was not accepted")
    return job_id


if __name__ == "__main__":
    sys.exit(main(run))
