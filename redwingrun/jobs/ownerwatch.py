"""Detection of a failed owner: decides when a member may claim its slice."""

from __future__ import annotations

import math

from attrs import define

from redwingrun.coordination.table import Row
from redwingrun.jobs.partitionwriter import OwnerRow, decode_owner_row

POLL_INTERVAL_S = 0.45
MIN_POLL_DELAY_S = 0.03
# The owner is presumed to have failed when its row has not changed for this time plus
# this many average read times: while the table is slow, so are the owner's renewals.
FAILURE_TIMEOUT_S = 1.4
FAILURE_TIMEOUT_READS = 5
# Weight of the newest read in the exponentially weighted average of read times.
READ_TIME_WEIGHT = 0.4
# The same for an owner that did not answer a probe either.
SILENT_OWNER_TIMEOUT_S = 0.95
# The owner's process is probed when its row has not changed for this time.
PROBE_AFTER_S = 0.55
# No member claims a slice from another one whose row has changed more recently, unless
# it is asked to.
EARLIEST_CLAIM_S = min(PROBE_AFTER_S, SILENT_OWNER_TIMEOUT_S, FAILURE_TIMEOUT_S)
# Time during which only the named successor may claim a slice that was released.
SUCCESSOR_TIMEOUT_S = 0.7
# Job counts are unknown when the owner's row has not changed for longer than this.
MAX_COUNTS_AGE_S = 3.0


@define
class OwnerWatch:
    """The owner's row as last read, and how long it has not changed.

    While the member that watches owns the slice itself, it does not poll the row, but
    sets ``owner`` and ``changed_s`` from its own commits.

    :ivar owner: the decoded row; ``None`` if there is none or it is damaged.
    :ivar unchanged_s: how long the row has not changed, summed over successful reads.
    :ivar last_poll_s: monotonic time of the last read; ``None`` before the first one
        and after a failed one.
    :ivar changed_s: monotonic time of the read that last found a change.
    :ivar average_read_s: moving average of the time that reading the row takes.
    """

    row: Row | None = None
    owner: OwnerRow | None = None
    unchanged_s: float = 0.0
    last_poll_s: float | None = None
    changed_s: float = -math.inf
    average_read_s: float = 0.0

    def record_read(self, row: Row | None, took_s: float, now_s: float) -> None:
        """Record a successful read.

        Of a gap between two reads at most two poll intervals count as unchanged time: a
        longer gap says little about the owner.

        :param took_s: how long the read took.
        """
        self.average_read_s += READ_TIME_WEIGHT * (took_s - self.average_read_s)
        is_unchanged = (row.version if row else 0) == (
            self.row.version if self.row else 0
        )
        gap_s = 0.0 if self.last_poll_s is None else now_s - self.last_poll_s
        self.unchanged_s = (
            self.unchanged_s + min(gap_s, 2 * POLL_INTERVAL_S) if is_unchanged else 0.0
        )
        self.last_poll_s = now_s
        if not is_unchanged or self.row is None:
            self.row = row
            self.owner = decode_owner_row(row)
            self.changed_s = now_s

    def record_failed_read(self) -> None:
        """Record a failed read; the time until the next read does not count."""
        self.last_poll_s = None

    def reset(self) -> None:
        """Discard the row, after this member was the owner and wrote it itself."""
        self.row = None
        self.owner = None
        self.unchanged_s = 0.0
        self.last_poll_s = None

    def waiting_count(self, queue: str, now_s: float) -> int | None:
        """Return how many of a queue's jobs have not started; ``None`` if unknown."""
        owner = self.owner
        if owner is None or owner.waiting_by_queue is None:
            return None
        if now_s - self.changed_s > MAX_COUNTS_AGE_S:
            return None
        return owner.waiting_by_queue.get(queue, 0)

    def claim_after_s(
        self,
        own_name: str,
        handover_from: str,
        claim_delay_s: float,
        is_silent: bool,
    ) -> float:
        """Return how long the row must be unchanged before this member may claim.

        :param handover_from: name of an owner that hands the slice over.
        :param claim_delay_s: time during which other members may claim first.
        :param is_silent: whether the owner has not answered a probe since the row last
            changed.
        """
        owner = self.owner
        if owner is None:
            return claim_delay_s
        if owner.member and owner.member in (own_name, handover_from):
            # The row is of an earlier claim of this member, for example before it
            # restarted, or the owner hands over.
            return 0.0
        if owner.member:
            timeout_s = SILENT_OWNER_TIMEOUT_S if is_silent else FAILURE_TIMEOUT_S
            return (
                timeout_s + FAILURE_TIMEOUT_READS * self.average_read_s + claim_delay_s
            )
        if owner.successor == own_name:
            return 0.0
        return (SUCCESSOR_TIMEOUT_S if owner.successor else 0.0) + claim_delay_s

    def address_to_probe(self, delay_s: float) -> str:
        """Return the owner's address if its process should be probed, else ``""``.

        :param delay_s: how much later than ``PROBE_AFTER_S`` this member probes.
        """
        owner = self.owner
        if (
            owner is None
            or not owner.member
            or self.unchanged_s < PROBE_AFTER_S + delay_s
        ):
            return ""
        return owner.address

    def poll_delay_s(self, *thresholds_s: float) -> float:
        """Return the seconds until the next read of the row.

        A read falls on each threshold, so that the order in which members act does
        not depend on when they poll.

        :param thresholds_s: values of ``unchanged_s`` at which the member acts.
        """
        if not self.unchanged_s:
            return POLL_INTERVAL_S
        remaining_s = [
            item - self.unchanged_s for item in thresholds_s if item > self.unchanged_s
        ]
        return max(MIN_POLL_DELAY_S, min([POLL_INTERVAL_S, *remaining_s]))
