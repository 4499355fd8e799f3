"""The owner's row of a pool slice: claimed, renewed and fenced by its version.

Every write of an owner is one transaction that also writes the owner's row and
expects the version that the last one gave it. A deposed owner can write nothing, and
of two attempts at the same transaction only one can take effect.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Sequence
from enum import Enum

from attrs import define, evolve, frozen

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
# A part that refuses so often, or can't be read within this time, is taken for away.
REFUSALS = 2
SETTLE_S = 0.6
# A transaction of the platform holds 100 entries; one is the owner's row and one
# its condition.
MAX_WRITES = 90
MAX_BYTES = 600_000


class Attempt(Enum):
    """What came of one try to store something."""

    STORED = "stored"
    WITHOUT_EFFECT = "without-effect"  # another one took effect: try again
    REFUSED = "refused"
    SILENT = "silent"  # it may have taken effect or may still


class OwnershipLost(Exception):
    """Another process owns the slice now."""


@frozen
class OwnerRow:
    """What the row of a slice says.

    :param member: the owner's name; empty when the slice was given up.
    :param address: where its peers reach it.
    :param token: drawn anew for each claim.
    :param count: transactions written under the claim.
    :param waiting_by_queue: jobs of which nothing has started; ``None`` while the
        owner does not know them all.
    :param successor: who is asked to claim a slice that was given up.
    :param claim: in the standby part, the fence of the claim that the row goes with.
    :param used: in the standby part, whether it holds what the primary part lacks.
    """

    member: str
    address: str
    token: str
    count: int
    waiting_by_queue: dict[str, int] | None = None
    successor: str = ""
    claim: int = 0
    used: bool = False


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
class PartitionWriter:
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
        claim: int = 0,
        used: bool = False,
    ) -> PartitionWriter | None:
        """Take a part if its owner's row is still as it was seen.

        :return: ``None`` when another member was faster.
        :raises TableUnavailable: when nothing was done.
        """
        key = owner_key(slice_name)
        token = secrets.token_hex(8)
        row = OwnerRow(member, address, token, 0, claim=claim, used=used)
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

    async def try_commit(
        self,
        writes: Sequence[Write],
        waiting_by_queue: dict[str, int] | None,
        used: bool = False,
    ) -> bool:
        """Store changes, in as many transactions as they need.

        :return: whether all are certainly stored; ``False`` when the part does not
            answer, and some may be.
        :raises Deposed: when another owner has claimed the slice.
        """
        rest = list(writes)
        while True:
            batch, rest = _split(rest)
            if not await self._try_batch(batch, waiting_by_queue, used):
                return False
            if not rest:
                return True

    async def check(self) -> None:
        """Look at the owner's row.

        :raises Deposed: when another owner has claimed the slice.
        :raises TableUnavailable: when the part does not answer.
        """
        self._take(await self.table.read(owner_key(self.slice_name)))

    async def give_up(self, successor: str) -> None:
        """Leave the slice to others.

        :raises Deposed: when somebody has it already.
        """
        self.row = evolve(self.row, member="", address="", successor=successor)
        await self._commit_batch((), self.row.waiting_by_queue)

    async def _commit_batch(
        self, writes: Sequence[Write], waiting_by_queue: dict[str, int] | None
    ) -> None:
        while not await self._try_batch(writes, waiting_by_queue, self.row.used):
            if self.abandoned:
                raise OwnershipLost("the claim was abandoned while the table was away")
            await asyncio.sleep(RETRY_S)

    async def _try_batch(
        self,
        writes: Sequence[Write],
        waiting_by_queue: dict[str, int] | None,
        used: bool,
    ) -> bool:
        """Try until it is stored or the part has not answered in two ways."""
        refusals = 0
        while True:
            row = evolve(
                self.row,
                count=self.row.count + 1,
                waiting_by_queue=waiting_by_queue,
                used=used,
            )
            self.row = row
            attempt = await self._attempt(row, writes)
            if attempt is Attempt.STORED:
                return True
            refusals += attempt is Attempt.REFUSED
            if attempt is Attempt.SILENT or refusals >= REFUSALS or self.abandoned:
                return False
            if attempt is Attempt.REFUSED:
                await asyncio.sleep(RETRY_S)

    async def _attempt(self, row: OwnerRow, writes: Sequence[Write]) -> Attempt:
        key = owner_key(self.slice_name)
        transaction = Transaction(
            (Condition.at(key, self._version),), (Write(key, encode(row)), *writes)
        )
        try:
            outcome = await self.table.transact(transaction)
        except TableUnavailable as error:
            self.log.event(
                "commit-refused",
                part=self.slice_name,
                count=row.count,
                why=str(error),
            )
            return Attempt.REFUSED
        except TableUnknown as error:
            self.log.event(
                "commit-unknown",
                part=self.slice_name,
                count=row.count,
                why=str(error),
            )
            return await self._settle(row)
        if isinstance(outcome, Committed):
            self._version = outcome.version
            return Attempt.STORED
        return await self._settle(row)

    async def _settle(self, row: OwnerRow) -> Attempt:
        """Find out from the owner's row which attempt took effect."""
        try:
            async with asyncio.timeout(SETTLE_S):
                stored = await self.table.read(owner_key(self.slice_name))
        except (TableUnavailable, TableUnknown, TimeoutError) as error:
            self.log.event(
                "commit-not-settled",
                part=self.slice_name,
                count=row.count,
                why=str(error),
            )
            return Attempt.SILENT
        found = self._take(stored)
        return Attempt.STORED if found.count == row.count else Attempt.WITHOUT_EFFECT

    def _take(self, stored: Row | None) -> OwnerRow:
        found = read_owner(stored)
        if stored is None or found is None or found.token != self.row.token:
            raise OwnershipLost(f"the slice {self.slice_name} is owned by {found}")
        self._version = stored.version
        return found


def _split(writes: list[Write]) -> tuple[list[Write], list[Write]]:
    """Cut off as many writes as one transaction takes."""
    size = 0
    for position, write in enumerate(writes):
        size += len(write.value or "") + len(write.key)
        if position >= MAX_WRITES or (size > MAX_BYTES and position):
            return writes[:position], writes[position:]
    return writes, []
