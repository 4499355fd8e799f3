"""Control cost and recovery time of a cell of real processes."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

from attrs import define

from benchmarks.rows import Report, Row
from lab.cell import Cell, Host, Layout

CHECKS = 1500
MAX_CONCURRENT = 32
TASKS = 300
IDLE_S = 8.0
OUTAGE_S = 8.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
WRITES_PER_TASK_BOUND = 0.5


@define
class Usage:
    """A daemon's processor time since its start, and its resident memory now."""

    cpu_s: float
    resident_bytes: int


def usage(host: Host, daemon: str) -> Usage:
    """Return a daemon's processor time and resident memory."""
    folder = Path("/proc") / str(host.process_by_daemon[daemon].pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    pages = int((folder / "statm").read_text().split()[1])
    return Usage((int(fields[11]) + int(fields[12])) / TICKS_PER_S, pages * PAGE_BYTES)


def cpu_s(cell: Cell, daemon: str) -> float:
    """Return the processor time of the entries or the placers of all hosts."""
    return sum(usage(host, daemon).cpu_s for host in cell.hosts)


async def send_checks(cell: Cell, count: int) -> tuple[int, int]:
    """Send checks through all hosts; return how many were answered and refused."""
    slots = asyncio.Semaphore(MAX_CONCURRENT)
    answered = refused = 0

    async def send(index: int) -> None:
        nonlocal answered, refused
        async with slots:
            host = cell.hosts[index % len(cell.hosts)]
            body = {"nonce": f"bench-{index}", "work_s": 0.02}
            reply = await cell.call_as_team(
                "setters", "POST", "/v1/run/grade-check", body, host=host
            )
            answered += reply.status == 200
            refused += reply.verdict == "not run"

    await asyncio.gather(*[send(index) for index in range(count)])
    return answered, refused


async def submit_tasks(cell: Cell, count: int) -> None:
    """Submit short tasks concurrently and wait until all are done."""
    before = len((await cell.counters("workers"))["done_by_task"])

    async def submit(index: int) -> None:
        host = cell.hosts[index % len(cell.hosts)]
        body = {"nonce": f"task-{index}", "work_s": 0.2}
        headers = {"Idempotency-Key": f"bench-{time.monotonic()}-{index}"}
        reply = await cell.call_as_team(
            "head-setter", "POST", "/v1/tasks/re-plan", body, host=host, headers=headers
        )
        assert reply.status == 202, reply

    await asyncio.gather(*[submit(index) for index in range(count)])

    async def all_done() -> bool:
        done = (await cell.counters("workers"))["done_by_task"]
        return len(done) >= before + count

    await cell.wait_until(all_done, 120, "all tasks are done")


async def _measure_idle(report: Report, cell: Cell) -> tuple[float, float]:
    before, entry, placer = (
        await cell.counters("platform"),
        cpu_s(cell, "entry"),
        cpu_s(cell, "placer"),
    )
    await asyncio.sleep(IDLE_S)
    after = await cell.counters("platform")
    writes = (after["writes"] - before["writes"]) / IDLE_S
    hosts = len(cell.hosts)
    resident = [usage(host, "entry").resident_bytes for host in cell.hosts]
    resident_placer = [usage(host, "placer").resident_bytes for host in cell.hosts]
    share = (cpu_s(cell, "entry") - entry) / IDLE_S / hosts
    share_placer = (cpu_s(cell, "placer") - placer) / IDLE_S / hosts
    report.add(
        "control cost, idle, default leases",
        Row("table writes", writes, "/s", note=f"{hosts} hosts"),
        Row("table reads", (after["reads"] - before["reads"]) / IDLE_S, "/s"),
        Row("entry, share of a core", share * 100, "%", 2.5),
        Row("placer, share of a core", share_placer * 100, "%", 2.5),
        Row("entry, resident", max(resident) / 2**20, "MB", 32),
        Row("placer, resident", max(resident_placer) / 2**20, "MB", 32),
    )
    return writes, share


async def _measure_work(report: Report, cell: Cell, idle_writes: float) -> None:
    before, entry = await cell.counters("platform"), cpu_s(cell, "entry")
    started_s = time.monotonic()
    answered, _ = await send_checks(cell, CHECKS)
    elapsed_s = time.monotonic() - started_s
    after = await cell.counters("platform")
    extra = after["writes"] - before["writes"] - idle_writes * elapsed_s
    report.add(
        "control cost, work",
        Row("checks answered", answered / CHECKS, "", 1.0, at_least=True),
        Row("table writes per check", max(0.0, round(extra / CHECKS, 2)), "", 0.0),
        Row(
            "entry processor time per check",
            (cpu_s(cell, "entry") - entry) / CHECKS * 1000,
            "ms",
        ),
    )
    before, placer = await cell.counters("platform"), cpu_s(cell, "placer")
    started_s = time.monotonic()
    await submit_tasks(cell, TASKS)
    elapsed_s = time.monotonic() - started_s
    after = await cell.counters("platform")
    extra = after["writes"] - before["writes"] - idle_writes * elapsed_s
    report.add(
        "control cost, work",
        Row("table writes per task", extra / TASKS, "", WRITES_PER_TASK_BOUND),
        Row(
            "placer processor time per task",
            (cpu_s(cell, "placer") - placer) / TASKS * 1000,
            "ms",
        ),
    )


async def measure_cost(report: Report) -> None:
    """Measure the cost of an idle cell, of checks and of tasks."""
    layout = Layout(norte=False, settings={})
    async with Cell(layout) as cell:
        idle_writes, _ = await _measure_idle(report, cell)
        await _measure_work(report, cell, idle_writes)


async def measure_recovery(report: Report) -> None:
    """Measure recovery from the kill of a host and from an outage of the table."""
    async with Cell(Layout(norte=False, settings={})) as cell:
        cell.kill(cell.hosts[2])
        started_s = time.monotonic()
        killed = cell.hosts.pop()

        async def owned_by_others() -> bool:
            status = (await cell.call_as_operator("GET", "/v1/status")).json()
            owners = set(status["owners"].values())
            return "" not in owners and killed.name not in owners

        await cell.wait_until(owned_by_others, 60, "the others own all shards")
        report.add(
            "recovery, default leases",
            Row("kill to all shards owned", time.monotonic() - started_s, "s"),
        )
        await cell.set_faults("platform", {"mode": "down", "name": "table"})
        ends_s = time.monotonic() + OUTAGE_S
        answered = refused = 0
        while time.monotonic() < ends_s:
            counts = await send_checks(cell, 100)
            answered, refused = answered + counts[0], refused + counts[1]
        await cell.set_faults("platform")
        started_s = time.monotonic()
        await cell.wait_until(cell.all_ready, 30, "all hosts are ready")
        report.add(
            "recovery, default leases",
            Row("checks refused in a table outage", refused / (answered + refused), ""),
            Row("end of outage to all hosts ready", time.monotonic() - started_s, "s"),
        )


def run(report: Report) -> None:
    """Run all control benchmarks."""
    asyncio.run(measure_cost(report))
    asyncio.run(measure_recovery(report))
