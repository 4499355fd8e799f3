"""Tests of the ways that a query to the placement policy goes when some fail."""

from __future__ import annotations

import asyncio
import math

import pytest
from expression import Error, Ok

from redwingrun.coordination.clock import ManualClock
from redwingrun.coordination.verdict import not_run
from redwingrun.jobs.peerhealth import PeerHealth
from redwingrun.jobs.policyproxies import PolicyProxies, PolicyProxy
from redwingrun.jobs.policysender import MAX_PEERS_TRIED, PolicySender
from redwingrun.jobs.ports import PolicyAnswer
from redwingrun.jobs.spec import StepId
from redwingrun.jobs.workerpool import PolicyQuery
from redwingrun.logs import Log

QUERY = PolicyQuery(StepId("0" * 16, 0, 0), ("w1",), 0.6)
ANSWER = PolicyAnswer({"w1": "t"}, 2.0)
PEERS = ["p1", "p2", "p3", "p4", "p5"]


class Setup:
    """A sender whose queries fail through the members that the test names."""

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.health = PeerHealth("m0", self.clock)
        self.health.set_peers(PEERS)
        self.proxies = PolicyProxies(self.health)
        self.proxies.set_peers(PEERS)
        self.failing: set[str] = set()
        self.ways: list[str] = []
        log = Log("test", "quiet")
        self.sender = PolicySender(self.proxies, self._query, self.clock, log)

    async def _query(self, proxy: PolicyProxy, query: PolicyQuery, timeout_s: float):
        self.ways.append(proxy.address)
        self.clock.advance(0.1)
        if proxy.address in self.failing:
            self.health.failed(proxy.address)
            return Error(not_run("silent"))
        return Ok(ANSWER)

    def send(self):
        """Send a query; return its result."""
        return asyncio.run(self.sender.send(QUERY))


@pytest.fixture
def setup():
    """Return a sender through peers that all answer."""
    return Setup()


def test_a_query_that_fails_through_a_peer_is_sent_by_this_member(setup: Setup):
    """No other peer was heard since: it may be lost, too."""
    setup.failing = set(PEERS)
    assert setup.send() == Ok(ANSWER)
    assert setup.ways[0] in PEERS
    assert setup.ways[1:] == [""]


def test_a_peer_that_answers_meanwhile_is_the_second_way(setup: Setup):
    """Many queries that fail together must not all wait for this member's turn."""
    setup.failing = {"p2"}
    query = setup.sender._query_policy

    async def query_beside_others(proxy, item, timeout_s):
        setup.health.answered("p5")
        return await query(proxy, item, timeout_s)

    setup.sender._query_policy = query_beside_others
    setup.proxies.choose(60.0, setup.clock.now(), setup.clock.now())
    assert setup.send() == Ok(ANSWER)
    assert setup.ways == ["p2", "p5"]


def test_a_policy_that_fails_everywhere_is_asked_a_few_times_only(setup: Setup):
    """The step then makes a new query, of the workers that are free by then.

    All peers go on answering probes, so that each of them could be the next way.
    """
    query = setup.sender._query_policy

    async def query_beside_probes(proxy, item, timeout_s):
        result = await query(proxy, item, timeout_s)
        for peer in PEERS:
            setup.health.answered(peer)
        setup.proxies.choose(60.0, setup.clock.now(), math.inf)
        return result

    setup.sender._query_policy = query_beside_probes
    setup.failing = {"", *PEERS}
    assert setup.send().is_error()
    assert setup.ways[-1] == ""
    assert len(setup.ways) <= MAX_PEERS_TRIED + 1


def test_lost_members_do_not_count_for_how_many_queries_are_sent(setup: Setup):
    """Their number limits the long queries at a time."""
    assert setup.proxies.usable_count() == len(PEERS) + 1
    setup.health.failed("p1")
    setup.health.failed("p4")
    assert setup.proxies.usable_count() == len(PEERS) - 1
