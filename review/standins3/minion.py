"""A stand-in for a minion: runs tasks on orders, under leases and a fence."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import secrets
import socket
import time
from collections.abc import Callable
from typing import Any

from attrs import define
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from review.standins3.record import Record
from review.standins3.store import Store

TICK_S = 0.01
HEARTBEAT_S = 1.5
# The store drops an entry after so many heartbeats without a renewal.
HEARTBEATS_UNTIL_EXPIRY = 3
STOP_S = 0.1
# Connections that fill the queue of a dark minion's port.
QUEUE_FILLERS = 4
# How long a run waits for the others of its gang.
GANG_WAIT_S = 3.0
CHECKPOINT = ""


@define
class Run:
    """A task that the minion has begun.

    Times are monotonic seconds.

    :param length_s: how long the work takes; infinite for a task that lasts.
    :param stop_at_s: when a stop takes effect; infinite without one.
    :param is_waiting: whether it waits for other tasks of its gang.
    """

    task: str
    number: int
    spec: str
    started_s: float
    length_s: float
    stop_at_s: float = math.inf
    is_waiting: bool = False

    def percent(self, now_s: float) -> int:
        """Return the progress."""
        if self.is_waiting:
            return 0
        if math.isinf(self.length_s):
            return 100
        return min(99, int(100 * (now_s - self.started_s) / self.length_s))


@define
class RunEnd:
    """An entry of the history of runs, over all incarnations.

    :param how: ``crashed``, or as in the list of ends.
    """

    task: str
    number: int
    minion: str
    started_s: float
    ended_s: float
    how: str


class GangBoard:
    """Brings the tasks of gangs together: they work from the moment all are present.

    :param size_of: returns the number of tasks of a task's gang, 0 for no gang.
    """

    def __init__(self, size_of: Callable[[str, str], int]):
        self._size_of = size_of
        self._members: dict[tuple[str, int], dict[str, tuple[Minion, Run]]] = {}

    def join(self, minion: Minion, run: Run) -> None:
        """Add a run; if its gang is complete, let all its runs work."""
        size = self._size_of(run.task, run.spec)
        if not size:
            return
        members = self._members.setdefault(_gang_of(run), {})
        members[run.task] = (minion, run)
        run.is_waiting = len(members) < size
        if not run.is_waiting:
            now_s = time.monotonic()
            for _, member in members.values():
                member.is_waiting = False
                member.started_s = now_s

    def ended(self, run: Run, how: str) -> None:
        """End the other runs of a gang, together with one that has ended."""
        members = self._members.pop(_gang_of(run), {})
        members.pop(run.task, None)
        for minion, member in members.values():
            if minion.runs.get(member.task) is member:
                minion.end(member, "done" if how == "done" else "broken")


def _gang_of(run: Run) -> tuple[str, int]:
    return run.task.rpartition(".")[0], run.number


class Minion:
    """A minion with its HTTP server and its entry in the store.

    :param length_of: returns how long a task works, by its name and spec.
    :param history: receives the runs that have ended.
    :param cpu: its capacity in thousandths of a core.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record: Record,
        length_of: Callable[[str, str], float],
        history: list[RunEnd],
        cpu: int = 16_000,
        gangs: GangBoard | None = None,
    ):
        self.name = name
        self.cpu = cpu
        self._service = service
        self._store = store
        self._record = record
        self._length_of = length_of
        self._history = history
        self._gangs = gangs or GangBoard(lambda task, spec: 0)
        self._server: HTTPServer | None = None
        self._port = 0
        self._sockets: list[socket.socket] = []
        self._fillers: list[socket.socket] = []
        self._tasks: list[asyncio.Task] = []
        self._seq = 0
        self.is_up = False
        self.is_dark = False
        self._reset()

    def _reset(self) -> None:
        """Begin an incarnation, which knows nothing of the one before."""
        self.instance_id = f"i-{secrets.token_hex(5)}"
        self._born_s = time.monotonic()
        self._born_ms = time.time_ns() // 1_000_000
        self.runs: dict[str, Run] = {}
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._highest_ended: dict[str, int] = {}
        self._fence = 0
        self._deadline_ms = 0.0
        self._end_listed = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the incarnation's steady clock."""
        return int((time.monotonic() - self._born_s) * 1000)

    # Life.

    async def open(self) -> None:
        """Start the first incarnation, or one after a crash."""
        sockets = bind_sockets(self._port, "127.0.0.1", family=socket.AF_INET)
        self._port = sockets[0].getsockname()[1]
        self._sockets = sockets
        self._server = HTTPServer(self._application())
        self._server.add_sockets(sockets)
        self.is_up = True
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self._send_heartbeats()),
        ]
        self._record.note(self.name, "up", id=self.instance_id, cpu=self.cpu)

    async def crash(self) -> None:
        """End the process: connections are reset, all runs are gone."""
        self._record.note(self.name, "crashes", running=sorted(self.runs))
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        now_s = time.monotonic()
        runs = list(self.runs.values())
        self.runs.clear()
        for run in runs:
            self._note_end(run, "crashed", now_s)
            self._gangs.ended(run, "crashed")
        self._server.stop()
        await self._server.close_all_connections()
        loop = asyncio.get_running_loop()
        loop.create_task(self._expire(self.instance_id))

    async def go_dark(self) -> None:
        """Lose power for good: nothing is answered any more, and all runs are gone.

        New connections hang: the queue of the port is full and nobody accepts.
        """
        self._record.note(self.name, "goes dark", running=sorted(self.runs))
        self.is_dark = True
        for sock in self._sockets:
            IOLoop.current().remove_handler(sock)
            sock.listen(0)
            for _ in range(QUEUE_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(sock.getsockname())
                self._fillers.append(filler)
        for task in self._tasks:
            task.cancel()
        now_s = time.monotonic()
        runs = list(self.runs.values())
        self.runs.clear()
        for run in runs:
            self._note_end(run, "crashed", now_s)
            self._gangs.ended(run, "crashed")
        loop = asyncio.get_running_loop()
        loop.create_task(self._expire(self.instance_id))

    async def be_silent_if_dark(self) -> None:
        """Never return if the minion is dark."""
        if self.is_dark:
            await asyncio.Event().wait()

    async def _expire(self, instance_id: str) -> None:
        await asyncio.sleep(HEARTBEATS_UNTIL_EXPIRY * HEARTBEAT_S)
        self._store.drop("servers", instance_id)

    async def start_again(self, cpu: int | None = None) -> None:
        """Start another incarnation at the same address, with an id of its own."""
        self.cpu = cpu or self.cpu
        self._reset()
        await self.open()

    async def close(self) -> None:
        """End the minion."""
        for task in self._tasks:
            task.cancel()
        for filler in self._fillers:
            filler.close()
        if self.is_up:
            self.is_up = False
            self._server.stop()
            await self._server.close_all_connections()

    async def _send_heartbeats(self) -> None:
        while True:
            self._seq += 1
            self._store.put(
                "servers",
                self.instance_id,
                {
                    "backend": self._service,
                    "address": f"127.0.0.1:{self._port}",
                    "zone": "zone-1",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "capacity": {"cpu": self.cpu, "memMb": 32_768, "gpu": 0},
                    "labels": ["a", "r1-1"],
                    "clockMs": self.clock_ms(),
                    "born": self._born_ms,
                    "seq": self._seq,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    # Runs.

    async def _tick(self) -> None:
        while True:
            now_s = time.monotonic()
            for run in list(self.runs.values()):
                if self.runs.get(run.task) is not run:
                    continue
                if now_s >= run.stop_at_s:
                    self.end(run, "stopped")
                elif self.clock_ms() >= self._deadline_ms:
                    self.end(run, "lapsed")
                elif run.is_waiting:
                    if now_s >= run.started_s + GANG_WAIT_S:
                        self.end(run, "alone")
                elif now_s >= run.started_s + run.length_s:
                    self.end(run, "done")
            await asyncio.sleep(TICK_S)

    def end(self, run: Run, how: str) -> None:
        """End a run, list that, and tell its gang."""
        del self.runs[run.task]
        self._end_count += 1
        self._highest_ended[run.task] = max(
            run.number, self._highest_ended.get(run.task, 0)
        )
        self._ended.append([self._end_count, run.task, run.number, how, CHECKPOINT])
        self._note_end(run, how, time.monotonic())
        self._end_listed.set()
        self._gangs.ended(run, how)

    def _note_end(self, run: Run, how: str, now_s: float) -> None:
        self._history.append(
            RunEnd(run.task, run.number, self.name, run.started_s, now_s, how)
        )
        self._record.note(self.name, "ends", task=run.task, run=run.number, how=how)

    def start(self, call: dict[str, Any]) -> tuple[int, str]:
        """Carry out a start; return the status and the reason of a refusal."""
        task, number = call["taskId"], call["runId"]
        if not self._accept_fence(call):
            return 409, "fence"
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return 200, ""
        if number <= self._highest_ended.get(task, 0):
            self._extend(call)
            return 409, "old"
        if call["deadlineMs"] <= self.clock_ms():
            return 409, "late"
        self._extend(call)
        run = Run(
            task,
            number,
            call["spec"],
            time.monotonic(),
            self._length_of(task, call["spec"]),
        )
        self.runs[task] = run
        self._record.note(self.name, "starts", task=task, run=number)
        self._gangs.join(self, run)
        return 200, ""

    def stop(self, call: dict[str, Any]) -> tuple[int, str]:
        """Carry out a stop; return the status and the reason of a refusal."""
        task, number = call["taskId"], call["runId"]
        if not self._accept_fence(call):
            return 409, "fence"
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.stop_at_s = min(run.stop_at_s, time.monotonic() + STOP_S)
        if run is None:
            self._highest_ended[task] = max(number, self._highest_ended.get(task, 0))
        self._record.note(self.name, "stop-ordered", task=task, run=number)
        return 200, ""

    async def hold(self, call: dict[str, Any]) -> tuple[int, str, dict[str, Any]]:
        """Renew the lease and list the runs, when one ends or the wait is over."""
        if not self._accept_fence(call):
            return 409, "fence", {}
        self._extend(call)
        seen = call.get("lastSeen", 0)
        self._ended = [row for row in self._ended if row[0] > seen]
        if not self._ended and call.get("waitMs"):
            self._end_listed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._end_listed.wait(), min(2000, call["waitMs"]) / 1000
                )
        now_s = time.monotonic()
        running = [
            [run.task, run.number, CHECKPOINT, run.percent(now_s), 0]
            for run in self.runs.values()
        ]
        lists = {"running": running, "finished": self._ended[:500]}
        return 200, "", {**lists, "born": self._born_ms}

    def _accept_fence(self, call: dict[str, Any]) -> bool:
        fence = call.get("fence", 0)
        if fence < self._fence:
            return False
        self._fence = fence
        return True

    def _extend(self, call: dict[str, Any]) -> None:
        deadline_ms = call.get("deadlineMs")
        if deadline_ms is not None:
            longest_ms = self.clock_ms() + 10_000
            self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _application(self) -> Application:
        options = {"minion": self, "instance_id": self.instance_id}
        return Application(
            [
                (r"/-/run-start", _StartHandler, options),
                (r"/-/run-stop", _StopHandler, options),
                (r"/-/hold", _HoldHandler, options),
                (r"/-/pace", _PaceHandler, options),
                (r"/healthz", _HealthHandler, options),
            ],
            log_function=lambda handler: None,
        )


class _Handler(RequestHandler):
    def initialize(self, minion: Minion, instance_id: str) -> None:
        self.minion = minion
        self._instance_id = instance_id

    async def prepare(self) -> None:
        await self.minion.be_silent_if_dark()
        expected = self.request.headers.get("X-Expect-Instance")
        if expected is not None and expected != self._instance_id:
            self.reply(421, "", {})

    def reply(self, status: int, reason: str, data: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        body = {"clockMs": self.minion.clock_ms(), **data}
        if reason:
            body["reason"] = reason
        self.finish(json.dumps(body))

    @property
    def call(self) -> dict[str, Any]:
        return json.loads(self.request.body)


class _StartHandler(_Handler):
    def post(self) -> None:
        self.reply(*self.minion.start(self.call), {})


class _StopHandler(_Handler):
    def post(self) -> None:
        self.reply(*self.minion.stop(self.call), {})


class _HoldHandler(_Handler):
    async def post(self) -> None:
        answer = await self.minion.hold(self.call)
        await self.minion.be_silent_if_dark()
        self.reply(*answer)


class _PaceHandler(_Handler):
    def post(self) -> None:
        self.reply(200, "", {})


class _HealthHandler(_Handler):
    def get(self) -> None:
        self.reply(200, "", {})
