"""Tests of how members follow the list of their peers.

Each member used to read all rows every three seconds: among 97 members that was most of
what the table sent.
"""

from __future__ import annotations

from contextlib import closing

import pytest

from tests.helpers import DOWN
from tests.jobs.cluster import SimulatedCluster, make_cluster
from tests.jobs.clusterports import SimulatedTable

MEMBERS = 4


@pytest.fixture
def cluster():
    """Return a cluster whose members have known each other for a while."""
    with closing(make_cluster(members=MEMBERS)) as made:
        made.run(10.0)
        yield made


def peers_of(cluster: SimulatedCluster, name: str) -> set[str]:
    """Return the addresses of a member's peers, which are their names here."""
    return set(cluster.member_by_name[name].peer_addresses())


def test_the_list_is_not_read_again_while_it_does_not_change(
    cluster: SimulatedCluster, monkeypatch
):
    """What a member reads must not grow with the number of members."""
    scanned = []
    scan = SimulatedTable.scan
    monkeypatch.setattr(
        SimulatedTable,
        "scan",
        lambda table, prefix: scanned.append(prefix) or scan(table, prefix),
    )
    cluster.run(60.0)
    assert [prefix for prefix in scanned if prefix.startswith("members/")] == []


def test_a_member_that_joins_is_known_within_seconds(cluster: SimulatedCluster):
    """The feed reports it."""
    cluster.add_ready_member("new")
    cluster.run(5.0)
    for number in range(MEMBERS):
        assert "new" in peers_of(cluster, f"m{number}")


def test_a_member_that_leaves_is_removed_from_the_lists(cluster: SimulatedCluster):
    """Peers used to keep it for ever, and to send it requests and policy queries."""
    cluster.leave("m3")
    cluster.run(15.0)
    for number in range(MEMBERS - 1):
        assert peers_of(cluster, f"m{number}") == {"m0", "m1", "m2"} - {f"m{number}"}


def test_a_late_removal_does_not_remove_a_restarted_member(cluster: SimulatedCluster):
    """The table may carry out a transaction seconds after the call."""
    cluster.process_by_name["m3"].table_mode = "late"
    cluster.leave("m3")
    cluster.add_ready_member("m3", speed=2.0)
    cluster.run(20.0)
    assert "m3" in peers_of(cluster, "m0")


def test_the_list_is_read_again_after_an_outage(cluster: SimulatedCluster):
    """Changes may have been missed meanwhile."""
    cluster.process_by_name["m0"].table_mode = DOWN
    cluster.add_ready_member("new")
    cluster.history_from = cluster.rows.version + 1
    cluster.run(5.0)
    cluster.process_by_name["m0"].table_mode = "ok"
    cluster.run(16.0)
    assert "new" in peers_of(cluster, "m0")
