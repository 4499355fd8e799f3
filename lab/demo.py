"""The demo: Hanoi's layout with three hosts, one of them killed midway."""

from __future__ import annotations

import asyncio
import sys
import time

from attrs import define, field
from rich.console import Console
from rich.table import Table

from lab.cell import Cell, Response

CHECKS = 300
ORDERS = 10
RE_PLANS = 6
KILL_AFTER = 120
AT_ONCE = 24
TASK_TIMEOUT_S = 30.0
WORK_S = 0.05
TASK_WORK_S = 1.0


@define
class Results:
    """What the demo saw."""

    answers: int = 0
    wrong: int = 0
    waits_s: list[float] = field(factory=list)
    re_routes: int = 0
    not_run: int = 0
    may_have_run: int = 0
    orders: int = 0
    orders_unknown: int = 0
    tasks_done: int = 0
    watcher: str = ""


class Demo:
    """Sends the work and counts what comes back."""

    def __init__(self, cell: Cell):
        self._cell = cell
        self._results = Results()
        self._turn = 0
        self._gate = asyncio.Semaphore(AT_ONCE)

    async def run(self) -> Results:
        """Send everything, and kill one host midway."""
        killer = asyncio.create_task(self._kill_midway())
        tasks = [self._task("re-plan", f"plan-{index}") for index in range(RE_PLANS)]
        tasks += [self._task("city-re-plan", "city"), self._watcher()]
        checks = [self._check(index) for index in range(CHECKS)]
        orders = [self._order(index) for index in range(ORDERS)]
        await asyncio.gather(*checks, *orders, *tasks)
        await killer
        return self._results

    async def _kill_midway(self) -> None:
        while self._results.answers < KILL_AFTER:
            await asyncio.sleep(0.01)
        self._cell.kill(self._cell.hosts[2])

    def _next_host(self) -> object:
        """Stand for the balancer: the next host that still runs."""
        self._turn += 1
        hosts = [
            host
            for host in self._cell.hosts
            if host.process_by_daemon["entry"].poll() is None
        ]
        return hosts[self._turn % len(hosts)]

    async def _check(self, index: int) -> None:
        nonce = f"check-{index}"
        async with self._gate:
            # A caller may send an idempotent request again, as setters do.
            for _ in range(3):
                response = await self._cell.as_team(
                    "setters",
                    "POST",
                    "/v1/run/grade-check",
                    {"nonce": nonce, "work_s": WORK_S},
                    host=self._next_host(),
                )
                if response.status == 200:
                    self._answered(response, nonce)
                    return
                self._results.re_routes += 1

    def _answered(self, response: Response, nonce: str) -> None:
        self._results.answers += 1
        self._results.waits_s.append(float(response.headers.get("X-Waited-S", 0)))
        if response.json()["nonce"] != nonce:
            self._results.wrong += 1

    async def _order(self, index: int) -> None:
        nonce = f"order-{index}"
        async with self._gate:
            # A non-idempotent request goes again only under the same key.
            for _ in range(3):
                response = await self._cell.as_team(
                    "setters",
                    "POST",
                    "/v1/run/hold-order",
                    {"nonce": nonce, "work_s": WORK_S},
                    host=self._next_host(),
                    headers={"Idempotency-Key": nonce},
                )
                if response.status == 200:
                    self._results.orders += 1
                    return
            self._results.orders_unknown += 1

    async def _task(self, workload: str, key: str) -> None:
        body = {"nonce": key, "work_s": TASK_WORK_S}
        task_id = await self._submit("head-setter", workload, key, body)
        ends_s = time.monotonic() + TASK_TIMEOUT_S
        while time.monotonic() < ends_s:
            path = f"/v1/task/{task_id}"
            response = await self._cell.as_team(
                "head-setter", "GET", path, host=self._next_host()
            )
            if response.status == 200 and response.json()["state"] == "succeeded":
                self._results.tasks_done += 1
                return
            await asyncio.sleep(0.25)

    async def _watcher(self) -> None:
        task_id = await self._submit(
            "setters", "hold-watcher", "watch", {"nonce": "watch"}
        )
        ends_s = time.monotonic() + TASK_TIMEOUT_S
        while time.monotonic() < ends_s and self._results.watcher != "running":
            response = await self._cell.as_team(
                "setters", "GET", f"/v1/task/{task_id}", host=self._next_host()
            )
            if response.status == 200:
                self._results.watcher = response.json()["state"]
            await asyncio.sleep(0.25)

    async def _submit(self, team: str, workload: str, key: str, body: dict) -> str:
        for _ in range(5):
            response = await self._cell.as_team(
                team,
                "POST",
                f"/v1/tasks/{workload}",
                body,
                host=self._next_host(),
                headers={"Idempotency-Key": key},
            )
            if response.status == 202:
                return response.json()["task_id"]
        return f"walls:{team}:{key}"


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


async def _retries(cell: Cell) -> int:
    total = 0
    for host in cell.hosts[:2]:
        debug = await cell.as_operator("GET", "/v1/debug", host=host)
        total += debug.json()["retries"]
    return total


async def demo() -> int:
    """Run the demo and return the exit code."""
    console = Console()
    started_s = time.monotonic()
    async with Cell() as cell:
        console.print(f"3 hosts ready after {time.monotonic() - started_s:.1f} s")
        results = await Demo(cell).run()
        minions = await cell.counters("minions")
        workers = await cell.counters("workers")
        retries = await _retries(cell)
    runs = minions["runs_by_nonce"]
    doubled_orders = sum(
        1 for key, n in runs.items() if key.startswith("order") and n > 1
    )
    ninth = sum(item["overcommitted"] for item in minions["minions"].values())
    lost = (
        CHECKS
        - results.answers
        + ORDERS
        - results.orders
        + RE_PLANS
        + 1
        - results.tasks_done
    )
    watcher_lost = int(results.watcher != "running")
    rows = [
        (
            "checks answered",
            f"{results.answers} of {CHECKS}",
            results.answers == CHECKS,
        ),
        (
            "hold orders answered",
            f"{results.orders} of {ORDERS}",
            results.orders == ORDERS,
        ),
        (
            "re-plans and gang done",
            f"{results.tasks_done} of 7",
            results.tasks_done == 7,
        ),
        ("watcher", results.watcher, not watcher_lost),
        ("waiting p50", f"{_percentile(results.waits_s, 0.5) * 1000:.1f} ms", True),
        ("waiting p99", f"{_percentile(results.waits_s, 0.99) * 1000:.1f} ms", True),
        ("re-routes", f"{results.re_routes} by callers, {retries} by entries", True),
        ("wrong answers", str(results.wrong), results.wrong == 0),
        ("doubled", str(doubled_orders + workers["doubled"]), True),
        ("lost", str(lost + watcher_lost), lost + watcher_lost == 0),
        ("overcommit", str(ninth + workers["overcommitted"]), True),
    ]
    bad = doubled_orders + workers["doubled"] + ninth + workers["overcommitted"]
    table = Table("what", "result", "")
    for name, value, good in rows:
        table.add_row(name, value, "ok" if good else "FAILED")
    console.print(table)
    console.print(f"took {time.monotonic() - started_s:.1f} s")
    return 0 if not bad and all(good for _, _, good in rows) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(demo()))
