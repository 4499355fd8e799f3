"""What a member answers to its peers."""

from __future__ import annotations

from grpclib.server import Stream

from redwingrun.coordination.verdict import Verdict
from redwingrun.jobs.jobpeer_grpc import JobPeerBase
from redwingrun.jobs.jobpeer_pb2 import AskReply, LookReply, RelayReply, TellReply
from redwingrun.jobs.jobstore import TABLE_AWAY
from redwingrun.jobs.memberport import MemberPort
from redwingrun.jobs.spec import StepId
from redwingrun.jobs.workerpool import PolicyQuery


class JobPeerService(JobPeerBase):
    """The calls of :file:`jobpeer.proto`; the names are the protocol's."""

    def __init__(self, member: MemberPort):
        self._member = member

    async def Ask(self, stream: Stream) -> None:  # noqa: N802
        """Put a question to the placement policy from this machine."""
        request = await stream.recv_message()
        step_id = StepId(request.job, request.occurrence, request.step)
        order = PolicyQuery(step_id, tuple(request.worker_ids), 0)
        answer = await self._member.ask_here(order, request.timeout_s)
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
        """Carry out a client's request for a peer that the table turns away."""
        request = await stream.recv_message()
        await stream.send_message(await self._relayed(request))

    async def _relayed(self, request: object) -> RelayReply:
        intake = self._member.intake
        if self._member.table_is_away():
            return RelayReply(verdict=Verdict.NOT_RUN.value, reason=TABLE_AWAY)
        if request.verb == "submit":
            result = await intake.submit(
                request.job, request.submission, request.timeout_s
            )
            if result.default_value(False):
                self._member.announce(request.job, request.submission)
        elif request.verb == "cancel":
            result = await intake.cancel(request.job, request.timeout_s)
        else:
            result = await intake.state(request.job, request.timeout_s)
        if result.is_error():
            failure = result.error
            return RelayReply(verdict=failure.verdict.value, reason=failure.reason)
        known = result.ok is not None and result.ok is not False
        return RelayReply(
            verdict=Verdict.ANSWERED.value, known=known, state=int(result.ok or 0)
        )

    async def Tell(self, stream: Stream) -> None:  # noqa: N802
        """Take news that the table holds already."""
        request = await stream.recv_message()
        self._member.hear(request.job, request.submission)
        await stream.send_message(TellReply())

    async def Look(self, stream: Stream) -> None:  # noqa: N802
        """Tell how this member fares."""
        request = await stream.recv_message()
        if request.claim:
            self._member.poll_owner_row(request.hands_over)
        await stream.send_message(
            LookReply(owner_row_age_s=self._member.owner_row_age_s())
        )
