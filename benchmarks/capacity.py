"""``make capacity``: measures each cost at three sizes and fits a line to it.

The lines give the cost for the size of the planned deployment.
"""

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
# The size of the planned deployment.
PLAN_HOSTS = 8
PLAN_WORKERS = 640
PLAN_TASKS = 4600
PLAN_TEAMS = 59
BYTES_PER_MB = 2**20


@define
class Series:
    """A quantity measured at several sizes, and the line fitted through it.

    :param plan_size: the size of the planned deployment.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: list[float]
    plan_size: int

    def slope(self) -> float:
        """Return the slope of the least-squares line."""
        count = len(self.sizes)
        mean_size = sum(self.sizes) / count
        mean_value = sum(self.values) / count
        squared_deviations = sum((size - mean_size) ** 2 for size in self.sizes)
        products = sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return products / squared_deviations

    def value_at_plan(self) -> float:
        """Return the value of the line at the planned size."""
        mean_size = sum(self.sizes) / len(self.sizes)
        mean_value = sum(self.values) / len(self.values)
        return mean_value + self.slope() * (self.plan_size - mean_size)


async def _measure_by_hosts() -> list[Series]:
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
        Series("table writes, idle, by hosts", "/s", HOSTS, rows["writes"], PLAN_HOSTS),
        Series("table reads, idle, by hosts", "/s", HOSTS, rows["reads"], PLAN_HOSTS),
        Series(
            "entry, idle, by hosts", "% of a core", HOSTS, rows["entry"], PLAN_HOSTS
        ),
        Series(
            "placer, idle, by hosts", "% of a core", HOSTS, rows["placer"], PLAN_HOSTS
        ),
    ]


async def _measure_by_workers() -> list[Series]:
    cpu_percent, memory_mb = [], []
    for count in WORKERS:
        layout = Layout(weights=(1.0,), workers=count, norte=False, settings={})
        async with Cell(layout) as cell:
            await asyncio.sleep(6.0)
            before = cpu_s(cell, "placer")
            await asyncio.sleep(IDLE_S)
            cpu_percent.append((cpu_s(cell, "placer") - before) / IDLE_S * 100)
            memory_mb.append(
                usage(cell.hosts[0], "placer").resident_bytes / BYTES_PER_MB
            )
    return [
        Series(
            "placer, one owner, by workers",
            "% of a core",
            WORKERS,
            cpu_percent,
            PLAN_WORKERS,
        ),
        Series("placer, one owner, by workers", "MB", WORKERS, memory_mb, PLAN_WORKERS),
    ]


async def _measure_by_tasks() -> list[Series]:
    memory_mb, handover_s, row_counts = [], [], []
    for count in TASKS:
        layout = Layout(weights=(1.0, 0.01), norte=False, settings={})
        async with Cell(layout) as cell:
            await _submit_tasks(cell, count)
            memory_mb.append(
                usage(cell.hosts[0], "placer").resident_bytes / BYTES_PER_MB
            )
            counters = await cell.counters("platform")
            row_counts.append(float(counters["rows"]))
            handover_s.append(await _measure_handover_s(cell, count))
    return [
        Series(
            "placer, one owner, by tasks queued", "MB", TASKS, memory_mb, PLAN_TASKS
        ),
        Series("table rows, by tasks", "rows", TASKS, row_counts, PLAN_TASKS),
        Series(
            "planned hand-over of the pool, by tasks",
            "s",
            TASKS,
            handover_s,
            PLAN_TASKS,
        ),
    ]


async def _submit_tasks(cell: Cell, count: int) -> None:
    slots = asyncio.Semaphore(64)

    async def submit(index: int) -> None:
        async with slots:
            headers = {"Idempotency-Key": f"c-{index}"}
            body = {"nonce": "c", "work_s": 3600}
            path = "/v1/tasks/re-plan"
            reply = await cell.call_as_team(
                "head-setter", "POST", path, body, headers=headers
            )
            assert reply.status == 202, reply

    await asyncio.gather(*[submit(index) for index in range(count)])


async def _measure_handover_s(cell: Cell, count: int) -> float:
    """Stop the placer that owns the pool, and measure the hand-over.

    :return: the seconds until the other host owns the pool and answers for its last
        task.
    """
    started_s = time.monotonic()
    cell.send_signal(cell.hosts[0], signal.SIGTERM, ("placer",))

    async def is_handed_over() -> bool:
        status = (
            await cell.call_as_operator("GET", "/v1/status", host=cell.hosts[1])
        ).json()
        if status["owners"]["walls"] != cell.hosts[1].name:
            return False
        path = f"/v1/task/walls:head-setter:c-{count - 1}"
        reply = await cell.call_as_team("head-setter", "GET", path, host=cell.hosts[1])
        return reply.status == 200

    await cell.wait_until(is_handed_over, 60, "the other placer owns the pool")
    return time.monotonic() - started_s


async def _measure_objects() -> list[Series]:
    checking_ms, applying_ms, sizes_kb = [], [], []
    for count in WORKERS:
        text = _objects_text(count)
        started_s = time.perf_counter()
        objects = objects_from_text("plan.jsonc", text)
        checking_ms.append((time.perf_counter() - started_s) * 1000)
        content = objects.content()
        started_s = time.perf_counter()
        ObjectSet.from_content(content)
        applying_ms.append((time.perf_counter() - started_s) * 1000)
        sizes_kb.append(len(content) / 1024)
    return [
        Series(
            "checking a whole set, by workers", "ms", WORKERS, checking_ms, PLAN_WORKERS
        ),
        Series(
            "applying a set on a daemon, by workers",
            "ms",
            WORKERS,
            applying_ms,
            PLAN_WORKERS,
        ),
        Series("size of a set, by workers", "KB", WORKERS, sizes_kb, PLAN_WORKERS),
    ]


def _objects_text(workers: int) -> str:
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
    content = {
        "teams": teams,
        "policies": {"p": {}},
        "pools": {"w": {"type": "workers", "upstreams": upstreams}},
        "workloads": workloads,
    }
    return json.dumps(content, indent=1)


SECTIONS = {
    "objects": _measure_objects,
    "hosts": _measure_by_hosts,
    "workers": _measure_by_workers,
    "tasks": _measure_by_tasks,
}


def main() -> None:
    """Print the table of docs/CAPACITY.md, or only its named sections."""
    all_series = []
    for name in sys.argv[1:] or list(SECTIONS):
        all_series.extend(asyncio.run(SECTIONS[name]()))
    table = Table("what", "unit", "sizes", "measured", "slope", "at the plan's size")
    for series in all_series:
        table.add_row(
            series.name,
            series.unit,
            " / ".join(str(size) for size in series.sizes),
            " / ".join(f"{value:.3g}" for value in series.values),
            f"{series.slope():.3g}",
            f"{series.value_at_plan():.3g}",
        )
    Console(width=140).print(table)


if __name__ == "__main__":
    main()
