"""Reads the configuration from peers while the table does not answer this member."""

from __future__ import annotations

import asyncio
from random import Random

from redwingrun.coordination.clock import Clock
from redwingrun.jobs.configanswer import ConfigAnswer
from redwingrun.jobs.configfreshness import ConfigFreshness
from redwingrun.jobs.peercalls import PeerCalls
from redwingrun.jobs.queuefollower import QueueFollower
from redwingrun.jobs.workerpool import MIN_CLOCK_RATE
from redwingrun.logs import Log

# Peers are asked when the table has not confirmed the configuration for this time. A
# read of the feed that finds no change takes 1 s.
ASK_PEERS_AFTER_S = 1.6
ASK_INTERVAL_S = 0.4
# Some of the peers may not reach the table either.
PEERS_ASKED = 3


class PeerConfigReader:
    """Keeps the configuration fresh through peers that reach the table.

    :param follower: applies newer configurations.
    :param freshness: told what the peers confirm.
    :param name: the member's name, the seed of the choice of peers.
    """

    def __init__(
        self,
        peers: PeerCalls,
        follower: QueueFollower,
        freshness: ConfigFreshness,
        clock: Clock,
        log: Log,
        name: str,
    ):
        self._peers = peers
        self._follower = follower
        self._freshness = freshness
        self._clock = clock
        self._log = log
        self._random = Random(name)

    async def run(self) -> None:
        """Ask peers whenever the configuration has not been confirmed for a while."""
        if not self._freshness.is_limited:
            return
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            if self._freshness.age_s() > ASK_PEERS_AFTER_S:
                await self._ask_peers()

    async def _ask_peers(self) -> None:
        available = self._peers.health.available()
        chosen = self._random.sample(available, min(PEERS_ASKED, len(available)))
        await asyncio.gather(*(self._ask(address) for address in chosen))

    async def _ask(self, address: str) -> None:
        """Ask a peer, and apply what it knows."""
        asked_s = self._clock.now()
        result = await self._peers.read_config(address, self._follower.version)
        if result.is_error():
            self._log.detail("queues-unread-by-peer", peer=address)
            return
        answer: ConfigAnswer = result.ok
        if answer.encoded and not self._follower.apply_encoded(answer.encoded, address):
            return
        if answer.version and answer.version <= self._follower.version:
            # The peer's clock may run slow.
            age_s = answer.age_s / MIN_CLOCK_RATE
            self._freshness.confirm(asked_s - age_s, address)
