"""An HTTP server that refuses what would use up the memory of its host."""

from __future__ import annotations

import socket
import sys
import time
from asyncio import Future
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.iostream import IOStream
from tornado.web import Application

from redwingrun.clientconnection import (
    ClientConnection,
    Phase,
    Refusal,
    Refusals,
    ignore_refusal,
)
from redwingrun.clientguard import ClientGuard
from redwingrun.coordination.verdict import Verdict
from redwingrun.httpclient import VERDICT_HEADER

READ_CHUNK_BYTES = 16_384
# A stream buffers at most the largest headers and one read.
MAX_BUFFER_BYTES = 131_072
SWEEP_INTERVAL_MS = 500
# Python converts no number with thousands of digits.
MAX_LENGTH_DIGITS = 18
# Types that tornado would decode, into many times the memory of the body. No handler
# uses them: bodies are JSON or opaque.
FORM_TYPES = ("application/x-www-form-urlencoded", "multipart/form-data")
OPAQUE_TYPE = "application/octet-stream"
# Fields that tornado needs to read the body.
FRAMING_FIELDS = ("Connection", "Content-Length", "Transfer-Encoding")
# How long the rest of a refused request is read and dropped. A close with unread bytes
# resets the connection, which may destroy the answer before the client has read it.
LINGER_S = 0.5
# What is full frees up as soon as stalled requests have been dropped.
RETRY_AFTER_S = 1


def response_to(reason: Refusal) -> bytes:
    """Return the whole answer to a refused request, which has not run."""
    body = orjson.dumps({"error": reason.value})
    if reason is Refusal.TOO_LARGE:
        head = ["HTTP/1.1 413 Request Entity Too Large"]
    else:
        head = ["HTTP/1.1 503 Service Unavailable", f"Retry-After: {RETRY_AFTER_S}"]
    head += [
        "Content-Type: application/json",
        f"{VERDICT_HEADER}: {Verdict.NOT_RUN.value}",
        f"Content-Length: {len(body)}",
        "Connection: close",
        "\r\n",
    ]
    return "\r\n".join(head).encode() + body


