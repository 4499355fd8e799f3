"""What the placement policy has said about a step: who may run it, until when."""

from __future__ import annotations

from attrs import define, field, frozen

# A ticket must still be good when the start arrives, a store answer later.
TICKET_MARGIN_S = 0.15


@frozen
class Ticket:
    """Permission to start a step's tasks on a worker.

    :param incarnation_ms: birth of the worker's life that it holds for.
    :param expires_s: steady time.
    """

    text: str
    incarnation_ms: int
    expires_s: float


@define
class StepPolicyCache:
    """The answers for one step.

    :param asking: whether a question is under way.
    :param good: workers that were ever allowed: the policy doesn't change.
    :param refused: workers that were named and not allowed.
    """

    query_pending: bool = False
    queried_s: float = 0
    retry_s: float = 0
    allowed: set[str] = field(factory=set)
    refused: set[str] = field(factory=set)
    ticket_by_worker: dict[str, Ticket] = field(factory=dict)

    def valid_ticket(
        self, worker_id: str, incarnation_ms: int, now_s: float
    ) -> Ticket | None:
        """Return a ticket that is good for a start now."""
        ticket = self.ticket_by_worker.get(worker_id)
        if ticket is None or ticket.incarnation_ms != incarnation_ms:
            return None
        if now_s + TICKET_MARGIN_S > ticket.expires_s:
            return None
        return ticket

    def must_wait(self, now_s: float) -> bool:
        """Tell whether nothing can be done but wait for the policy."""
        if not self.query_pending and now_s >= self.retry_s:
            return False
        return all(
            now_s + TICKET_MARGIN_S > ticket.expires_s
            for ticket in self.ticket_by_worker.values()
        )

    def may_allow(self, worker_id: str) -> bool:
        """Tell whether the policy allows the worker or hasn't been asked."""
        return worker_id not in self.refused

    def record_answer(
        self, named: tuple[str, ...], ticket_by_worker: dict[str, Ticket]
    ) -> None:
        """Take the policy's answer about the workers named."""
        self.query_pending = False
        for worker_id in named:
            if worker_id in ticket_by_worker:
                self.allowed.add(worker_id)
            else:
                self.refused.add(worker_id)
        self.ticket_by_worker.update(ticket_by_worker)

    def record_failure(self, retry_s: float) -> None:
        """Note that a question got no answer; ask again from ``retry_s`` on."""
        self.query_pending = False
        self.retry_s = retry_s

    def drop_ticket(self, worker_id: str) -> None:
        """Drop a ticket that a worker did not accept."""
        self.ticket_by_worker.pop(worker_id, None)
