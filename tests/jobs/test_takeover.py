"""A new owner goes on where the old one was, from the table and the workers alone."""

from __future__ import annotations

from contextlib import closing

import pytest
from attrs import evolve

from redwingrun.jobs.progress import JobState
from tests.helpers import DOWN
from tests.jobs.cluster import QUEUE, SimulatedCluster, job, job_id, make_cluster, step


@pytest.fixture
def cluster():
    """Return a world with three members and three minions."""
    made = make_cluster()
    yield made
    made.close()


def test_a_job_of_two_steps_completes(cluster: SimulatedCluster):
    """Steps run in their order and the state is told."""
    cluster.submit(job_id(1), job(step(3, 0.5), step(2, 0.5, after=(0,))))
    cluster.run(3.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_finished_job_stays_finished_when_the_history_is_lost(
    cluster: SimulatedCluster,
):
    """After a takeover, reading everything again makes no finished job new."""
    cluster.submit(job_id(1), job(step(3, 0.5)))
    cluster.run(2.0)
    cluster.kill(cluster.owner_name())
    cluster.run(5.0)
    cluster.history_from = cluster.rows.version + 1
    cluster.submit(job_id(2), job(step(1, 0.5)))
    cluster.run(3.0)
    assert cluster.state(job_id(2)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_work_goes_on_when_the_owner_is_killed(cluster: SimulatedCluster):
    """Tasks that run keep running, and the next step starts under the new owner."""
    cluster.submit(job_id(1), job(step(3, 4.0), step(2, 0.5, after=(0,))))
    cluster.run(1.0)
    cluster.kill(cluster.owner_name())
    cluster.run(8.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 5
    assert cluster.all_violations() == []


def test_work_on_a_worker_that_left_with_the_owner_is_started_again(
    cluster: SimulatedCluster,
):
    """A worker that the new owner never sees keeps its tasks only for a lease."""
    cluster.submit(job_id(1), job(step(6, 4.0)))
    cluster.run(1.0)
    cluster.minion_by_id["i-1"].crash()
    cluster.kill(cluster.owner_name())
    cluster.run(25.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_work_on_a_worker_that_falls_silent_is_started_again(cluster: SimulatedCluster):
    """Asking a silent worker again and again does not renew what runs there."""
    cluster.submit(job_id(1), job(step(6, 4.0)))
    cluster.run(1.0)
    cluster.minion_by_id["i-1"].cut.update(cluster.member_by_name)
    cluster.run(20.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_work_on_a_leaving_worker_moves_although_the_owner_is_new(
    cluster: SimulatedCluster,
):
    """Lasting tasks leave a draining worker that a new owner finds so."""
    cluster.submit(job_id(1), job(step(3, 1000.0, lasting=True)))
    cluster.run(1.0)
    cluster.kill(cluster.owner_name())
    for minion in list(cluster.minion_by_id.values())[:2]:
        minion.info = evolve(minion.info, draining=True)
    cluster.run(6.0)
    where = {worker for runs in cluster.live.values() for worker in runs.values()}
    assert where == {"i-3"}
    assert cluster.all_violations() == []


def test_the_next_owner_starts_within_two_seconds_of_a_kill(cluster: SimulatedCluster):
    """A killed owner is looked for at its address before its row is given up."""
    cluster.kill(cluster.owner_name())
    killed_s = cluster.loop.time()
    cluster.submit(job_id(1), job(step(1, 0.5)))
    cluster.run(4.0)
    assert cluster.starts[0][0] - killed_s < 2.0
    assert cluster.all_violations() == []


def test_an_owner_without_the_table_is_followed_within_two_and_a_half_seconds(
    cluster: SimulatedCluster,
):
    """An owner that is cut from the table asks a peer to follow it."""
    before = cluster.owner_name()
    cluster.process_by_name[before].table_mode = DOWN
    cut_s = cluster.loop.time()
    cluster.run(0.2)
    cluster.submit(job_id(1), job(step(1, 0.5)))
    cluster.run(5.0)
    assert cluster.starts[0][0] - cut_s < 2.5
    assert cluster.all_violations() == []


def test_counts_are_unknown_while_a_new_owner_does_not_know_all_jobs():
    """Fifty wait, and the members said none while the new owner was reading."""
    with closing(make_cluster(members=2, minions=1)) as cluster:
        for number in range(10):
            cluster.submit(job_id(number + 1), job(step(8, 20.0)))
        cluster.run(2.0)
        waiting_count = [
            member.waiting_count(QUEUE) for member in cluster.member_by_name.values()
        ]
        assert waiting_count == [9, 9]
        cluster.registry_is_dark = True
        cluster.kill(cluster.owner_name())
        (left,) = cluster.member_by_name.values()
        seen = []
        for _ in range(40):
            cluster.run(0.2)
            seen.append(left.waiting_count(QUEUE))
        assert cluster.claim_count() == 2
        assert set(seen) <= {9, None}
        assert seen[-1] is None
        cluster.registry_is_dark = False
        cluster.run(2.0)
        assert left.waiting_count(QUEUE) == 9


@pytest.mark.parametrize("members", range(3, 7))
def test_the_look_for_a_frozen_owner_delays_no_claim(members: int):
    """Its host takes the call and nothing answers; the silence alone decides."""
    with closing(make_cluster(members=members)) as cluster:
        cluster.run(3.0)
        frozen = cluster.owner_name()
        cluster.process_by_name[frozen].paused.clear()
        cluster.run(2.0)
        owners = [
            name for name, item in cluster.member_by_name.items() if item.is_owner
        ]
        assert len(owners) == 2
