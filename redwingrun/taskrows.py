"""The rows of one pool's tasks: read at the start, written under the owner's fence."""

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
    """How a fenced write ended, for certain."""

    DONE = "done"
    REFUSED = "refused"
    NOT_OWNER = "not owner"


class TaskRows:
    """Writes rows so that each outcome is certain.

    :param fence: the condition that this process still owns the pool.
    :param owns: tells whether it does, by its lease.
    """

    def __init__(
        self,
        table: Table,
        writer: GroupCommit,
        pool: str,
        fence: Condition,
        owns: Callable[[], bool],
    ):
        self._table = table
        self._writer = writer
        self._pool = pool
        self._fence = fence
        self._owns = owns
        self.fenced = False

    async def load(self) -> list[Task] | None:
        """Return all tasks, ``None`` when the table gives no answer."""
        try:
            rows = await self._table.scan(f"{TASKS_PREFIX}{self._pool}/")
        except (TableUnavailable, TableUnknown):
            return None
        return [Task(decode(TaskRow, stored.value), stored.version) for stored in rows]

    async def commit(self, task: Task) -> Commit:
        """Write a task's row, until the outcome is certain.

        One write of a task at a time: each expects the version of the last.
        """
        async with task.writing:
            row = task.row
            written = Write(row.key, encode(row))
            while self._owns():
                change = Transaction((self._fence, _expected(task)), (written,))
                try:
                    result = await self._writer.transact(change)
                except TableUnavailable:
                    return Commit.REFUSED
                except TableUnknown:
                    result = await self._found(row)
                    if result is None:
                        continue
                if isinstance(result, Committed):
                    task.version = result.version
                    return Commit.DONE
                if self._fence.key in result.keys:
                    self.fenced = True
                    return Commit.NOT_OWNER
                # An earlier try took effect late, between our look and this try.
                result = await self._found(row)
                if result is not None:
                    task.version = result.version
                    return Commit.DONE
            return Commit.NOT_OWNER

    async def commit_for_sure(self, task: Task) -> bool:
        """Write a task's row, however long the table is down."""
        while self._owns():
            if await self.commit(task) is Commit.DONE:
                return True
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def _found(self, row: TaskRow) -> Committed | None:
        """Return the commit if the stored row is this one, however long it takes."""
        while self._owns():
            try:
                return await confirm_write(self._table, row.key, encode(row))
            except (TableUnavailable, TableUnknown):
                await asyncio.sleep(RETRY_INTERVAL_S)
        return None

    async def delete(self, row: TaskRow) -> None:
        """Delete the row of a task that ended long ago."""
        try:
            await self._writer.transact(
                Transaction((self._fence,), (Write(row.key, None),))
            )
        except (TableUnavailable, TableUnknown):
            # Found again, and dropped again, when the pool is next loaded.
            return


def _expected(task: Task) -> Condition:
    if not task.version:
        return Condition.absent(task.row.key)
    return Condition.at(task.row.key, task.version)
