"""Fenced writes of a slice's owner to one partition of the table.

Each partition has an owner's row, which a new owner claims. Every transaction of the
owner also writes this row, on condition that the row still has the version of the
owner's last write. So an owner that lost the row can't write any more, and of two
attempts at the same transaction only one can take effect.
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
    TableRejected,
    TableUnavailable,
    TableUnknown,
    Transaction,
    Write,
)
from redwingrun.logs import Log

RETRY_INTERVAL_S = 0.15
# A partition is unavailable if it refuses a transaction this many times, or if the
# outcome of a transaction can't be read back within SETTLE_TIMEOUT_S.
MAX_REFUSALS = 2
SETTLE_TIMEOUT_S = 0.6
# The platform limits a transaction to 100 entries, of which the owner's row takes one
# and its condition another.
MAX_WRITES = 90
MAX_BYTES = 600_000
# The counts of waiting jobs are left out of a larger owner's row.
MAX_OWNER_ROW_BYTES = 32_768


class CommitOutcome(Enum):
    """The outcome of one attempt to commit a transaction."""

    STORED = "stored"
    NO_EFFECT = "without-effect"  # the row is of an earlier transaction: try again
    REFUSED = "refused"
    REJECTED = "rejected"  # the table would refuse the same transaction again
    UNKNOWN = "silent"  # it may have taken effect, or may still do so


class OwnershipLost(Exception):
    """This process does not own the slice any more."""


class WritesRejected(Exception):
    """The table will never accept some writes; the others are stored.

    :ivar keys: the keys of the rejected writes.
    """

    def __init__(self, keys: frozenset[str]):
        super().__init__(f"the table rejects {len(keys)} rows: {sorted(keys)[:3]}")
        self.keys = keys


@frozen
class OwnerRow:
    """The content of an owner's row.

    :param member: the owner's name; empty if the slice was released.
    :param address: IP and port at which peers reach the owner.
    :param token: random value that identifies the claim.
    :param count: number of transactions that were tried under the claim.
    :param waiting_by_queue: number of jobs of which nothing has started; ``None``
        while the owner has not loaded all jobs.
    :param successor: the member that should claim a released slice; empty for any.
    :param claim: in a standby partition, the fencing token of the claim of the slice.
    :param used: in a standby partition, whether it holds changes that the primary
        partition lacks.
    :param backlog_room_bytes: memory that the owner has left for jobs; ``None`` if that
        is not limited.
    """

    member: str
    address: str
    token: str
    count: int
    waiting_by_queue: dict[str, int] | None = None
    successor: str = ""
    claim: int = 0
    used: bool = False
    backlog_room_bytes: int | None = None


def owner_key(partition: str) -> str:
    """Return the key of a partition's owner row."""
    return f"owners/{partition}/owner"


def decode_owner_row(row: Row | None) -> OwnerRow | None:
    """Return the content of an owner's row; ``None`` if it is missing or damaged."""
    if row is None:
        return None
    try:
        return decode(OwnerRow, row.value)
    except ValueError:
        return None


