"""Case 3: a minion has more than 500 ends that are not taken note of."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from review.cell.cell import QUEUE_HOST, CaseNotRun, Cell, main
from review.cell.checks import overlapping_runs, starts_after_done

FOLDER = Path(__file__).resolve().parent
MINIONS = 3
JOBS = 9
TASKS_PER_JOB = 200
TASK_S = 6.0
# Site file: the whole store is down ("busy") for 4.2 s.
STORE_DOWN_S = 4.2
FINISH_TIMEOUT_S = 60.0
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
        step = {"taskCount": TASKS_PER_JOB, "cpu": 50, "memMb": 32}
        step["estRuntimeMs"] = int(TASK_S * 1000)
        paths = [f"/plans/{number:016x}" for number in range(1, JOBS + 1)]
        for path in paths:
            status, _ = await cell.call("POST", path, {"spec": "s", "steps": [step]})
            cell.note(f"client: POST {path} -> {status}")
            if status != 200:
                raise CaseNotRun("a job was not accepted")
        await _wait_for_end(cell)
        if has_trouble:
            cell.note(f"store: down (503) for {STORE_DOWN_S} s")
            cell.store.is_down = True
            await asyncio.sleep(STORE_DOWN_S)
            cell.store.is_down = False
            cell.note("store: serves again")
        await _wait_until_completed(cell, paths)
        broken = starts_after_done(cell.events, cell.minions)
        broken += overlapping_runs(cell.events)
        cell.note(f"result: {len(broken)} starts break TWICE; the first:")
        for line in broken[:5]:
            cell.note(f"  {line}")
        return 1 if broken else 0
    except CaseNotRun as error:
        cell.note(f"not run: {error}")
        return 2
    finally:
        cell.save(FOLDER / "record.txt")
        cell.close(FOLDER / "logs" if os.environ.get("KEEP_LOGS") else None)


async def _wait_for_end(cell: Cell) -> None:
    for _ in range(400):
        if any(event.kind == "done" for event in cell.events):
            started = sum(event.kind == "start" for event in cell.events)
            cell.note(f"minions: the first run has ended; {started} have started")
            return
        await asyncio.sleep(0.05)
    raise CaseNotRun("no run has ended")


async def _wait_until_completed(cell: Cell, paths: list[str]) -> None:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + FINISH_TIMEOUT_S
    waiting = list(paths)
    while waiting and loop.time() < deadline_s:
        await asyncio.sleep(1.0)
        path = waiting[0]
        status, body = await cell.call("GET", path)
        if body.get("state") == "completed":
            cell.note(f"client: GET {path} -> {status} {body}")
            waiting.remove(path)
    cell.note(f"client: jobs not completed: {len(waiting)}")


if __name__ == "__main__":
    sys.exit(main(run))
