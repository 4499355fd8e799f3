"""One short request on its way from a caller to a minion."""

from __future__ import annotations

from attrs import define


@define(eq=False)
class Request:
    """A request as the routing sees it; compared by identity.

    :param long: whether it is kept from the slots reserved for short work.
    :param arrived_s: monotonic time of arrival at this process.
    :param deadline_s: monotonic time after which nobody waits for the answer.
    :param estimate_s: expected run time, learned or declared.
    :param slow_estimate_s: a run time that few exceed, to refuse in time.
    :param once: not idempotent: may be sent again only when it did not run.
    :param peer_id: the member that forwarded it, empty when it arrived here.
    """

    request_id: str
    workload: str
    team: str
    pool: str
    arrived_s: float
    deadline_s: float
    estimate_s: float
    slow_estimate_s: float = 0.0
    long: bool = False
    once: bool = False
    body: bytes = b""
    digest: str = ""
    peer_id: str = ""
    attempts: int = 0

    def hopeless(self, now_s: float) -> bool:
        """Tell whether even a start at once would miss the deadline."""
        return now_s + self.slow_estimate_s > self.deadline_s
