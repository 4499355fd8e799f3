"""Member leases: one row a process, renewed, watched and, in outages, extended.

The holder counts its lease from before it sent the renewal. A watcher counts
from after it first saw the row's version. So the watcher's count ends last, and
a margin covers unequal clock rates. No two clocks are ever compared.
"""

from __future__ import annotations

from attrs import define, evolve, field, frozen

from redwingrun.coordination.codec import decode, encode
from redwingrun.coordination.table import Condition, Row, Transaction, Write

MEMBERS_PREFIX = "members/"


@frozen
class LeaseSettings:
    """Times of a member lease, in seconds.

    :param term_s: how long a renewal lasts.
    :param margin_s: added by whoever waits for a lease to end.
    :param renew_s: time between renewals.
    :param promise_s: how long one promise of a peer lasts.
    :param max_extension_s: after this much time without a renewal a holder stops
        extending, and a watcher that can ask nobody may expel it.
    """

    term_s: float = 6.0
    margin_s: float = 1.0
    renew_s: float = 1.5
    promise_s: float = 4.0
    max_extension_s: float = 300.0


@frozen
class MemberRow:
    """What a member tells of itself in the table.

    :param member_id: unique to one run of one process.
    :param roster: ids that must all promise before the lease is extended.
    :param token: unique to one renewal, to settle a lost answer.
    """

    member_id: str
    kind: str
    host: str
    data_centre: str
    peer_address: str
    http_address: str
    weight: float = 1.0
    leaving: bool = False
    config_version: int = 0
    roster: list[str] = field(factory=list)
    token: int = 0

    @property
    def key(self) -> str:
        """The key of the row."""
        return member_key(self.kind, self.member_id)


def member_key(kind: str, member_id: str) -> str:
    """Return the table key of a member."""
    return f"{MEMBERS_PREFIX}{kind}/{member_id}"


@frozen
class Renewal:
    """A renewal under way: what was sent and when the clock stood before it."""

    started_s: float
    row: MemberRow
    transaction: Transaction


@define
class MemberLease:
    """The holder's side of a lease.

    Call :meth:`renewal`, send its transaction, then exactly one of
    :meth:`renewed` (also when reading back found it) or :meth:`refused`; after a
    lost answer call neither until the row was read back. Check :meth:`is_valid`
    after every wait and directly before every send.
    """

    settings: LeaseSettings
    row: MemberRow
    version: int | None = None
    lapsed: bool = False
    _valid_until_s: float = float("-inf")
    _renewed_at_s: float = float("-inf")
    # Rosters that the stored row may hold: more than one while an answer is lost.
    _rosters: list[frozenset[str]] = field(factory=list)

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the holder may act; a lapse is final for this member id."""
        if self.version is None:
            return False
        if now_s >= self._valid_until_s:
            self.lapsed = True
        return not self.lapsed

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds for which the holder may still act."""
        return self._valid_until_s - now_s if self.is_valid(now_s) else 0.0

    def renewal(
        self, now_s: float, roster: frozenset[str], **changes: object
    ) -> Renewal:
        """Return the next renewal, or the first one of a new member."""
        row = evolve(
            self.row, roster=sorted(roster), token=self.row.token + 1, **changes
        )
        self.row = row
        self._rosters.append(roster)
        condition = Condition.absent(row.key)
        if self.version is not None:
            condition = Condition.at(row.key, self.version)
        return Renewal(
            now_s, row, Transaction((condition,), (Write(row.key, encode(row)),))
        )

    def renewed(self, renewal: Renewal, version: int, now_s: float) -> None:
        """Take a renewal that took effect.

        A lease that lapsed while the answer was under way stays lapsed.
        """
        first = self.version is None
        self.version = version
        if not first and not self.is_valid(now_s):
            return
        self._rosters = [frozenset(renewal.row.roster)]
        self._renewed_at_s = renewal.started_s
        ends_s = renewal.started_s + self.settings.term_s
        self._valid_until_s = max(self._valid_until_s, ends_s)

    def refused(self) -> None:
        """Take a renewal refused by a conflict: this member was expelled."""
        self.lapsed = True

    def wants_extension(self, now_s: float) -> bool:
        """Tell whether it is time to ask for promises."""
        if not self.is_valid(now_s):
            return False
        half_s = self.settings.promise_s / 2
        return self._valid_until_s - now_s <= half_s + self.settings.margin_s

    def promisers(self) -> frozenset[str]:
        """Return the members that must all promise, over all possible rosters."""
        everyone = frozenset().union(*self._rosters) if self._rosters else frozenset()
        return everyone - {self.row.member_id}

    def extended(
        self, started_s: float, promised_by: frozenset[str], now_s: float
    ) -> bool:
        """Extend the lease by promises asked for at ``started_s``.

        Every possible roster needs a second member: a watcher outside of it
        would otherwise find nobody to ask.
        """
        if not self.is_valid(now_s):
            return False
        alone = any(not roster - {self.row.member_id} for roster in self._rosters)
        if alone or not self.promisers() <= promised_by:
            return False
        ends_s = started_s + self.settings.promise_s
        limit_s = self._renewed_at_s + self.settings.max_extension_s
        self._valid_until_s = max(self._valid_until_s, min(ends_s, limit_s))
        return True


