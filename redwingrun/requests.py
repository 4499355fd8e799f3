"""One short request on its way from a caller to a minion."""

from __future__ import annotations

import asyncio

from attrs import define, evolve


@define(eq=False)
class Request:
    """A request as the routing sees it; compared by identity.

    :param long: whether it is kept from the slots reserved for short work.
    :param arrived_s: monotonic time of arrival at this process.
    :param deadline_s: monotonic time after which nobody waits for the answer.
    :param estimate_s: expected run time, learned or declared.
    :param p99_estimate_s: a run time that few exceed, to refuse in time.
    :param once: not idempotent: may be sent again only when it did not run.
    :param peer_id: the member that forwarded it, empty when it arrived here.
    :param attempts: tries before this one; each try has an id of its own, so
        that a slot still held by an earlier one is not taken for its slot.
    :param may_have_run: whether an earlier try may have run.
    :param waiter: takes the outcome, for requests that arrived here.
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
    once: bool = False
    body: bytes = b""
    digest: str = ""
    peer_id: str = ""
    attempts: int = 0
    may_have_run: bool = False
    waiter: asyncio.Future | None = None

    def hopeless(self, now_s: float) -> bool:
        """Tell whether even a start at once would miss the deadline."""
        return now_s + self.p99_estimate_s > self.deadline_s

    def next_attempt(self, may_have_run: bool) -> Request:
        """Return the same request for another try, under an id of its own.

        :param may_have_run: whether the try that failed may have run.
        """
        attempts = self.attempts + 1
        base = self.request_id.partition("~")[0]
        return evolve(
            self,
            request_id=f"{base}~{attempts}",
            attempts=attempts,
            may_have_run=self.may_have_run or may_have_run,
        )