@define
class PartitionWriter:
    """Writes to a partition under a claim, as long as the claim is valid.

    :param row: the owner's row in the last transaction that was tried.
    :param fence: the fencing token: the version that the claim gave the owner's row.
        Each later claim has a higher one.
    :param abandoned: set to ``True`` to end a commit that waits for the table.
    """

    table: Table
    partition: str
    row: OwnerRow
    fence: int
    log: Log
    _version: int = 0
    abandoned: bool = False

    @classmethod
    async def claim(
        cls,
        table: Table,
        partition: str,
        member: str,
        address: str,
        expected: Row | None,
        log: Log,
        claim: int = 0,
        used: bool = False,
    ) -> PartitionWriter | None:
        """Claim a partition if its owner's row has not changed.

        :param expected: the owner's row as last read; ``None`` if there was none.
        :param claim: fencing token of the claim of the slice, in a standby partition.
        :param used: whether the standby partition holds changes that the primary lacks.
        :return: ``None`` if the row has changed, for example by another member's claim,
            or does not hold a claim of unknown outcome when it is read back.
        :raises TableUnavailable: when the claim had no effect, or the row can't be read
            back after a claim of unknown outcome.
        :raises TableUnknown: when the row can't be read back after a claim of unknown
            outcome.
        """
        key = owner_key(partition)
        token = secrets.token_hex(8)
        row = OwnerRow(member, address, token, 0, claim=claim, used=used)
        condition = (
            Condition.at(key, expected.version) if expected else Condition.absent(key)
        )
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
        return cls(table, partition, row, fence, log, version=outcome.version)

    async def try_commit(
        self,
        writes: Sequence[Write],
        waiting_by_queue: dict[str, int] | None,
        used: bool = False,
    ) -> bool:
        """Store changes, in as many transactions as they need.

        :param used: new value of the flag in the owner's row.
        :return: whether all are certainly stored; if not, some may be stored.
        :raises OwnershipLost: when another owner has claimed the partition.
        :raises WritesRejected: when the table will never accept some of the writes, and
            all others are certainly stored.
        """
        rejected: set[str] = set()
        rest = list(writes)
        while True:
            batch, rest = _split(rest)
            outcome = await self._try_commit_batch(batch, waiting_by_queue, used)
            if outcome is CommitOutcome.REJECTED:
                outcome = await self._commit_one_by_one(
                    batch, waiting_by_queue, used, rejected
                )
            if outcome is not CommitOutcome.STORED:
                return False
            if not rest:
                break
        if rejected:
            raise WritesRejected(frozenset(rejected))
        return True

    async def _commit_one_by_one(
        self,
        writes: Sequence[Write],
        waiting_by_queue: dict[str, int] | None,
        used: bool,
        rejected: set[str],
    ) -> CommitOutcome:
        """Store each of some writes in a transaction of its own.

        If the table rejects the owner's row by itself, the writes are not at fault.

        :param rejected: receives the keys of the writes that the table rejects.
        :return: ``STORED`` if the others are stored.
        """
        outcome = await self._try_commit_batch((), waiting_by_queue, used)
        if outcome is not CommitOutcome.STORED:
            return CommitOutcome.REFUSED
        for write in writes:
            outcome = await self._try_commit_batch((write,), waiting_by_queue, used)
            if outcome is CommitOutcome.REJECTED:
                rejected.add(write.key)
            elif outcome is not CommitOutcome.STORED:
                return outcome
        return CommitOutcome.STORED

    def report_room(self, room_bytes: int | None) -> None:
        """Have the next commits report the memory that is left for jobs."""
        self.row = evolve(self.row, backlog_room_bytes=room_bytes)

    async def check_ownership(self) -> None:
        """Read the owner's row, and check that it still holds this claim.

        :raises OwnershipLost: when another owner has claimed the partition.
        :raises TableUnavailable: when the call had no effect.
        :raises TableUnknown: when the call's outcome is unknown.
        """
        self._accept_own_row(await self.table.read(owner_key(self.partition)))

    async def release(self, successor: str) -> None:
        """Release the claim, and retry until that is stored.

        :param successor: the member that should claim the slice; empty for any.
        :raises OwnershipLost: when another owner has claimed the partition, or the
            claim was abandoned.
        """
        self.row = evolve(self.row, member="", address="", successor=successor)
        await self._commit_batch((), self.row.waiting_by_queue)

    async def _commit_batch(
        self, writes: Sequence[Write], waiting_by_queue: dict[str, int] | None
    ) -> None:
        while True:
            outcome = await self._try_commit_batch(
                writes, waiting_by_queue, self.row.used
            )
            if outcome is CommitOutcome.STORED:
                return
            if self.abandoned:
                raise OwnershipLost(
                    "the claim was abandoned while the table was unavailable"
                )
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _try_commit_batch(
        self,
        writes: Sequence[Write],
        waiting_by_queue: dict[str, int] | None,
        used: bool,
    ) -> CommitOutcome:
        """Try to commit one transaction.

        :return: ``STORED``; ``REJECTED`` if the table would refuse it again; any other
            if the partition refused it ``MAX_REFUSALS`` times, its outcome could not be
            read back, or the claim was abandoned.
        """
        refusals = 0
        while True:
            row = evolve(
                self.row,
                count=self.row.count + 1,
                waiting_by_queue=waiting_by_queue,
                used=used,
            )
            if waiting_by_queue and len(encode(row)) > MAX_OWNER_ROW_BYTES:
                queues = len(waiting_by_queue)
                self.log.fault("waiting-counts-left-out", queues=queues)
                row = evolve(row, waiting_by_queue=None)
            self.row = row
            outcome = await self._commit_once(row, writes)
            if outcome in (CommitOutcome.STORED, CommitOutcome.REJECTED):
                return outcome
            refusals += outcome is CommitOutcome.REFUSED
            if (
                outcome is CommitOutcome.UNKNOWN
                or refusals >= MAX_REFUSALS
                or self.abandoned
            ):
                return outcome
            if outcome is CommitOutcome.REFUSED:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _commit_once(
        self, row: OwnerRow, writes: Sequence[Write]
    ) -> CommitOutcome:
        key = owner_key(self.partition)
        transaction = Transaction(
            (Condition.at(key, self._version),), (Write(key, encode(row)), *writes)
        )
        try:
            outcome = await self.table.transact(transaction)
        except TableRejected as error:
            self.log.fault(
                "commit-rejected",
                part=self.partition,
                count=row.count,
                rows=len(writes),
                largest=max((len(write.value or "") for write in writes), default=0),
                why=str(error),
            )
            return CommitOutcome.REJECTED
        except TableUnavailable as error:
            self.log.event(
                "commit-refused",
                part=self.partition,
                count=row.count,
                why=str(error),
            )
            return CommitOutcome.REFUSED
        except TableUnknown as error:
            self.log.event(
                "commit-unknown",
                part=self.partition,
                count=row.count,
                why=str(error),
            )
            return await self._settle_outcome(row)
        if isinstance(outcome, Committed):
            self._version = outcome.version
            return CommitOutcome.STORED
        return await self._settle_outcome(row)

    async def _settle_outcome(self, row: OwnerRow) -> CommitOutcome:
        """Read the owner's row to find out whether a transaction took effect."""
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                stored = await self.table.read(owner_key(self.partition))
        except (TableUnavailable, TableUnknown, TimeoutError) as error:
            self.log.event(
                "commit-not-settled",
                part=self.partition,
                count=row.count,
                why=str(error),
            )
            return CommitOutcome.UNKNOWN
        stored_row = self._accept_own_row(stored)
        return (
            CommitOutcome.STORED
            if stored_row.count == row.count
            else CommitOutcome.NO_EFFECT
        )

    def _accept_own_row(self, stored: Row | None) -> OwnerRow:
        """Return the stored owner's row, and expect its version from now on.

        :raises OwnershipLost: when the row is not of this claim.
        """
        stored_row = decode_owner_row(stored)
        if stored is None or stored_row is None or stored_row.token != self.row.token:
            raise OwnershipLost(
                f"the owner's row of {self.partition} now holds {stored_row}"
            )
        self._version = stored.version
        return stored_row


def _split(writes: list[Write]) -> tuple[list[Write], list[Write]]:
    """Split writes into those that one transaction can hold, and the rest."""
    size = 0
    for position, write in enumerate(writes):
        size += len(write.value or "") + len(write.key)
        if position >= MAX_WRITES or (size > MAX_BYTES and position):
            return writes[:position], writes[position:]
    return writes, []
