"""Member leases: each process renews a table row, and others detect when it stops.

The holder measures its lease from before it sends a renewal. An observer measures
it from after it first reads the renewed row. The lease therefore ends for the
holder before it ends for any observer; a margin covers different clock rates. No
two clocks are compared.

During a table outage a holder extends its lease by promises of its peers not to
expel it.
"""

from __future__ import annotations

from attrs import define, evolve, field, frozen

from redwingrun.coordination.codec import decode, encode
from redwingrun.coordination.table import Condition, Row, Transaction, Write

MEMBERS_PREFIX = "members/"


@frozen
class LeaseSettings:
    """Durations of member leases, in seconds.

    :param term_s: how long a lease lasts after a renewal.
    :param margin_s: extra time that others wait before they consider a lease expired.
    :param renew_s: time between renewals.
    :param promise_s: how long a peer's promise lasts.
    :param max_extension_s: time since the last renewal after which the holder
        stops extending its lease. Once this time plus the margin has passed, an
        observer may expel the holder without asking a peer.
    """

    term_s: float = 6.0
    margin_s: float = 1.0
    renew_s: float = 1.5
    promise_s: float = 4.0
    max_extension_s: float = 300.0


@frozen
class MemberRow:
    """Table row in which a member publishes itself.

    :param member_id: unique to one lease of one process.
    :param roster: ids of the members that must all promise before the lease is
        extended.
    :param token: number of the renewal, to recognize it after a lost reply.
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
        """The table key of the row."""
        return member_key(self.kind, self.member_id)


def member_key(kind: str, member_id: str) -> str:
    """Return the table key of a member's row."""
    return f"{MEMBERS_PREFIX}{kind}/{member_id}"


@frozen
class Renewal:
    """A renewal in flight.

    :param started_s: the holder's time before the renewal was sent.
    :param row: the row as it was sent.
    """

    started_s: float
    row: MemberRow
    transaction: Transaction


@define
class MemberLease:
    """The holder's state of a lease.

    To renew, call :meth:`next_renewal`, send its transaction and report the outcome to
    :meth:`record_renewal` or :meth:`record_refusal`. If the reply is lost, read the
    row back first. Check :meth:`is_valid` after every wait and directly before every
    send.
    """

    settings: LeaseSettings
    row: MemberRow
    version: int | None = None
    expired: bool = False
    _valid_until_s: float = float("-inf")
    _renewed_at_s: float = float("-inf")
    # Rosters that the stored row may hold; more than one after a lost reply.
    _rosters: list[frozenset[str]] = field(factory=list)

    def is_valid(self, now_s: float) -> bool:
        """Return whether the holder may act; once expired, a lease stays expired."""
        if self.version is None:
            return False
        if now_s >= self._valid_until_s:
            self.expired = True
        return not self.expired

    def remaining_s(self, now_s: float) -> float:
        """Return how many seconds the lease remains valid."""
        return self._valid_until_s - now_s if self.is_valid(now_s) else 0.0

    def next_renewal(
        self, now_s: float, roster: frozenset[str], **changes: object
    ) -> Renewal:
        """Return the next renewal; the first one creates the row.

        :param changes: further fields of the row to change.
        """
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

    def record_renewal(self, renewal: Renewal, version: int, now_s: float) -> None:
        """Record a renewal that took effect.

        A lease that expired before the reply arrived stays expired.
        """
        first = self.version is None
        self.version = version
        if not first and not self.is_valid(now_s):
            return
        self._rosters = [frozenset(renewal.row.roster)]
        self._renewed_at_s = renewal.started_s
        ends_s = renewal.started_s + self.settings.term_s
        self._valid_until_s = max(self._valid_until_s, ends_s)

    def record_refusal(self) -> None:
        """Record that a renewal was refused because this member was expelled."""
        self.expired = True

    def needs_extension(self, now_s: float) -> bool:
        """Return whether it is time to ask for promises."""
        if not self.is_valid(now_s):
            return False
        half_promise_s = self.settings.promise_s / 2
        return self._valid_until_s - now_s <= half_promise_s + self.settings.margin_s

    def required_promisers(self) -> frozenset[str]:
        """Return the ids of the members that must all promise.

        These are the members of all rosters that the stored row may hold.
        """
        members = frozenset().union(*self._rosters) if self._rosters else frozenset()
        return members - {self.row.member_id}

    def extend(
        self, started_s: float, promised_by: frozenset[str], now_s: float
    ) -> bool:
        """Extend the lease by promises that were requested at ``started_s``.

        The lease is not extended if a possible roster has no second member,
        because an observer outside that roster would have nobody to ask about it.

        :param promised_by: ids of the members that promised.
        :return: whether the lease was extended.
        """
        if not self.is_valid(now_s):
            return False
        has_single_member_roster = any(
            not roster - {self.row.member_id} for roster in self._rosters
        )
        if has_single_member_roster or not self.required_promisers() <= promised_by:
            return False
        ends_s = started_s + self.settings.promise_s
        limit_s = self._renewed_at_s + self.settings.max_extension_s
        self._valid_until_s = max(self._valid_until_s, min(ends_s, limit_s))
        return True


