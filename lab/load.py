"""Sends a mixed load to a cell, and checks the cell's invariants afterwards.

The load consists of *checks*, short requests that are idempotent; *orders*, short
requests that are not, each sent twice under one idempotency key; and *tasks*. The
invariants are checked against the counters of the stand-ins and the responses that
callers received:

1. No minion runs more requests than it has slots, and no worker more members than fit
   into its capacity.
2. No member of a task runs in two places at the same time.
3. Each caller gets the answer to its own request.
4. A request that was reported as *not run* did not run.
5. An order runs at most once.
6. An upstream gets no new work later than 5 s (``LEAVING_GRACE_S`` of the stand-ins)
   after it leaves.
7. A planned stop of a host cuts no request in flight.
8. The configuration version of a host never decreases, and a published version is
   active on all hosts within `ACTIVATION_TIMEOUT_S`. The second half is checked by
   ``run_scenario`` in ``tests/test_invariants.py``.
"""

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
# Time limit for a published configuration to become active on all hosts.
ACTIVATION_TIMEOUT_S = 9.0


@define
class SentRequest:
    """One request and the response that its caller received.

    :param nonce: identifies the request; the upstream counts it and returns it.
    :param status: HTTP status, 0 without a response.
    """

    nonce: str
    status: int = 0
    verdict: str = ""
    body: bytes = b""
    task_id: str = ""


@define
class LoadGenerator:
    """Sends checks, orders and tasks to random live hosts until it is stopped.

    :param seed: seed of the random choice of hosts.
    :param version_by_member: the last configuration version of each entry process.
    :param version_decreases: entry processes whose version decreased.
    :param excluded_hosts: names of hosts that get no requests.
    :param cuts_are_violations: whether a request that was cut in flight counts as a
        violation. Set it only if no process is killed: a kill cuts the requests in
        flight.
    """

    cell: Cell
    seed: int = 1
    checks: list[SentRequest] = field(factory=list)
    orders: list[SentRequest] = field(factory=list)
    tasks: list[SentRequest] = field(factory=list)
    version_by_member: dict[str, int] = field(factory=dict)
    version_decreases: list[str] = field(factory=list)
    _in_flight: set[asyncio.Task] = field(factory=set)
    _send_loops: list[asyncio.Task] = field(factory=list)
    _numbers: itertools.count = field(factory=itertools.count)
    _rng: random.Random = field(factory=lambda: random.Random(1))
    excluded_hosts: set[str] = field(factory=set)
    cuts_are_violations: bool = False

    def start(self) -> None:
        """Start sending."""
        self._rng = random.Random(self.seed)
        sends = [
            (CHECK_INTERVAL_S, self._send_check),
            (ORDER_INTERVAL_S, self._send_order),
            (TASK_INTERVAL_S, self._submit_task),
            (VERSION_INTERVAL_S, self._poll_version),
        ]
        for interval_s, send in sends:
            self._send_loops.append(
                asyncio.create_task(self._send_every(interval_s, send))
            )

    async def stop(self) -> None:
        """Stop sending and wait up to 30 s for the calls in flight."""
        for loop in self._send_loops:
            loop.cancel()
        if self._in_flight:
            await asyncio.wait(self._in_flight, timeout=30.0)

    async def _send_every(self, interval_s: float, send) -> None:
        while True:
            call = asyncio.create_task(send())
            self._in_flight.add(call)
            call.add_done_callback(self._in_flight.discard)
            await asyncio.sleep(interval_s)

    def send_slow(self, host: Host, count: int, work_s: float) -> None:
        """Send checks that take ``work_s`` through one host, without waiting."""
        for _ in range(count):
            sent = SentRequest(f"check-{next(self._numbers)}")
            self.checks.append(sent)
            headers = {"X-Deadline-S": str(DEADLINE_S)}
            work = self._send_request(sent, "grade-check", headers, host, work_s)
            call = asyncio.create_task(work)
            self._in_flight.add(call)
            call.add_done_callback(self._in_flight.discard)

    def pick_host(self) -> Host:
        """Return a random live host that is not excluded."""
        hosts = [
            host
            for host in self.cell.hosts
            if host.process_by_daemon["entry"].poll() is None
            and host.name not in self.excluded_hosts
        ]
        return self._rng.choice(hosts)

    async def _send_check(self) -> None:
        sent = SentRequest(f"check-{next(self._numbers)}")
        self.checks.append(sent)
        await self._send_request(sent, "grade-check", {"X-Deadline-S": str(DEADLINE_S)})

    async def _send_order(self) -> None:
        sent = SentRequest(f"order-{next(self._numbers)}")
        self.orders.append(sent)
        headers = {"X-Deadline-S": str(DEADLINE_S), "Idempotency-Key": sent.nonce}
        # Two concurrent calls with one key, each through a host of its own choice.
        first = self._send_request(sent, "hold-order", headers)
        await asyncio.gather(
            first, self._send_request(SentRequest(sent.nonce), "hold-order", headers)
        )

    async def _send_request(
        self,
        sent: SentRequest,
        workload: str,
        headers: dict[str, str],
        host: Host | None = None,
        work_s: float = WORK_S,
    ) -> None:
        body = {"nonce": sent.nonce, "work_s": work_s}
        response = await self.cell.call_as_team(
            "setters",
            "POST",
            f"/v1/run/{workload}",
            body,
            host=host or self.pick_host(),
            headers=headers,
            timeout_s=DEADLINE_S + 5.0,
        )
        self._record_response(sent, response)

    def _record_response(self, sent: SentRequest, response: Response) -> None:
        sent.status = response.status
        sent.verdict = response.verdict
        sent.body = response.body

    async def _submit_task(self) -> None:
        sent = SentRequest(f"task-{next(self._numbers)}")
        self.tasks.append(sent)
        body = {"nonce": sent.nonce, "work_s": 0.8}
        response = await self.cell.call_as_team(
            "head-setter",
            "POST",
            "/v1/tasks/re-plan",
            body,
            host=self.pick_host(),
            headers={"Idempotency-Key": sent.nonce},
            timeout_s=20.0,
        )
        self._record_response(sent, response)
        if response.status == 202:
            sent.task_id = response.json()["task_id"]

    async def _poll_version(self) -> None:
        host = self.pick_host()
        response = await self.cell.call("GET", host.url + "/readyz", timeout_s=2.0)
        if response.status in (200, 503):
            member = f"{host.name} {response.json()['member']}"
            version = response.json()["config_version"]
            if version < self.version_by_member.get(member, 0):
                self.version_decreases.append(member)
            self.version_by_member[member] = version


