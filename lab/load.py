"""Mixed load on a cell, and the judge of what must always hold."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

from attrs import define, field

from lab.cell import Cell, Host, Response

CHECK_INTERVAL_S = 0.01
ORDER_INTERVAL_S = 0.08
TASK_INTERVAL_S = 0.25
VERSION_INTERVAL_S = 0.2
DEADLINE_S = 3.0
WORK_S = 0.03
IN_FORCE_S = 9.0


@define
class Sent:
    """One request and what its caller was told last."""

    nonce: str
    status: int = 0
    verdict: str = ""
    body: bytes = b""
    task_id: str = ""


@define
class Load:
    """Sends checks, orders and tasks through the hosts in turn, until stopped."""

    cell: Cell
    seed: int = 1
    checks: list[Sent] = field(factory=list)
    orders: list[Sent] = field(factory=list)
    tasks: list[Sent] = field(factory=list)
    versions_by_host: dict[str, int] = field(factory=dict)
    went_back: list[str] = field(factory=list)
    _calls: set[asyncio.Task] = field(factory=set)
    _senders: list[asyncio.Task] = field(factory=list)
    _names: itertools.count = field(factory=itertools.count)
    _source: random.Random = field(factory=lambda: random.Random(1))
    avoid: set[str] = field(factory=set)
    nothing_dies: bool = False

    def start(self) -> None:
        """Begin to send."""
        self._source = random.Random(self.seed)
        steps = [
            (CHECK_INTERVAL_S, self._check),
            (ORDER_INTERVAL_S, self._order),
            (TASK_INTERVAL_S, self._task),
            (VERSION_INTERVAL_S, self._look),
        ]
        for interval_s, send in steps:
            self._senders.append(asyncio.create_task(self._send_each(interval_s, send)))

    async def stop(self) -> None:
        """Send nothing more and wait for what is under way."""
        for sender in self._senders:
            sender.cancel()
        if self._calls:
            await asyncio.wait(self._calls, timeout=30.0)

    async def _send_each(self, interval_s: float, send) -> None:
        while True:
            call = asyncio.create_task(send())
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await asyncio.sleep(interval_s)

    def send_slow(self, host: Host, count: int, work_s: float) -> None:
        """Put checks in flight through one host that take a while."""
        for _ in range(count):
            sent = Sent(f"check-{next(self._names)}")
            self.checks.append(sent)
            headers = {"X-Deadline-S": str(DEADLINE_S)}
            work = self._run(sent, "grade-check", headers, host, work_s)
            call = asyncio.create_task(work)
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    def _host(self) -> Host:
        hosts = [
            host
            for host in self.cell.hosts
            if host.process_by_daemon["entry"].poll() is None
            and host.name not in self.avoid
        ]
        return self._source.choice(hosts)

    async def _check(self) -> None:
        sent = Sent(f"check-{next(self._names)}")
        self.checks.append(sent)
        await self._run(sent, "grade-check", {"X-Deadline-S": str(DEADLINE_S)})

    async def _order(self) -> None:
        sent = Sent(f"order-{next(self._names)}")
        self.orders.append(sent)
        headers = {"X-Deadline-S": str(DEADLINE_S), "Idempotency-Key": sent.nonce}
        # Twice under one key, at about the same time and through any two hosts.
        first = self._run(sent, "hold-order", headers)
        await asyncio.gather(first, self._run(Sent(sent.nonce), "hold-order", headers))

    async def _run(
        self,
        sent: Sent,
        workload: str,
        headers: dict[str, str],
        host: Host | None = None,
        work_s: float = WORK_S,
    ) -> None:
        body = {"nonce": sent.nonce, "work_s": work_s}
        response = await self.cell.as_team(
            "setters",
            "POST",
            f"/v1/run/{workload}",
            body,
            host=host or self._host(),
            headers=headers,
            timeout_s=DEADLINE_S + 5.0,
        )
        self._note(sent, response)

    def _note(self, sent: Sent, response: Response) -> None:
        sent.status = response.status
        sent.verdict = response.verdict
        sent.body = response.body

    async def _task(self) -> None:
        sent = Sent(f"task-{next(self._names)}")
        self.tasks.append(sent)
        body = {"nonce": sent.nonce, "work_s": 0.8}
        response = await self.cell.as_team(
            "head-setter",
            "POST",
            "/v1/tasks/re-plan",
            body,
            host=self._host(),
            headers={"Idempotency-Key": sent.nonce},
            timeout_s=20.0,
        )
        self._note(sent, response)
        if response.status == 202:
            sent.task_id = response.json()["task_id"]

    async def _look(self) -> None:
        host = self._host()
        response = await self.cell.call("GET", host.url + "/readyz", timeout_s=2.0)
        if response.status in (200, 503):
            member = f"{host.name} {response.json()['member']}"
            version = response.json()["config_version"]
            if version < self.versions_by_host.get(member, 0):
                self.went_back.append(member)
            self.versions_by_host[member] = version


async def wait_for_tasks(load: Load, timeout_s: float = 40.0) -> list[str]:
    """Wait until every accepted task has succeeded; return those that have not."""
    ends_s = time.monotonic() + timeout_s
    waiting = {sent.task_id for sent in load.tasks if sent.task_id}
    while waiting and time.monotonic() < ends_s:
        for task_id in sorted(waiting):
            host = load._host()
            response = await load.cell.as_team(
                "head-setter", "GET", f"/v1/task/{task_id}", host=host
            )
            if response.status == 200 and response.json()["state"] in (
                "succeeded",
                "cancelled",
            ):
                waiting.discard(task_id)
        await asyncio.sleep(0.2)
    return sorted(waiting)


async def broken_promises(load: Load) -> list[str]:
    """Return which of the eight points did not hold, by the stand-ins' counters."""
    minions = await load.cell.counters("minions")
    workers = await load.cell.counters("workers")
    runs = minions["runs_by_nonce"]
    found = []
    ninth = {name for name, item in minions["minions"].items() if item["overcommitted"]}
    if ninth or workers["overcommitted"]:
        found.append(
            f"1 overcommit: {sorted(ninth)}, workers {workers['overcommitted']}"
        )
    if workers["doubled"]:
        found.append(f"2 two places: {workers['doubled']}")
    for sent in [*load.checks, *load.orders]:
        if sent.status == 200 and f'"nonce":"{sent.nonce}"'.encode() not in sent.body:
            found.append(f"3 not its own answer: {sent}")
    for sent in [*load.checks, *load.orders]:
        if (
            sent.verdict == "not run"
            and sent.nonce.startswith("check")
            and runs.get(sent.nonce)
        ):
            found.append(f"4 told not run, but ran: {sent}")
    for sent in load.tasks:
        if (
            sent.verdict == "not run"
            and f"walls:head-setter:{sent.nonce}" in (workers["starts_by_task"])
        ):
            found.append(f"4 told not run, but ran: {sent}")
    for sent in load.orders:
        if runs.get(sent.nonce, 0) > 1:
            found.append(f"5 ran {runs[sent.nonce]} times: {sent}")
    late = {name for name, item in minions["minions"].items() if item["after_leaving"]}
    if late or workers["after_leaving"]:
        found.append(
            f"6 work after leaving: {sorted(late)}, workers {workers['after_leaving']}"
        )
    sent_all = [*load.checks, *load.orders]
    # Refused connections are left out: a replacement is tried before it listens.
    unanswered = [sent for sent in sent_all if sent.status == 0]
    cut = [sent.nonce for sent in unanswered if sent.verdict != "not run"]
    if load.nothing_dies and cut:
        found.append(f"7 cut in flight: {cut[:5]}")
    if load.went_back:
        found.append(f"8 a version went back: {load.went_back}")
    return found
