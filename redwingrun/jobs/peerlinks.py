"""Calls between the members of a slice, over gRPC."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen
from expression import Error, Ok, Result

from redwingrun.coordination.verdict import Failure, Verdict, not_run
from redwingrun.jobs.configanswer import ConfigAnswer
from redwingrun.jobs.jobpeer_grpc import JobPeerStub
from redwingrun.jobs.jobpeer_pb2 import (
    AskRequest,
    ConfigRequest,
    LookRequest,
    RelayRequest,
    TellRequest,
)
from redwingrun.jobs.jobpeerservice import JobPeerService
from redwingrun.jobs.memberport import MemberPort
from redwingrun.jobs.ports import PolicyAnswer
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.workerpool import PolicyQuery
from redwingrun.peers import DEFAULT_MAX_CONNECTIONS, PeerClient, PeerServer
from redwingrun.refusals import RefusalCounter

PROBE_TIMEOUT_S = 0.6
LIVENESS_TIMEOUT_S = 0.35
NOTIFY_TIMEOUT_S = 0.6
CONFIG_TIMEOUT_S = 1.0


class Liveness(Enum):
    """What a probe says about the process at a peer's address."""

    ANSWERS = "answers"
    # No process listens there, or the network refuses connections for it.
    ENDED = "ended"
    SILENT = "silent"  # its host may be frozen, cut off or without power


@frozen
class PeerFailure(Failure):
    """The failure of a call that the peer itself did not answer."""

    @classmethod
    def of(cls, failure: Failure) -> PeerFailure:
        """Return a failure as one of the peer."""
        return cls(failure.verdict, failure.reason, failure.detail)


class RelayVerb(Enum):
    """The kind of a client's request."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"


@frozen
class RelayCall:
    """A client's request that is relayed to a peer.

    :param submission: the encoded submission; empty for the other verbs.
    """

    verb: RelayVerb
    job_id: str
    submission: str = ""


@frozen
class RelayAnswer:
    """A peer's answer to a relayed request.

    :param job_exists: whether there is such a job.
    :param state: the job's state; only meaningful as the answer to a state request.
    """

    job_exists: bool
    state: JobState


class PeerLinks(ABC):
    """Calls from a member to its peers and from them to the member."""

    @abstractmethod
    async def open(self, member: MemberPort, secret: str) -> None:
        """Start to serve the peers' calls, and get ready to call them.

        :param secret: authenticates the calls between members.
        """

    @abstractmethod
    async def close(self) -> None:
        """Stop serving and close all connections."""

    @abstractmethod
    async def query_policy(
        self, address: str, query: PolicyQuery, timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Have a peer send a query to the placement policy.

        :return: a ``PeerFailure`` if the peer has not answered.
        """

    @abstractmethod
    async def relay(
        self, address: str, call: RelayCall, timeout_s: float
    ) -> Result[RelayAnswer, Failure]:
        """Have a peer serve a client's request.

        :return: a ``PeerFailure`` if the peer has not answered.
        """

    @abstractmethod
    async def probe(
        self, address: str, claim: bool, handover_from: str = ""
    ) -> float | None:
        """Return the seconds since a peer last read the owner's row.

        It is zero for a peer that owns the slice or may have claimed it.

        :param claim: whether the peer should read the owner's row now, and claim the
            slice if its owner has released it, has failed or is ``handover_from``.
        :param handover_from: name of an owner that hands the slice over; empty if
            none does.
        :return: ``None`` if the peer does not answer.
        """

    @abstractmethod
    async def notify(self, address: str, job_id: str, submission: str) -> bool:
        """Notify the owner of a job or cancellation that was just stored.

        :param submission: the accepted job's submission; empty for a cancellation.
        :return: whether the owner has acknowledged the notification.
        """

    @abstractmethod
    async def read_config(
        self, address: str, known_version: int
    ) -> Result[ConfigAnswer, Failure]:
        """Ask a peer which configuration it uses.

        :param known_version: a newer version is included in the answer.
        :return: a ``PeerFailure`` if the peer has not answered.
        """

    @abstractmethod
    async def liveness(self, address: str) -> Liveness:
        """Probe the process at a peer's address, for ``LIVENESS_TIMEOUT_S``."""


