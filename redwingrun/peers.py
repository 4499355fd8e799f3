"""Calls between daemons over gRPC; every failure says whether the call may have run."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Collection
from typing import Any

from attrs import define
from expression import Error, Ok, Result
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.protocol import AbstractHandler, H2Protocol, Stream
from grpclib.server import Server

from redwingrun.auth import secrets_equal
from redwingrun.clientconnection import Refusal
from redwingrun.coordination.verdict import Failure, may_have_run, not_run
from redwingrun.peer_grpc import PeerStub
from redwingrun.refusals import RefusalCounter

SECRET_METADATA_KEY = "x-peer-secret"
# Far above the number of members of a slice, which have one or two connections each.
DEFAULT_MAX_CONNECTIONS = 512
# What a connection may send before its first call with the secret: the preface and
# the headers of that call take less than 1,024 bytes. Each frame costs work, also one
# without a payload.
MAX_UNAUTHENTICATED_BYTES = 2_048
# Before the secret, so much is parsed at a time, so that nothing behind the maximum is.
UNAUTHENTICATED_PART_BYTES = 512
AUTHENTICATION_TIMEOUT_S = 3.0
# How many connections the event loop accepts before it closes those above the maximum.
ACCEPT_BATCH = 16
LISTEN_BACKLOG = 256


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


class _AuthenticatingHandler(AbstractHandler):
    """Notes whether a call of a connection has sent the secret.

    :param inner: handles the calls; it refuses those without the secret itself.
    """

    def __init__(self, inner: AbstractHandler, secret: str):
        self._inner = inner
        self._secret = secret
        self.is_authenticated = False

    def accept(
        self,
        stream: Stream,
        headers: Collection[tuple[str, str]],
        release_stream: Callable[[], Any],
    ) -> None:
        """Accept a call whose headers have arrived."""
        secret = dict(headers).get(SECRET_METADATA_KEY, "")
        if not self.is_authenticated and secrets_equal(secret, self._secret):
            self.is_authenticated = True
        self._inner.accept(stream, headers, release_stream)

    def cancel(self, stream: Stream) -> None:
        """Cancel a call."""
        self._inner.cancel(stream)

    def close(self) -> None:
        """Cancel all calls."""
        self._inner.close()


class _GuardedProtocol(H2Protocol):
    """A connection that is closed unless it sends the secret soon.

    :ivar handler: the connection's handler.
    """

    handler: _AuthenticatingHandler

    def __init__(self, server: _GuardedServer, handler: Any, *options: Any):
        super().__init__(handler, *options)
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._received_bytes = 0
        self.address = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection, or close it."""
        self._transport = transport
        self.address = (transport.get_extra_info("peername") or ("",))[0]
        super().connection_made(transport)
        self._server.add(self)
        self._timer = asyncio.get_running_loop().call_later(
            AUTHENTICATION_TIMEOUT_S, self._check_authenticated
        )

    def data_received(self, data: bytes) -> None:
        """Serve what has arrived, or close the connection."""
        while data and not self.handler.is_authenticated:
            if self._transport.is_closing():
                return
            if self._received_bytes >= MAX_UNAUTHENTICATED_BYTES:
                self.refuse(Refusal.PEER_UNAUTHENTICATED)
                return
            part = data[:UNAUTHENTICATED_PART_BYTES]
            data = data[UNAUTHENTICATED_PART_BYTES:]
            self._received_bytes += len(part)
            super().data_received(part)
        if data and not self._transport.is_closing():
            super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._timer.cancel()
        self._server.remove(self)
        super().connection_lost(exc)

    def refuse(self, reason: Refusal) -> None:
        """Close the connection at once."""
        self._server.remove(self)
        self._server.count_refusal(reason, self.address)
        self._transport.abort()

    def _check_authenticated(self) -> None:
        if not self.handler.is_authenticated and not self._transport.is_closing():
            self.refuse(Refusal.PEER_UNAUTHENTICATED)


class _GuardedServer(Server):
    """A server with a maximum of connections that have not sent the secret yet.

    :param refusals: counts the connections that are closed; ``None`` to count none.
    """

    def __init__(
        self,
        service: Any,
        secret: str,
        max_connections: int,
        refusals: RefusalCounter | None,
    ):
        super().__init__([service])
        self._secret = secret
        self._max_connections = max_connections
        self._refusals = refusals
        # Ordered by the time of the connection.
        self._connections: dict[_GuardedProtocol, None] = {}

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        handler = _AuthenticatingHandler(protocol.handler, self._secret)
        return _GuardedProtocol(self, handler, protocol.config, protocol.h2_config)

    def add(self, connection: _GuardedProtocol) -> None:
        """Add a connection; above the maximum, close the oldest without the secret.

        Connections of peers do not count: a slice may have more members than that.
        """
        self._connections[connection] = None
        if len(self._connections) <= self._max_connections:
            return
        unauthenticated = [
            item for item in self._connections if not item.handler.is_authenticated
        ]
        if len(unauthenticated) > self._max_connections:
            unauthenticated[0].refuse(Refusal.PEER_CONNECTIONS)

    def remove(self, connection: _GuardedProtocol) -> None:
        """Forget a connection."""
        self._connections.pop(connection, None)

    def count_refusal(self, reason: Refusal, address: str) -> None:
        """Count a connection that is closed."""
        if self._refusals is not None:
            self._refusals.count(reason, address)


class PeerServer:
    """Serves calls of peers that send the shared secret.

    :param refusals: counts the connections that are closed; ``None`` to count none.
    :param max_connections: most connections that have not sent the secret yet.
    """

    def __init__(
        self,
        service: Any,
        secret: str,
        refusals: RefusalCounter | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ):
        self._secret = secret
        self._server = _GuardedServer(service, secret, max_connections, refusals)
        listen(self._server, RecvRequest, self._authenticate)

    async def _authenticate(self, event: RecvRequest) -> None:
        secret = event.metadata.get(SECRET_METADATA_KEY, "")
        if not isinstance(secret, str) or not secrets_equal(secret, self._secret):
            raise GRPCError(Status.UNAUTHENTICATED, "invalid peer secret")

    async def start(self, ip: str, port: int) -> None:
        """Start listening."""
        listener = socket.create_server((ip, port))
        await self._server.start(sock=listener, backlog=ACCEPT_BATCH)
        # The event loop uses the backlog as the number of connections that it accepts
        # at a time; the kernel's queue is set apart from it.
        listener.listen(LISTEN_BACKLOG)

    async def stop(self) -> None:
        """Stop listening, cancel the calls in progress and wait for their end."""
        self._server.close()
        await self._server.wait_closed()
