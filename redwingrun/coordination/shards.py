"""Shard ownership: each shard has one owner, fenced by an increasing epoch.

The epoch is the table version of the owner's claim. Versions are never reused and
increase over the whole table, so epochs of different shards can be compared: an
upstream that moves to another shard refuses its earlier owner.
"""

from __future__ import annotations

import hashlib
import math

from attrs import define, evolve, field, frozen

from redwingrun.coordination.codec import decode, encode
from redwingrun.coordination.members import MemberRow, member_key
from redwingrun.coordination.table import Condition, Row, Transaction, Write

SHARDS_PREFIX = "shards/"
HASH_VALUES = 2**64


@frozen
class ShardRow:
    """Table row of a shard.

    :param owner: member id of the owner; empty if the shard was released.
    """

    shard: str
    kind: str
    owner: str = ""

    @property
    def key(self) -> str:
        """The table key of the row."""
        return f"{SHARDS_PREFIX}{self.kind}/{self.shard}"


def preferred_owner(shard: str, members: dict[str, MemberRow]) -> str | None:
    """Return the preferred owner of a shard, by weighted rendezvous hashing.

    The host name is hashed instead of the member id so that a restarted process
    gets the same shards again.

    :return: its member id, or ``None`` if every member is leaving.
    """
    best: tuple[float, str] | None = None
    for member_id, row in members.items():
        if row.leaving:
            continue
        digest = hashlib.blake2b(f"{shard}|{row.host}".encode(), digest_size=8).digest()
        fraction = (int.from_bytes(digest, "big") + 1) / (HASH_VALUES + 1)
        score = -row.weight / math.log(fraction)
        if best is None or (score, member_id) > best:
            best = (score, member_id)
    return best[1] if best else None


@define
class ShardMap:
    """A member's view of the shards of one kind, and its next claims and releases.

    :param max_releases_per_step: maximum number of shards that one call of
        :meth:`releases` returns; a leaving member releases all of its shards.
    """

    kind: str
    max_releases_per_step: int = 2
    _by_shard: dict[str, ShardRow] = field(factory=dict)
    _version_by_shard: dict[str, int] = field(factory=dict)

    def observe(self, rows: tuple[Row, ...]) -> None:
        """Record all shard rows of the kind.

        Rows older than the recorded version are ignored, because a claim may have
        been committed after the scan.
        """
        for stored in rows:
            row = decode(ShardRow, stored.value)
            if stored.version >= self._version_by_shard.get(row.shard, 0):
                self._by_shard[row.shard] = row
                self._version_by_shard[row.shard] = stored.version

    def record_commit(self, row: ShardRow, version: int) -> None:
        """Record a committed claim or release of this member."""
        if version >= self._version_by_shard.get(row.shard, 0):
            self._by_shard[row.shard] = row
            self._version_by_shard[row.shard] = version

    def owner(self, shard: str) -> str:
        """Return the owner's member id, or an empty string if there is none."""
        row = self._by_shard.get(shard)
        return row.owner if row else ""

    def owned(self, member_id: str) -> dict[str, int]:
        """Return the epochs of the shards that a member owns, by shard."""
        return {
            shard: self._version_by_shard[shard]
            for shard, row in self._by_shard.items()
            if row.owner == member_id
        }

    def claims(
        self, member_id: str, shards: list[str], members: dict[str, MemberRow]
    ) -> list[tuple[ShardRow, Transaction]]:
        """Return the claims to commit.

        They are for the unowned shards whose preferred owner is this member.

        :param shards: all shards that should have an owner.
        :param members: the current members, by id.
        """
        claims = []
        for shard in shards:
            current = self._by_shard.get(shard, ShardRow(shard, self.kind))
            unowned = not current.owner or current.owner not in members
            if unowned and preferred_owner(shard, members) == member_id:
                claims.append(self._claim(current, member_id))
        return claims

    def _claim(self, current: ShardRow, member_id: str) -> tuple[ShardRow, Transaction]:
        row = evolve(current, owner=member_id)
        conditions = [
            self._unchanged_condition(row),
            Condition.present(member_key(self.kind, member_id)),
        ]
        if current.owner:
            # The owner's row is deleted only after it was expelled or left.
            conditions.append(Condition.absent(member_key(self.kind, current.owner)))
        return row, Transaction(tuple(conditions), (Write(row.key, encode(row)),))

    def releases(
        self,
        member_id: str,
        shards: list[str],
        members: dict[str, MemberRow],
        leaving: bool,
    ) -> list[tuple[ShardRow, Transaction]]:
        """Return the releases to commit.

        They are for this member's shards whose preferred owner is another member, or
        that are no longer in ``shards``.

        :param leaving: release all shards.
        """
        releases = []
        for shard in self.owned(member_id):
            exists = shard in shards
            target = preferred_owner(shard, members)
            if leaving or not exists or target not in (None, member_id):
                row = evolve(self._by_shard[shard], owner="")
                change = Transaction(
                    (self._unchanged_condition(row),), (Write(row.key, encode(row)),)
                )
                releases.append((row, change))
        return releases if leaving else releases[: self.max_releases_per_step]

    def _unchanged_condition(self, row: ShardRow) -> Condition:
        version = self._version_by_shard.get(row.shard)
        if version is None:
            return Condition.absent(row.key)
        return Condition.at(row.key, version)

    def fencing_condition(self, shard: str) -> Condition:
        """Return the condition that the owner must add to each write for its shard."""
        return self._unchanged_condition(self._by_shard[shard])
