"""News of free slots and waiting work, exchanged with the other entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from redwingrun.dispatcher import PoolNews
from redwingrun.membership import ENTRY
from redwingrun.node import Node
from redwingrun.peer_pb2 import News
from redwingrun.peer_pb2 import PoolNews as PoolNewsMessage


class NewsExchange:
    """Tells peers our news, each at most once an interval, and takes theirs.

    :param on_news: called with the news that come back.
    """

    def __init__(self, node: Node, on_news: Callable[[News], None]):
        self._node = node
        self._on_news = on_news
        self._tell_by_peer: dict[str, asyncio.Task] = {}
        self._sequence_by_peer: dict[str, int] = {}

    def peer_ids(self) -> set[str]:
        """Return the ids of the other entries."""
        return set(self._node.membership.members(ENTRY)) - {
            self._node.membership.member_id
        }

    def tell_soon(self, member_id: str) -> None:
        """Tell a peer now, or leave it to a telling that is under way."""
        running = self._tell_by_peer.get(member_id)
        if running is None or running.done():
            self._tell_by_peer[member_id] = self._node.spawn(
                self._tell(member_id), "tell"
            )

    async def _tell(self, member_id: str) -> None:
        peer = self._node.membership.members(ENTRY).get(member_id)
        if peer is None:
            return
        settings = self._node.settings
        result = await self._node.peers.call(
            peer.peer_address, "Tell", self._node.news(), settings.table_timeout_s
        )
        if result.is_ok():
            self._on_news(result.ok)
        # The rate limit: nothing more to this peer until then.
        await asyncio.sleep(settings.news_interval_s)

    async def tell_all(self) -> None:
        """Tell every peer now and then, until cancelled."""
        while True:
            for member_id in self.peer_ids():
                self.tell_soon(member_id)
            self._forget(self.peer_ids())
            await asyncio.sleep(self._node.settings.news_max_age_s / 2)

    def _forget(self, known: set[str]) -> None:
        for book in (self._tell_by_peer, self._sequence_by_peer):
            for member_id in set(book) - known:
                del book[member_id]

    def is_new(self, news: News) -> bool:
        """Tell whether news are later than the last of that peer, and note them."""
        if news.sequence <= self._sequence_by_peer.get(news.member_id, 0):
            return False
        self._sequence_by_peer[news.member_id] = news.sequence
        return True


def news_from(message: PoolNewsMessage) -> PoolNews:
    """Return news as the dispatcher takes them."""
    return PoolNews(
        message.free_short,
        message.free_long,
        message.waiting_short,
        message.waiting_long,
        message.speed,
    )


def message_of(pool: str, news: PoolNews) -> PoolNewsMessage:
    """Return news as peers take them."""
    return PoolNewsMessage(
        pool=pool,
        free_short=news.free_short,
        free_long=news.free_long,
        waiting_short=news.waiting_short,
        waiting_long=news.waiting_long,
        speed=news.speed,
    )
