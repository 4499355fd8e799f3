"""What a member sees of its slice's owner, and when it may claim the slice."""

from __future__ import annotations

import math

from attrs import define

from redwingrun.coordination.table import Row
from redwingrun.jobs.partitionwriter import OwnerRow, read_owner

POLL_S = 0.45
LEAST_PAUSE_S = 0.03
# An owner whose row stands still for so long is taken to be gone.
SILENCE_S = 1.4
# While the table is slow the owner's renewals are slow, too.
SILENCE_READS = 5
READ_WEIGHT = 0.4
# An owner whose row stands still for so long is looked for at its address.
GONE_LOOK_S = 0.8
# A slice that was given up waits so long for the member that was asked to claim it.
SUCCESSOR_S = 0.7
# Counts in a row that has stood still for so long may be wrong by now.
COUNTS_S = 3.0


@define
class OwnerWatch:
    """What was last seen of the owner's row, and since when it stands still.

    :ivar changed_s: steady time at which the row was last seen to change.
    :ivar read_s: how long reading the row takes lately.
    """

    row: Row | None = None
    owner: OwnerRow | None = None
    still_s: float = 0.0
    polled_s: float | None = None
    changed_s: float = -math.inf
    read_s: float = 0.0

    def see(self, row: Row | None, took_s: float, now_s: float) -> None:
        """Take a reading; a long gap between two says little.

        :param took_s: how long the reading took.
        """
        self.read_s += READ_WEIGHT * (took_s - self.read_s)
        same = (row.version if row else 0) == (self.row.version if self.row else 0)
        gap_s = 0.0 if self.polled_s is None else now_s - self.polled_s
        self.still_s = self.still_s + min(gap_s, 2 * POLL_S) if same else 0.0
        self.polled_s = now_s
        if not same or self.row is None:
            self.row = row
            self.owner = read_owner(row)
            self.changed_s = now_s

    def miss(self) -> None:
        """Note that a reading failed: the next gap says nothing."""
        self.polled_s = None

    def begin_anew(self) -> None:
        """Forget the row: this member has written it itself meanwhile."""
        self.row = None
        self.owner = None
        self.still_s = 0.0
        self.polled_s = None

    def waiting_count(self, queue: str, now_s: float) -> int | None:
        """Return how many of a queue's jobs have not begun; ``None`` if unknown."""
        owner = self.owner
        if owner is None or owner.waiting_by_queue is None:
            return None
        if now_s - self.changed_s > COUNTS_S:
            return None
        return owner.waiting_by_queue.get(queue, 0)

    def claim_after_s(self, own_name: str, followed: str, stagger_s: float) -> float:
        """Return for how long the row must stand still before this member claims.

        :param followed: the owner that asked to be followed.
        :param stagger_s: how long others may claim first.
        """
        owner = self.owner
        if owner is None:
            return stagger_s
        if owner.member and owner.member in (own_name, followed):
            # An earlier life of this member, or an owner that asked to be followed.
            return 0.0
        if owner.member:
            return SILENCE_S + SILENCE_READS * self.read_s + stagger_s
        if owner.successor == own_name:
            return 0.0
        return SUCCESSOR_S + stagger_s

    def address_to_look_at(self, after_s: float) -> str:
        """Return where to look for an owner that is still, empty if it needn't be.

        :param after_s: how much longer than usual others are waited for.
        """
        owner = self.owner
        if owner is None or not owner.member or self.still_s < GONE_LOOK_S + after_s:
            return ""
        return owner.address

    def pause_s(self, *moments_s: float) -> float:
        """Return how long to wait with the next look at the row.

        :param moments_s: for how long the row must stand still until something is
            done; the order in which members act shall not hang on their polls.
        """
        if not self.still_s:
            return POLL_S
        ahead = [item - self.still_s for item in moments_s if item > self.still_s]
        return max(LEAST_PAUSE_S, min([POLL_S, *ahead]))
