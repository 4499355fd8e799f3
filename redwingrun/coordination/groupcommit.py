"""Many small transactions committed as one, to spare the table's write rate."""

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
    """How long and how much a group gathers.

    :param delay_s: seconds a transaction waits for company.
    :param max_writes: rows written by one group at most.
    """

    delay_s: float = 0.005
    max_writes: int = 200


@define
class _Waiting:
    transaction: Transaction
    done: asyncio.Future


class GroupCommit:
    """Gathers transactions and commits them in groups, one group at a time.

    A transaction that conflicts is taken out of its group and the others are
    tried again, so callers see the same outcomes as without grouping. Two
    transactions that name the same row never share a group, unless both only
    expect it unchanged.
    """

    def __init__(self, table: Table, settings: GroupCommitSettings):
        self._table = table
        self._settings = settings
        self._queue: deque[_Waiting] = deque()
        self._runner: asyncio.Task | None = None
        self.commits = 0
        self.transactions = 0

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Commit as part of a group.

        :raises TableUnavailable: it certainly had no effect.
        :raises TableUnknown: it may have had an effect.
        """
        waiting = _Waiting(transaction, asyncio.get_running_loop().create_future())
        self._queue.append(waiting)
        self.transactions += 1
        if self._runner is None or self._runner.done():
            self._runner = asyncio.create_task(self._run())
        # A caller that is cancelled must not cancel the group for the others.
        return await asyncio.shield(waiting.done)

    async def _run(self) -> None:
        await asyncio.sleep(self._settings.delay_s)
        while self._queue:
            await self._commit(self._take_group())

    def _take_group(self) -> list[_Waiting]:
        group: list[_Waiting] = []
        kept: deque[_Waiting] = deque()
        written: set[str] = set()
        expected: set[str] = set()
        writes = 0
        while self._queue:
            waiting = self._queue.popleft()
            keys = {write.key for write in waiting.transaction.writes}
            reads = {condition.key for condition in waiting.transaction.conditions}
            clash = keys & (written | expected) or reads & written
            full = writes + len(keys) > self._settings.max_writes and group
            if clash or full:
                kept.append(waiting)
                # Whatever comes later for the same rows must stay behind it.
                written |= keys
                expected |= reads
                continue
            group.append(waiting)
            written |= keys
            expected |= reads
            writes += len(keys)
        self._queue = kept
        return group

    async def _commit(self, group: list[_Waiting]) -> None:
        merged = _merge(group)
        try:
            self.commits += 1
            result = await self._table.transact(merged)
        except (TableUnavailable, TableUnknown) as error:
            for waiting in group:
                _settle(waiting.done, error=type(error)(str(error)))
            return
        if isinstance(result, Committed):
            for waiting in group:
                _settle(waiting.done, result=result)
            return
        self._split(group, frozenset(result.keys))

    def _split(self, group: list[_Waiting], failed: frozenset[str]) -> None:
        for waiting in reversed(group):
            keys = {condition.key for condition in waiting.transaction.conditions}
            if keys & failed:
                conflict = Conflict(tuple(sorted(keys & failed)))
                _settle(waiting.done, result=conflict)
            else:
                self._queue.appendleft(waiting)


def _merge(group: list[_Waiting]) -> Transaction:
    conditions = {}
    writes = []
    for waiting in group:
        for condition in waiting.transaction.conditions:
            conditions[condition] = None
        writes.extend(waiting.transaction.writes)
    return Transaction(tuple(conditions), tuple(writes))


def _settle(
    done: asyncio.Future,
    result: Committed | Conflict | None = None,
    error: Exception | None = None,
) -> None:
    if done.done():
        return
    if error is not None:
        done.set_exception(error)
        # A caller that went away never awaits it: no warning in its place.
        done.exception()
        return
    done.set_result(result)
