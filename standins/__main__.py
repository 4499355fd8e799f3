"""Runs stand-ins: ``python -m standins FILE``; FILE holds names and ports."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from tornado.web import Application

from standins import faults, minions, platform, workers

BACKLOG = 1024


def listen(application: Application, port: int) -> None:
    """Serve on loopback."""
    application.listen(port, "127.0.0.1", backlog=BACKLOG)


async def run(plan: dict[str, Any]) -> None:
    """Serve what the plan names, for ever."""
    if "platform" in plan:
        owner = platform.Platform(hosts=plan["platform"].get("hosts", {}))
        listen(platform.application(owner), plan["platform"]["port"])
        listen(faults.control(owner), plan["platform"]["control"])
    if "minions" in plan:
        _run_minions(plan["minions"])
    if "workers" in plan:
        await _run_workers(plan["workers"]).run()
    await asyncio.Event().wait()


def _run_minions(plan: dict[str, Any]) -> None:
    items = {item["name"]: item for item in plan["items"]}
    group = minions.MinionGroup(
        {
            name: minions.Minion(name, item.get("speed", 1.0))
            for name, item in items.items()
        },
        stragglers=plan.get("stragglers", 0.0),
    )
    for name, minion in group.minions.items():
        listen(minions.application(group, minion), items[name]["port"])
    listen(faults.control(group), plan["control"])


def _run_workers(plan: dict[str, Any]) -> workers.WorkerGroup:
    items = {item["name"]: item for item in plan["items"]}
    group = workers.WorkerGroup(
        {name: workers.Worker(name, item["capacity"]) for name, item in items.items()}
    )
    for name, worker in group.workers.items():
        listen(workers.application(group, worker), items[name]["port"])
    listen(faults.control(group), plan["control"])
    return group


if __name__ == "__main__":
    asyncio.run(run(json.loads(Path(sys.argv[1]).read_text())))
