"""A stand-in worker whose connections and process fail in the ways of real ones."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from typing import Any

import orjson
from attrs import define, field
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application, RequestHandler

from review.cell.minion import HEARTBEAT_S, MAX_SILENCE_S, Minion

# Closing a socket with this option sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@define(eq=False)
class FaultyWorker(Minion):
    """A worker with faults that may overlap.

    :param rng: decides which answers are lost.
    :ivar life: number of its incarnation.
    """

    rng: random.Random = field(factory=random.Random, kw_only=True)
    life: int = field(default=0, init=False)
    _cuts: int = field(default=0, init=False)
    _store_cuts: int = field(default=0, init=False)
    _answer_loss: float = field(default=0.0, init=False)
    _is_busy_by_stream: dict[IOStream, bool] = field(factory=dict, init=False)
    _silent_sockets: list[socket.socket] = field(factory=list, init=False)

    def open(self, server: HTTPServer, address: str) -> None:
        """Register, and listen at the address in place of the given server."""
        server.stop()
        super().open(server, address)
        self._listen()

    async def cut_off(self, for_s: float, has_store: bool = False) -> None:
        """Run on, but reset and refuse all connections for a time.

        :param has_store: whether the worker still reaches the store.
        """
        self._cuts += 1
        self._store_cuts += not has_store
        self._stop_listening()
        self._reset_connections()
        loop = asyncio.get_running_loop()
        removal = loop.call_later(MAX_SILENCE_S, self._expire)
        await asyncio.sleep(for_s)
        removal.cancel()
        self._store_cuts -= not has_store
        self._cuts -= 1
        self._listen()

    async def reset_after_execution(self, for_s: float, share: float) -> None:
        """Reset some connections after the request was carried out."""
        self._answer_loss = share
        await asyncio.sleep(for_s)
        self._answer_loss = 0.0

    async def start_again(self, down_s: float, is_silent: bool) -> None:
        """Crash, and start again under the same id, knowing nothing of before.

        :param is_silent: whether calls in progress get no reset, as when the machine
            crashes and not only the process.
        """
        if not self.is_up:
            return
        self._die(is_silent)
        await asyncio.sleep(down_s)
        self._begin_life()

    def close(self) -> None:
        """End all tasks and connections."""
        for task in self._tasks:
            task.cancel()
        self._stop_listening()
        self._reset_connections()
        for silent in self._silent_sockets:
            silent.close()

    def loses_answer(self) -> bool:
        """Return whether the next answer is lost."""
        return self.rng.random() < self._answer_loss

    def opened(self, stream: IOStream) -> None:
        """Keep a new connection, to reset it."""
        self._is_busy_by_stream = {
            item: is_busy
            for item, is_busy in self._is_busy_by_stream.items()
            if not item.closed()
        }
        self._is_busy_by_stream[stream] = False

    def set_busy(self, stream: IOStream, is_busy: bool) -> None:
        """Record whether a call is in progress on a connection."""
        if stream in self._is_busy_by_stream:
            self._is_busy_by_stream[stream] = is_busy

    def _listen(self) -> None:
        if self._cuts or not self.is_up:
            return
        self._stop_listening()
        host, _, port = self.address.rpartition(":")
        self._server = _Server(_application(self))
        self._server.worker = self
        self._server.listen(int(port), host)

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.stop()

    def _reset_connections(self) -> None:
        for stream in list(self._is_busy_by_stream):
            _reset(stream)

    def _expire(self) -> None:
        """Remove the entry in the store after a long silence there."""
        if self._store_cuts:
            self.store.remove("servers", self.instance_id)

    def _die(self, is_silent: bool) -> None:
        self.is_up = False
        for run in self.runs.values():
            self._record("crashed", run)
        for task in self._tasks:
            task.cancel()
        self._stop_listening()
        if is_silent:
            self._silence_calls_in_progress()
        self._reset_connections()
        self.runs, self.ends, self.ended_run = {}, [], {}
        self.fence, self.deadline_ms, self.sequence, self.end_number = 0, 0, 0, 0

    def _silence_calls_in_progress(self) -> None:
        """Close the streams of calls in progress, but not their connections."""
        for stream, is_busy in list(self._is_busy_by_stream.items()):
            if is_busy and stream.socket is not None:
                self._silent_sockets.append(stream.socket.dup())
                stream.close()

    def _begin_life(self) -> None:
        self.life += 1
        self.is_up = True
        self._started_s = time.monotonic()
        super().open(self._server, self.address)
        self._listen()

    async def _register(self) -> None:
        """Write to the store, unless it is cut off from there."""
        while True:
            self._is_cut = self._store_cuts > 0
            if not self._is_cut:
                self.sequence += 1
                self.store.write("servers", self.instance_id, self._entry())
            await asyncio.sleep(HEARTBEAT_S)


class _Server(HTTPServer):
    """Shows each connection to the worker."""

    worker: FaultyWorker

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        super().handle_stream(stream, address)
        self.worker.opened(stream)


class _Handler(RequestHandler):
    """Carries a call out, and then answers or resets the connection."""

    def initialize(self, worker: FaultyWorker) -> None:
        self.worker = worker

    async def post(self, call: str) -> None:
        worker, stream = self.worker, self.request.connection.stream
        life = worker.life
        if not worker.is_up:
            _reset(stream)
            return
        worker.set_busy(stream, True)
        status, body = await self._carry_out(call)
        if worker.life != life or not worker.is_up or worker.loses_answer():
            _reset(stream)
            return
        worker.set_busy(stream, False)
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))

    async def _carry_out(self, call: str) -> tuple[int, dict[str, Any]]:
        worker = self.worker
        expected = self.request.headers.get("X-Expect-Instance")
        if expected and expected != worker.instance_id:
            return 421, {}
        data = orjson.loads(self.request.body)
        if call == "run-start":
            return worker.start(data)
        if call == "run-stop":
            return worker.stop(data)
        if call == "hold":
            return await worker.hold(data)
        return 200, {"clockMs": worker.clock_ms()}


def _application(worker: FaultyWorker) -> Application:
    return Application(
        [(r"/-/(run-start|run-stop|hold|pace)", _Handler, {"worker": worker})],
        log_function=lambda handler: None,
    )


def _reset(stream: IOStream) -> None:
    """Close a connection with a reset."""
    if stream.socket is not None:
        linger = socket.SO_LINGER
        stream.socket.setsockopt(socket.SOL_SOCKET, linger, RESET_ON_CLOSE)
    stream.close()
