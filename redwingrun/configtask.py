"""Background task that keeps the configuration of a process up to date."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from redwingrun.config import Settings
from redwingrun.coordination.codec import decode
from redwingrun.coordination.follower import (
    VERSION_KEY,
    Follower,
    ObjectStore,
    ObjectStoreUnavailable,
    VersionRow,
    digest_of,
)
from redwingrun.coordination.table import Table, TableUnavailable, TableUnknown
from redwingrun.logs import Log
from redwingrun.objects import ObjectSet
from redwingrun.peer_pb2 import ConfigRequest, News
from redwingrun.peers import PeerClient


class ConfigTask:
    """Polls the published version, fetches its content and applies it.

    The version in use never decreases. While the table or the object store is
    unreachable, versions and contents are requested from peers.

    :param addresses: returns the addresses of the peers.
    :param news: returns the message to send to a peer.
    :param on_applied: called after each newer configuration is applied.
    :ivar content: the active configuration, as published.
    :ivar objects: the active configuration, parsed.
    """

    def __init__(
        self,
        settings: Settings,
        table: Table,
        store: ObjectStore,
        peers: PeerClient,
        log: Log,
        addresses: Callable[[], list[str]],
        news: Callable[[], News],
        on_applied: Callable[[], None],
    ):
        self._settings = settings
        self._table = table
        self._store = store
        self._peers = peers
        self._log = log
        self._addresses = addresses
        self._news = news
        self._on_applied = on_applied
        self.follower = Follower()
        self.content = ObjectSet().content()
        self.objects = ObjectSet()

    async def run(self) -> None:
        """Poll for new versions until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._settings.config_poll_s)

    async def poll(self) -> None:
        """Check once for a newer version, at a peer if the table does not reply."""
        try:
            stored = await self._table.read(VERSION_KEY)
        except (TableUnavailable, TableUnknown):
            await self._query_peer()
            return
        if stored is not None:
            await self.receive_version(decode(VersionRow, stored.value))

    async def _query_peer(self) -> None:
        # A version published just before a table outage still spreads between peers.
        addresses = self._addresses()
        if not addresses:
            return
        address = random.choice(addresses)
        timeout_s = self._settings.table_timeout_s
        result = await self._peers.call(address, "Tell", self._news(), timeout_s)
        if result.is_ok():
            await self.receive_news(result.ok, address)

    async def receive_news(self, news: News, address: str = "") -> None:
        """Process the configuration version in a peer's message.

        :param address: address of that peer; empty if unknown.
        """
        row = VersionRow(number=news.config_number, digest=news.config_digest)
        await self.receive_version(row, address)

    async def receive_version(self, row: VersionRow, address: str = "") -> None:
        """Process a published version: fetch and apply it if it is newer.

        :param address: address of a peer that has its content; empty if unknown.
        """
        if not self.follower.receive_version(row):
            return
        latest = self.follower.latest_version
        content = await self._fetch(latest.digest, address)
        if content is not None:
            self._apply(latest, content)

    async def _fetch(self, digest: str, address: str) -> bytes | None:
        """Return the content with a digest, from the object store or from a peer."""
        try:
            content = await self._store.get(digest)
            if content is not None and self._is_intact(content, digest, "store"):
                return content
        except ObjectStoreUnavailable as error:
            self._log.event("object-store-unreachable", error=str(error))
        candidates = [address] if address else []
        for candidate in candidates + self._addresses():
            content = await self._fetch_from_peer(candidate, digest)
            if content and self._is_intact(content, digest, candidate):
                return content
        return None

    def _is_intact(self, content: bytes, digest: str, source: str) -> bool:
        if digest_of(content) == digest:
            return True
        self._log.fault("config-damaged", digest=digest, source=source)
        return False

    async def _fetch_from_peer(self, address: str, digest: str) -> bytes:
        timeout_s = self._settings.table_timeout_s
        request = ConfigRequest(digest=digest)
        result = await self._peers.call(address, "Config", request, timeout_s)
        return result.ok.content if result.is_ok() else b""

    def _apply(self, row: VersionRow, content: bytes) -> None:
        try:
            objects = ObjectSet.from_content(content)
        except (ValueError, TypeError, AttributeError) as error:
            # Another release may have published what this one can't read.
            self._log.fault("config-unreadable", version=row.number, error=repr(error))
            return
        if not self.follower.accept(row, content):
            return
        self.content = content
        self.objects = objects
        self._log.event("config", version=row.number, digest=row.digest)
        self._on_applied()
