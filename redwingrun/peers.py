"""Calls between daemons over gRPC; every failure says whether the call may have run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import define
from expression import Error, Ok, Result
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from redwingrun.auth import secrets_equal
from redwingrun.coordination.verdict import Failure, may_have_run, not_run
from redwingrun.peer_grpc import PeerStub

SECRET_METADATA_KEY = "x-peer-secret"


@define
class _Connection:
    """One connection to a peer.

    :param calls: number of calls in progress.
    :param is_retired: whether it gets no new calls, and is closed after the last one.
    """

    channel: Channel
    calls: int = 0
    is_retired: bool = False


class PeerClient:
    """Calls peers over one connection each.

    After a call that timed out, further calls use a new connection: the other one may
    be silent without having been reset.

    :param secret: shared secret that is sent with each call.
    :param stub: class of the generated client for the peers' service.
    """

    def __init__(self, secret: str, stub: Callable[[Channel], Any] = PeerStub):
        self._stub = stub
        self._metadata = {SECRET_METADATA_KEY: secret}
        self._connection_by_address: dict[str, _Connection] = {}

    async def call(
        self, address: str, method: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Call a method of a peer.

        :param address: address of the peer as ``IP:port``.
        :param timeout_s: maximum time for the whole call, in seconds.
        """
        connection = self._connection(address)
        stub = self._stub(connection.channel)
        bound: UnaryUnaryMethod = getattr(stub, method)
        progress = _Progress()
        connection.calls += 1
        try:
            reply = await asyncio.wait_for(
                self._send_and_receive(bound, message, progress, timeout_s), timeout_s
            )
        except TimeoutError:
            self._retire(address, connection)
            return Error(
                progress.failure("timeout", f"no reply within {timeout_s:.3f} s")
            )
        except (OSError, StreamTerminatedError) as error:
            self._retire(address, connection)
            connection.channel.close()
            return Error(progress.failure("peer-lost", str(error)))
        except GRPCError as error:
            return Error(_failure_from_error(error))
        finally:
            connection.calls -= 1
            if connection.is_retired and not connection.calls:
                connection.channel.close()
        if reply is None:
            return Error(
                progress.failure("peer-lost", "the peer closed the connection")
            )
        return Ok(reply)

    async def _send_and_receive(
        self,
        bound: UnaryUnaryMethod,
        message: Any,
        progress: _Progress,
        timeout_s: float,
    ) -> Any:
        async with bound.open(timeout=timeout_s, metadata=self._metadata) as stream:
            # This sends only the headers; the call cannot run without the message.
            await stream.send_request()
            progress.sent = True
            await stream.send_message(message, end=True)
            return await stream.recv_message()

    def _connection(self, address: str) -> _Connection:
        connection = self._connection_by_address.get(address)
        if connection is None:
            host, _, port = address.rpartition(":")
            connection = _Connection(Channel(host, int(port)))
            self._connection_by_address[address] = connection
        return connection

    def _retire(self, address: str, connection: _Connection) -> None:
        """Send no new calls over a connection, and close it after its last call."""
        connection.is_retired = True
        if self._connection_by_address.get(address) is connection:
            del self._connection_by_address[address]

    def close(self) -> None:
        """Close all connections; retired ones are closed after their last call."""
        for connection in self._connection_by_address.values():
            connection.channel.close()
        self._connection_by_address.clear()


class _Progress:
    """Progress of a call, which decides whether it may have run."""

    def __init__(self) -> None:
        self.sent = False

    def failure(self, reason: str, detail: str) -> Failure:
        create_failure = may_have_run if self.sent else not_run
        return create_failure(reason, detail)


def _failure_from_error(error: GRPCError) -> Failure:
    text = f"{error.status.name}: {error.message}"
    if error.status in (Status.UNAUTHENTICATED, Status.UNIMPLEMENTED):
        return not_run("peer-refused", text)
    return may_have_run("peer-failed", text)


class PeerServer:
    """Serves calls of peers that send the shared secret."""

    def __init__(self, service: Any, secret: str):
        self._secret = secret
        self._server = Server([service])
        listen(self._server, RecvRequest, self._authenticate)

    async def _authenticate(self, event: RecvRequest) -> None:
        secret = event.metadata.get(SECRET_METADATA_KEY, "")
        if not isinstance(secret, str) or not secrets_equal(secret, self._secret):
            raise GRPCError(Status.UNAUTHENTICATED, "invalid peer secret")

    async def start(self, ip: str, port: int) -> None:
        """Start listening."""
        await self._server.start(ip, port)

    async def stop(self) -> None:
        """Stop listening, cancel the calls in progress and wait for their end."""
        self._server.close()
        await self._server.wait_closed()
