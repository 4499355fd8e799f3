"""``make demo``: a cell of three hosts under load, one of which is killed midway."""

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
KILL_AFTER_ANSWERS = 120
MAX_CONCURRENT = 24
TASK_TIMEOUT_S = 30.0
WORK_S = 0.05
TASK_WORK_S = 1.0


@define
class Results:
    """What the callers of the demo received.

    :param waits_s: the time that each answered check waited in the cell.
    :param resends: checks that were sent again after a failure.
    :param orders: how many orders were answered.
    :param orders_unknown: how many orders had no answer after all attempts.
    :param watcher: the last known state of the service task.
    """

    answers: int = 0
    wrong_answers: int = 0
    waits_s: list[float] = field(factory=list)
    resends: int = 0
    not_run: int = 0
    may_have_run: int = 0
    orders: int = 0
    orders_unknown: int = 0
    tasks_done: int = 0
    watcher: str = ""


class Demo:
    """Sends checks, orders and tasks, and counts the answers."""

    def __init__(self, cell: Cell):
        self._cell = cell
        self._results = Results()
        self._next_index = 0
        self._slots = asyncio.Semaphore(MAX_CONCURRENT)

    async def run(self) -> Results:
        """Send everything, and kill one host midway."""
        killer = asyncio.create_task(self._kill_midway())
        tasks = [
            self._run_task("re-plan", f"plan-{index}") for index in range(RE_PLANS)
        ]
        tasks += [self._run_task("city-re-plan", "city"), self._start_watcher()]
        checks = [self._send_check(index) for index in range(CHECKS)]
        orders = [self._send_order(index) for index in range(ORDERS)]
        await asyncio.gather(*checks, *orders, *tasks)
        await killer
        return self._results

    async def _kill_midway(self) -> None:
        while self._results.answers < KILL_AFTER_ANSWERS:
            await asyncio.sleep(0.01)
        self._cell.kill(self._cell.hosts[2])

    def _next_host(self) -> object:
        """Return a live host by round robin, like a load balancer."""
        self._next_index += 1
        hosts = [
            host
            for host in self._cell.hosts
            if host.process_by_daemon["entry"].poll() is None
        ]
        return hosts[self._next_index % len(hosts)]

    async def _send_check(self, index: int) -> None:
        nonce = f"check-{index}"
        async with self._slots:
            # The request is idempotent, so it may be sent again after any failure.
            for _ in range(3):
                response = await self._cell.call_as_team(
                    "setters",
                    "POST",
                    "/v1/run/grade-check",
                    {"nonce": nonce, "work_s": WORK_S},
                    host=self._next_host(),
                )
                if response.status == 200:
                    self._record_answer(response, nonce)
                    return
                self._results.resends += 1

    def _record_answer(self, response: Response, nonce: str) -> None:
        self._results.answers += 1
        self._results.waits_s.append(float(response.headers.get("X-Waited-S", 0)))
        if response.json()["nonce"] != nonce:
            self._results.wrong_answers += 1

    async def _send_order(self, index: int) -> None:
        nonce = f"order-{index}"
        async with self._slots:
            # The request is not idempotent, so it is sent again only with its key.
            for _ in range(3):
                response = await self._cell.call_as_team(
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

    async def _run_task(self, workload: str, key: str) -> None:
        body = {"nonce": key, "work_s": TASK_WORK_S}
        task_id = await self._submit("head-setter", workload, key, body)
        ends_s = time.monotonic() + TASK_TIMEOUT_S
        while time.monotonic() < ends_s:
            path = f"/v1/task/{task_id}"
            response = await self._cell.call_as_team(
                "head-setter", "GET", path, host=self._next_host()
            )
            if response.status == 200 and response.json()["state"] == "succeeded":
                self._results.tasks_done += 1
                return
            await asyncio.sleep(0.25)

    async def _start_watcher(self) -> None:
        task_id = await self._submit(
            "setters", "hold-watcher", "watch", {"nonce": "watch"}
        )
        ends_s = time.monotonic() + TASK_TIMEOUT_S
        while time.monotonic() < ends_s and self._results.watcher != "running":
            response = await self._cell.call_as_team(
                "setters", "GET", f"/v1/task/{task_id}", host=self._next_host()
            )
            if response.status == 200:
                self._results.watcher = response.json()["state"]
            await asyncio.sleep(0.25)

    async def _submit(self, team: str, workload: str, key: str, body: dict) -> str:
        for _ in range(5):
            response = await self._cell.call_as_team(
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


async def _count_retries(cell: Cell) -> int:
    total = 0
    for host in cell.hosts[:2]:
        debug = await cell.call_as_operator("GET", "/v1/debug", host=host)
        total += debug.json()["retries"]
    return total


async def demo() -> int:
    """Run the demo, print its results and return the exit code."""
    console = Console()
    started_s = time.monotonic()
    async with Cell() as cell:
        console.print(f"3 hosts ready after {time.monotonic() - started_s:.1f} s")
        results = await Demo(cell).run()
        minions = await cell.counters("minions")
        workers = await cell.counters("workers")
        retries = await _count_retries(cell)
    runs = minions["runs_by_nonce"]
    doubled_orders = sum(
        1 for key, n in runs.items() if key.startswith("order") and n > 1
    )
    minion_overcommits = sum(
        item["overcommitted"] for item in minions["minions"].values()
    )
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
        ("re-routes", f"{results.resends} by callers, {retries} by entries", True),
        ("wrong answers", str(results.wrong_answers), results.wrong_answers == 0),
        ("doubled", str(doubled_orders + workers["doubled"]), True),
        ("lost", str(lost + watcher_lost), lost + watcher_lost == 0),
        ("overcommit", str(minion_overcommits + workers["overcommitted"]), True),
    ]
    violations = (
        doubled_orders
        + workers["doubled"]
        + minion_overcommits
        + workers["overcommitted"]
    )
    table = Table("what", "result", "")
    for name, value, ok in rows:
        table.add_row(name, value, "ok" if ok else "FAILED")
    console.print(table)
    console.print(f"took {time.monotonic() - started_s:.1f} s")
    return 0 if not violations and all(ok for _, _, ok in rows) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(demo()))
