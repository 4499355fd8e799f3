"""What an owner knows of the lease of a worker's runs, and of the worker's clock."""

from __future__ import annotations

import math

from attrs import frozen

from redwingrun.jobs.workerpool import MIN_CLOCK_RATE

MS_PER_S = 1000
# Runs on a worker continue for this time after the owner's last heartbeat. It is longer
# than a takeover, so that a new owner can renew the lease.
LEASE_S = 6.0
LEASE_EXPIRY_MARGIN_S = 0.2
# A worker's clock is read in whole milliseconds, twice for a comparison.
CLOCK_PRECISION_MS = 2.0
# An order without an answer may still be carried out up to 12 s later; with a margin.
MAX_ORDER_DELAY_S = 15.0
# An owner that can't renew its claim grants no leases after this time.
STEP_DOWN_S = 3.0
# A former owner's lease on a worker that this owner can't reach ends within this time
# after the claim.
INHERITED_LEASE_S = STEP_DOWN_S + LEASE_S / MIN_CLOCK_RATE + 1.0


@frozen
class LeaseGrant:
    """A lease that is sent to a worker.

    :param deadline_ms: its end on the worker's clock.
    :param expires_s: monotonic time at which it has certainly expired.
    """

    deadline_ms: float
    expires_s: float


class WorkerLease:
    """The leases that one owner grants to the runs of one worker.

    Times are the owner's monotonic seconds, deadlines are on the worker's clock.

    :param max_lease_s: the worker shortens a longer lease to this.
    """

    def __init__(self, max_lease_s: float):
        self._max_lease_s = max_lease_s
        self._clock_ms: float | None = None
        self._clock_read_s = 0.0
        self._last_unanswered_s = -math.inf
        self.last_deadline_ms: float | None = None

    @property
    def is_clock_known(self) -> bool:
        """Whether the worker's clock has been read."""
        return self._clock_ms is not None

    def record_clock(self, clock_ms: float, read_s: float) -> None:
        """Record a reading of the worker's clock.

        :param read_s: when the reading was received.
        """
        self._clock_ms = clock_ms
        self._clock_read_s = read_s

    def forget_clock(self) -> None:
        """Grant no more leases before the clock is read again."""
        self._clock_ms = None
        self.last_deadline_ms = None

    def is_of_later_incarnation(self, clock_ms: float, sent_s: float) -> bool:
        """Return whether a reading of the clock shows that the worker has restarted.

        The clock of an incarnation starts at zero.

        :param clock_ms: the reading, in the answer to an order.
        :param sent_s: when that order was sent, maybe before the last reading.
        """
        if self._clock_ms is None:
            return False
        elapsed_s = sent_s - self._clock_read_s
        # An order may have been answered before the reading that was received first.
        elapsed_s *= MIN_CLOCK_RATE if elapsed_s > 0 else 1 / MIN_CLOCK_RATE
        return clock_ms < self._clock_ms + elapsed_s * MS_PER_S - CLOCK_PRECISION_MS

    def grant(self, now_s: float) -> LeaseGrant | None:
        """Return a new lease; ``None`` while the worker's clock is not known."""
        if self._clock_ms is None:
            return None
        since_s = now_s - self._clock_read_s
        self.last_deadline_ms = round(self._clock_ms + (since_s + LEASE_S) * MS_PER_S)
        return LeaseGrant(
            self.last_deadline_ms, self._clock_read_s + longest_s(since_s + LEASE_S)
        )

    def inherited_expiry_s(self, clock_ms: float, answered_s: float) -> float:
        """Return when a former owner's lease has certainly expired.

        The worker has answered this owner, so that it takes no more orders of the
        former one. One that has restarted lately may have taken a deadline on the clock
        of its former incarnation.

        :param clock_ms: the worker's clock in that answer.
        :param answered_s: when it was received.
        """
        max_lease_s = longest_s(self._max_lease_s)
        is_recent = clock_ms < (MAX_ORDER_DELAY_S + max_lease_s) * MS_PER_S
        return answered_s + (max_lease_s if is_recent else longest_s(LEASE_S))

    def note_unanswered(self, now_s: float) -> None:
        """Record that a grant got no answer; it may still be carried out.

        A heartbeat whose connection has ended is none of these: it has reached the
        worker, or ended with it.
        """
        self._last_unanswered_s = now_s

    def longest_expiry_s(self, now_s: float) -> float:
        """Return when a lease of unknown length has certainly expired.

        A grant without an answer may still lengthen it.
        """
        latest_grant_s = max(now_s, self._last_unanswered_s + MAX_ORDER_DELAY_S)
        return latest_grant_s + longest_s(self._max_lease_s)


def longest_s(lease_s: float) -> float:
    """Return after which time a lease has certainly expired on any worker's clock."""
    return lease_s / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S
