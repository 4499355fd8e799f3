"""How a member makes itself known to its slice."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

from redwingrun.coordination.codec import encode
from redwingrun.coordination.table import (
    Condition,
    Row,
    TableUnavailable,
    TableUnknown,
    Transaction,
    WatchableTable,
    Write,
)
from redwingrun.jobs.peerlist import MemberRow
from redwingrun.jobs.rowkeys import members_prefix
from redwingrun.logs import Log

RETRY_S = 0.2
SECRET_BYTES = 16


class MemberRegistry:
    """The rows by which the members of a slice find and trust each other."""

    def __init__(self, table: WatchableTable, slice_name: str, log: Log):
        self._table = table
        self._slice = slice_name
        self._log = log

    async def secret(self) -> str:
        """Return the secret of all members; waits until the table has it."""
        return await self._until_done(self._shared_secret)

    async def register(self, row: MemberRow) -> None:
        """Store where a member is; waits until the table has it."""
        write = Write(members_prefix(self._slice) + row.name, encode(row))
        await self._until_done(lambda: self._table.transact(Transaction((), (write,))))

    async def members(self) -> tuple[Row, ...]:
        """Return the rows of all members.

        :raises TableUnavailable: when the table does not answer.
        """
        return await self._table.scan(members_prefix(self._slice))

    async def _until_done(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
        while True:
            try:
                return await work()
            except (TableUnavailable, TableUnknown) as error:
                self._log.event("join-waits", why=str(error))
                await asyncio.sleep(RETRY_S)

    async def _shared_secret(self) -> str:
        """Read the secret; the first member draws it."""
        key = f"secrets/{self._slice}/peers"
        row = await self._table.read(key)
        if row is not None:
            return row.value
        drawn = secrets.token_hex(SECRET_BYTES)
        await self._table.transact(
            Transaction((Condition.absent(key),), (Write(key, drawn),))
        )
        row = await self._table.read(key)
        if row is None:
            raise TableUnknown("the peers' secret is not stored yet")
        return row.value
