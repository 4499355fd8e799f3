"""Tests of how submissions are spread over the partitions of a slow table."""

from __future__ import annotations

import random

from redwingrun.jobs.rowkeys import job_partitions

# A transaction of 3 ms, in a table that has become a hundred times slower.
SLOW_TRANSACTION_S = 0.3
SUBMISSIONS_PER_S = 60
SECONDS = 6


def waits_of_submissions() -> list[float]:
    """Return how long each submission takes until its partition has stored it.

    A partition applies one transaction after the other.
    """
    random.seed(4)
    free_at_s_by_partition: dict[str, float] = {}
    waits = []
    for number in range(SUBMISSIONS_PER_S * SECONDS):
        arrived_s = number / SUBMISSIONS_PER_S
        partition, _ = job_partitions("s0", f"{random.getrandbits(64):016x}")
        begin_s = max(arrived_s, free_at_s_by_partition.get(partition, 0.0))
        free_at_s_by_partition[partition] = begin_s + SLOW_TRANSACTION_S
        waits.append(begin_s + SLOW_TRANSACTION_S - arrived_s)
    return sorted(waits)


def test_submissions_of_a_large_cell_are_stored_in_time_by_a_slow_table():
    """With 16 partitions most of them were stored after their clients had left."""
    waits = waits_of_submissions()
    assert waits[int(0.95 * len(waits))] < 2.0


def test_the_second_partition_of_a_job_is_another_one():
    """It is used while the first one does not answer."""
    for number in range(200):
        first, second = job_partitions("s0", f"{number:016x}")
        assert first != second
