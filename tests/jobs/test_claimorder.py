"""Tests of the order in which members claim a slice."""

from __future__ import annotations

import pytest

from redwingrun.coordination.clock import ManualClock
from redwingrun.coordination.codec import encode
from redwingrun.coordination.table import Row
from redwingrun.jobs.claimorder import (
    CLAIM_INTERVAL_S,
    FAST_HOST_POSITIONS,
    ClaimOrder,
)
from redwingrun.jobs.peerhealth import PeerHealth
from redwingrun.jobs.peerlist import MemberRow, PeerList

LATE_S = CLAIM_INTERVAL_S * (FAST_HOST_POSITIONS + 1)


@pytest.fixture
def health():
    """Return what a member on a slow host knows of the only faster one."""
    made = PeerHealth("slow", ManualClock(100.0))
    made.set_peers(["fast"])
    return made


@pytest.fixture
def order(health: PeerHealth):
    """Return the order of claims as that member sees it."""
    peers = PeerList(MemberRow("slow", "slow", 0.4))
    peers.update([Row("members/s0/fast", encode(MemberRow("fast", "fast", 2.0)), 1)])
    return ClaimOrder("slow", peers, health)


def test_a_member_on_a_slow_host_lets_a_faster_one_claim_first(order: ClaimOrder):
    """The slice is better owned there."""
    assert order.claim_delay_s() >= LATE_S
    assert order.probe_delay_s() > 0


def test_a_faster_member_that_is_silent_is_not_waited_for(
    order: ClaimOrder, health: PeerHealth
):
    """Its row kept all others in the late half for ever."""
    health.failed("fast")
    assert order.probe_delay_s() == 0
    health.answered("fast")
    assert order.probe_delay_s() > 0
