"""A small HTTP/1.1 server and client on asyncio streams, for JSON bodies."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HEADER_END = b"\r\n\r\n"


class NoAnswer(Exception):
    """The handler answers nothing: the connection stays open and silent."""


class Dropped(Exception):
    """The handler answers nothing, and its connection is closed."""


class Request:
    """A request as it arrived."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        self.method = method
        parts = urlsplit(target)
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.body = body

    def json(self) -> dict[str, Any]:
        """Return the body, which is a JSON object."""
        return json.loads(self.body or b"{}")


Handler = Callable[[Request], Awaitable[tuple[int, dict[str, Any]]]]


class Server:
    """Serves one handler on a loopback port."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """IP and port."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Listen, on the port used before if there was one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and break all connections off."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                status, data = await self._handler(request)
                body = json.dumps(data).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except NoAnswer:
            await asyncio.sleep(3600)
        except (Dropped, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request."""
    head = (await reader.readuntil(HEADER_END)).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    data: dict[str, Any] | None = None,
    host: str = "",
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, Any]]:
    """Send one request on a connection of its own.

    :return: status and body; status 0 if there was no complete answer.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, method, path, data, host, timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}


async def _exchange(
    address: str,
    method: str,
    path: str,
    data: dict[str, Any] | None,
    host: str,
    timeout_s: float,
) -> tuple[int, dict[str, Any]]:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        body = b"" if data is None else json.dumps(data).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        answer = (await reader.readuntil(HEADER_END)).decode("latin-1")
        status = int(answer.split(" ", 2)[1])
        length = 0
        for line in answer.split("\r\n"):
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        text = await reader.readexactly(length)
        return status, json.loads(text or b"{}")
    finally:
        writer.close()
