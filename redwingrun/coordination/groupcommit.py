"""Group commit: batches transactions to stay below the table's write rate limit."""

from __future__ import annotations

import asyncio
from collections import deque

from attrs import define, frozen

from redwingrun.coordination.table import (
    Committed,
    Conflict,
    Table,
    TableUnavailable,
    TableUnknown,
    Transaction,
)


@frozen
class GroupCommitSettings:
    """Limits of a group of transactions.

    :param delay_s: seconds to wait for further transactions before the first group.
        Transactions that arrive during a commit are committed next, without a delay.
    :param max_writes: maximum number of rows that one group writes; a larger
        transaction is committed alone.
    """

    delay_s: float = 0.005
    max_writes: int = 200


@define
class _PendingTransaction:
    transaction: Transaction
    outcome: asyncio.Future


class GroupCommit:
    """Batches transactions and commits them in groups, one group at a time.

    A transaction that conflicts is removed from its group and the others are
    retried, so callers see the same outcomes as without grouping. Two
    transactions share a group only if neither writes a row that the other writes
    or has a condition on.

    :ivar commits: number of commits sent to the table.
    :ivar transactions: number of transactions received.
    """

    def __init__(self, table: Table, settings: GroupCommitSettings):
        self._table = table
        self._settings = settings
        self._pending: deque[_PendingTransaction] = deque()
        self._commit_task: asyncio.Task | None = None
        self.commits = 0
        self.transactions = 0

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Commit a transaction as part of a group.

        :raises TableUnavailable: if it certainly had no effect.
        :raises TableUnknown: if it may have had an effect.
        """
        pending = _PendingTransaction(
            transaction, asyncio.get_running_loop().create_future()
        )
        self._pending.append(pending)
        self.transactions += 1
        if self._commit_task is None or self._commit_task.done():
            self._commit_task = asyncio.create_task(self._commit_groups())
        # Cancelling one caller must not cancel the commit for the rest of its group.
        return await asyncio.shield(pending.outcome)

    async def _commit_groups(self) -> None:
        await asyncio.sleep(self._settings.delay_s)
        while self._pending:
            await self._commit(self._take_group())

    def _take_group(self) -> list[_PendingTransaction]:
        group: list[_PendingTransaction] = []
        postponed: deque[_PendingTransaction] = deque()
        written: set[str] = set()
        constrained: set[str] = set()
        writes = 0
        while self._pending:
            pending = self._pending.popleft()
            write_keys = {write.key for write in pending.transaction.writes}
            condition_keys = {
                condition.key for condition in pending.transaction.conditions
            }
            overlaps = write_keys & (written | constrained) or condition_keys & written
            is_full = writes + len(write_keys) > self._settings.max_writes and group
            if overlaps or is_full:
                postponed.append(pending)
                # Later transactions on the same rows must not overtake this one.
                written |= write_keys
                constrained |= condition_keys
                continue
            group.append(pending)
            written |= write_keys
            constrained |= condition_keys
            writes += len(write_keys)
        self._pending = postponed
        return group

    async def _commit(self, group: list[_PendingTransaction]) -> None:
        transaction = _merge(group)
        try:
            self.commits += 1
            result = await self._table.transact(transaction)
        except (TableUnavailable, TableUnknown) as error:
            for pending in group:
                _resolve(pending.outcome, error=type(error)(str(error)))
            return
        if isinstance(result, Committed):
            for pending in group:
                _resolve(pending.outcome, result=result)
            return
        self._retry_without_conflicts(group, frozenset(result.keys))

    def _retry_without_conflicts(
        self, group: list[_PendingTransaction], failed: frozenset[str]
    ) -> None:
        for pending in reversed(group):
            keys = {condition.key for condition in pending.transaction.conditions}
            if keys & failed:
                conflict = Conflict(tuple(sorted(keys & failed)))
                _resolve(pending.outcome, result=conflict)
            else:
                self._pending.appendleft(pending)


def _merge(group: list[_PendingTransaction]) -> Transaction:
    conditions = {}
    writes = []
    for pending in group:
        for condition in pending.transaction.conditions:
            conditions[condition] = None
        writes.extend(pending.transaction.writes)
    return Transaction(tuple(conditions), tuple(writes))


def _resolve(
    outcome: asyncio.Future,
    result: Committed | Conflict | None = None,
    error: Exception | None = None,
) -> None:
    if outcome.done():
        return
    if error is not None:
        outcome.set_exception(error)
        # Mark the exception as retrieved: if the caller was cancelled nobody awaits the
        # future, and asyncio would log a warning.
        outcome.exception()
        return
    outcome.set_result(result)