async def wait_for_tasks(load: LoadGenerator, timeout_s: float = 40.0) -> list[str]:
    """Wait until every accepted task has succeeded or was cancelled.

    :return: the ids of the tasks that had done neither within ``timeout_s`` seconds.
    """
    ends_s = time.monotonic() + timeout_s
    waiting = {sent.task_id for sent in load.tasks if sent.task_id}
    while waiting and time.monotonic() < ends_s:
        for task_id in sorted(waiting):
            host = load.pick_host()
            response = await load.cell.call_as_team(
                "head-setter", "GET", f"/v1/task/{task_id}", host=host
            )
            if response.status == 200 and response.json()["state"] in (
                "succeeded",
                "cancelled",
            ):
                waiting.discard(task_id)
        await asyncio.sleep(0.2)
    return sorted(waiting)


async def find_violations(load: LoadGenerator) -> list[str]:
    """Return the violations of the invariants, each starting with its number.

    Whether a published version became active is not checked here.
    """
    minions = await load.cell.counters("minions")
    workers = await load.cell.counters("workers")
    runs = minions["runs_by_nonce"]
    found = []
    overcommitted = {
        name for name, item in minions["minions"].items() if item["overcommitted"]
    }
    if overcommitted or workers["overcommitted"]:
        found.append(
            f"1 overcommitted: minions {sorted(overcommitted)},"
            f" workers {workers['overcommitted']} times"
        )
    if workers["doubled"]:
        found.append(f"2 ran in two places: {workers['doubled']} times")
    for sent in [*load.checks, *load.orders]:
        if sent.status == 200 and f'"nonce":"{sent.nonce}"'.encode() not in sent.body:
            found.append(f"3 wrong answer: {sent}")
    for sent in [*load.checks, *load.orders]:
        # An order may have been run by the other call with its key.
        if (
            sent.verdict == "not run"
            and sent.nonce.startswith("check")
            and runs.get(sent.nonce)
        ):
            found.append(f"4 reported not run, but ran: {sent}")
    for sent in load.tasks:
        if (
            sent.verdict == "not run"
            and f"walls:head-setter:{sent.nonce}" in (workers["starts_by_task"])
        ):
            found.append(f"4 reported not run, but ran: {sent}")
    for sent in load.orders:
        if runs.get(sent.nonce, 0) > 1:
            found.append(f"5 ran {runs[sent.nonce]} times: {sent}")
    late = {name for name, item in minions["minions"].items() if item["after_leaving"]}
    if late or workers["after_leaving"]:
        found.append(
            f"6 work after leaving: minions {sorted(late)},"
            f" workers {workers['after_leaving']} times"
        )
    all_sent = [*load.checks, *load.orders]
    unanswered = [sent for sent in all_sent if sent.status == 0]
    # Refused connections, which are *not run*, are no violation: a replacement host
    # gets requests before it listens.
    cut = [sent.nonce for sent in unanswered if sent.verdict != "not run"]
    if load.cuts_are_violations and cut:
        found.append(f"7 cut in flight: {cut[:5]}")
    if load.version_decreases:
        found.append(f"8 version decreased: {load.version_decreases}")
    return found
