"""Runs stand-ins in one process: ``python -m standins FILE``.

FILE is a JSON object with any of the sections ``platform``, ``minions`` and
``workers``; each gives the names and ports to serve, and ``control``, the port for
faults and counters.
"""

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
    """Serve an application on a port of the loopback address."""
    application.listen(port, "127.0.0.1", backlog=BACKLOG)


async def run(config: dict[str, Any]) -> None:
    """Serve every section of the configuration until the process is killed."""
    if "platform" in config:
        standin = platform.Platform(hosts=config["platform"].get("hosts", {}))
        listen(platform.application(standin), config["platform"]["port"])
        listen(faults.control_application(standin), config["platform"]["control"])
    if "minions" in config:
        _serve_minions(config["minions"])
    if "workers" in config:
        await _serve_workers(config["workers"]).run()
    await asyncio.Event().wait()


def _serve_minions(section: dict[str, Any]) -> None:
    item_by_name = {item["name"]: item for item in section["items"]}
    group = minions.MinionGroup(
        {
            name: minions.Minion(name, item.get("speed", 1.0))
            for name, item in item_by_name.items()
        },
        straggler_share=section.get("stragglers", 0.0),
    )
    for name, minion in group.minions.items():
        listen(minions.application(group, minion), item_by_name[name]["port"])
    listen(faults.control_application(group), section["control"])


def _serve_workers(section: dict[str, Any]) -> workers.WorkerGroup:
    item_by_name = {item["name"]: item for item in section["items"]}
    group = workers.WorkerGroup(
        {
            name: workers.Worker(name, item["capacity"])
            for name, item in item_by_name.items()
        }
    )
    for name, worker in group.workers.items():
        listen(workers.application(group, worker), item_by_name[name]["port"])
    listen(faults.control_application(group), section["control"])
    return group


if __name__ == "__main__":
    asyncio.run(run(json.loads(Path(sys.argv[1]).read_text())))
