"""Tests of what a member knows of its peers, and of calls to those that are gone."""

from __future__ import annotations

import asyncio
from contextlib import closing

import pytest
from expression import Ok

from redwingrun.coordination.clock import ManualClock
from redwingrun.jobs.peercalls import PEER_SILENT, PeerCalls
from redwingrun.jobs.peerhealth import (
    EJECTION_JITTER,
    FIRST_EJECTION_S,
    HEARD_LATELY_S,
    MAX_EJECTION_S,
    PeerHealth,
)
from redwingrun.jobs.peerlinks import LIVENESS_TIMEOUT_S, Liveness, PeerFailure
from redwingrun.jobs.peerlist import MemberRow
from redwingrun.logs import Log
from tests.helpers import LoopClock, VirtualLoop, close_loop

LONGEST_EJECTION_S = MAX_EJECTION_S * (1 + EJECTION_JITTER)


@pytest.fixture
def clock():
    """Return a clock that the test advances."""
    return ManualClock(100.0)


@pytest.fixture
def health(clock: ManualClock):
    """Return what is known of two peers."""
    made = PeerHealth("m0", clock)
    made.set_peers(["p1", "p2"])
    return made


def test_a_silent_peer_is_not_chosen_before_it_answers(
    health: PeerHealth, clock: ManualClock
):
    """The end of an ejection alone would send it a caller's work."""
    health.failed("p1")
    clock.advance(60.0)
    assert health.available() == ["p2"]
    health.answered("p1")
    assert health.available() == ["p1", "p2"]


def test_ejections_become_longer_up_to_a_limit(health: PeerHealth, clock: ManualClock):
    """A lost host is probed now and then for as long as its row is there."""
    delays_s = []
    for _ in range(10):
        health.failed("p1")
        delays_s.append(health.probe_delay_s("p1"))
        clock.advance(delays_s[-1])
    assert delays_s[0] <= FIRST_EJECTION_S * (1 + EJECTION_JITTER)
    assert delays_s[3] > delays_s[0]
    assert max(delays_s) <= LONGEST_EJECTION_S
    assert min(delays_s[6:]) >= MAX_EJECTION_S * (1 - EJECTION_JITTER)


def test_calls_that_fail_together_count_once(health: PeerHealth):
    """They all began before the ejection."""
    for _ in range(20):
        health.failed("p1")
    assert health.probe_delay_s("p1") <= FIRST_EJECTION_S * (1 + EJECTION_JITTER)


def test_a_peer_that_answers_again_begins_anew(health: PeerHealth, clock: ManualClock):
    """A freeze of some seconds must not eject a member for longer than that."""
    for _ in range(4):
        health.failed("p1")
        clock.advance(health.probe_delay_s("p1"))
    health.answered("p1")
    health.failed("p1")
    assert health.probe_delay_s("p1") <= FIRST_EJECTION_S * (1 + EJECTION_JITTER)


def test_an_answer_to_a_probe_does_not_undo_a_refusal(
    health: PeerHealth, clock: ManualClock
):
    """A peer that is cut off from the policy answers its peers all the same."""
    health.refused("p1")
    health.answered("p1")
    assert health.available() == ["p2"]
    clock.advance(HEARD_LATELY_S)
    assert health.available() == ["p1", "p2"]


def test_a_peer_is_heard_lately_only_for_a_while(
    health: PeerHealth, clock: ManualClock
):
    """It may be lost since."""
    assert not health.was_heard_lately("p1")
    health.answered("p1")
    assert health.was_heard_lately("p1")
    clock.advance(HEARD_LATELY_S + 0.1)
    assert not health.was_heard_lately("p1")


class StubLinks:
    """Peers whose policy queries take a while, and whose processes answer or not."""

    def __init__(self) -> None:
        self.liveness_by_address: dict[str, list[Liveness]] = {}
        self.answer_s = 2.0
        self.probes = 0

    async def query_policy(self, address: str, query, timeout_s: float):
        """Answer after some time."""
        await asyncio.sleep(self.answer_s)
        return Ok("answer")

    async def probe(self, address: str, claim: bool, handover_from: str = ""):
        """Answer that the owner's row was read long ago, if the process answers."""
        liveness = await self.liveness(address)
        return 60.0 if liveness is Liveness.ANSWERS else None

    async def liveness(self, address: str) -> Liveness:
        """Return the next of the outcomes that the test has set, the last for ever."""
        self.probes += 1
        outcomes = self.liveness_by_address.get(address, [Liveness.ANSWERS])
        liveness = outcomes.pop(0) if len(outcomes) > 1 else outcomes[0]
        if liveness is Liveness.SILENT:
            await asyncio.sleep(LIVENESS_TIMEOUT_S)
        return liveness


