"""Reads and writes the rows of one pool's tasks, fenced by the pool's ownership."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from redwingrun.coordination.codec import decode, encode
from redwingrun.coordination.groupcommit import GroupCommit
from redwingrun.coordination.table import (
    Committed,
    Condition,
    Table,
    TableUnavailable,
    TableUnknown,
    Transaction,
    Write,
    confirm_write,
)
from redwingrun.tasks import TASKS_PREFIX, Task, TaskRow

RETRY_INTERVAL_S = 0.25


class Commit(Enum):
    """The outcome of a fenced write.

    ``DONE``: the row is stored. ``REFUSED``: no attempt had an effect, or will have
    one. ``NOT_OWNER``: ownership ended; the row may be stored or not.
    """

    DONE = "done"
    REFUSED = "refused"
    NOT_OWNER = "not owner"


class TaskRows:
    """Writes rows; repeats a write of unknown outcome while this process owns the pool.

    :param fencing_condition: condition of each write: this process still owns the pool.
    :param owns: returns whether it owns the pool according to its lease.
    """

    def __init__(
        self,
        table: Table,
        writer: GroupCommit,
        pool: str,
        fencing_condition: Condition,
        owns: Callable[[], bool],
    ):
        self._table = table
        self._writer = writer
        self._pool = pool
        self._fencing_condition = fencing_condition
        self._owns = owns
        self.ownership_lost = False

    async def load(self) -> list[Task] | None:
        """Return all tasks, ``None`` when the table can't be read."""
        try:
            rows = await self._table.scan(f"{TASKS_PREFIX}{self._pool}/")
        except (TableUnavailable, TableUnknown):
            return None
        return [Task(decode(TaskRow, stored.value), stored.version) for stored in rows]

    async def commit(self, task: Task) -> Commit:
        """Write a task's row; repeat until it is stored or refused, or ownership ends.

        There is one write of a task at a time, because each one is conditional on
        the version that the last one wrote. After an attempt of unknown outcome, which
        may take effect late, a refusal says nothing, and the write is repeated.
        """
        async with task.write_lock:
            may_be_stored = False
            row = task.row
            write = Write(row.key, encode(row))
            while self._owns():
                transaction = Transaction(
                    (self._fencing_condition, _version_condition(task)), (write,)
                )
                try:
                    result = await self._writer.transact(transaction)
                except TableUnavailable:
                    if not may_be_stored:
                        return Commit.REFUSED
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    continue
                except TableUnknown:
                    may_be_stored = True
                    result = await self._find_commit(row)
                    if result is None:
                        continue
                if isinstance(result, Committed):
                    task.version = result.version
                    return Commit.DONE
                if self._fencing_condition.key in result.keys:
                    self.ownership_lost = True
                    return Commit.NOT_OWNER
                # An earlier attempt took effect between the read and this attempt.
                result = await self._find_commit(row)
                if result is not None:
                    task.version = result.version
                    return Commit.DONE
            return Commit.NOT_OWNER

    async def commit_until_done(self, task: Task) -> bool:
        """Write a task's row, and retry while the table is unavailable.

        Return false when ownership of the pool ended first.
        """
        while self._owns():
            if await self.commit(task) is Commit.DONE:
                return True
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def _find_commit(self, row: TaskRow) -> Committed | None:
        """Return the commit that wrote this row.

        Return ``None`` when the table has another row or none, or when ownership
        ended.

        Retry while the table is unavailable and this process owns the pool.
        """
        while self._owns():
            try:
                return await confirm_write(self._table, row.key, encode(row))
            except (TableUnavailable, TableUnknown):
                await asyncio.sleep(RETRY_INTERVAL_S)
        return None

    async def delete(self, row: TaskRow) -> None:
        """Delete the row of an ended task; a failure is ignored."""
        try:
            await self._writer.transact(
                Transaction((self._fencing_condition,), (Write(row.key, None),))
            )
        except (TableUnavailable, TableUnknown):
            # The row stays until the next owner has loaded it and deletes the oldest
            # ended tasks.
            return


def _version_condition(task: Task) -> Condition:
    if not task.version:
        return Condition.absent(task.row.key)
    return Condition.at(task.row.key, task.version)
