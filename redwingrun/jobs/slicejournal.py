"""The owner's row of a pool slice: claimed, renewed and fenced by its version.

Every write of an owner is one transaction that also writes the owner's row and
expects the version that the last one gave it. A deposed owner can write nothing, and
of two attempts at the same transaction only one can take effect.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Sequence

from attrs import define, evolve, field, frozen

from redwingrun.coordination.codec import decode, encode
from redwingrun.coordination.table import (
    Committed,
    Condition,
    Row,
    Table,
    TableUnavailable,
    TableUnknown,
    Transaction,
    Write,
)
from redwingrun.logs import Log

RETRY_S = 0.15
# A transaction of the platform holds 100 entries; one is the owner's row and one
# its condition.
MAX_WRITES = 90
MAX_BYTES = 600_000


class Deposed(Exception):
    """Another process owns the slice now."""


@frozen
class OwnerRow:
    """What the row of a slice says.

    :param member: the owner's name; empty when the slice was given up.
    :param address: where its peers reach it.
    :param token: drawn anew for each claim.
    :param count: transactions written under the claim.
    :param waiting_by_queue: jobs of which nothing has started.
    :param successor: who is asked to claim a slice that was given up.
    """

    member: str
    address: str
    token: str
    count: int
    waiting_by_queue: dict[str, int] = field(factory=dict)
    successor: str = ""


def owner_key(slice_name: str) -> str:
    """Return the key of a slice's owner row."""
    return f"owners/{slice_name}/owner"


def read_owner(row: Row | None) -> OwnerRow | None:
    """Return what an owner row says, ``None`` when it is missing or damaged."""
    if row is None:
        return None
    try:
        return decode(OwnerRow, row.value)
    except ValueError:
        return None


@define
class SliceJournal:
    """The right to write for a slice.

    :param fence: version of the claim; grows from owner to owner.
    :param abandoned: set to end a commit that waits for the table.
    """

    table: Table
    slice_name: str
    row: OwnerRow
    fence: int
    log: Log
    _version: int = 0
    abandoned: bool = False

    @classmethod
    async def claim(
        cls,
        table: Table,
        slice_name: str,
        member: str,
        address: str,
        seen: Row | None,
        log: Log,
    ) -> SliceJournal | None:
        """Take a slice if its row is still as it was seen.

        :return: ``None`` when another member was faster.
        :raises TableUnavailable: when nothing was done.
        """
        key = owner_key(slice_name)
        row = OwnerRow(member, address, secrets.token_hex(8), 0)
        condition = Condition.at(key, seen.version) if seen else Condition.absent(key)
        value = encode(row)
        try:
            outcome = await table.transact(
                Transaction((condition,), (Write(key, value),))
            )
        except TableUnknown:
            stored = await table.read(key)
            if stored is None or stored.value != value:
                return None
            outcome = Committed(stored.version)
        if not isinstance(outcome, Committed):
            return None
        fence = outcome.version
        return cls(table, slice_name, row, fence, log, version=outcome.version)

    async def commit(
        self, writes: Sequence[Write], waiting_by_queue: dict[str, int]
    ) -> None:
        """Store changes; returns when they are certainly stored.

        Waits for as long as the table is away.

        :raises Deposed: when another owner has claimed the slice.
        """
        rest = list(writes)
        while True:
            batch, rest = _split(rest)
            await self._commit_batch(batch, waiting_by_queue)
            if not rest:
                return

    async def give_up(self, successor: str) -> None:
        """Leave the slice to others.

        :raises Deposed: when somebody has it already.
        """
        self.row = evolve(self.row, member="", address="", successor=successor)
        await self._commit_batch((), self.row.waiting_by_queue)

    async def _commit_batch(
        self, writes: Sequence[Write], waiting_by_queue: dict[str, int]
    ) -> None:
        while True:
            count = self.row.count + 1
            row = evolve(self.row, count=count, waiting_by_queue=waiting_by_queue)
            self.row = row
            if await self._attempt(row, writes):
                return
            if self.abandoned:
                raise Deposed("the claim was abandoned while the table was away")
            await asyncio.sleep(RETRY_S)

    async def _attempt(self, row: OwnerRow, writes: Sequence[Write]) -> bool:
        key = owner_key(self.slice_name)
        transaction = Transaction(
            (Condition.at(key, self._version),), (Write(key, encode(row)), *writes)
        )
        try:
            outcome = await self.table.transact(transaction)
        except TableUnavailable as error:
            self.log.event("commit-refused", count=row.count, why=str(error))
            return False
        except TableUnknown as error:
            self.log.event("commit-unknown", count=row.count, why=str(error))
            return await self._settle(row)
        if isinstance(outcome, Committed):
            self._version = outcome.version
            return True
        return await self._settle(row)

    async def _settle(self, row: OwnerRow) -> bool:
        """Find out from the row which attempt took effect.

        :return: whether it was this one.
        """
        try:
            stored = await self.table.read(owner_key(self.slice_name))
        except (TableUnavailable, TableUnknown) as error:
            self.log.event("commit-not-settled", count=row.count, why=str(error))
            return False
        found = read_owner(stored)
        if stored is None or found is None or found.token != row.token:
            raise Deposed(f"the slice {self.slice_name} is owned by {found}")
        self._version = stored.version
        return found.count == row.count


def _split(writes: list[Write]) -> tuple[list[Write], list[Write]]:
    """Cut off as many writes as one transaction takes."""
    size = 0
    for position, write in enumerate(writes):
        size += len(write.value or "") + len(write.key)
        if position >= MAX_WRITES or (size > MAX_BYTES and position):
            return writes[:position], writes[position:]
    return writes, []
