"""``make capacity``: slopes over three sizes, and the plan's size by role."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time

from attrs import define
from rich.console import Console
from rich.table import Table

from benchmarks.control import cpu_s, usage
from lab.cell import Cell, Layout
from redwingrun.objectcheck import objects_from_text
from redwingrun.objects import ObjectSet

IDLE_S = 10.0
HOSTS = (2, 4, 8)
WORKERS = (24, 160, 640)
TASKS = (500, 1500, 4600)
PLAN_HOSTS = 8
PLAN_WORKERS = 640
PLAN_TASKS = 4600
PLAN_TEAMS = 59
MB = 2**20


@define
class Line:
    """A measured quantity at several sizes, and its straight line."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: list[float]
    plan: int

    def slope(self) -> float:
        """Return the least-squares slope."""
        count = len(self.sizes)
        mean_size = sum(self.sizes) / count
        mean_value = sum(self.values) / count
        over = sum((size - mean_size) ** 2 for size in self.sizes)
        both = sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return both / over

    def at_plan(self) -> float:
        """Return the line's value at the plan's size."""
        mean_size = sum(self.sizes) / len(self.sizes)
        mean_value = sum(self.values) / len(self.values)
        return mean_value + self.slope() * (self.plan - mean_size)


async def _hosts() -> list[Line]:
    rows: dict[str, list[float]] = {
        "writes": [],
        "reads": [],
        "entry": [],
        "placer": [],
    }
    for count in HOSTS:
        layout = Layout(weights=(1.0,) * count, norte=False, settings={})
        async with Cell(layout) as cell:
            await asyncio.sleep(2.0)
            before = await cell.counters("platform")
            entry, placer = cpu_s(cell, "entry"), cpu_s(cell, "placer")
            await asyncio.sleep(IDLE_S)
            after = await cell.counters("platform")
            rows["writes"].append((after["writes"] - before["writes"]) / IDLE_S)
            rows["reads"].append((after["reads"] - before["reads"]) / IDLE_S)
            rows["entry"].append((cpu_s(cell, "entry") - entry) / IDLE_S / count * 100)
            rows["placer"].append(
                (cpu_s(cell, "placer") - placer) / IDLE_S / count * 100
            )
    return [
        Line("table writes, idle, by hosts", "/s", HOSTS, rows["writes"], PLAN_HOSTS),
        Line("table reads, idle, by hosts", "/s", HOSTS, rows["reads"], PLAN_HOSTS),
        Line("entry, idle, by hosts", "% of a core", HOSTS, rows["entry"], PLAN_HOSTS),
        Line(
            "placer, idle, by hosts", "% of a core", HOSTS, rows["placer"], PLAN_HOSTS
        ),
    ]


async def _workers() -> list[Line]:
    processor, memory = [], []
    for count in WORKERS:
        layout = Layout(weights=(1.0,), workers=count, norte=False, settings={})
        async with Cell(layout) as cell:
            await asyncio.sleep(6.0)
            before = cpu_s(cell, "placer")
            await asyncio.sleep(IDLE_S)
            processor.append((cpu_s(cell, "placer") - before) / IDLE_S * 100)
            memory.append(usage(cell.hosts[0], "placer").resident_bytes / MB)
    return [
        Line(
            "placer, one owner, by workers",
            "% of a core",
            WORKERS,
            processor,
            PLAN_WORKERS,
        ),
        Line("placer, one owner, by workers", "MB", WORKERS, memory, PLAN_WORKERS),
    ]


async def _tasks() -> list[Line]:
    memory, loading, sizes = [], [], []
    for count in TASKS:
        layout = Layout(weights=(1.0, 0.01), norte=False, settings={})
        async with Cell(layout) as cell:
            await _fill(cell, count)
            memory.append(usage(cell.hosts[0], "placer").resident_bytes / MB)
            counters = await cell.counters("platform")
            sizes.append(float(counters["rows"]))
            loading.append(await _handover(cell, count))
    return [
        Line("placer, one owner, by tasks queued", "MB", TASKS, memory, PLAN_TASKS),
        Line("table rows, by tasks", "rows", TASKS, sizes, PLAN_TASKS),
        Line(
            "planned hand-over of the pool, by tasks", "s", TASKS, loading, PLAN_TASKS
        ),
    ]


