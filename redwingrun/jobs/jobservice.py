"""Clients' requests, by the table if it answers here, else through a peer."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from typing import Any

from expression import Error, Ok, Result

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.verdict import Failure, Verdict, may_have_run
from redwingrun.jobs.jobstore import TABLE_AWAY, JobStore
from redwingrun.jobs.memberport import MemberPort
from redwingrun.jobs.peerlinks import PeerLinks, RelayAnswer, RelayCall, RelayVerb
from redwingrun.jobs.progress import JobState
from redwingrun.logs import Log

# The longest that the table is tried before a peer is.
LOCAL_SHARE = 0.4
RELAY_TIMEOUT_S = 0.8
PEERS_TRIED = 2
# A peer that did not serve a request gets no other one for so long.
AVOID_PEER_S = 3.0


class JobService:
    """What clients ask for, at any member.

    :param intake: the way to the table.
    :param peers: the way to the other members.
    """

    def __init__(
        self,
        intake: JobStore,
        peers: PeerLinks,
        member: MemberPort,
        clock: Clock,
        log: Log,
    ):
        self._intake = intake
        self._peers = peers
        self._member = member
        self._clock = clock
        self._log = log
        self._unhelpful_until_s: dict[str, float] = {}

    async def submit(
        self, job_id: str, submission: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Accept a job; ends with *not run* only if it will never run."""
        call = RelayCall(RelayVerb.SUBMIT, job_id, submission)
        result = await self._serve(
            call,
            lambda left_s: self._intake.submit(job_id, submission, left_s),
            timeout_s,
        )
        if result.default_value(None) is True:
            self._member.announce(job_id, submission)
        return result.map(lambda found: True)

    async def cancel(self, job_id: str, timeout_s: float) -> Result[bool, Failure]:
        """Cancel a job; tells whether there is one."""
        result = await self._serve(
            RelayCall(RelayVerb.CANCEL, job_id),
            lambda left_s: self._intake.cancel(job_id, left_s),
            timeout_s,
        )
        if result.default_value(None) is True:
            self._member.announce(job_id, "")
        return result.map(
            lambda found: found.known if isinstance(found, RelayAnswer) else found
        )

    async def state(
        self, job_id: str, timeout_s: float
    ) -> Result[JobState | None, Failure]:
        """Return a job's state, ``None`` when there is no such job."""
        result = await self._serve(
            RelayCall(RelayVerb.STATE, job_id),
            lambda left_s: self._intake.state(job_id, left_s),
            timeout_s,
        )
        return result.map(_state)

    async def _serve(
        self,
        call: RelayCall,
        local: Callable[[float], Coroutine[Any, Any, Result[Any, Failure]]],
        timeout_s: float,
    ) -> Result[Any, Failure]:
        until_s = self._clock.now() + timeout_s
        peers = self._helpful_peers()
        unsure: Failure | None = None
        if not (self._member.table_is_away() and peers):
            result = await local(timeout_s * LOCAL_SHARE if peers else timeout_s)
            if result.is_ok():
                return result
            unsure = _may_have_run(result.error)
        last = unsure or Failure(Verdict.NOT_RUN, "table-away")
        for address in random.sample(peers, min(PEERS_TRIED, len(peers))):
            left_s = min(RELAY_TIMEOUT_S, until_s - self._clock.now())
            if left_s <= 0:
                break
            result = await self._peers.relay(address, call, left_s)
            if result.is_ok():
                return Ok(result.ok)
            unsure = unsure or _may_have_run(result.error)
            last = result.error
            if last.reason == TABLE_AWAY:
                # Away for the peer as well: the next one would say the same.
                break
            self._unhelpful_until_s[address] = self._clock.now() + AVOID_PEER_S
        self._log.detail("not-relayed", job=call.job_id, why=last.reason)
        return Error(unsure or last)

    def _helpful_peers(self) -> list[str]:
        """Return the peers that have not failed a request lately."""
        now_s = self._clock.now()
        return [
            address
            for address in self._member.peer_addresses()
            if now_s >= self._unhelpful_until_s.get(address, 0.0)
        ]


def _may_have_run(failure: Failure) -> Failure | None:
    """Return a failure that must not be told as *not run* later on."""
    if failure.verdict is Verdict.NOT_RUN:
        return None
    return may_have_run(failure.reason, failure.detail)


def _state(found: RelayAnswer | JobState | None) -> JobState | None:
    if not isinstance(found, RelayAnswer):
        return found
    return found.state if found.known else None
