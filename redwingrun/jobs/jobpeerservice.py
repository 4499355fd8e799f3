"""The server side of the calls between the members of a slice."""

from __future__ import annotations

from grpclib.server import Stream

from redwingrun.coordination.verdict import Verdict
from redwingrun.jobs.jobpeer_grpc import JobPeerBase
from redwingrun.jobs.jobpeer_pb2 import (
    AskReply,
    ConfigReply,
    LookReply,
    RelayReply,
    TellReply,
)
from redwingrun.jobs.jobstore import TABLE_UNAVAILABLE
from redwingrun.jobs.memberport import MemberPort
from redwingrun.jobs.spec import StepId
from redwingrun.jobs.workerpool import PolicyQuery


class JobPeerService(JobPeerBase):
    """Answers the calls of :file:`jobpeer.proto`, under the names of the protocol."""

    def __init__(self, member: MemberPort):
        self._member = member

    async def Ask(self, stream: Stream) -> None:  # noqa: N802
        """Send a peer's query to the placement policy, and return its answer."""
        request = await stream.recv_message()
        step_id = StepId(request.job, request.occurrence, request.step)
        query = PolicyQuery(step_id, tuple(request.worker_ids), 0)
        answer = await self._member.query_policy_locally(query, request.timeout_s)
        if answer.is_error():
            await stream.send_message(AskReply(failure=answer.error.reason))
            return
        await stream.send_message(
            AskReply(
                ticket_by_worker=answer.ok.ticket_by_worker,
                valid_s=answer.ok.valid_s,
            )
        )

    async def Relay(self, stream: Stream) -> None:  # noqa: N802
        """Serve a client's request for a peer that does not reach the table."""
        request = await stream.recv_message()
        await stream.send_message(await self._serve_relayed_request(request))

    async def _serve_relayed_request(self, request: object) -> RelayReply:
        job_store = self._member.job_store
        if self._member.table_is_unavailable():
            return RelayReply(verdict=Verdict.NOT_RUN.value, reason=TABLE_UNAVAILABLE)
        if request.verb == "submit":
            result = await job_store.submit(
                request.job, request.submission, request.timeout_s
            )
            if result.default_value(False):
                self._member.notify_owner(request.job, request.submission)
        elif request.verb == "cancel":
            result = await job_store.cancel(request.job, request.timeout_s)
        else:
            result = await job_store.state(request.job, request.timeout_s)
        if result.is_error():
            failure = result.error
            return RelayReply(verdict=failure.verdict.value, reason=failure.reason)
        known = result.ok is not None and result.ok is not False
        return RelayReply(
            verdict=Verdict.ANSWERED.value, known=known, state=int(result.ok or 0)
        )

    async def Tell(self, stream: Stream) -> None:  # noqa: N802
        """Receive a notification of a job or cancellation that the table holds."""
        request = await stream.recv_message()
        self._member.receive_notification(request.job, request.submission)
        await stream.send_message(TellReply())

    async def Config(self, stream: Stream) -> None:  # noqa: N802
        """Tell a peer which configuration this member uses, and how old it may be."""
        request = await stream.recv_message()
        answer = self._member.config_answer(request.known_version)
        await stream.send_message(
            ConfigReply(
                version=answer.version, age_s=answer.age_s, encoded=answer.encoded
            )
        )

    async def Look(self, stream: Stream) -> None:  # noqa: N802
        """Answer a probe with the time since this member last read the owner's row.

        If the peer asks for a claim, the row is read now instead of at the next poll;
        the answer does not wait for that.
        """
        request = await stream.recv_message()
        if request.claim:
            self._member.poll_owner_row(request.hands_over)
        await stream.send_message(
            LookReply(owner_row_age_s=self._member.owner_row_age_s())
        )