async def _fill(cell: Cell, count: int) -> None:
    gate = asyncio.Semaphore(64)

    async def one(index: int) -> None:
        async with gate:
            headers = {"Idempotency-Key": f"c-{index}"}
            body = {"nonce": "c", "work_s": 3600}
            path = "/v1/tasks/re-plan"
            reply = await cell.as_team(
                "head-setter", "POST", path, body, headers=headers
            )
            assert reply.status == 202, reply

    await asyncio.gather(*[one(index) for index in range(count)])


async def _handover(cell: Cell, count: int) -> float:
    """Stop the owner as planned; time until the other answers for its tasks."""
    started_s = time.monotonic()
    cell.send_signal(cell.hosts[0], signal.SIGTERM, ("placer",))

    async def answered() -> bool:
        status = (
            await cell.as_operator("GET", "/v1/status", host=cell.hosts[1])
        ).json()
        if status["owners"]["walls"] != cell.hosts[1].name:
            return False
        path = f"/v1/task/walls:head-setter:c-{count - 1}"
        reply = await cell.as_team("head-setter", "GET", path, host=cell.hosts[1])
        return reply.status == 200

    await cell.until(answered, 60, "the other placer owns the pool")
    return time.monotonic() - started_s


async def _objects() -> list[Line]:
    checking, applying, sizes = [], [], []
    for count in WORKERS:
        text = _large_set(count)
        started_s = time.perf_counter()
        objects = objects_from_text("plan.jsonc", text)
        checking.append((time.perf_counter() - started_s) * 1000)
        content = objects.content()
        started_s = time.perf_counter()
        ObjectSet.from_content(content)
        applying.append((time.perf_counter() - started_s) * 1000)
        sizes.append(len(content) / 1024)
    return [
        Line("checking a whole set, by workers", "ms", WORKERS, checking, PLAN_WORKERS),
        Line(
            "applying a set on a daemon, by workers",
            "ms",
            WORKERS,
            applying,
            PLAN_WORKERS,
        ),
        Line("size of a set, by workers", "KB", WORKERS, sizes, PLAN_WORKERS),
    ]


def _large_set(workers: int) -> str:
    upstreams = {
        f"w{index}": {
            "address": f"http://10.0.{index // 250}.{index % 250}:80",
            "data_centre": f"d{index % 8}",
            "rack": f"r{index // 8}",
            "cores": 32,
            "memory_gb": 128,
            "accelerators": 2,
        }
        for index in range(workers)
    }
    teams = {f"team-{index}": {"quota": {"cores": 100}} for index in range(PLAN_TEAMS)}
    workload = {"kind": "batch", "pool": "w", "policy": "p", "size": {"cores": 4}}
    workloads = {f"work-{name}": {**workload, "teams": [name]} for name in teams}
    plain = {
        "teams": teams,
        "policies": {"p": {}},
        "pools": {"w": {"type": "workers", "upstreams": upstreams}},
        "workloads": workloads,
    }
    return json.dumps(plain, indent=1)


PARTS = {"objects": _objects, "hosts": _hosts, "workers": _workers, "tasks": _tasks}


def main() -> None:
    """Print the table that docs/CAPACITY.md holds, or the named parts of it."""
    lines = []
    for name in sys.argv[1:] or list(PARTS):
        lines.extend(asyncio.run(PARTS[name]()))
    table = Table("what", "unit", "sizes", "measured", "slope", "at the plan's size")
    for line in lines:
        table.add_row(
            line.name,
            line.unit,
            " / ".join(str(size) for size in line.sizes),
            " / ".join(f"{value:.3g}" for value in line.values),
            f"{line.slope():.3g}",
            f"{line.at_plan():.3g}",
        )
    Console(width=140).print(table)


if __name__ == "__main__":
    main()
