"""Groups of hostile clients on loopback addresses, and what a process uses."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Iterator
from pathlib import Path
from subprocess import Popen
from typing import Any
from unittest.mock import patch

import orjson
from tornado.httpclient import HTTPError

from lab.cell import free_ports
from review.cell.cell import HOST, QUEUE_HOST, ROOT, Cell

ROUTE = {
    "name": "plans",
    "hostname": QUEUE_HOST,
    "pathPrefix": "/plans/",
    "backend": "desk",
    "priority": 2,
    "attempts": 4,
    "stretch": 2,
    "sloMs": 1200,
}
BODY_BYTES = 262_144
CONNECT_TIMEOUT_S = 3.0
SEND_TIMEOUT_S = 4.0
# Written in pieces, so that all clients make progress at the same time.
PIECE_BYTES = 65_536
REQUEST_LINES = (
    f"POST /plans/00000000000000aa HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n".encode()
)
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HTTP2_HEADERS = 1
HTTP2_SETTINGS = 4
HTTP2_CONTINUATION = 9
HTTP2_FRAME_BYTES = 16_384


class GuardedCell(Cell):
    """One member with low limits, and a store.

    :param limits: the limits of the member's settings file.
    """

    def __init__(self, limits: dict[str, float]):
        super().__init__(0, lambda task_id, spec: 0.0, 1)
        self._limits = limits
        self.settings: dict = {}

    async def start(self) -> None:
        """Start the store and the member, on ports that no other test picks."""
        with patch("review.cell.cell.free_port", lambda: free_ports(1)[0]):
            await self.open([ROUTE])

    def start_process(self, name: str) -> None:
        """Start the member with the limits of this cell."""
        path = self._settings_by_name[name]
        self.settings = orjson.loads(path.read_bytes())
        self.settings["limits"] |= self._limits
        path.write_bytes(orjson.dumps(self.settings))
        environment = {
            **os.environ,
            "REDWINGRUN_BOOT": str(path),
            "PYTHONPATH": str(ROOT),
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = Popen(
                [sys.executable, "-m", "redwingrun.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def _fetch(
        self, method: str, url: str, body: bytes | None
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request; return the status 0 for no answer."""
        try:
            return await super()._fetch(method, url, body)
        except HTTPError:
            # The client raises this for a time-out.
            return 0, {}

    @property
    def process(self) -> Popen:
        """The member's process."""
        return next(iter(self.process_by_name.values()))

    def port(self, name: str) -> int:
        """Return the member's port ``front``, ``ready`` or ``peers``."""
        if name == "peers":
            return self.settings["portRange"][0]
        return int(self.settings["listen"][name].rpartition(":")[2])


def peak_memory_mb(pid: int) -> float:
    """Return the peak of a process's resident memory in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError(f"process {pid} has ended")


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def short_body() -> bytes:
    """Return a request of the maximum size that lacks its last byte."""
    head = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    return REQUEST_LINES + head + bytes(BODY_BYTES - 1)


def short_chunks(chunk_bytes: int, count: int) -> bytes:
    """Return a chunked request whose last chunk lacks its last byte."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
    chunks = (chunk * count)[:-3]
    return REQUEST_LINES + b"Transfer-Encoding: chunked\r\n\r\n" + chunks


def declared_excess() -> bytes:
    """Return the start of a request that declares 1 GB."""
    return REQUEST_LINES + b"Content-Length: 1000000000\r\n\r\n" + bytes(BODY_BYTES)


def unfinished_headers() -> bytes:
    """Return headers below the limit that do not end."""
    return REQUEST_LINES + b"X-Padding: " + bytes(b"a" * 12_000)


def unfinished_header_block() -> bytes:
    """Return the start of an HTTP/2 header block that has no end."""
    padding = bytes(HTTP2_FRAME_BYTES)
    frames = [frame(HTTP2_SETTINGS, 0, b""), frame(HTTP2_HEADERS, 1, padding)]
    frames += [frame(HTTP2_CONTINUATION, 1, padding)] * 60
    return HTTP2_PREFACE + b"".join(frames)


def frame(kind: int, stream_id: int, payload: bytes) -> bytes:
    """Return an HTTP/2 frame without flags."""
    head = len(payload).to_bytes(3, "big") + bytes([kind, 0])
    return head + stream_id.to_bytes(4, "big") + payload


class HostileGroup:
    """Connections that each send the same bytes and then stay open.

    Connections that the process refuses or closes are not opened again.

    :param piece_bytes: how much each connection sends at a time.
    :param addresses: loopback addresses that the connections come from.
    """

    def __init__(
        self,
        port: int,
        count: int,
        data: bytes,
        piece_bytes: int = PIECE_BYTES,
        addresses: tuple[str, ...] = (HOST,),
    ):
        self._port = port
        self._data = data
        self._piece_bytes = piece_bytes
        self._addresses = [addresses[n % len(addresses)] for n in range(count)]
        self._writers: list[asyncio.StreamWriter] = []
        self.replies: list[bytes] = []

    async def send(self) -> None:
        """Send from all connections at the same time."""
        await asyncio.gather(*(self._send_one(item) for item in self._addresses))

    async def connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Open a connection from an address; return ``None`` if that fails."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    HOST, self._port, local_addr=(address, 0)
                )
        except OSError:
            return None
        self._writers.append(writer)
        return reader, writer

    async def _send_one(self, address: str) -> None:
        connection = await self.connect(address)
        if connection is None:
            return
        reader, writer = connection
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                for piece in self._pieces():
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0)
        except OSError:
            pass
        try:
            async with asyncio.timeout(0.2):
                self.replies.append(await reader.read(1024))
        except OSError:
            pass

    def _pieces(self) -> Iterator[bytes]:
        for start in range(0, len(self._data), self._piece_bytes):
            yield self._data[start : start + self._piece_bytes]

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()
