"""Calls that every daemon serves for its peers: promises, news and configuration."""

from __future__ import annotations

from collections.abc import Callable

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from redwingrun.configtask import ConfigTask
from redwingrun.coordination.follower import digest_of
from redwingrun.membership import Membership
from redwingrun.peer_grpc import PeerBase
from redwingrun.peer_pb2 import ConfigReply, News


class PeerService(PeerBase):
    """The calls that both daemons serve; subclasses override further calls.

    Methods in upper camel case implement the calls of the protocol.

    :param news: returns the daemon's next message for its peers.
    """

    def __init__(
        self, membership: Membership, config: ConfigTask, news: Callable[[], News]
    ):
        self._membership = membership
        self._config = config
        self._news = news

    async def Promise(self, stream: Stream) -> None:  # noqa: N802
        """Promise not to expel a peer if the request is addressed to this process."""
        request = await stream.recv_message()
        await stream.send_message(self._membership.promise(request))

    async def Promised(self, stream: Stream) -> None:  # noqa: N802
        """Report whether a promise to a member is in effect."""
        request = await stream.recv_message()
        await stream.send_message(self._membership.promised(request))

    async def Tell(self, stream: Stream) -> None:  # noqa: N802
        """Process a peer's ``News`` message and reply with this daemon's."""
        news = await stream.recv_message()
        self.receive_news(news)
        await stream.send_message(self._news())

    def receive_news(self, news: object) -> None:
        """Process the pool loads and the configuration version in a peer's message.

        They are ignored by default.
        """

    async def Config(self, stream: Stream) -> None:  # noqa: N802
        """Return the active configuration if it has the requested digest.

        The content of the reply is empty otherwise.
        """
        request = await stream.recv_message()
        content = self._config.content
        matches = digest_of(content) == request.digest
        await stream.send_message(ConfigReply(content=content if matches else b""))

    async def Run(self, stream: Stream) -> None:  # noqa: N802
        """Run a request; served only by entries."""
        await _unimplemented(stream)

    async def Submit(self, stream: Stream) -> None:  # noqa: N802
        """Accept a task; served only by placers."""
        await _unimplemented(stream)

    async def Task(self, stream: Stream) -> None:  # noqa: N802
        """Query or cancel a task; served only by placers."""
        await _unimplemented(stream)


async def _unimplemented(stream: Stream) -> None:
    await stream.recv_message()
    raise GRPCError(Status.UNIMPLEMENTED, "this daemon does not implement the call")