class Setup:
    """Calls to one peer, in virtual time."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.links = StubLinks()
        self.health = PeerHealth("m0", LoopClock(self.loop))
        self.health.set_peers(["p1"])
        log = Log("test", "quiet")
        self.calls = PeerCalls(
            self.links, self.health, log, lambda work: self.loop.create_task(work)
        )

    def query(self):
        """Send a query; return its result and how long it took."""
        started_s = self.loop.time()
        result = self.loop.run_until_complete(self.calls.query_policy("p1", None, 60.0))
        return result, self.loop.time() - started_s

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def close(self) -> None:
        """Close the event loop."""
        close_loop(self.loop)


@pytest.fixture
def setup():
    """Return calls to a peer that answers."""
    with closing(Setup()) as made:
        yield made


def test_a_call_to_a_lost_peer_is_given_up_before_its_timeout(setup: Setup):
    """Nobody knows how long the policy takes, so that timeouts of queries are long."""
    setup.links.answer_s = 60.0
    setup.links.liveness_by_address["p1"] = [Liveness.SILENT]
    result, took_s = setup.query()
    assert isinstance(result.error, PeerFailure)
    assert result.error.reason == PEER_SILENT
    assert took_s == pytest.approx(2 * LIVENESS_TIMEOUT_S)
    assert setup.health.available() == []


def test_a_peer_that_misses_one_probe_keeps_its_call(setup: Setup):
    """A busy host may answer late."""
    setup.links.liveness_by_address["p1"] = [Liveness.SILENT, Liveness.ANSWERS]
    result, took_s = setup.query()
    assert result.is_ok()
    assert took_s == pytest.approx(2.0)
    assert setup.health.available() == ["p1"]


def test_a_peer_that_was_heard_lately_is_probed_only_if_it_is_slow(setup: Setup):
    """In a busy cell, queries cost no probes."""
    setup.health.answered("p1")
    setup.links.answer_s = 0.5
    result, _ = setup.query()
    assert result.is_ok()
    assert setup.links.probes == 0


def test_a_peer_that_comes_back_is_found_by_a_probe(setup: Setup):
    """The probe at the end of an ejection is not a caller's work."""
    setup.links.answer_s = 60.0
    setup.links.liveness_by_address["p1"] = [Liveness.SILENT]
    setup.query()
    setup.run(30.0)
    assert setup.health.available() == []
    setup.links.liveness_by_address["p1"] = [Liveness.ANSWERS]
    setup.run(LONGEST_EJECTION_S)
    assert setup.health.available() == ["p1"]


def test_a_peer_whose_row_is_gone_is_probed_no_more(setup: Setup):
    """Probes of members that were replaced long ago must not add up."""
    setup.links.answer_s = 60.0
    setup.links.liveness_by_address["p1"] = [Liveness.SILENT]
    setup.query()
    setup.health.set_peers([])
    setup.run(1.0)
    probes = setup.links.probes
    setup.run(60.0)
    assert setup.links.probes == probes


def test_peers_that_are_known_to_be_silent_are_not_waited_for(setup: Setup):
    """An owner that the table does not answer asks its peers again and again."""
    rows = [MemberRow("one", "p1"), MemberRow("two", "p2")]
    setup.health.set_peers(["p1", "p2"])
    setup.links.liveness_by_address["p1"] = [Liveness.SILENT]
    ask = setup.calls.owner_row_ages(rows, max_age_s=0.7)
    assert setup.loop.run_until_complete(ask) == [None, 60.0]
    began_s = setup.loop.time()
    ask = setup.calls.owner_row_ages(rows, max_age_s=0.7)
    assert setup.loop.run_until_complete(ask) == [None, 60.0]
    assert setup.loop.time() - began_s < 0.01
