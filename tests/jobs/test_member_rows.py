"""Tests of the rows of members that are gone: over years, hosts are replaced often."""

from __future__ import annotations

import math
from contextlib import closing

import pytest

from redwingrun.coordination.table import Transaction, Write
from redwingrun.jobs import peerdirectory
from redwingrun.jobs.peerdirectory import PeerDirectory
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.rowkeys import last_segment, members_prefix
from tests.helpers import DOWN, OK
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step

MEMBERS = 4
# The intervals of the directory, divided by this: the tests are faster so.
SPEED_UP = 10
LOST_AFTER_S = peerdirectory.LOST_AFTER_S / SPEED_UP
RENEWAL_INTERVAL_S = peerdirectory.RENEWAL_INTERVAL_S / SPEED_UP
REMOVAL_INTERVAL_S = peerdirectory.REMOVAL_INTERVAL_S / SPEED_UP
# Members see a change of the rows at the latest after this.
READ_S = peerdirectory.READ_INTERVAL_S + peerdirectory.READ_WAIT_S
REMOVED_WITHIN_S = READ_S + LOST_AFTER_S + 3 * REMOVAL_INTERVAL_S
REPLACEMENT_INTERVAL_S = 300.0 / SPEED_UP
PREFIX = members_prefix("s0")


@pytest.fixture(autouse=True)
def speed_up(monkeypatch):
    """Divide the intervals."""
    for name in ("LOST_AFTER_S", "RENEWAL_INTERVAL_S", "REMOVAL_INTERVAL_S"):
        monkeypatch.setattr(peerdirectory, name, globals()[name])


@pytest.fixture
def cluster(speed_up):
    """Return a cluster of four members and one worker."""
    with closing(make_cluster(members=MEMBERS, workers=1)) as made:
        made.run(10.0)
        yield made


def names_of_rows(cluster: SimulatedCluster) -> set[str]:
    """Return the names of the members that have a row."""
    return {last_segment(key) for key in cluster.rows.by_key if key.startswith(PREFIX)}


def write_row(cluster: SimulatedCluster, name: str, value: str | None) -> None:
    """Write a member's row from outside, or remove it."""
    cluster.rows.apply(Transaction((), (Write(PREFIX + name, value),)))


def some_member(cluster: SimulatedCluster) -> str:
    """Return a member that does not own the slice."""
    return next(
        name for name in sorted(cluster.member_by_name) if name != cluster.owner_name()
    )


def test_the_row_of_a_lost_member_is_removed(cluster: SimulatedCluster):
    """Rows of replaced hosts were kept and asked for ever."""
    name = some_member(cluster)
    cluster.lose_host(name)
    cluster.run(LOST_AFTER_S - RENEWAL_INTERVAL_S)
    assert name in names_of_rows(cluster)
    cluster.run(REMOVED_WITHIN_S - LOST_AFTER_S + RENEWAL_INTERVAL_S)
    assert names_of_rows(cluster) == set(cluster.member_by_name)
    assert len(cluster.member_by_name) == MEMBERS - 1
    calls = len(cluster.calls_to_lost_hosts)
    cluster.run(60.0)
    assert len(cluster.calls_to_lost_hosts) == calls


def test_members_that_live_keep_their_rows(cluster: SimulatedCluster):
    """They renew them."""
    cluster.run(REMOVED_WITHIN_S)
    assert names_of_rows(cluster) == set(cluster.member_by_name)
    assert [
        kind for _, _, kind, _ in cluster.log_lines if kind == "member-removed"
    ] == []


def test_a_member_that_answers_is_not_removed(cluster: SimulatedCluster, monkeypatch):
    """Members of the version before renew nothing."""

    async def renew_nothing(directory: PeerDirectory) -> None:
        pass

    monkeypatch.setattr(PeerDirectory, "renew", renew_nothing)
    cluster.add_ready_member("old")
    cluster.run(REMOVED_WITHIN_S)
    assert "old" in names_of_rows(cluster)


def test_a_member_whose_row_is_gone_registers_again(cluster: SimulatedCluster):
    """It may have been cut off, from the owner and from the table, for long."""
    name = some_member(cluster)
    write_row(cluster, name, None)
    cluster.run(20.0)
    assert name in names_of_rows(cluster)


def test_a_removed_member_that_lives_keeps_its_work(cluster: SimulatedCluster):
    """The removal of a row ends discovery and nothing else: here the owner's own."""
    cluster.submit(job_id(1), job(step(2, 30.0)))
    cluster.run(5.0)
    owner = cluster.owner_name()
    write_row(cluster, owner, None)
    cluster.run(40.0)
    assert cluster.owner_name() == owner
    assert owner in names_of_rows(cluster)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_silent_table_removes_nobody(cluster: SimulatedCluster):
    """No renewal is read while the table does not answer, from whichever member."""
    for process in cluster.process_by_name.values():
        process.table_mode = DOWN
    cluster.run(REMOVED_WITHIN_S)
    cut_off = min(cluster.member_by_name)
    cluster.isolated_members.add(cut_off)
    for process in cluster.process_by_name.values():
        process.table_mode = OK
    cluster.run(2 * REMOVAL_INTERVAL_S)
    assert names_of_rows(cluster) == set(cluster.member_by_name)


def test_rows_do_not_add_up_while_hosts_are_replaced(cluster: SimulatedCluster):
    """A host is replaced every five minutes here, at a new address."""
    most = 0
    for number in range(8):
        name = some_member(cluster)
        cluster.lose_host(name)
        cluster.add_ready_member(f"new{number}")
        cluster.run(REPLACEMENT_INTERVAL_S)
        most = max(most, len(names_of_rows(cluster)))
    assert most <= MEMBERS + math.ceil(REMOVED_WITHIN_S / REPLACEMENT_INTERVAL_S)
    assert cluster.all_violations() == []


def test_damaged_rows_are_left(cluster: SimulatedCluster):
    """They may be of another version or another writer."""
    write_row(cluster, "odd", "{")
    cluster.run(REMOVED_WITHIN_S)
    assert "odd" in names_of_rows(cluster)
