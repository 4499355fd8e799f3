"""The verdict of each way in which a call can fail, against a small server of bytes."""

from __future__ import annotations

import asyncio
import hashlib

import pytest

from lab.cell import free_ports
from redwingrun.coordination.verdict import Verdict
from redwingrun.httpclient import HttpCall, HttpClient
from redwingrun.platform.__main__ import MAX_WORKER_CALLS

BODY = b"answer"
WORKERS = 120
PLANNED_WORKERS = 640
GOOD = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Digest: "
    + hashlib.sha256(BODY).hexdigest().encode()
    + b"\r\n\r\n"
    + BODY
)


class Server:
    """Reads whole requests and answers each with the next of its scripts."""

    def __init__(self, *scripts: bytes | None):
        self._scripts = list(scripts)
        self.requests = 0
        self.wanted = 0
        self.all_wanted_came = asyncio.Event()
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
                if self.requests == self.wanted:
                    self.all_wanted_came.set()
                script = self._scripts.pop(0) if self._scripts else b""
                if script is None:
                    await asyncio.sleep(30)
                if not script.startswith(b"HTTP/1.1 200") or b"Short" in script:
                    writer.write(script)
                    break
                writer.write(script)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


async def outcome(server: Server, calls: int = 1):
    client = HttpClient("test")
    result = None
    for _ in range(calls):
        url = f"http://127.0.0.1:{server.port}/run"
        result = await client.send(HttpCall("POST", url, 0.6, b"body"))
    client.close()
    return result


def test_a_call_on_a_kept_connection_that_dies_is_never_sent_twice():
    """libcurl sends again by itself on a reused connection; a hold order ran twice."""

    async def scenario():
        async with Server(GOOD, b"", GOOD) as server:
            result = await outcome(server, calls=2)
            assert server.requests == 2
            assert result.error.verdict is Verdict.MAY_HAVE_RUN

    asyncio.run(scenario())


CASES = {
    "nothing comes back": ([b""], Verdict.MAY_HAVE_RUN),
    "half an answer": ([GOOD[:-3]], Verdict.MAY_HAVE_RUN),
    "half a head": ([b"HTTP/1.1 20"], Verdict.MAY_HAVE_RUN),
    "not HTTP": ([b"nonsense\r\n\r\n"], Verdict.MAY_HAVE_RUN),
    "too late": ([None], Verdict.MAY_HAVE_RUN),
    "wrong digest": ([GOOD[:-6] + b"damage"], Verdict.MAY_HAVE_RUN),
}


@pytest.mark.parametrize("name", CASES)
def test_a_call_that_was_sent_and_has_no_whole_answer_may_have_run(name):
    scripts, verdict = CASES[name]

    async def scenario():
        async with Server(*scripts) as server:
            result = await outcome(server)
            assert result.is_error()
            assert result.error.verdict is verdict
            assert server.requests == 1

    asyncio.run(scenario())


def test_a_refused_connection_did_not_run():
    async def scenario():
        server = Server()
        result = await outcome(server)
        assert result.error.verdict is Verdict.NOT_RUN

    asyncio.run(scenario())


def test_a_whole_answer_is_an_answer():
    async def scenario():
        async with Server(GOOD) as server:
            result = await outcome(server)
            assert result.ok.body == BODY

    asyncio.run(scenario())


class Counter:
    """Serves any number of calls and counts the connections that they came on."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\nbody")
                # libcurl closes only what has been idle for some time.
                await asyncio.sleep(0.01)
                writer.write(GOOD)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def test_a_connection_to_each_of_many_workers_is_kept():
    """Calls to some workers closed the connections to others, time and again."""

    async def scenario():
        counter = Counter()
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


def test_handles_are_made_as_they_are_needed():
    """Calls that wait for answers hold up no others until the most is reached."""

    async def scenario():
        async with Server(*[None] * 20) as server:
            server.wanted = 16
            client = HttpClient("", max_clients=16)
            url = f"http://127.0.0.1:{server.port}/"
            call = HttpCall("POST", url, timeout_s=5, body=b"x")
            calls = [asyncio.ensure_future(client.send(call)) for _ in range(20)]
            await server.all_wanted_came.wait()
            await asyncio.sleep(0.1)
            assert server.requests == 16
            for waiting in calls:
                waiting.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            client.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_an_owner_of_the_planned_size_can_hold_and_order_all_its_workers_at_once():
    """With 320 calls, five hundred workers lost their leases and all their work."""
    assert MAX_WORKER_CALLS >= 2 * PLANNED_WORKERS
