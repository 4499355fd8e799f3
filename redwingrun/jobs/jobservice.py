"""Serves clients' requests through the table, or through a peer that reaches it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from expression import Error, Ok, Result

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.verdict import Failure, Verdict, may_have_run
from redwingrun.jobs.cancellation import cancel_all
from redwingrun.jobs.jobstore import TABLE_REJECTS, TABLE_UNAVAILABLE, JobStore
from redwingrun.jobs.memberport import MemberPort
from redwingrun.jobs.peerlinks import PeerLinks, RelayAnswer, RelayCall, RelayVerb
from redwingrun.jobs.progress import JobState
from redwingrun.logs import Log

# Share of a request's timeout after which a peer is tried, if the table is unavailable
# to this member, and how often that is checked from then on.
LOCAL_TIMEOUT_SHARE = 0.4
RELAY_CHECK_INTERVAL_S = 0.1
RELAY_TIMEOUT_S = 0.8
MAX_RELAY_PEERS = 2
# Time during which no request is relayed to a peer that failed to serve one.
AVOID_PEER_S = 3.0


class JobService:
    """Submits, reads and cancels jobs for clients, at any member.

    :param job_store: access to the jobs through the table.
    :param peers: calls to the other members.
    """

    def __init__(
        self,
        job_store: JobStore,
        peers: PeerLinks,
        member: MemberPort,
        clock: Clock,
        log: Log,
    ):
        self._job_store = job_store
        self._peers = peers
        self._member = member
        self._clock = clock
        self._log = log
        self._avoid_until_s_by_peer: dict[str, float] = {}

    async def submit(
        self, job_id: str, submission: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Accept a job; fail with *not run* only if the job will never run."""
        call = RelayCall(RelayVerb.SUBMIT, job_id, submission)
        result = await self._serve_or_relay(
            call,
            lambda left_s: self._job_store.submit(job_id, submission, left_s),
            timeout_s,
        )
        if result.default_value(None) is True:
            self._member.notify_owner(job_id, submission)
        return result.map(lambda _: True)

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
        peers = self._available_peers()
        uncertain: Failure | None = None
        if not (self._member.table_is_unavailable() and peers):
            result = await self._serve_locally(local, timeout_s, bool(peers))
            if result.is_ok() or result.error.reason == TABLE_REJECTS:
                return result
            uncertain = _as_may_have_run(result.error)
        failure = uncertain or Failure(Verdict.NOT_RUN, "table-away")
        for address in random.sample(peers, min(MAX_RELAY_PEERS, len(peers))):
            left_s = min(RELAY_TIMEOUT_S, deadline_s - self._clock.now())
            if left_s <= 0:
                break
            result = await self._peers.relay(address, call, left_s)
            if result.is_ok():
                return Ok(result.ok)
            uncertain = uncertain or _as_may_have_run(result.error)
            failure = result.error
            if failure.reason in (TABLE_UNAVAILABLE, TABLE_REJECTS):
                # The table does not answer the peer either, or rejects the request.
                break
            self._avoid_until_s_by_peer[address] = self._clock.now() + AVOID_PEER_S
        self._log.detail("not-relayed", job=call.job_id, why=failure.reason)
        return Error(uncertain or failure)

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

    def _available_peers(self) -> list[str]:
        """Return the addresses of the peers without a recent failure."""
        now_s = self._clock.now()
        return [
            address
            for address in self._member.peer_addresses()
            if now_s >= self._avoid_until_s_by_peer.get(address, 0.0)
        ]


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
