"""Stand-in for a minion, after "Running tasks" in PROTOCOL.md."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from typing import Any

import orjson
from attrs import define, field
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from review.cell.store import Store

HEARTBEAT_S = 1.5
# The store removes an entry after three heartbeat intervals of silence.
MAX_SILENCE_S = 3 * HEARTBEAT_S
MAX_HOLD_S = 10.0
STOP_S = 0.1
TICK_S = 0.02
MAX_LISTED_ENDS = 500
STARTUP_S = 0.3


@define
class Run:
    """One run of a task.

    :param length_s: how long the task works; infinite for a task that lasts.
    """

    task_id: str
    run_id: int
    length_s: float
    started_s: float
    stops_s: float = float("inf")

    def percent(self, now_s: float) -> int:
        """Return the progress in whole percent."""
        length_s = STARTUP_S if self.length_s == float("inf") else self.length_s
        return min(100, int(100 * (now_s - self.started_s) / max(0.001, length_s)))


@define
class Event:
    """A start or an end of a run, as the minion saw it.

    :param kind: ``start``, or how the run ended; ``crashed`` if the minion did, and
        ``noted`` when ``lastSeen`` has reached the end.
    """

    at_s: float
    kind: str
    minion: str
    task_id: str
    run_id: int


@define
class Minion:
    """One life of a minion.

    :param length_s: returns how long a task works, from its id and ``spec``.
    :param is_up: whether the process lives.
    :param lapsed_s: when the lease was found to have lapsed.
    """

    instance_id: str
    store: Store
    events: list[Event]
    length_s: Callable[[str, str], float]
    cpu: int = 32_000
    memory_mb: int = 128_000
    is_up: bool = True
    fence: int = 0
    deadline_ms: float = 0
    runs: dict[tuple[str, int], Run] = field(factory=dict)
    ends: list[list[Any]] = field(factory=list)
    ended_run: dict[str, int] = field(factory=dict)
    sequence: int = 0
    end_number: int = 0
    born_ms: int = 0
    address: str = ""
    lapsed_s: list[float] = field(factory=list)
    _started_s: float = field(factory=time.monotonic)
    _ended: asyncio.Event = field(factory=asyncio.Event)
    _server: HTTPServer | None = None
    _is_cut: bool = False
    _tasks: list[asyncio.Task[None]] = field(factory=list)

    def clock_ms(self) -> int:
        """Return the minion's steady clock."""
        return int((time.monotonic() - self._started_s) * 1000)

    def open(self, server: HTTPServer, address: str) -> None:
        """Register, and begin to end runs that are due."""
        self._server = server
        self.address = address
        self.born_ms = int(time.time() * 1000)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._register()),
            loop.create_task(self._tick()),
        ]

    async def crash(self) -> None:
        """Lose all runs, answer nothing any more, and never come back.

        The store removes the entry after three heartbeat intervals of silence.
        """
        self.is_up = False
        for run in list(self.runs.values()):
            self._record("crashed", run)
        self.runs.clear()
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        await self._server.close_all_connections()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.store.remove, "servers", self.instance_id)

    async def restart(self, down_s: float) -> None:
        """Crash, and start again under the same id, knowing nothing of before."""
        self.is_up = False
        for run in list(self.runs.values()):
            self._record("crashed", run)
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        await self._server.close_all_connections()
        self.runs, self.ends, self.ended_run = {}, [], {}
        self.fence, self.deadline_ms, self.sequence, self.end_number = 0, 0, 0, 0
        server = await self._listen_after(down_s)
        self._started_s = time.monotonic()
        self.open(server, self.address)
        self.is_up = True

    async def cut_off(self, for_s: float) -> None:
        """Run on, but refuse all connections, and do not write to the store."""
        self._is_cut = True
        self._server.stop()
        await self._server.close_all_connections()
        loop = asyncio.get_running_loop()
        removal = loop.call_later(
            MAX_SILENCE_S, self.store.remove, "servers", self.instance_id
        )
        self._server = await self._listen_after(for_s)
        removal.cancel()
        self._is_cut = False

    async def _listen_after(self, for_s: float) -> HTTPServer:
        """Keep the port but refuse connections for a time, then listen again."""
        host, _, port = self.address.rpartition(":")
        with socket.socket() as reserved:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((host, int(port)))
            await asyncio.sleep(for_s)
            server = HTTPServer(minion_application(self))
            server.listen(int(port), host)
        return server

    def _record(self, kind: str, run: Run) -> None:
        at_s = time.monotonic()
        self.events.append(Event(at_s, kind, self.instance_id, run.task_id, run.run_id))

    async def _register(self) -> None:
        while True:
            if not self.store.is_down and not self._is_cut:
                self.sequence += 1
                self.store.write("servers", self.instance_id, self._entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _entry(self) -> dict[str, Any]:
        return {
            "backend": "desk",
            "address": self.address,
            "zone": "zone-1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self.sequence,
            "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
            "labels": ["kind-1", "rack-1"],
        }

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._end_due_runs()

    def _end_due_runs(self) -> None:
        now_s = time.monotonic()
        has_lapsed = self.clock_ms() > self.deadline_ms
        if has_lapsed:
            self.lapsed_s.append(now_s)
        for run in list(self.runs.values()):
            if has_lapsed:
                self._end(run, "lapsed")
            elif now_s >= run.stops_s:
                self._end(run, "stopped")
            elif now_s >= run.started_s + run.length_s:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task_id, run.run_id]
        self.end_number += 1
        self.ends.append([self.end_number, run.task_id, run.run_id, how, ""])
        self._mark_ended(run.task_id, run.run_id)
        self._record(how, run)
        self._ended.set()
        self._ended = asyncio.Event()

    def _mark_ended(self, task_id: str, run_id: int) -> None:
        self.ended_run[task_id] = max(run_id, self.ended_run.get(task_id, 0))

    # Calls of the system: each returns a status and a body.

    def start(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Start a run."""
        self._end_due_runs()
        if self._is_stale(data):
            return self._refuse("fence")
        key = data["taskId"], data["runId"]
        if key in self.runs:
            return 200, self._reply()
        if data["runId"] <= self.ended_run.get(data["taskId"], 0):
            self._extend(data)
            return self._refuse("old")
        if data["deadlineMs"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(data)
        length_s = self.length_s(data["taskId"], data["spec"])
        run = Run(*key, length_s, time.monotonic())
        self.runs[key] = run
        self._record("start", run)
        return 200, self._reply()

    def stop(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stop a run; reject it from now on if it isn't there."""
        if self._is_stale(data):
            return self._refuse("fence")
        run = self.runs.get((data["taskId"], data["runId"]))
        if run is None:
            self._mark_ended(data["taskId"], data["runId"])
        else:
            run.stops_s = min(run.stops_s, time.monotonic() + STOP_S)
        return 200, self._reply()

    async def hold(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Renew the lease, and list what runs and what has ended."""
        if self._is_stale(data):
            return self._refuse("fence")
        self._end_due_runs()
        self._extend(data)
        self._forget_ends(data["lastSeen"])
        if not self.ends and data.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), data["waitMs"] / 1000)
        now_s = time.monotonic()
        running = [
            [run.task_id, run.run_id, "", run.percent(now_s), 0]
            for run in self.runs.values()
        ]
        finished = self.ends[:MAX_LISTED_ENDS]
        return 200, self._reply(running=running, finished=finished)

    def _forget_ends(self, last_seen: int) -> None:
        """Forget the ends that the caller has taken note of."""
        at_s = time.monotonic()
        for number, task_id, run_id, _, _ in self.ends:
            if number <= last_seen:
                name = self.instance_id
                self.events.append(Event(at_s, "noted", name, task_id, run_id))
        self.ends = [end for end in self.ends if end[0] > last_seen]

    def _reply(self, **data: Any) -> dict[str, Any]:
        return {"clockMs": self.clock_ms(), "born": self.born_ms, **data}

    def _refuse(self, reason: str) -> tuple[int, dict[str, Any]]:
        return 409, self._reply(reason=reason)

    def _is_stale(self, data: dict[str, Any]) -> bool:
        fence = data.get("fence", 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def _extend(self, data: dict[str, Any]) -> None:
        latest_ms = self.clock_ms() + MAX_HOLD_S * 1000
        wanted_ms = min(data.get("deadlineMs") or 0, latest_ms)
        self.deadline_ms = max(self.deadline_ms, wanted_ms)


class _Handler(RequestHandler):
    def initialize(self, minion: Minion) -> None:
        self.minion = minion

    async def post(self, call: str) -> None:
        minion = self.minion
        if not minion.is_up:
            # The connection is about to be closed; nothing is done.
            return
        data = orjson.loads(self.request.body)
        expected = self.request.headers.get("X-Expect-Instance")
        if expected and expected != minion.instance_id:
            status, body = 421, {}
        elif call == "run-start":
            status, body = minion.start(data)
        elif call == "run-stop":
            status, body = minion.stop(data)
        elif call == "hold":
            status, body = await minion.hold(data)
        else:
            status, body = 200, {"clockMs": minion.clock_ms()}
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))


def minion_application(minion: Minion) -> Application:
    """Return the HTTP interface of a minion."""
    return Application(
        [(r"/-/(run-start|run-stop|hold|pace)", _Handler, {"minion": minion})],
        log_function=lambda handler: None,
    )
