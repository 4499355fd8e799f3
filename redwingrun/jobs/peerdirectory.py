"""Follows the rows of the members: renews its own one, and removes those of lost ones.

A member that is lost with its host leaves its row. Such rows must not add up over years
in which hosts are replaced. The removal of a row ends nothing but discovery: a member
that lives all the same sees that its row is gone, and registers again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.table import (
    HistoryTruncated,
    TableUnavailable,
    TableUnknown,
)
from redwingrun.jobs.memberregistry import MemberRegistry
from redwingrun.jobs.memberrowages import MemberRowAges, StaleRow
from redwingrun.jobs.peercalls import PeerCalls
from redwingrun.jobs.peerlinks import Liveness
from redwingrun.jobs.peerlist import MemberRow, PeerList
from redwingrun.logs import Log

# Pause between two reads of changes of the members' rows, so that one read returns the
# changes of many members that start together, and how long a read waits for a change.
READ_INTERVAL_S = 3.0
READ_WAIT_S = 10.0
# Each member renews its row at this interval, give or take RENEWAL_JITTER of it.
RENEWAL_INTERVAL_S = 300.0
RENEWAL_JITTER = 0.2
# The owner removes the row of a member that has not renewed it for this time, and does
# not answer either. It looks for such rows at the interval below.
LOST_AFTER_S = 900.0
REMOVAL_INTERVAL_S = 60.0
# So many rows are removed at most each time.
MAX_REMOVALS = 10


class PeerDirectory:
    """A member's view of the rows of all members.

    :param own: this member's row.
    :param peers: the list that is kept up to date.
    :param peers_changed: called after each read with the addresses of the peers.
    :ivar has_read: whether all rows were read at least once.
    """

    def __init__(
        self,
        registry: MemberRegistry,
        own: MemberRow,
        peers: PeerList,
        calls: PeerCalls,
        clock: Clock,
        log: Log,
        peers_changed: Callable[[list[str]], None],
    ):
        self._registry = registry
        self._own = own
        self._peers = peers
        self._calls = calls
        self._log = log
        self._peers_changed = peers_changed
        self._ages = MemberRowAges(clock)
        self._random = Random(own.name)
        self._is_registered = False
        self.has_read = False

    async def register(self) -> None:
        """Store this member's row; retry until the table answers."""
        await self._registry.register(self._own)
        self._is_registered = True

    async def unregister(self) -> None:
        """Remove this member's row, which is not renewed any more.

        :raises TableUnavailable: when the call had no effect.
        :raises TableUnknown: when the call's outcome is unknown.
        """
        self._is_registered = False
        await self._registry.unregister(self._own)

    async def follow(self) -> None:
        """Keep the list of peers up to date.

        The whole list is read once, and again after a failure: if each member read it
        at intervals, the cost would grow with the square of their number.
        """
        version: int | None = None
        while True:
            try:
                version = await self._read(version)
            except HistoryTruncated:
                version = None
                continue
            except (TableUnavailable, TableUnknown) as error:
                self._log.detail("members-unread", why=str(error))
                version = None
            await asyncio.sleep(READ_INTERVAL_S)

    async def renew(self) -> None:
        """Store this member's row again now and then, as a sign that it lives."""
        while True:
            jitter = self._random.uniform(1 - RENEWAL_JITTER, 1 + RENEWAL_JITTER)
            await asyncio.sleep(RENEWAL_INTERVAL_S * jitter)
            if self._is_registered:
                await self.register()

    async def remove_lost(self, is_owner: Callable[[], bool]) -> None:
        """Remove the rows of lost members, as long as this member owns the slice."""
        while True:
            await asyncio.sleep(REMOVAL_INTERVAL_S)
            if not is_owner():
                continue
            for row in self._ages.stale(LOST_AFTER_S)[:MAX_REMOVALS]:
                await self._remove_if_lost(row)

    async def _remove_if_lost(self, row: StaleRow) -> None:
        """Remove a row that was not renewed, unless its member answers.

        Damaged rows and this member's own one are left.
        """
        address = self._peers.address(row.name)
        if address is None:
            return
        # The host of a lost member may have come back with a member of another name.
        is_shared = self._peers.addresses().count(address) > 1
        if not is_shared and await self._answers(address):
            self._ages.confirm(row.name)
            return
        try:
            is_removed = await self._registry.remove(row.name, row.version)
        except (TableUnavailable, TableUnknown) as error:
            self._log.event("member-row-kept", member=row.name, why=str(error))
            return
        self._log.event("member-removed", member=row.name, removed=is_removed)

    async def _answers(self, address: str) -> bool:
        return await self._calls.liveness(address) is Liveness.ANSWERS

    async def _read(self, after: int | None) -> int:
        """Apply the changes of the members' rows; return the version to go on from.

        :param after: version of the table after which to read changes; ``None`` to read
            all rows.
        """
        if after is None:
            snapshot = await self._registry.members()
            self._peers.update(snapshot.rows)
            self._ages.replace(snapshot.rows)
            self.has_read = True
            version = snapshot.version
            keys = {row.key for row in snapshot.rows}
            is_gone = self._registry.key(self._own.name) not in keys
        else:
            changes = await self._registry.changes(after, READ_WAIT_S)
            self._peers.apply_changes(changes.rows, changes.deleted)
            self._ages.apply_changes(changes.rows, changes.deleted)
            version = changes.version
            is_gone = self._registry.key(self._own.name) in changes.deleted
        self._peers_changed(self._peers.addresses())
        if is_gone and self._is_registered:
            self._log.event("member-registers-again")
            await self.register()
        return version
