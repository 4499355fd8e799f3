"""The task that follows the published configuration, by table, store and peers."""

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
)
from redwingrun.coordination.table import Table, TableUnavailable, TableUnknown
from redwingrun.logs import Log
from redwingrun.objects import ObjectSet
from redwingrun.peer_pb2 import ConfigRequest, News
from redwingrun.peers import PeerClient


class ConfigTask:
    """Polls the version, fetches its content, and applies it; never goes back.

    :param addresses: returns the peers to ask while table or store are down.
    :param news: returns what to tell them.
    :param on_applied: called after each newer configuration.
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
        """Follow until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._settings.config_poll_s)

    async def poll(self) -> None:
        """Look once for a newer version."""
        try:
            stored = await self._table.read(VERSION_KEY)
        except (TableUnavailable, TableUnknown):
            await self._ask_peer()
            return
        if stored is not None:
            await self.receive_version(decode(VersionRow, stored.value))

    async def _ask_peer(self) -> None:
        # Without the table a version published just before the outage still spreads.
        addresses = self._addresses()
        if not addresses:
            return
        address = random.choice(addresses)
        timeout_s = self._settings.table_timeout_s
        result = await self._peers.call(address, "Tell", self._news(), timeout_s)
        if result.is_ok():
            await self.receive_news(result.ok, address)

    async def receive_news(self, news: News, address: str = "") -> None:
        """Take the version that a peer has in force."""
        row = VersionRow(number=news.config_number, digest=news.config_digest)
        await self.receive_version(row, address)

    async def receive_version(self, row: VersionRow, address: str = "") -> None:
        """Take news of a version, and fetch and apply it when it is newer.

        :param address: of a peer that has it.
        """
        if not self.follower.receive_version(row):
            return
        wanted = self.follower.wanted
        content = await self._fetch(wanted.digest, address)
        if content is not None:
            self._apply(wanted, content)

    async def _fetch(self, digest: str, address: str) -> bytes | None:
        try:
            content = await self._store.get(digest)
            if content is not None:
                return content
        except ObjectStoreUnavailable as error:
            self._log.event("object-store-unreachable", error=str(error))
        candidates = [address] if address else []
        for candidate in candidates + self._addresses():
            content = await self._fetch_from_peer(candidate, digest)
            if content:
                return content
        return None

    async def _fetch_from_peer(self, address: str, digest: str) -> bytes:
        timeout_s = self._settings.table_timeout_s
        request = ConfigRequest(digest=digest)
        result = await self._peers.call(address, "Config", request, timeout_s)
        return result.ok.content if result.is_ok() else b""

    def _apply(self, row: VersionRow, content: bytes) -> None:
        objects = ObjectSet.from_content(content)
        if not self.follower.accept(row, content):
            return
        self.content = content
        self.objects = objects
        self._log.event("config", version=row.number, digest=row.digest)
        self._on_applied()