class _CountedStream(IOStream):
    """A stream that reports bytes when they arrive, before anything parses them.

    :param on_bytes: called with the connection's record and the number of bytes.
    """

    def __init__(
        self,
        sock: socket.socket,
        record: ClientConnection,
        guard: ClientGuard,
        on_bytes: Callable[[ClientConnection, int], None],
    ):
        super().__init__(
            sock, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_CHUNK_BYTES
        )
        self.record = record
        self._guard = guard
        self._on_bytes = on_bytes

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, or nothing if the connection has to wait.

        The event loop reports the socket again in the next turn.
        """
        admitted = self._guard.admit(self.record, len(buf))
        if not admitted:
            return None
        count = super().read_from_fd(memoryview(buf)[:admitted])
        if count:
            self._guard.charge(self.record, count)
            self._on_bytes(self.record, count)
        return count


class GuardedServer(HTTPServer):
    """An HTTP server whose connections share a budget."""

    def initialize(
        self,
        application: Application,
        guard: ClientGuard,
        port_name: str,
        max_body_bytes: Callable[[], int] | None = None,
        **options: Any,
    ) -> None:
        """Set the server up; called by tornado.

        :param port_name: name of the port, for its own maximum of connections.
        :param max_body_bytes: returns the longest body that the configuration allows,
            without framing; ``None`` if only the limits of the budget count.
        """
        super().initialize(
            application,
            chunk_size=READ_CHUNK_BYTES,
            max_body_size=guard.budget.limits.max_body_bytes,
            **options,
        )
        self._guard = guard
        self._budget = guard.budget
        self._refusals = guard.refusals
        self._port_name = port_name
        self._max_body_bytes = max_body_bytes
        self._stream_by_record: dict[ClientConnection, _CountedStream] = {}
        self._delegate_by_record: dict[ClientConnection, _GuardedDelegate] = {}
        self._sweeper = PeriodicCallback(self._sweep, SWEEP_INTERVAL_MS)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection, or refuse it or another one."""
        record, refusals = self._budget.open(
            address[0], self._port_name, time.monotonic()
        )
        record.on_refused = lambda reason: self._refuse(record, reason)
        counted = _CountedStream(stream.socket, record, self._guard, self._count_bytes)
        self._stream_by_record[record] = counted
        if not self._sweeper.is_running():
            self._sweeper.start()
        for victim, reason in refusals:
            self._refusals.count(reason, victim.address)
            # At once, so that the number of descriptors stays below its maximum.
            self._drop(victim, reason, is_new=victim is record)
        if counted.closed():
            self._budget.close(record)
            self._forget(record)
        else:
            super().handle_stream(counted, address)

    def start_request(
        self, server_conn: Any, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of a connection's next request."""
        record = server_conn.stream.record
        previous = self._delegate_by_record.get(record)
        # After a client has gone, tornado tries to read a next request at once.
        is_abandoned = previous is not None and previous.is_running
        if not is_abandoned:
            self._budget.begin_request(record, time.monotonic())
        answering = _ObservedConnection(request_conn)
        inner = super().start_request(server_conn, answering)
        delegate = _GuardedDelegate(inner, request_conn, record, self)
        answering.on_answered = delegate.note_answer
        if not is_abandoned:
            self._delegate_by_record[record] = delegate
        return delegate

    def on_close(self, server_conn: Any) -> None:
        """Forget a closed connection, but not the bytes of a request that runs."""
        record = server_conn.stream.record
        delegate = self._delegate_by_record.get(record)
        if delegate is not None and delegate.is_running:
            self._budget.leave(record)
        else:
            self._budget.close(record)
        self._forget(record)
        super().on_close(server_conn)

    def max_body_bytes(self) -> int:
        """Return the longest body that is accepted now."""
        limit = self._budget.limits.max_body_bytes
        if self._max_body_bytes is None:
            return limit
        return min(limit, self._max_body_bytes())

    def begin_body(
        self, record: ClientConnection, declared_bytes: int | None, field_count: int
    ) -> None:
        """Expect a body.

        :param field_count: number of fields of the headers.
        """
        now_s = time.monotonic()
        self._apply(self._budget.count_fields(record, field_count, now_s))
        self._apply(
            self._budget.begin_body(
                record, declared_bytes, self.max_body_bytes(), now_s
            )
        )

    def check_pipelining(self, record: ClientConnection) -> None:
        """Refuse a request if too many were sent without waiting for answers."""
        self._apply(self._budget.check_pipelining(record, time.monotonic()))

    def charge_work(self, record: ClientConnection, took_s: float) -> None:
        """Count the time that a request has taken in this turn."""
        self._guard.charge_work(record, took_s)

    def add_payload(self, record: ClientConnection, count: int) -> None:
        """Count bytes of a body without its framing."""
        self._apply(self._budget.add_payload(record, count, time.monotonic()))

    def end_body(self, record: ClientConnection) -> None:
        """Note that a request has arrived completely."""
        self._budget.end_body(record, time.monotonic())

    def close_stream(self, record: ClientConnection) -> None:
        """Close a connection if it is open."""
        stream = self._stream_by_record.get(record)
        if stream is not None:
            stream.close()

    def end_request(self, record: ClientConnection, answer_bytes: int) -> None:
        """Give back the bytes of a request, and count its answer until it is sent."""
        stream = self._stream_by_record.get(record)
        is_unsent = stream is not None and stream.writing()
        unsent_bytes = answer_bytes if is_unsent else 0
        self._apply(self._budget.end_request(record, unsent_bytes, time.monotonic()))

    def _forget(self, record: ClientConnection) -> None:
        record.on_refused = ignore_refusal
        self._guard.reads.forget(record)
        self._stream_by_record.pop(record, None)
        self._delegate_by_record.pop(record, None)
        if not self._stream_by_record:
            self._sweeper.stop()

    def _count_bytes(self, record: ClientConnection, count: int) -> None:
        refusals = self._budget.add(record, count, time.monotonic())
        if refusals:
            # The stream must not be written to or closed in the middle of a read.
            IOLoop.current().add_callback(self._apply, refusals)

    def _sweep(self) -> None:
        self._apply(self._budget.overdue(time.monotonic()))

    def _apply(self, refusals: Refusals) -> None:
        for record, reason in refusals:
            self._refusals.count(reason, record.address)
            record.on_refused(reason)

    def _refuse(self, record: ClientConnection, reason: Refusal) -> None:
        """Answer an unfinished request, and close its connection after a while."""
        stream = self._stream_by_record.get(record)
        if stream is None or stream.closed():
            return
        if reason is Refusal.UNREAD:
            # Nothing may follow a part of an answer.
            stream.close()
            return
        delegate = self._delegate_by_record.get(record)
        stream.write(response_to(reason))
        if delegate is not None:
            delegate.abandon()
            delegate.is_refusal_sent = True
        IOLoop.current().call_later(LINGER_S, stream.close)

    def _drop(self, record: ClientConnection, reason: Refusal, is_new: bool) -> None:
        """Close a connection now; one that waits for a request gets no answer."""
        stream = self._stream_by_record[record]
        is_answered = is_new or record.phase is Phase.HEADERS
        # Headers that tornado has read already must not start the request.
        record.enter(Phase.REFUSED, time.monotonic())
        if is_answered:
            stream.write(response_to(reason))
        stream.close()


class _ObservedConnection(HTTPConnection):
    """Reports the end of an answer, also when the client has gone meanwhile.

    :param inner: tornado's connection, whose other members are used as they are.
    """

    def __init__(self, inner: HTTPConnection):
        self._inner = inner
        self._answer_bytes = 0
        self.on_answered: Callable[[int], None] = lambda answer_bytes: None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    def write_headers(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> Future[None]:
        """Write the headers of an answer."""
        self._answer_bytes += len(chunk or b"")
        return self._inner.write_headers(start_line, headers, chunk)

    def write(self, chunk: bytes) -> Future[None]:
        """Write a part of an answer."""
        self._answer_bytes += len(chunk)
        return self._inner.write(chunk)

    def finish(self) -> None:
        """End an answer."""
        try:
            self._inner.finish()
        finally:
            self.on_answered(self._answer_bytes)


class _GuardedDelegate(HTTPMessageDelegate):
    """Passes a request on to the application unless it is refused.

    :ivar is_running: whether the request is being handled.
    :ivar is_refusal_sent: whether the refusal has been written.
    """

    def __init__(
        self,
        inner: HTTPMessageDelegate,
        request_conn: Any,
        record: ClientConnection,
        server: GuardedServer,
    ):
        self._inner: HTTPMessageDelegate | None = inner
        self._headers = HTTPHeaders()
        self._request_conn = request_conn
        self._record = record
        self._server = server
        self._is_passed_on = False
        self.is_running = False
        self.is_refusal_sent = False

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Decide by the declared length whether the body may follow."""
        self._headers = headers
        self._server.check_pipelining(self._record)
        self._server.begin_body(
            self._record, _declared_bytes(headers), sum(1 for _ in headers.get_all())
        )
        if self._record.phase is Phase.REFUSED:
            _drop_fields(headers)
            return None
        if headers.get("Content-Type", "").startswith(FORM_TYPES):
            headers["Content-Type"] = OPAQUE_TYPE
        self._is_passed_on = True
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass a part of the body on, or drop it."""
        if self._record.phase is not Phase.REFUSED:
            self._server.add_payload(self._record, len(chunk))
        if self._record.phase is Phase.REFUSED:
            return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Have the request handled, or close the connection of a refused one."""
        if self._record.phase is Phase.REFUSED:
            self.abandon()
            if self.is_refusal_sent:
                self._server.close_stream(self._record)
            return
        self._server.end_body(self._record)
        self.is_running = True
        # It holds a copy of the body, which the handler does not need.
        inner, self._inner = self._inner, None
        started_s = time.monotonic()
        inner.finish()
        self._server.charge_work(self._record, time.monotonic() - started_s)

    def note_answer(self, answer_bytes: int) -> None:
        """Note that the request has been answered and needs no memory."""
        self.is_running = False
        self._server.end_request(self._record, answer_bytes)

    def on_connection_close(self) -> None:
        """Tell the application that the rest of the request will not arrive."""
        self.abandon()

    def abandon(self) -> None:
        """Drop what has arrived, and read any rest of the request without a limit."""
        self._request_conn.set_max_body_size(sys.maxsize)
        _drop_fields(self._headers)
        inner, self._inner = self._inner, None
        if inner is not None and self._is_passed_on:
            inner.on_connection_close()


def _drop_fields(headers: HTTPHeaders) -> None:
    """Free the headers of a refused request; tornado keeps them until its body ends."""
    kept = {name: headers[name] for name in FRAMING_FIELDS if name in headers}
    # Deleting single fields would not free the tables that held them.
    headers.__init__(kept)


def _declared_bytes(headers: HTTPHeaders) -> int | None:
    """Return the declared length of a body, 0 without one, ``None`` if it is chunked.

    Other values are left to tornado, which rejects them.
    """
    if "Transfer-Encoding" in headers:
        return None
    declared = headers.get("Content-Length", "").lstrip("0")
    if not declared.isdecimal():
        return 0
    if len(declared) > MAX_LENGTH_DIGITS:
        return sys.maxsize
    return int(declared)
