"""One quick request on its way from a caller to a minion."""

from __future__ import annotations

import asyncio

from attrs import define, evolve


@define(eq=False)
class Request:
    """A quick request, of the long or the short class; compared by identity.

    :param long: whether it is long and may use only a share of each minion's slots.
    :param arrived_s: monotonic time of arrival at this process.
    :param deadline_s: monotonic time after which the answer is of no use.
    :param estimate_s: expected run time in seconds, measured or declared.
    :param p99_estimate_s: measured 99th percentile of the run time; 0 when there is
        none, and for requests of peers. With less time than this left before its
        deadline a request is neither queued nor retried.
    :param at_most_once: whether it is not idempotent, and is retried only when it did
        not run.
    :param peer_id: the member that forwarded it, empty when a caller sent it here.
    :param attempts: earlier attempts; each attempt has its own request id, so that
        it is not confused with an earlier one that still holds a slot.
    :param may_have_run: whether an earlier attempt may have run.
    :param waiter: future for the outcome; only for requests that a caller sent here.
    """

    request_id: str
    workload: str
    team: str
    pool: str
    arrived_s: float
    deadline_s: float
    estimate_s: float
    p99_estimate_s: float = 0.0
    long: bool = False
    at_most_once: bool = False
    body: bytes = b""
    digest: str = ""
    peer_id: str = ""
    attempts: int = 0
    may_have_run: bool = False
    waiter: asyncio.Future | None = None

    def misses_deadline(self, now_s: float) -> bool:
        """Return whether a start at ``now_s`` would miss the deadline.

        It is assumed to run for ``p99_estimate_s``.
        """
        return now_s + self.p99_estimate_s > self.deadline_s

    def next_attempt(self, may_have_run: bool) -> Request:
        """Return the request for another attempt, with a request id of its own.

        :param may_have_run: whether the attempt that failed may have run.
        """
        attempts = self.attempts + 1
        base_id = self.request_id.partition("~")[0]
        return evolve(
            self,
            request_id=f"{base_id}~{attempts}",
            attempts=attempts,
            may_have_run=self.may_have_run or may_have_run,
        )
