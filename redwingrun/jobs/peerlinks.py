"""Calls between the members of a slice."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from redwingrun.coordination.verdict import Failure, not_run
from redwingrun.jobs.jobpeer_grpc import JobPeerStub
from redwingrun.jobs.jobpeer_pb2 import AskRequest, LookRequest
from redwingrun.jobs.jobpeerservice import JobPeerService
from redwingrun.jobs.ports import PolicyAnswer
from redwingrun.jobs.workerpool import AskOrder
from redwingrun.peers import PeerClient, PeerServer

if TYPE_CHECKING:
    from redwingrun.jobs.member import Member

LOOK_TIMEOUT_S = 0.6


class PeerLinks(ABC):
    """How a member reaches the others, and they reach it."""

    @abstractmethod
    async def open(self, member: Member, secret: str) -> None:
        """Serve the peers' calls, and be ready to call them."""

    @abstractmethod
    async def close(self) -> None:
        """Stop serving and close all connections."""

    @abstractmethod
    async def ask(
        self, address: str, order: AskOrder, timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Have a peer put a question to the placement policy."""

    @abstractmethod
    async def look(self, address: str, claim: bool) -> float | None:
        """Return since when the table has not answered a peer, in seconds.

        :param claim: whether the peer should look at the owner's row at once.
        :return: ``None`` when the peer does not answer.
        """


class GrpcPeerLinks(PeerLinks):
    """Calls by grpclib.

    :param ip: address to listen on.
    :param port: port to listen on.
    """

    def __init__(self, ip: str, port: int):
        self._ip = ip
        self._port = port
        self._client: PeerClient | None = None
        self._server: PeerServer | None = None

    async def open(self, member: Member, secret: str) -> None:
        """Serve the peers' calls, and be ready to call them."""
        self._client = PeerClient(secret, JobPeerStub)
        self._server = PeerServer(JobPeerService(member), secret)
        await self._server.start(self._ip, self._port)

    async def close(self) -> None:
        """Stop serving and close all connections."""
        if self._client is not None:
            self._client.close()

    async def ask(
        self, address: str, order: AskOrder, timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Have a peer put a question to the placement policy."""
        if self._client is None:
            return Error(not_run("no-peers"))
        step = order.step_id
        request = AskRequest(
            job=step.job,
            occurrence=step.occurrence,
            step=step.step,
            worker_ids=order.worker_ids,
            timeout_s=timeout_s,
        )
        reply = await self._client.call(address, "Ask", request, timeout_s)
        if reply.is_error():
            return reply
        if reply.ok.failure:
            return Error(not_run(reply.ok.failure))
        return Ok(PolicyAnswer(dict(reply.ok.ticket_by_worker), reply.ok.valid_s))

    async def look(self, address: str, claim: bool) -> float | None:
        """Return since when the table has not answered a peer, in seconds."""
        if self._client is None:
            return None
        request = LookRequest(claim=claim)
        reply = await self._client.call(address, "Look", request, LOOK_TIMEOUT_S)
        return reply.ok.table_silent_s if reply.is_ok() else None
