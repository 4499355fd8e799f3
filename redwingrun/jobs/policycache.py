"""Caches the placement policy's answers for a step."""

from __future__ import annotations

from attrs import define, field, frozen

# A ticket must still be valid when the start arrives at the worker, after the table has
# stored the placement.
TICKET_MARGIN_S = 0.15


@frozen
class Ticket:
    """The policy's permission to start tasks of a step on a worker.

    :param text: opaque token that is sent with each start.
    :param incarnation_ms: start time of the worker process for which it is valid.
    :param expires_s: monotonic time at which it expires.
    """

    text: str
    incarnation_ms: int
    expires_s: float


@define
class StepPolicyCache:
    """The policy's answers for one step.

    The policy's decision about a worker does not change, so a refused worker is not
    queried again. The ticket of an allowed worker expires; then it is queried again.

    :param pending: ids of the workers in queries that have not ended yet.
    :param retry_at_s: monotonic time before which no query is sent.
    :param allowed: ids of the workers that were allowed at some time.
    :param refused: ids of the workers that were queried and not allowed.
    """

    pending: set[str] = field(factory=set)
    retry_at_s: float = 0
    allowed: set[str] = field(factory=set)
    refused: set[str] = field(factory=set)
    ticket_by_worker: dict[str, Ticket] = field(factory=dict)

    def valid_ticket(
        self, worker_id: str, incarnation_ms: int, now_s: float
    ) -> Ticket | None:
        """Return the worker's ticket if it is valid for a start now."""
        ticket = self.ticket_by_worker.get(worker_id)
        if ticket is None or ticket.incarnation_ms != incarnation_ms:
            return None
        if now_s + TICKET_MARGIN_S > ticket.expires_s:
            return None
        return ticket

    def must_wait(self, now_s: float) -> bool:
        """Return whether no ticket is valid and no query may be sent now."""
        if not self.pending and now_s >= self.retry_at_s:
            return False
        return all(
            now_s + TICKET_MARGIN_S > ticket.expires_s
            for ticket in self.ticket_by_worker.values()
        )

    def may_allow(self, worker_id: str) -> bool:
        """Return whether the policy allows the worker or has not been queried."""
        return worker_id not in self.refused

    def record_answer(
        self, queried: tuple[str, ...], ticket_by_worker: dict[str, Ticket]
    ) -> None:
        """Record the answer to a query.

        :param queried: ids of all workers in the query.
        :param ticket_by_worker: tickets of those that are allowed.
        """
        self.pending.difference_update(queried)
        for worker_id in queried:
            if worker_id in ticket_by_worker:
                self.allowed.add(worker_id)
            else:
                self.refused.add(worker_id)
        self.ticket_by_worker.update(ticket_by_worker)

    def record_failure(self, queried: tuple[str, ...], retry_at_s: float) -> None:
        """Record that a query got no answer.

        :param queried: ids of all workers in the query.
        :param retry_at_s: monotonic time before which no query is sent.
        """
        self.pending.difference_update(queried)
        self.retry_at_s = retry_at_s

    def drop_ticket(self, worker_id: str) -> None:
        """Drop a ticket that its worker has refused."""
        self.ticket_by_worker.pop(worker_id, None)
