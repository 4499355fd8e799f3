"""The age of the configuration, by which keys are accepted."""

from __future__ import annotations

import math

import pytest

from redwingrun.coordination.clock import ManualClock
from redwingrun.jobs.configfreshness import ConfigFreshness
from redwingrun.logs import Log

TIMEOUT_S = 5.0
# The platform's bound on how slow a clock may run.
SLOWEST_CLOCK = 0.98


def make(timeout_s: float | None = TIMEOUT_S) -> tuple[ManualClock, ConfigFreshness]:
    clock = ManualClock(100.0)
    return clock, ConfigFreshness(clock, Log("test", "quiet"), timeout_s)


def test_nothing_is_fresh_before_the_first_confirmation():
    """Guards against keys that are accepted by a configuration of unknown age."""
    _, freshness = make()
    assert not freshness.is_fresh()
    assert freshness.age_s() == math.inf


def test_age_counts_from_the_question():
    """Guards against a slow answer that makes an old configuration look new."""
    clock, freshness = make()
    asked_s = clock.now()
    clock.advance(3.0)
    freshness.confirm(asked_s, "table")
    assert freshness.age_s() == pytest.approx(3.0)


def test_keys_end_in_time_on_the_slowest_clock():
    """Guards against a revoked key that works on because the clock runs slow."""
    clock, freshness = make()
    freshness.confirm(clock.now(), "table")
    clock.advance(TIMEOUT_S * SLOWEST_CLOCK)
    assert not freshness.is_fresh()


def test_an_older_confirmation_changes_nothing():
    """Answers on different connections may overtake each other."""
    clock, freshness = make()
    freshness.confirm(clock.now(), "table")
    freshness.confirm(clock.now() - 4.0, "peer")
    assert freshness.age_s() == 0


def test_without_a_limit_everything_is_fresh():
    """Guards against refusals in deployments without strict revocation."""
    clock, freshness = make(None)
    assert freshness.is_fresh()
    clock.advance(1000.0)
    assert freshness.is_fresh()
    assert not freshness.is_limited