class GrpcPeerLinks(PeerLinks):
    """Calls between members by grpclib.

    :param ip: address to listen on.
    :param port: port to listen on.
    :param refusals: counts the connections that the server closes; ``None`` to count
        none.
    :param max_connections: most connections to the server that have not sent the secret
        yet.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        refusals: RefusalCounter | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ):
        self._ip = ip
        self._port = port
        self._refusals = refusals
        self._max_connections = max_connections
        self._client: PeerClient | None = None
        self._server: PeerServer | None = None

    async def open(self, member: MemberPort, secret: str) -> None:
        """Start to serve the peers' calls, and get ready to call them."""
        self._client = PeerClient(secret, JobPeerStub)
        self._server = PeerServer(
            JobPeerService(member), secret, self._refusals, self._max_connections
        )
        await self._server.start(self._ip, self._port)

    async def close(self) -> None:
        """Close all connections to peers; the server is not stopped."""
        if self._client is not None:
            self._client.close()

    async def query_policy(
        self, address: str, query: PolicyQuery, timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Have a peer send a query to the placement policy."""
        if self._client is None:
            return Error(not_run("no-peers"))
        step = query.step_id
        request = AskRequest(
            job=step.job,
            occurrence=step.occurrence,
            step=step.step,
            worker_ids=query.worker_ids,
            timeout_s=timeout_s,
        )
        reply = await self._client.call(address, "Ask", request, timeout_s)
        if reply.is_error():
            return Error(PeerFailure.of(reply.error))
        if reply.ok.failure:
            return Error(not_run(reply.ok.failure))
        return Ok(PolicyAnswer(dict(reply.ok.ticket_by_worker), reply.ok.valid_s))

    async def relay(
        self, address: str, call: RelayCall, timeout_s: float
    ) -> Result[RelayAnswer, Failure]:
        """Have a peer serve a client's request."""
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
            return Error(PeerFailure.of(reply.error))
        answer = reply.ok
        if answer.verdict != Verdict.ANSWERED.value:
            return Error(Failure(Verdict(answer.verdict), answer.reason))
        return Ok(RelayAnswer(answer.known, JobState(answer.state)))

    async def notify(self, address: str, job_id: str, submission: str) -> bool:
        """Notify the owner of a job or cancellation that was just stored."""
        if self._client is None:
            return False
        request = TellRequest(job=job_id, submission=submission)
        reply = await self._client.call(address, "Tell", request, NOTIFY_TIMEOUT_S)
        return reply.is_ok()

    async def read_config(
        self, address: str, known_version: int
    ) -> Result[ConfigAnswer, Failure]:
        """Ask a peer which configuration it uses."""
        if self._client is None:
            return Error(not_run("no-peers"))
        request = ConfigRequest(known_version=known_version)
        reply = await self._client.call(address, "Config", request, CONFIG_TIMEOUT_S)
        if reply.is_error():
            return Error(PeerFailure.of(reply.error))
        answer = reply.ok
        return Ok(ConfigAnswer(answer.version, answer.age_s, answer.encoded))

    async def liveness(self, address: str) -> Liveness:
        """Probe the process at a peer's address."""
        if self._client is None:
            return Liveness.SILENT
        request = LookRequest(claim=False)
        reply = await self._client.call(address, "Look", request, LIVENESS_TIMEOUT_S)
        if reply.is_ok():
            return Liveness.ANSWERS
        failure = reply.error
        if failure.verdict is Verdict.NOT_RUN and failure.reason == "peer-lost":
            return Liveness.ENDED
        return Liveness.SILENT

    async def probe(
        self, address: str, claim: bool, handover_from: str = ""
    ) -> float | None:
        """Return the seconds since a peer last read the owner's row."""
        if self._client is None:
            return None
        request = LookRequest(claim=claim, hands_over=handover_from)
        reply = await self._client.call(address, "Look", request, PROBE_TIMEOUT_S)
        return reply.ok.owner_row_age_s if reply.is_ok() else None
