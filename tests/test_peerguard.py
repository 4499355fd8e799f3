"""The peers' port under connections that do not send the secret."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from lab.cell import free_ports
from redwingrun.jobs.jobpeer_grpc import JobPeerBase, JobPeerStub
from redwingrun.jobs.jobpeer_pb2 import (
    LookReply,
    LookRequest,
    RelayReply,
    RelayRequest,
)
from redwingrun.peers import PeerClient, PeerServer
from tests.hostileclients import HTTP2_PREFACE, HTTP2_SETTINGS, frame
from tests.hostilerequests import HTTP2_PING

SECRET = "a-secret-of-the-tests"
# A peer sends four frames up to the headers of its first call.
MAX_STRANGERS_FRAMES = 256


class _Service(JobPeerBase):
    """Answers probes, and notes what is relayed."""

    relayed_bytes = 0

    async def Look(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(LookReply(owner_row_age_s=1.5))

    async def Ask(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError

    async def Relay(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        self.relayed_bytes = len(request.submission)
        await stream.send_message(RelayReply())

    Tell = Ask
    Config = Ask


# Guards against strangers that keep peers out, or that make the server buffer headers.
def test_peers_are_served_while_strangers_use_all_connections():
    async def scenario() -> None:
        (port,) = free_ports(1)
        service = _Service()
        server = PeerServer(service, SECRET, max_connections=4)
        await server.start("127.0.0.1", port)
        client = PeerClient(SECRET, JobPeerStub)
        strangers = [await asyncio.open_connection("127.0.0.1", port) for _ in range(9)]
        call = await client.call(
            f"127.0.0.1:{port}", "Look", LookRequest(claim=False), 2.0
        )
        assert call.is_ok()
        more = [await asyncio.open_connection("127.0.0.1", port) for _ in range(9)]
        call = await client.call(
            f"127.0.0.1:{port}", "Look", LookRequest(claim=False), 2.0
        )
        assert call.is_ok()
        for _, writer in strangers + more:
            writer.close()
        client.close()
        await server.stop()

    asyncio.run(scenario())


def test_a_stranger_is_closed_after_a_few_bytes():
    async def scenario() -> None:
        (port,) = free_ports(1)
        server = PeerServer(_Service(), SECRET)
        await server.start("127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        # A header block that is continued in each frame, and has no end.
        writer.write(b"\x00\x40\x00\x01\x00\x00\x00\x00\x01" + bytes(16_384))
        for _ in range(3):
            writer.write(b"\x00\x40\x00\x09\x00\x00\x00\x00\x01" + bytes(16_384))
        async with asyncio.timeout(2.0):
            with contextlib.suppress(ConnectionResetError):
                while await reader.read(65_536):
                    pass
        writer.close()
        await server.stop()

    asyncio.run(scenario())


async def _answers_to_pings(count: int) -> int:
    """Return how many pings of a stranger are answered."""
    (port,) = free_ports(1)
    server = PeerServer(_Service(), SECRET)
    await server.start("127.0.0.1", port)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    ping = frame(HTTP2_PING, 0, b"stranger")
    writer.write(HTTP2_PREFACE + frame(HTTP2_SETTINGS, 0, b"") + ping * count)
    received = b""
    async with asyncio.timeout(10.0):
        with contextlib.suppress(ConnectionResetError):
            while data := await reader.read(65_536):
                received += data
    writer.close()
    await server.stop()
    return received.count(b"stranger")


def test_few_frames_of_a_stranger_are_handled():
    """Guards against a process that handles thousands of frames for each stranger.

    They arrive together, so that counting them afterwards is too late.
    """
    assert asyncio.run(_answers_to_pings(10_000)) <= MAX_STRANGERS_FRAMES


def test_a_peer_is_served_whose_first_call_arrives_together_with_its_message():
    """The message of a call may be longer than what a stranger may send."""

    async def scenario() -> None:
        (port,) = free_ports(1)
        service = _Service()
        server = PeerServer(service, SECRET)
        await server.start("127.0.0.1", port)
        client = PeerClient(SECRET, JobPeerStub)
        request = RelayRequest(verb="submit", submission="a" * 100_000)
        call = await client.call(f"127.0.0.1:{port}", "Relay", request, 2.0)
        assert call.is_ok()
        assert service.relayed_bytes == 100_000
        client.close()
        await server.stop()

    asyncio.run(scenario())
