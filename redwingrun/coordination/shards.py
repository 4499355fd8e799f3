"""Shard ownership: one owner for each shard, fenced by an epoch that only grows.

The epoch is the table's version of the claim. Versions are never reused and grow
over the whole table, so that epochs of different shards can be compared too: an
upstream that comes under another shard refuses its earlier owner.
"""

from __future__ import annotations

import hashlib
import math

from attrs import define, evolve, field, frozen

from redwingrun.coordination.codec import decode, encode
from redwingrun.coordination.members import MemberRow, member_key
from redwingrun.coordination.table import Condition, Row, Transaction, Write

SHARDS_PREFIX = "shards/"
HASH_SPACE = 2**64


@frozen
class ShardRow:
    """Who owns a shard; an empty owner means that it was released."""

    shard: str
    kind: str
    owner: str = ""

    @property
    def key(self) -> str:
        """The key of the row."""
        return f"{SHARDS_PREFIX}{self.kind}/{self.shard}"


def rendezvous(shard: str, members: dict[str, MemberRow]) -> str | None:
    """Return the member that should own a shard, by weighted rendezvous hashing.

    The host name is hashed, not the member id: a restarted process gets the
    same shards again.
    """
    best: tuple[float, str] | None = None
    for member_id, row in members.items():
        if row.leaving:
            continue
        digest = hashlib.blake2b(f"{shard}|{row.host}".encode(), digest_size=8).digest()
        unit = (int.from_bytes(digest, "big") + 1) / (HASH_SPACE + 1)
        score = -row.weight / math.log(unit)
        if best is None or (score, member_id) > best:
            best = (score, member_id)
    return best[1] if best else None


@define
class ShardMap:
    """What one member knows of the shards, and the next claims and releases.

    :param moves_per_step: how many shards are given away or taken in one step.
    """

    kind: str
    moves_per_step: int = 2
    _by_shard: dict[str, ShardRow] = field(factory=dict)
    _version_by_shard: dict[str, int] = field(factory=dict)

    def observe(self, rows: tuple[Row, ...]) -> None:
        """Take all shard rows of the kind.

        A scan may be older than a claim answered since: versions never go back.
        """
        for stored in rows:
            row = decode(ShardRow, stored.value)
            if stored.version >= self._version_by_shard.get(row.shard, 0):
                self._by_shard[row.shard] = row
                self._version_by_shard[row.shard] = stored.version

    def took(self, row: ShardRow, version: int) -> None:
        """Take a claim or release of this member that was committed."""
        if version >= self._version_by_shard.get(row.shard, 0):
            self._by_shard[row.shard] = row
            self._version_by_shard[row.shard] = version

    def owner(self, shard: str) -> str:
        """Return the owner's member id, empty when there is none."""
        row = self._by_shard.get(shard)
        return row.owner if row else ""

    def owned(self, member_id: str) -> dict[str, int]:
        """Return the epoch of each shard that the member owns."""
        return {
            shard: self._version_by_shard[shard]
            for shard, row in self._by_shard.items()
            if row.owner == member_id
        }

    def claims(
        self, member_id: str, shards: list[str], members: dict[str, MemberRow]
    ) -> list[tuple[ShardRow, Transaction]]:
        """Return the claims to try now: ownerless shards that fall to this member."""
        found = []
        for shard in shards:
            old = self._by_shard.get(shard, ShardRow(shard, self.kind))
            ownerless = not old.owner or old.owner not in members
            if ownerless and rendezvous(shard, members) == member_id:
                found.append(self._claim(old, member_id))
        return found

    def _claim(self, old: ShardRow, member_id: str) -> tuple[ShardRow, Transaction]:
        row = evolve(old, owner=member_id)
        conditions = [
            self._unchanged(row),
            Condition.present(member_key(self.kind, member_id)),
        ]
        if old.owner:
            # The owner's row is gone only once it was expelled or left.
            conditions.append(Condition.absent(member_key(self.kind, old.owner)))
        return row, Transaction(tuple(conditions), (Write(row.key, encode(row)),))

    def releases(
        self,
        member_id: str,
        shards: list[str],
        members: dict[str, MemberRow],
        leaving: bool,
    ) -> list[tuple[ShardRow, Transaction]]:
        """Return the releases to try now: a few that fall to another live member."""
        found = []
        for shard in self.owned(member_id):
            wanted = shard in shards
            target = rendezvous(shard, members)
            if leaving or not wanted or target not in (None, member_id):
                row = evolve(self._by_shard[shard], owner="")
                change = Transaction(
                    (self._unchanged(row),), (Write(row.key, encode(row)),)
                )
                found.append((row, change))
        return found if leaving else found[: self.moves_per_step]

    def _unchanged(self, row: ShardRow) -> Condition:
        version = self._version_by_shard.get(row.shard)
        if version is None:
            return Condition.absent(row.key)
        return Condition.at(row.key, version)

    def fence(self, shard: str) -> Condition:
        """Return the condition that fences a write of the shard's owner."""
        return self._unchanged(self._by_shard[shard])
