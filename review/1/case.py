"""Case 1: minions are cut off and run on; connections to them are refused."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from review.cell.cell import QUEUE_HOST, CaseNotRun, Cell, main
from review.cell.checks import overlapping_runs, starts_after_done

FOLDER = Path(__file__).resolve().parent
MINIONS = 12
# Site file: node_cut of servers has a share of 0.17 for 5.5 s.
CUT_MINIONS = 2
CUT_S = 5.5
TASKS = 24
TASK_S = 8.0
FINISH_TIMEOUT_S = 40.0
JOB_ID = f"{1:016x}"
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
        step = {"taskCount": TASKS, "cpu": 5500, "memMb": 256}
        step["estRuntimeMs"] = int(TASK_S * 1000)
        job = {"spec": "s", "steps": [step]}
        status, _ = await cell.call("POST", f"/plans/{JOB_ID}", job)
        cell.note(f"client: POST /plans/{JOB_ID} with {TASKS} tasks -> {status}")
        if status != 200:
            raise CaseNotRun("the job was not accepted")
        await asyncio.sleep(1.5)
        if has_trouble:
            cut = cell.minions[:CUT_MINIONS]
            names = [minion.instance_id for minion in cut]
            cell.note(f"minions {names}: cut off for {CUT_S} s, connections refused")
            await asyncio.gather(*(minion.cut_off(CUT_S) for minion in cut))
            cell.note(f"minions {names}: reached again")
        await _wait_until_completed(cell)
        broken = overlapping_runs(cell.events)
        broken += starts_after_done(cell.events, cell.minions)
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


async def _wait_until_completed(cell: Cell) -> None:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + FINISH_TIMEOUT_S
    while loop.time() < deadline_s:
        await asyncio.sleep(1.0)
        status, body = await cell.call("GET", f"/plans/{JOB_ID}")
        if body.get("state") == "completed":
            cell.note(f"client: GET /plans/{JOB_ID} -> {status} {body}")
            return
    raise CaseNotRun("the job is not completed")


if __name__ == "__main__":
    sys.exit(main(run))
