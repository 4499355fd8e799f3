"""Calls between the members of a slice."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen
from expression import Error, Ok, Result

from redwingrun.coordination.verdict import Failure, Verdict, not_run
from redwingrun.jobs.jobpeer_grpc import JobPeerStub
from redwingrun.jobs.jobpeer_pb2 import (
    AskRequest,
    LookRequest,
    RelayRequest,
    TellRequest,
)
from redwingrun.jobs.jobpeerservice import JobPeerService
from redwingrun.jobs.memberport import MemberPort
from redwingrun.jobs.ports import PolicyAnswer
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.workerpool import PolicyQuery
from redwingrun.peers import PeerClient, PeerServer

LOOK_TIMEOUT_S = 0.6
TELL_TIMEOUT_S = 0.6


class RelayVerb(Enum):
    """What a client asked for."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"


@frozen
class RelayCall:
    """A client's request on its way to a peer.

    :param submission: the encoded submission; empty for other verbs.
    """

    verb: RelayVerb
    job_id: str
    submission: str = ""


@frozen
class RelayAnswer:
    """What a peer found.

    :param known: whether there is such a job.
    """

    known: bool
    state: JobState


class PeerLinks(ABC):
    """How a member reaches the others, and they reach it."""

    @abstractmethod
    async def open(self, member: MemberPort, secret: str) -> None:
        """Serve the peers' calls, and be ready to call them."""

    @abstractmethod
    async def close(self) -> None:
        """Stop serving and close all connections."""

    @abstractmethod
    async def query_policy(
        self, address: str, order: PolicyQuery, timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Have a peer put a question to the placement policy."""

    @abstractmethod
    async def relay(
        self, address: str, call: RelayCall, timeout_s: float
    ) -> Result[RelayAnswer, Failure]:
        """Have a peer carry out a client's request."""

    @abstractmethod
    async def look(
        self, address: str, claim: bool, hands_over: str = ""
    ) -> float | None:
        """Return since when a peer could not read the owner's row, in seconds.

        :param claim: whether the peer should look at the owner's row at once.
        :param hands_over: the owner that asks to be followed.
        :return: ``None`` when the peer does not answer.
        """

    @abstractmethod
    async def tell(self, address: str, job_id: str, submission: str) -> bool:
        """Tell the owner what was just stored for it.

        :param submission: of a job that was accepted; empty for a cancellation.
        :return: whether it has heard it.
        """

    @abstractmethod
    async def is_gone(self, address: str) -> bool:
        """Tell whether certainly no process listens at a peer's address."""


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

    async def open(self, member: MemberPort, secret: str) -> None:
        """Serve the peers' calls, and be ready to call them."""
        self._client = PeerClient(secret, JobPeerStub)
        self._server = PeerServer(JobPeerService(member), secret)
        await self._server.start(self._ip, self._port)

    async def close(self) -> None:
        """Stop serving and close all connections."""
        if self._client is not None:
            self._client.close()

    async def query_policy(
        self, address: str, order: PolicyQuery, timeout_s: float
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

    async def relay(
        self, address: str, call: RelayCall, timeout_s: float
    ) -> Result[RelayAnswer, Failure]:
        """Have a peer carry out a client's request."""
        if self._client is None:
            return Error(not_run("no-peers"))
        request = RelayRequest(
            verb=call.verb.value,
            job=call.job_id,
            submission=call.submission,
            timeout_s=timeout_s,
        )
        reply = await self._client.call(address, "Relay", request, timeout_s)
        if reply.is_error():
            return reply
        found = reply.ok
        if found.verdict != Verdict.ANSWERED.value:
            return Error(Failure(Verdict(found.verdict), found.reason))
        return Ok(RelayAnswer(found.known, JobState(found.state)))

    async def tell(self, address: str, job_id: str, submission: str) -> bool:
        """Tell the owner what was just stored for it."""
        if self._client is None:
            return False
        request = TellRequest(job=job_id, submission=submission)
        reply = await self._client.call(address, "Tell", request, TELL_TIMEOUT_S)
        return reply.is_ok()

    async def is_gone(self, address: str) -> bool:
        """Tell whether certainly no process listens at a peer's address."""
        if self._client is None:
            return False
        request = LookRequest(claim=False)
        reply = await self._client.call(address, "Look", request, LOOK_TIMEOUT_S)
        if reply.is_ok():
            return False
        failure = reply.error
        return failure.verdict is Verdict.NOT_RUN and failure.reason == "peer-lost"

    async def look(
        self, address: str, claim: bool, hands_over: str = ""
    ) -> float | None:
        """Return since when a peer could not read the owner's row, in seconds."""
        if self._client is None:
            return None
        request = LookRequest(claim=claim, hands_over=hands_over)
        reply = await self._client.call(address, "Look", request, LOOK_TIMEOUT_S)
        return reply.ok.owner_row_age_s if reply.is_ok() else None
