"""The verdict of each kind of failed call, against a server that sends raw bytes."""

from __future__ import annotations

import asyncio
import hashlib

import pytest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from lab.cell import free_ports
from redwingrun.coordination.verdict import Verdict
from redwingrun.httpclient import HttpCall, HttpClient
from redwingrun.platform.__main__ import MAX_CONCURRENT_WORKER_CALLS
from tests.silentproxy import SilentProxy

BODY = b"answer"
WORKERS = 120
# A connection counts as older than a timeout from about this age on.
CONNECTION_AGE_S = 2.5
SLOW_ANSWER_S = 0.05
# An answer that comes in parts: time between two, and the time allowed for it.
TRICKLE_PART_BYTES = 1000
TRICKLE_GAP_S = 0.1
TRICKLE_TIMEOUT_S = 0.5
STALL_S = 2.0
PLANNED_WORKERS = 640
VALID_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Digest: "
    + hashlib.sha256(BODY).hexdigest().encode()
    + b"\r\n\r\n"
    + BODY
)


class _SlowHandler(RequestHandler):
    """Answers after a while, so that calls at the same time need a connection each."""

    async def get(self) -> None:
        await asyncio.sleep(SLOW_ANSWER_S)
        self.finish(b"{}")


class Server:
    """Reads whole requests and answers each with the next of its responses.

    ``None`` stands for a response that is never sent. The connection is closed after a
    response that does not start with a 200 status line.

    :ivar requests: requests received so far.
    :ivar expected_requests: number of requests after which `all_requests_arrived` is
        set.
    """

    def __init__(self, *responses: bytes | None):
        self._responses = list(responses)
        self.requests = 0
        self.expected_requests = 0
        self.all_requests_arrived = asyncio.Event()
        self.port = free_ports(1)[0]

    async def __aenter__(self) -> Server:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(
                    head.lower().split(b"content-length:")[1].split(b"\r\n")[0]
                )
                await reader.readexactly(length)
                self.requests += 1
                if self.requests == self.expected_requests:
                    self.all_requests_arrived.set()
                response = self._responses.pop(0) if self._responses else b""
                if response is None:
                    await asyncio.sleep(30)
                if not response.startswith(b"HTTP/1.1 200") or b"Short" in response:
                    writer.write(response)
                    break
                writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


async def send_calls(server: Server, calls: int = 1):
    """Send calls one after the other and return the result of the last one."""
    client = HttpClient("test")
    result = None
    for _ in range(calls):
        url = f"http://127.0.0.1:{server.port}/run"
        result = await client.send(HttpCall("POST", url, 0.6, b"body"))
    client.close()
    return result


def test_a_call_is_not_resent_when_a_reused_connection_fails():
    """By default libcurl resends it on a new connection; a hold order ran twice."""

    async def scenario():
        async with Server(VALID_RESPONSE, b"", VALID_RESPONSE) as server:
            result = await send_calls(server, calls=2)
            assert server.requests == 2
            assert result.error.verdict is Verdict.MAY_HAVE_RUN

    asyncio.run(scenario())


CASES = {
    "no response": ([b""], Verdict.MAY_HAVE_RUN),
    "a truncated body": ([VALID_RESPONSE[:-3]], Verdict.MAY_HAVE_RUN),
    "a truncated header": ([b"HTTP/1.1 20"], Verdict.MAY_HAVE_RUN),
    "not HTTP": ([b"nonsense\r\n\r\n"], Verdict.MAY_HAVE_RUN),
    "a response after the timeout": ([None], Verdict.MAY_HAVE_RUN),
    "a wrong digest": ([VALID_RESPONSE[:-6] + b"damage"], Verdict.MAY_HAVE_RUN),
}


@pytest.mark.parametrize("name", CASES)
def test_a_sent_call_without_a_complete_response_may_have_run(name):
    responses, verdict = CASES[name]

    async def scenario():
        async with Server(*responses) as server:
            result = await send_calls(server)
            assert result.is_error()
            assert result.error.verdict is verdict
            assert server.requests == 1

    asyncio.run(scenario())


# Guards against a client that reuses one silent connection after the other: each of
# them cost a timeout, and a member had no newer configuration meanwhile.
def test_older_connections_are_not_reused_after_a_call_without_any_answer():
    """Six connections go silent at the same moment; the second call gets through."""

    async def run() -> None:
        port, proxy_port = free_ports(2)
        server = HTTPServer(Application([(r"/", _SlowHandler)]))
        server.listen(port, "127.0.0.1")
        proxy = SilentProxy(proxy_port, port)
        await proxy.start()
        client = HttpClient("")
        url = f"http://127.0.0.1:{proxy_port}/"
        try:
            calls = [client.send(HttpCall("GET", url, 10.0)) for _ in range(6)]
            assert all(reply.is_ok() for reply in await asyncio.gather(*calls))
            await asyncio.sleep(CONNECTION_AGE_S)
            proxy.silence()
            first = await client.send(HttpCall("GET", url, 0.5))
            assert first.error.reason == "timeout"
            assert (await client.send(HttpCall("GET", url, 10.0))).is_ok()
        finally:
            client.close()
            server.stop()
            await server.close_all_connections()
            await proxy.stop()

    asyncio.run(run())


def test_an_answer_under_way_at_the_timeout_is_told_from_silence():
    """More time would have brought the rest of it."""

    async def run() -> None:
        async with Server(VALID_RESPONSE[:-3]) as server:
            result = await send_calls(server)
        assert result.error.reason == "incomplete"
        assert result.error.verdict is Verdict.MAY_HAVE_RUN

    asyncio.run(run())


