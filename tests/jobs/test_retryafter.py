"""Tests of when refused clients are told to come again, without a network."""

from __future__ import annotations

import random

import pytest

from redwingrun.jobs.retryafter import RetryAfter
from tests.helpers import DOWN, OK
from tests.jobs.cluster import SimulatedCluster, make_cluster

RETRIES = 4
# A client must be back so soon after the end of an outage.
MAX_S = 3
FIRST_ATTEMPTS_S = [0.05 * number for number in range(20)]
SEEDS = range(50)


def make_retry_after(seed: int) -> RetryAfter:
    """Return the class under test with reproducible draws."""
    return RetryAfter(random.Random(seed))


def served_s(outage_s: float, first_attempt_s: float, seed: int) -> float | None:
    """Return when a client is served that honours each wait; ``None`` if never.

    :param outage_s: length of the outage, which begins at 0.
    :param first_attempt_s: when the client sends its request.
    """
    retry_after = make_retry_after(seed)
    now_s = first_attempt_s
    for _ in range(RETRIES):
        if now_s >= outage_s:
            return now_s
        now_s += retry_after.seconds(now_s)
    return now_s if now_s >= outage_s else None


# Guards against clients that use up their retries while the table is away, although
# workers are free: each was told to come again after 1 s.
@pytest.mark.parametrize("outage_s", [1.0, 4.0, 5.0])
def test_four_retries_outlast_an_outage(outage_s: float):
    """Whenever the client comes first, from the beginning of the outage on."""
    for seed in SEEDS:
        for offset_s in FIRST_ATTEMPTS_S:
            first_attempts_s = (offset_s, offset_s * outage_s)
            for first_attempt_s in first_attempts_s:
                assert served_s(outage_s, first_attempt_s, seed) is not None


# Guards against clients that are kept away for long after the table is back.
@pytest.mark.parametrize("outage_s", [1.0, 4.0, 9.0])
def test_clients_are_not_kept_away_much_longer_than_the_outage(outage_s: float):
    """Most work is of use only within a few seconds, also after a long outage."""
    for seed in SEEDS:
        for offset_s in FIRST_ATTEMPTS_S:
            at_s = served_s(outage_s, offset_s * outage_s, seed)
            if at_s is not None:
                assert at_s - outage_s <= MAX_S


# Guards against a load peak after each outage from clients that were refused together.
@pytest.mark.parametrize("age_s", [2.5, 4.0, 8.0, 60.0])
def test_clients_that_were_refused_together_return_at_different_times(age_s: float):
    """No single second gets more than two thirds of them."""
    retry_after = make_retry_after(1)
    waits = [retry_after.seconds(age_s) for _ in range(600)]
    assert max(waits.count(value) for value in set(waits)) <= 400


def test_wait_is_one_second_while_the_table_answers():
    """A refusal with another cause must not keep clients away."""
    retry_after = make_retry_after(1)
    assert {retry_after.seconds(0.0) for _ in range(100)} == {1}


def test_wait_is_bounded():
    """Guards against clients that stay away for minutes after a long outage."""
    retry_after = make_retry_after(1)
    for age_s in (0.1, 1.0, 7.9, 8.0, 3600.0):
        waits = {retry_after.seconds(age_s) for _ in range(100)}
        assert min(waits) >= 1
        assert max(waits) <= MAX_S


def set_table_mode(cluster: SimulatedCluster, mode: str) -> None:
    """Set how the table answers all members."""
    for process in cluster.process_by_name.values():
        process.table_mode = mode


def test_members_know_the_age_of_an_outage():
    """It is 0 while the table answers, and else the time since its last answer."""
    cluster = make_cluster()
    try:
        members = list(cluster.member_by_name.values())
        assert [member.table_outage_s() for member in members] == [0, 0, 0]
        set_table_mode(cluster, DOWN)
        cluster.run(4.0)
        for member in members:
            assert 3.5 < member.table_outage_s() < 4.5
        set_table_mode(cluster, OK)
        cluster.run(2.0)
        assert [member.table_outage_s() for member in members] == [0, 0, 0]
    finally:
        cluster.close()
