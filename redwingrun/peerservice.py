"""What every daemon answers to its peers: promises, news and configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from redwingrun.coordination.follower import digest_of
from redwingrun.peer_grpc import PeerBase
from redwingrun.peer_pb2 import ConfigReply

if TYPE_CHECKING:
    from redwingrun.node import Node


class PeerService(PeerBase):
    """The calls that both daemons serve; subclasses add their own.

    The names of the methods are those of the protocol.
    """

    def __init__(self, node: Node):
        self._node = node

    async def Promise(self, stream: Stream) -> None:  # noqa: N802
        """Promise not to expel a peer, if the question is for this run of us."""
        request = await stream.recv_message()
        await stream.send_message(self._node.membership.promise(request))

    async def Promised(self, stream: Stream) -> None:  # noqa: N802
        """Tell whether a promise to a member stands."""
        request = await stream.recv_message()
        await stream.send_message(self._node.membership.promised(request))

    async def Tell(self, stream: Stream) -> None:  # noqa: N802
        """Take news, and answer with ours."""
        news = await stream.recv_message()
        self.receive_news(news)
        await stream.send_message(self._node.news())

    def receive_news(self, news: object) -> None:
        """Take a peer's news about its pools; nothing by default."""

    async def Config(self, stream: Stream) -> None:  # noqa: N802
        """Give the content in force, if it is the one asked for."""
        request = await stream.recv_message()
        content = self._node.config.content
        same = digest_of(content) == request.digest
        await stream.send_message(ConfigReply(content=content if same else b""))

    async def Run(self, stream: Stream) -> None:  # noqa: N802
        """Run a request; only entries do."""
        await _unimplemented(stream)

    async def Submit(self, stream: Stream) -> None:  # noqa: N802
        """Take a task; only placers do."""
        await _unimplemented(stream)

    async def Task(self, stream: Stream) -> None:  # noqa: N802
        """Ask for a task; only placers do."""
        await _unimplemented(stream)


async def _unimplemented(stream: Stream) -> None:
    await stream.recv_message()
    raise GRPCError(Status.UNIMPLEMENTED, "this daemon does not serve the call")
