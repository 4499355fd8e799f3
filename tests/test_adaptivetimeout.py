"""The adaptive timeout."""

from __future__ import annotations

from redwingrun.adaptivetimeout import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    AdaptiveTimeout,
)


def test_a_fast_service_gets_the_minimum_timeout():
    timeout = AdaptiveTimeout()
    for _ in range(20):
        timeout.record_reply(0.005)
    assert timeout.current_s() == MIN_TIMEOUT_S


def test_calls_that_time_out_double_the_timeout_up_to_its_bound_until_an_answer():
    """After an outage a read waited 2.4 s on a connection that gave no answer."""
    for max_timeout_s in (1.0, MAX_TIMEOUT_S):
        timeout = AdaptiveTimeout(max_timeout_s)
        for _ in range(10):
            timeout.record_timeout()
        assert timeout.current_s() == max_timeout_s
        timeout.record_reply(0.005)
        assert timeout.current_s() == MIN_TIMEOUT_S


def test_a_slow_service_gets_a_longer_timeout():
    timeout = AdaptiveTimeout()
    for _ in range(20):
        timeout.record_reply(0.2)
    assert 1.0 < timeout.current_s() <= MAX_TIMEOUT_S