@define
class ExtensionPromises:
    """Promises this member gave: not to expel a peer for a bounded time."""

    settings: LeaseSettings
    _until_by_member_id: dict[str, float] = field(factory=dict)

    def promise(self, member_id: str, now_s: float) -> None:
        """Promise not to expel ``member_id``; counted from now, plus the margin."""
        until_s = now_s + self.settings.promise_s + self.settings.margin_s
        self._until_by_member_id[member_id] = until_s

    def holds(self, member_id: str, now_s: float) -> bool:
        """Tell whether a promise to this member still stands."""
        return now_s < self._until_by_member_id.get(member_id, float("-inf"))

    def forget_before(self, now_s: float) -> None:
        """Drop what has ended."""
        live = {
            key: end for key, end in self._until_by_member_id.items() if end > now_s
        }
        self._until_by_member_id = live


@frozen
class Suspect:
    """A member whose row has not changed for a whole term and margin."""

    row: MemberRow
    version: int
    unchanged_s: float


@define
class _Sighting:
    row: MemberRow
    version: int
    first_seen_s: float


@define
class FailureDetector:
    """The watcher's side: which members live, and which may be expelled."""

    settings: LeaseSettings
    _by_member_id: dict[str, _Sighting] = field(factory=dict)

    def observe(self, rows: tuple[Row, ...], now_s: float) -> None:
        """Take all member rows of a kind, read just before ``now_s``."""
        seen: dict[str, _Sighting] = {}
        for stored in rows:
            row = decode(MemberRow, stored.value)
            old = self._by_member_id.get(row.member_id)
            if old is not None and old.version == stored.version:
                seen[row.member_id] = old
            else:
                seen[row.member_id] = _Sighting(row, stored.version, now_s)
        self._by_member_id = seen

    def members(self) -> dict[str, MemberRow]:
        """Return the rows seen last, by member id."""
        return {member_id: seen.row for member_id, seen in self._by_member_id.items()}

    def roster(self) -> frozenset[str]:
        """Return the ids of all members seen last."""
        return frozenset(self._by_member_id)

    def suspects(self, now_s: float) -> list[Suspect]:
        """Return the members that did not renew in time."""
        wait_s = self.settings.term_s + self.settings.margin_s
        found = []
        for seen in self._by_member_id.values():
            unchanged_s = now_s - seen.first_seen_s
            if unchanged_s > wait_s:
                found.append(Suspect(seen.row, seen.version, unchanged_s))
        return found

    def witnesses(self, suspect: Suspect, own_ids: set[str]) -> frozenset[str]:
        """Return the members of whom one must be asked before an expulsion.

        Empty when this process itself stands in the roster (its own promise book
        answers) or when the roster can't have extended anything.

        :param own_ids: all ids that this run of the process has had.
        """
        others = frozenset(suspect.row.roster) - {suspect.row.member_id}
        if own_ids & others or not others:
            return frozenset()
        return others

    def past_any_extension(self, suspect: Suspect) -> bool:
        """Tell whether no promise at all could still hold the lease up."""
        limit_s = self.settings.max_extension_s + self.settings.margin_s
        return suspect.unchanged_s > limit_s

    def expulsion(self, suspect: Suspect) -> Transaction:
        """Return the transaction that ends a member that did not renew."""
        key = suspect.row.key
        return Transaction((Condition.at(key, suspect.version),), (Write(key, None),))