@define
class ExtensionPromises:
    """Promises given by this member not to expel a peer for a limited time."""

    settings: LeaseSettings
    _until_by_member_id: dict[str, float] = field(factory=dict)

    def promise(self, member_id: str, now_s: float) -> None:
        """Promise not to expel a member for the promise's duration and the margin."""
        until_s = now_s + self.settings.promise_s + self.settings.margin_s
        self._until_by_member_id[member_id] = until_s

    def has_promised(self, member_id: str, now_s: float) -> bool:
        """Return whether a promise to this member is still in effect."""
        return now_s < self._until_by_member_id.get(member_id, float("-inf"))

    def forget_before(self, now_s: float) -> None:
        """Delete the promises that ended by ``now_s``."""
        live = {
            key: end for key, end in self._until_by_member_id.items() if end > now_s
        }
        self._until_by_member_id = live


@frozen
class Suspect:
    """A member whose row has not changed for the lease term plus the margin.

    :param version: version of the unchanged row.
    """

    row: MemberRow
    version: int
    unchanged_s: float


@define
class _Observation:
    row: MemberRow
    version: int
    first_seen_s: float


@define
class FailureDetector:
    """The observer's state: which members exist, and which may be expelled."""

    settings: LeaseSettings
    _by_member_id: dict[str, _Observation] = field(factory=dict)

    def observe(self, rows: tuple[Row, ...], now_s: float) -> None:
        """Record all member rows of one kind, read just before ``now_s``."""
        observations: dict[str, _Observation] = {}
        for stored in rows:
            row = decode(MemberRow, stored.value)
            previous = self._by_member_id.get(row.member_id)
            if previous is not None and previous.version == stored.version:
                observations[row.member_id] = previous
            else:
                observations[row.member_id] = _Observation(row, stored.version, now_s)
        self._by_member_id = observations

    def members(self) -> dict[str, MemberRow]:
        """Return the rows of the last read, by member id."""
        return {
            member_id: observation.row
            for member_id, observation in self._by_member_id.items()
        }

    def roster(self) -> frozenset[str]:
        """Return the ids of all members in the last read."""
        return frozenset(self._by_member_id)

    def suspects(self, now_s: float) -> list[Suspect]:
        """Return the members whose row is unchanged for the term plus the margin."""
        wait_s = self.settings.term_s + self.settings.margin_s
        found = []
        for observation in self._by_member_id.values():
            unchanged_s = now_s - observation.first_seen_s
            if unchanged_s > wait_s:
                found.append(Suspect(observation.row, observation.version, unchanged_s))
        return found

    def witnesses(self, suspect: Suspect, own_ids: set[str]) -> frozenset[str]:
        """Return the members of which one must be asked before an expulsion.

        An extension needs a promise of every other member of the roster. One of
        them without a promise therefore shows that the lease is not extended. The
        result is empty if this process is in the roster itself, so that its own
        promises decide, or if the roster has no other member, so that no extension
        is possible.

        :param own_ids: all ids that this process has had since it started.
        """
        others = frozenset(suspect.row.roster) - {suspect.row.member_id}
        if own_ids & others or not others:
            return frozenset()
        return others

    def is_past_max_extension(self, suspect: Suspect) -> bool:
        """Return whether the lease has ended even if it was extended to the limit."""
        limit_s = self.settings.max_extension_s + self.settings.margin_s
        return suspect.unchanged_s > limit_s

    def expulsion_transaction(self, suspect: Suspect) -> Transaction:
        """Return the transaction that deletes a suspect's row if it is unchanged."""
        key = suspect.row.key
        return Transaction((Condition.at(key, suspect.version),), (Write(key, None),))