class _TrickleHandler(RequestHandler):
    """Sends its answer in parts, then the rest or nothing more."""

    async def get(self) -> None:
        parts, ends = int(self.get_argument("parts")), self.get_argument("ends") == "1"
        self.set_header("Content-Length", TRICKLE_PART_BYTES * (parts + (not ends)))
        for _ in range(parts):
            self.write(b"x" * TRICKLE_PART_BYTES)
            await self.flush()
            await asyncio.sleep(TRICKLE_GAP_S)
        if not ends:
            await asyncio.sleep(30)


async def _read_trickle(parts: int, ends: bool):
    """Read an answer that comes in parts; return the result and the time taken."""
    loop = asyncio.get_running_loop()
    port = free_ports(1)[0]
    server = HTTPServer(Application([(r"/", _TrickleHandler)]))
    server.listen(port, "127.0.0.1")
    client = HttpClient("")
    url = f"http://127.0.0.1:{port}/?parts={parts}&ends={int(ends)}"
    started_s = loop.time()
    try:
        call = HttpCall("GET", url, TRICKLE_TIMEOUT_S, stall_timeout_s=STALL_S)
        return await client.send(call), loop.time() - started_s
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


# Guards against a call that is ended while its answer is still arriving.
def test_an_answer_that_keeps_arriving_may_take_longer_than_the_timeout():
    result, took_s = asyncio.run(_read_trickle(parts=20, ends=True))
    assert len(result.ok.body) == 20 * TRICKLE_PART_BYTES
    assert took_s > 2 * TRICKLE_TIMEOUT_S


def test_an_answer_that_stops_arriving_ends_the_call():
    result, _ = asyncio.run(_read_trickle(parts=10, ends=False))
    assert result.error.reason == "incomplete"
    assert result.error.verdict is Verdict.MAY_HAVE_RUN


def test_a_large_answer_that_never_begins_ends_the_call():
    result, _ = asyncio.run(_read_trickle(parts=0, ends=False))
    assert result.error.reason == "timeout"
    assert result.error.verdict is Verdict.MAY_HAVE_RUN


def test_a_call_on_a_refused_connection_did_not_run():
    async def scenario():
        server = Server()
        result = await send_calls(server)
        assert result.error.verdict is Verdict.NOT_RUN

    asyncio.run(scenario())


# Guards against an address or an id of another writer that makes the client raise: the
# task that called ended, and with it the ownership of the slice.
@pytest.mark.parametrize(
    "call",
    [
        HttpCall("GET", "http://127.0.0.1\0:80/", 0.5),
        HttpCall("GET", "http://\xe9:80/", 0.5),
        HttpCall("GET", "http://127.0.0.1:1/", 0.5, headers={"X-Id": "\u20ac"}),
        HttpCall("GET", "http://127.0.0.1:99999/", 0.5),
    ],
    ids=["null byte", "not ASCII", "header", "port"],
)
def test_a_call_that_cannot_be_formed_is_a_failure(call: HttpCall):
    """Nothing is raised, whatever the address and the headers hold."""

    async def run() -> None:
        client = HttpClient("")
        try:
            result = await client.send(call)
        finally:
            client.close()
        assert result.is_error()

    asyncio.run(run())


def test_a_complete_response_is_returned():
    async def scenario():
        async with Server(VALID_RESPONSE) as server:
            result = await send_calls(server)
            assert result.ok.body == BODY

    asyncio.run(scenario())


class ConnectionCounter:
    """Serves any number of calls and counts the connections that they use."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\nbody")
                # libcurl closes only connections that have been idle for some time, so
                # each call takes a while.
                await asyncio.sleep(0.01)
                writer.write(VALID_RESPONSE)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def test_connections_to_many_workers_are_kept_open():
    """With libcurl's default limit, a burst of calls closed idle connections."""

    async def scenario():
        counter = ConnectionCounter()
        servers = [
            await asyncio.start_server(counter.serve, "127.0.0.1", 0)
            for _ in range(WORKERS)
        ]
        ports = [item.sockets[0].getsockname()[1] for item in servers]
        client = HttpClient("test")
        calls = [
            HttpCall("POST", f"http://127.0.0.1:{port}/run", 2.0, b"body")
            for port in ports
        ]
        for call in calls:
            await client.send(call)
        await asyncio.gather(*(client.send(call) for call in calls))
        client.close()
        for server in servers:
            server.close()
        assert counter.connections == WORKERS

    asyncio.run(scenario())


def test_handles_are_created_up_to_the_limit():
    """Calls without a response do not delay others until the limit is reached."""

    async def scenario():
        async with Server(*[None] * 20) as server:
            server.expected_requests = 16
            client = HttpClient("", max_clients=16)
            url = f"http://127.0.0.1:{server.port}/"
            call = HttpCall("POST", url, timeout_s=5, body=b"x")
            calls = [asyncio.ensure_future(client.send(call)) for _ in range(20)]
            await server.all_requests_arrived.wait()
            await asyncio.sleep(0.1)
            assert server.requests == 16
            for pending in calls:
                pending.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            client.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_an_owner_can_send_heartbeats_and_orders_to_all_its_workers():
    """With a limit of 320 calls, 500 workers lost their leases and all their work."""
    assert MAX_CONCURRENT_WORKER_CALLS >= 2 * PLANNED_WORKERS
