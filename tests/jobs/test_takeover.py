"""Takeovers: a new owner continues with the state in the table and on the workers."""

from __future__ import annotations

from contextlib import closing

import pytest
from attrs import evolve

from redwingrun.jobs.progress import JobState
from tests.helpers import DOWN
from tests.jobs.cluster import QUEUE, SimulatedCluster, job, job_id, make_cluster, step


@pytest.fixture
def cluster():
    """Return a cluster with three members and three workers."""
    made = make_cluster()
    yield made
    made.close()


def test_a_job_of_two_steps_completes(cluster: SimulatedCluster):
    """The steps run in order, and the job's final state is reported."""
    cluster.submit(job_id(1), job(step(3, 0.5), step(2, 0.5, after=(0,))))
    cluster.run(3.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_finished_job_is_not_run_again_after_the_history_is_truncated(
    cluster: SimulatedCluster,
):
    """After a takeover the new owner reads all submissions again."""
    cluster.submit(job_id(1), job(step(3, 0.5)))
    cluster.run(2.0)
    cluster.kill(cluster.owner_name())
    cluster.run(5.0)
    cluster.history_from = cluster.rows.version + 1
    cluster.submit(job_id(2), job(step(1, 0.5)))
    cluster.run(3.0)
    assert cluster.state(job_id(2)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_running_tasks_survive_the_death_of_the_owner(cluster: SimulatedCluster):
    """They keep running, and the next step starts under the new owner."""
    cluster.submit(job_id(1), job(step(3, 4.0), step(2, 0.5, after=(0,))))
    cluster.run(1.0)
    cluster.kill(cluster.owner_name())
    cluster.run(8.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 5
    assert cluster.all_violations() == []


def test_tasks_of_a_worker_that_crashed_with_the_owner_are_restarted(
    cluster: SimulatedCluster,
):
    """The new owner never reaches the worker, and waits until its lease expires."""
    cluster.submit(job_id(1), job(step(6, 4.0)))
    cluster.run(1.0)
    cluster.worker_by_id["i-1"].crash()
    cluster.kill(cluster.owner_name())
    cluster.run(25.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_tasks_of_an_unreachable_worker_are_restarted(cluster: SimulatedCluster):
    """Heartbeats to an unreachable worker do not renew its lease."""
    cluster.submit(job_id(1), job(step(6, 4.0)))
    cluster.run(1.0)
    cluster.worker_by_id["i-1"].cut.update(cluster.member_by_name)
    cluster.run(20.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_new_owner_moves_tasks_off_workers_that_drain(
    cluster: SimulatedCluster,
):
    """Two of three workers begin to drain at the takeover; all tasks are lasting."""
    cluster.submit(job_id(1), job(step(3, 1000.0, lasting=True)))
    cluster.run(1.0)
    cluster.kill(cluster.owner_name())
    for worker in list(cluster.worker_by_id.values())[:2]:
        worker.info = evolve(worker.info, draining=True)
    cluster.run(6.0)
    where = {worker for runs in cluster.live_runs.values() for worker in runs.values()}
    assert where == {"i-3"}
    assert cluster.all_violations() == []


def test_the_next_owner_starts_within_two_seconds_of_a_kill(cluster: SimulatedCluster):
    """The probe of the owner's address detects the kill before the failure timeout."""
    cluster.kill(cluster.owner_name())
    killed_s = cluster.loop.time()
    cluster.submit(job_id(1), job(step(1, 0.5)))
    cluster.run(4.0)
    assert cluster.starts[0][0] - killed_s < 2.0
    assert cluster.all_violations() == []


def test_an_owner_that_loses_the_table_hands_over_within_two_and_a_half_seconds(
    cluster: SimulatedCluster,
):
    """An owner that does not reach the table asks a peer to claim the slice."""
    before = cluster.owner_name()
    cluster.process_by_name[before].table_mode = DOWN
    cut_s = cluster.loop.time()
    cluster.run(0.2)
    cluster.submit(job_id(1), job(step(1, 0.5)))
    cluster.run(5.0)
    assert cluster.starts[0][0] - cut_s < 2.5
    assert cluster.all_violations() == []


def test_job_counts_are_unknown_while_a_new_owner_loads():
    """Guards against a count of zero while jobs wait.

    Members once reported that no job was waiting, while fifty were and the new owner
    was still loading them.
    """
    with closing(make_cluster(members=2, workers=1)) as cluster:
        for number in range(10):
            cluster.submit(job_id(number + 1), job(step(8, 20.0)))
        cluster.run(2.0)
        waiting_count = [
            member.waiting_count(QUEUE) for member in cluster.member_by_name.values()
        ]
        assert waiting_count == [9, 9]
        cluster.registry_is_unavailable = True
        cluster.kill(cluster.owner_name())
        (left,) = cluster.member_by_name.values()
        seen = []
        for _ in range(40):
            cluster.run(0.2)
            seen.append(left.waiting_count(QUEUE))
        assert cluster.claim_count() == 2
        assert set(seen) <= {9, None}
        assert seen[-1] is None
        cluster.registry_is_unavailable = False
        cluster.run(2.0)
        assert left.waiting_count(QUEUE) == 9


@pytest.mark.parametrize("members", range(3, 7))
def test_the_probe_of_a_frozen_owner_does_not_delay_a_claim(members: int):
    """The frozen host accepts the probe's call and does not answer it."""
    with closing(make_cluster(members=members)) as cluster:
        cluster.run(3.0)
        frozen = cluster.owner_name()
        cluster.process_by_name[frozen].resumed.clear()
        cluster.run(2.0)
        owners = [
            name for name, item in cluster.member_by_name.items() if item.is_owner
        ]
        assert len(owners) == 2


@pytest.mark.parametrize("members", range(3, 7))
def test_an_owner_that_is_silent_on_both_ways_is_succeeded_early(members: int):
    """Neither its row changes nor does it answer a probe: its host lost power, say.

    Until the next owner claims, no task starts: at a large slice this is most of what a
    loss of the owner costs.
    """
    with closing(make_cluster(members=members)) as cluster:
        cluster.run(3.0)
        frozen = cluster.owner_name()
        cluster.process_by_name[frozen].resumed.clear()
        cluster.run(1.6)
        owners = [
            name for name, item in cluster.member_by_name.items() if item.is_owner
        ]
        assert len(owners) == 2


def test_an_owner_that_answers_the_probe_is_given_more_time():
    """Its renewals may be delayed, for example by many changes in its partition."""
    with closing(make_cluster()) as cluster:
        cluster.run(3.0)
        claims = cluster.claim_count()
        owner = cluster.owner_name()
        # Only the owner takes calls, so it can't ask another member to claim.
        member = cluster.open_member_by_name[owner]
        cluster.open_member_by_name = {owner: member}
        cluster.process_by_name[owner].table_mode = DOWN
        cluster.run(1.2)
        assert cluster.claim_count() == claims
