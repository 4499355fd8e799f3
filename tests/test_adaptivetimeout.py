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


def test_a_bound_for_repeated_timeouts_may_be_higher_than_the_usual_one():
    """A large reply gets more time when it is requested again, up to that bound."""
    timeout = AdaptiveTimeout(1.0, 5.0)
    allowed_s = []
    for _ in range(6):
        allowed_s.append(timeout.current_s())
        timeout.record_timeout()
    assert allowed_s == [0.3, 0.6, 1.2, 2.4, 4.8, 5.0]


def test_a_service_that_is_usually_slower_than_the_bound_gets_more_time():
    """Otherwise the first of two attempts would time out each time."""
    timeout = AdaptiveTimeout(1.0, 5.0)
    for _ in range(60):
        timeout.record_reply(1.5)
    assert 2.5 < timeout.current_s() <= 3.0
