"""Calls among the daemons over grpclib, with a verdict for every failure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from redwingrun.auth import secrets_equal
from redwingrun.coordination.verdict import Failure, may_have_run, not_run
from redwingrun.peer_grpc import PeerStub

SECRET_METADATA = "x-peer-secret"


class PeerClient:
    """Keeps one connection to each peer.

    :param secret: shown to the peer with each call.
    :param stub: the generated client of the service that peers serve.
    """

    def __init__(self, secret: str, stub: Callable[[Channel], Any] = PeerStub):
        self._stub = stub
        self._metadata = {SECRET_METADATA: secret}
        self._channel_by_address: dict[str, Channel] = {}

    async def call(
        self, address: str, method: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Call ``method`` of the peer at ``address`` (IP:port)."""
        stub = self._stub(self._channel(address))
        bound: UnaryUnaryMethod = getattr(stub, method)
        progress = _Progress()
        try:
            reply = await asyncio.wait_for(
                self._exchange(bound, message, progress, timeout_s), timeout_s
            )
        except TimeoutError:
            return Error(progress.failure("timeout", f"no answer in {timeout_s:.3f} s"))
        except (OSError, StreamTerminatedError) as error:
            self._drop(address)
            return Error(progress.failure("peer-lost", str(error)))
        except GRPCError as error:
            return Error(_refused(error))
        if reply is None:
            return Error(
                progress.failure("peer-lost", "the peer closed the connection")
            )
        return Ok(reply)

    async def _exchange(
        self,
        bound: UnaryUnaryMethod,
        message: Any,
        progress: _Progress,
        timeout_s: float,
    ) -> Any:
        async with bound.open(timeout=timeout_s, metadata=self._metadata) as stream:
            # Only the headers go out here: without a message nothing can run.
            await stream.send_request()
            progress.sent = True
            await stream.send_message(message, end=True)
            return await stream.recv_message()

    def _channel(self, address: str) -> Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port))
            self._channel_by_address[address] = channel
        return channel

    def _drop(self, address: str) -> None:
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channel_by_address.values():
            channel.close()
        self._channel_by_address.clear()


class _Progress:
    """How far a call came."""

    def __init__(self) -> None:
        self.sent = False

    def failure(self, reason: str, detail: str) -> Failure:
        make = may_have_run if self.sent else not_run
        return make(reason, detail)


def _refused(error: GRPCError) -> Failure:
    text = f"{error.status.name}: {error.message}"
    if error.status in (Status.UNAUTHENTICATED, Status.UNIMPLEMENTED):
        return not_run("peer-refused", text)
    return may_have_run("peer-failed", text)


class PeerServer:
    """Serves the peers' calls; refuses whoever lacks the secret."""

    def __init__(self, service: Any, secret: str):
        self._secret = secret
        self._server = Server([service])
        listen(self._server, RecvRequest, self._authenticate)

    async def _authenticate(self, event: RecvRequest) -> None:
        given = event.metadata.get(SECRET_METADATA, "")
        if not isinstance(given, str) or not secrets_equal(given, self._secret):
            raise GRPCError(Status.UNAUTHENTICATED, "the peer secret is wrong")

    async def start(self, ip: str, port: int) -> None:
        """Listen."""
        await self._server.start(ip, port)

    async def stop(self) -> None:
        """Stop listening and wait for the calls under way."""
        self._server.close()
        await self._server.wait_closed()
