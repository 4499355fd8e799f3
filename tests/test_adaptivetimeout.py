"""The time-out that follows the answers."""

from __future__ import annotations

from redwingrun.adaptivetimeout import LONGEST_S, SHORTEST_S, AdaptiveTimeout


def test_a_quick_service_is_given_up_on_soon():
    timeout = AdaptiveTimeout()
    for _ in range(20):
        timeout.record_answer(0.005)
    assert timeout.current_s() == SHORTEST_S


def test_silence_stretches_it_up_to_its_bound_and_an_answer_ends_that():
    """After an outage a reading waited 2.4 s on a connection that stayed silent."""
    for longest_s in (1.0, LONGEST_S):
        timeout = AdaptiveTimeout(longest_s)
        for _ in range(10):
            timeout.record_timeout()
        assert timeout.current_s() == longest_s
        timeout.record_answer(0.005)
        assert timeout.current_s() == SHORTEST_S


def test_a_slow_service_gets_the_time_that_it_needs():
    timeout = AdaptiveTimeout()
    for _ in range(20):
        timeout.record_answer(0.2)
    assert 1.0 < timeout.current_s() <= LONGEST_S
