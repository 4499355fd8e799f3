"""Load gossip: entries send each other their free slots and queued requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from redwingrun.dispatcher import PoolLoad
from redwingrun.membership import ENTRY
from redwingrun.node import Node
from redwingrun.peer_pb2 import News, PoolNews


class LoadGossip:
    """Sends this entry's load to its peers.

    Each peer gets it at most once per ``news_interval_s``.

    :param on_news: called with the message that a peer replies with.
    """

    def __init__(self, node: Node, on_news: Callable[[News], None]):
        self._node = node
        self._on_news = on_news
        self._sending_by_peer: dict[str, asyncio.Task] = {}
        self._sequence_by_peer: dict[str, int] = {}

    def peer_ids(self) -> set[str]:
        """Return the ids of the other entries."""
        return set(self._node.membership.members(ENTRY)) - {
            self._node.membership.member_id
        }

    def send_if_due(self, member_id: str) -> None:
        """Start to send the load to a peer, if that is due.

        It is not due while a call to the peer is in flight or ended less than
        ``news_interval_s`` ago. In that case this call does nothing.
        """
        sending = self._sending_by_peer.get(member_id)
        if sending is None or sending.done():
            self._sending_by_peer[member_id] = self._node.spawn(
                self._send(member_id), "tell"
            )

    async def _send(self, member_id: str) -> None:
        peer = self._node.membership.members(ENTRY).get(member_id)
        if peer is None:
            return
        settings = self._node.settings
        result = await self._node.peers.call(
            peer.peer_address, "Tell", self._node.news(), settings.table_timeout_s
        )
        if result.is_ok():
            self._on_news(result.ok)
        # The rate limit: until this task ends, send_if_due() starts no other one.
        await asyncio.sleep(settings.news_interval_s)

    async def run(self) -> None:
        """Send the load to every peer each half ``news_max_age_s``, until cancelled."""
        while True:
            for member_id in self.peer_ids():
                self.send_if_due(member_id)
            self._retain(self.peer_ids())
            await asyncio.sleep(self._node.settings.news_max_age_s / 2)

    def _retain(self, member_ids: set[str]) -> None:
        for state_by_peer in (self._sending_by_peer, self._sequence_by_peer):
            for member_id in set(state_by_peer) - member_ids:
                del state_by_peer[member_id]

    def record_if_newer(self, news: News) -> bool:
        """Return whether a message is newer than its sender's last, and record it."""
        if news.sequence <= self._sequence_by_peer.get(news.member_id, 0):
            return False
        self._sequence_by_peer[news.member_id] = news.sequence
        return True


def load_from_message(message: PoolNews) -> PoolLoad:
    """Return the load that a message holds."""
    return PoolLoad(
        message.free_short,
        message.free_long,
        message.waiting_short,
        message.waiting_long,
        message.speed,
    )


def message_from_load(pool: str, load: PoolLoad) -> PoolNews:
    """Return the message that holds a pool's load."""
    return PoolNews(
        pool=pool,
        free_short=load.free_short,
        free_long=load.free_long,
        waiting_short=load.waiting_short,
        waiting_long=load.waiting_long,
        speed=load.speed,
    )
