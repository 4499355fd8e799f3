"""Registration of a slice's members in the table, and the secret that they share."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

from redwingrun.coordination.codec import encode
from redwingrun.coordination.table import (
    Changes,
    Committed,
    Condition,
    Snapshot,
    TableUnavailable,
    TableUnknown,
    Transaction,
    WatchableTable,
    Write,
)
from redwingrun.jobs.peerlist import MemberRow
from redwingrun.jobs.rowkeys import members_prefix
from redwingrun.logs import Log

RETRY_INTERVAL_S = 0.2
SECRET_BYTES = 16


class MemberRegistry:
    """The rows by which the members of a slice find and authenticate each other."""

    def __init__(self, table: WatchableTable, slice_name: str, log: Log):
        self._table = table
        self._slice_name = slice_name
        self._log = log

    async def shared_secret(self) -> str:
        """Return the secret that all members share; retry until the table answers."""
        return await self._retry_until_done(self._load_or_create_secret)

    def key(self, name: str) -> str:
        """Return the key of a member's row."""
        return members_prefix(self._slice_name) + name

    async def register(self, row: MemberRow) -> None:
        """Store a member's row; retry until the table answers."""
        write = Write(self.key(row.name), encode(row))
        await self._retry_until_done(
            lambda: self._table.transact(Transaction((), (write,)))
        )

    async def unregister(self, row: MemberRow) -> None:
        """Remove a member's row, if it is still the one that was stored.

        The condition keeps a removal that takes effect late from removing the row of
        the next process of that name.

        :raises TableUnavailable: when the call had no effect.
        :raises TableUnknown: when the call's outcome is unknown.
        """
        stored = await self._table.read(self.key(row.name))
        if stored is None or stored.value != encode(row):
            return
        await self.remove(row.name, stored.version)

    async def remove(self, name: str, version: int) -> bool:
        """Remove a member's row if it still has this version; return whether it had.

        :raises TableUnavailable: when the call had no effect.
        :raises TableUnknown: when the call's outcome is unknown.
        """
        key = self.key(name)
        condition = Condition.at(key, version)
        answer = await self._table.transact(
            Transaction((condition,), (Write(key, None),))
        )
        return isinstance(answer, Committed)

    async def members(self) -> Snapshot:
        """Return the rows of all members.

        :raises TableUnavailable: when the call had no effect.
        :raises TableUnknown: when the call's outcome is unknown.
        """
        return await self._table.snapshot(members_prefix(self._slice_name))

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Return the rows that changed after a version of the table.

        :param wait_s: longest wait for a change, in seconds.
        :raises HistoryTruncated: when the table no longer holds all changes since then.
        :raises TableUnavailable: when the call had no effect.
        :raises TableUnknown: when the call's outcome is unknown.
        """
        prefix = members_prefix(self._slice_name)
        return await self._table.changes(prefix, after, wait_s)

    async def _retry_until_done(
        self, work: Callable[[], Coroutine[Any, Any, Any]]
    ) -> Any:
        while True:
            try:
                return await work()
            except (TableUnavailable, TableUnknown) as error:
                self._log.event("join-waits", why=str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _load_or_create_secret(self) -> str:
        """Return the stored secret; the first member creates it.

        :raises TableUnavailable: when a call had no effect.
        :raises TableUnknown: when a call's outcome is unknown, or the secret that was
            just created can't be read yet.
        """
        key = f"secrets/{self._slice_name}/peers"
        row = await self._table.read(key)
        if row is not None:
            return row.value
        new_secret = secrets.token_hex(SECRET_BYTES)
        await self._table.transact(
            Transaction((Condition.absent(key),), (Write(key, new_secret),))
        )
        row = await self._table.read(key)
        if row is None:
            raise TableUnknown("the peers' secret is not stored yet")
        return row.value
