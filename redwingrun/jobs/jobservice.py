"""Serves clients' requests through the table, or through a peer that reaches it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from expression import Error, Ok, Result

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.verdict import Failure, Verdict, may_have_run, not_run
from redwingrun.jobs.backlog import BACKLOG_FULL, BacklogGate
from redwingrun.jobs.cancellation import cancel_all
from redwingrun.jobs.jobstore import TABLE_REJECTS, TABLE_UNAVAILABLE, JobStore
from redwingrun.jobs.memberport import MemberPort
from redwingrun.jobs.peercalls import PeerCalls
from redwingrun.jobs.peerlinks import PeerFailure, RelayAnswer, RelayCall, RelayVerb
from redwingrun.jobs.progress import JobState
from redwingrun.logs import Log

# Share of a request's timeout after which a peer is tried, if the table is unavailable
# to this member, and how often that is checked from then on.
LOCAL_TIMEOUT_SHARE = 0.4
RELAY_CHECK_INTERVAL_S = 0.1
RELAY_TIMEOUT_S = 0.8
MAX_RELAY_PEERS = 2


class JobService:
    """Submits, reads and cancels jobs for clients, at any member.

    :param job_store: access to the jobs through the table.
    :param peers: calls to the other members.
    :param backlog: whether the owner has room for another job.
    """

    def __init__(
        self,
        job_store: JobStore,
        peers: PeerCalls,
        member: MemberPort,
        clock: Clock,
        log: Log,
        backlog: BacklogGate,
    ):
        self._backlog = backlog
        self._job_store = job_store
        self._peers = peers
        self._member = member
        self._clock = clock
        self._log = log

    async def submit(
        self, job_id: str, submission: str, timeout_s: float, needed_bytes: int
    ) -> Result[bool, Failure]:
        """Accept a job; fail with *not run* only if the job will never run.

        :param needed_bytes: memory that the owner will need for it.
        """
        if not self._backlog.has_room(needed_bytes):
            return await self._refuse_unless_known(job_id, timeout_s)
        call = RelayCall(RelayVerb.SUBMIT, job_id, submission)
        with self._backlog.reserve(needed_bytes):
            result = await self._serve_or_relay(
                call,
                lambda left_s: self._job_store.submit(job_id, submission, left_s),
                timeout_s,
            )
            if result.default_value(None) is True:
                self._member.notify_owner(job_id, submission)
        return result.map(lambda _: True)

    async def _refuse_unless_known(
        self, job_id: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Refuse a job, unless it was accepted before and is only submitted again."""
        known = await self._job_store.exists(job_id, timeout_s)
        if known.is_error():
            return Error(may_have_run(known.error.reason, known.error.detail))
        if known.ok:
            return Ok(True)
        return Error(not_run(BACKLOG_FULL, "the owner has no room for the job"))

    async def cancel(self, job_id: str, timeout_s: float) -> Result[bool, Failure]:
        """Cancel a job; return whether there is such a job."""
        result = await self._serve_or_relay(
            RelayCall(RelayVerb.CANCEL, job_id),
            lambda left_s: self._job_store.cancel(job_id, left_s),
            timeout_s,
        )
        if result.default_value(None) is True:
            self._member.notify_owner(job_id, "")
        return result.map(
            lambda found: found.job_exists if isinstance(found, RelayAnswer) else found
        )

    async def state(
        self, job_id: str, timeout_s: float
    ) -> Result[JobState | None, Failure]:
        """Return a job's state; ``None`` if there is no such job."""
        result = await self._serve_or_relay(
            RelayCall(RelayVerb.STATE, job_id),
            lambda left_s: self._job_store.state(job_id, left_s),
            timeout_s,
        )
        return result.map(_state_from)

    async def _serve_or_relay(
        self,
        call: RelayCall,
        local: Callable[[float], Coroutine[Any, Any, Result[Any, Failure]]],
        timeout_s: float,
    ) -> Result[Any, Failure]:
        """Serve a request through the table, else through a peer.

        The table is skipped while it does not answer this member, if there are peers.

        :param local: serves the request through the table within a timeout in seconds.
        :return: the answer, or a failure, which is *not run* only if no attempt may
            have taken effect.
        """
        deadline_s = self._clock.now() + timeout_s
        has_peers = bool(self._peers.health.available())
        uncertain: Failure | None = None
        if not (self._member.table_is_unavailable() and has_peers):
            result = await self._serve_locally(local, timeout_s, has_peers)
            if result.is_ok() or result.error.reason == TABLE_REJECTS:
                return result
            uncertain = _as_may_have_run(result.error)
        result = await self._relay(call, deadline_s, uncertain)
        if result.is_error():
            self._log.detail("not-relayed", job=call.job_id, why=result.error.reason)
        return result

    async def _relay(
        self, call: RelayCall, deadline_s: float, uncertain: Failure | None
    ) -> Result[RelayAnswer, Failure]:
        """Have a peer serve a request, a second one if the first can't.

        :param uncertain: the failure of an attempt that may have taken effect.
        """
        failure = uncertain or Failure(Verdict.NOT_RUN, "table-away")
        tried: list[str] = []
        while len(tried) < MAX_RELAY_PEERS:
            address = await self._choose_peer(tried)
            left_s = min(RELAY_TIMEOUT_S, deadline_s - self._clock.now())
            if address is None or left_s <= 0:
                break
            tried.append(address)
            result = await self._peers.relay(address, call, left_s)
            if result.is_ok():
                return result
            uncertain = uncertain or _as_may_have_run(result.error)
            failure = result.error
            if failure.reason in (TABLE_UNAVAILABLE, TABLE_REJECTS):
                # The table does not answer the peer either, or rejects the request.
                break
            if not isinstance(failure, PeerFailure):
                self._peers.health.refused(address)
        return Error(uncertain or failure)

    async def _choose_peer(self, tried: list[str]) -> str | None:
        """Return a peer to relay a request to, ``None`` if none is there.

        A peer that was heard lately may be lost since. So that a request waits for one
        lost peer at most, the second one is chosen among those that answer now.
        """
        health = self._peers.health
        peers = [address for address in health.available() if address not in tried]
        if not tried:
            heard = [address for address in peers if health.was_heard_lately(address)]
            if heard:
                return random.choice(heard)
        return await self._peers.first_to_answer(peers)

    async def _serve_locally(
        self,
        local: Callable[[float], Coroutine[Any, Any, Result[Any, Failure]]],
        timeout_s: float,
        has_peers: bool,
    ) -> Result[Any, Failure]:
        """Serve a request through the table.

        A table that answers this member slowly answers the peers no sooner, and a
        second call for the same request would make it slower. So a request goes on to
        the peers early only if the table does not answer this member at all.

        :param has_peers: whether there is a peer to which the request can be relayed.
        """
        work = asyncio.get_running_loop().create_task(local(timeout_s))
        wait_s = timeout_s * LOCAL_TIMEOUT_SHARE
        try:
            while True:
                await asyncio.wait({work}, timeout=wait_s)
                if work.done():
                    return work.result()
                if has_peers and self._member.table_is_unavailable():
                    return Error(may_have_run(TABLE_UNAVAILABLE, "no answer so far"))
                wait_s = RELAY_CHECK_INTERVAL_S
        finally:
            await cancel_all({work})


def _as_may_have_run(failure: Failure) -> Failure | None:
    """Return the failure if the request may have run, else ``None``.

    A request that may have run must not be reported as *not run* after later attempts.
    """
    if failure.verdict is Verdict.NOT_RUN:
        return None
    return may_have_run(failure.reason, failure.detail)


def _state_from(found: RelayAnswer | JobState | None) -> JobState | None:
    if not isinstance(found, RelayAnswer):
        return found
    return found.state if found.job_exists else None
