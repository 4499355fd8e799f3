"""Troubles of workers and of the table, one at a time."""

from __future__ import annotations

import pytest

from redwingrun.coordination.verdict import Verdict
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import Submission, encode_submission
from tests.helpers import DOWN, LOST_ANSWER
from tests.jobs.cluster import QUEUE, SimulatedCluster, job, job_id, make_cluster, step


@pytest.fixture
def cluster():
    """Return a world with three members and three minions."""
    made = make_cluster()
    yield made
    made.close()


def submit_at(cluster: SimulatedCluster, name: str, number: int):
    """Hand a job to one member and return its result."""
    spec = job(step(2, 0.5))
    submission = Submission(QUEUE, spec, int(cluster.loop.time() * 1000))
    cluster.submissions[job_id(number)] = submission
    member = cluster.member_by_name[name]
    work = member.jobs.submit(job_id(number), encode_submission(submission), 2.8)
    return cluster.loop.run_until_complete(work)


def test_a_task_that_stands_still_is_moved(cluster: SimulatedCluster):
    """A worker whose tasks make no progress loses them to the others."""
    cluster.minion_by_id["i-1"].hangs = True
    cluster.submit(job_id(1), job(step(6, 1.0)))
    cluster.run(8.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_member_that_the_table_turns_away_accepts_through_a_peer(
    cluster: SimulatedCluster,
):
    """The submission is stored by a peer and the job runs."""
    name = next(n for n in cluster.member_by_name if n != cluster.owner_name())
    cluster.process_by_name[name].table_mode = DOWN
    cluster.run(3.0)
    assert submit_at(cluster, name, 1).is_ok()
    cluster.run(3.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED


def test_an_owner_that_the_table_turns_away_is_followed_by_another(
    cluster: SimulatedCluster,
):
    """Within seconds another member owns the slice, and work goes on."""
    before = cluster.owner_name()
    cluster.submit(job_id(1), job(step(3, 4.0), step(1, 0.5, after=(0,))))
    cluster.run(1.0)
    cluster.process_by_name[before].table_mode = DOWN
    cluster.run(9.0)
    assert cluster.owner_name() not in (None, before)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 4
    assert cluster.all_violations() == []


def test_a_table_that_is_away_for_all_leaves_running_work_alone(
    cluster: SimulatedCluster,
):
    """Leases are renewed without the table; the owner stays."""
    before = cluster.owner_name()
    cluster.submit(job_id(1), job(step(3, 12.0)))
    cluster.run(1.0)
    for process in cluster.process_by_name.values():
        process.table_mode = DOWN
    cluster.run(9.0)
    for process in cluster.process_by_name.values():
        process.table_mode = "ok"
    cluster.run(5.0)
    assert cluster.owner_name() == before
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 3
    assert cluster.all_violations() == []


def test_lost_answers_of_the_table_double_nothing(cluster: SimulatedCluster):
    """Each transaction takes effect once, whatever became of its answer."""
    cluster.submit(job_id(1), job(step(3, 1.0), step(3, 1.0, after=(0,))))
    cluster.run(0.5)
    owner = cluster.process_by_name[cluster.owner_name()]
    owner.table_mode = LOST_ANSWER
    cluster.run(2.0)
    owner.table_mode = "ok"
    cluster.run(6.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_late_start_runs_nowhere_else(cluster: SimulatedCluster):
    """A start without an answer is settled before its task goes elsewhere."""
    cluster.order_delays_s = [4.0, 4.0, 4.0]
    cluster.submit(job_id(1), job(step(3, 1.0)))
    cluster.run(12.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_job_that_always_fails_ends_after_its_attempts(cluster: SimulatedCluster):
    """No run is started beyond the attempts."""
    cluster.failing_jobs.add(job_id(1))
    cluster.submit(job_id(1), job(step(2, 0.3)))
    cluster.run(6.0)
    assert cluster.state(job_id(1)) is JobState.FAILED
    assert cluster.all_violations() == []


def test_a_worker_that_is_not_heard_for_a_while_keeps_its_tasks(
    cluster: SimulatedCluster,
):
    """Old reports say nothing about progress: only a lease ends such a run."""
    cluster.submit(job_id(1), job(step(9, 8.0)))
    cluster.run(1.0)
    minion = cluster.minion_by_id["i-1"]
    minion.cut.update(cluster.member_by_name)
    cluster.run(4.5)
    minion.cut.clear()
    cluster.run(6.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 9
    assert cluster.all_violations() == []


def test_a_request_is_refused_at_once_while_the_table_is_away_for_all(
    cluster: SimulatedCluster,
):
    """A peer that does not answer holds up one request, not each; the other says no."""
    names = list(cluster.member_by_name)
    for process in cluster.process_by_name.values():
        process.table_mode = DOWN
    cluster.run(2.0)
    cluster.process_by_name[names[1]].paused.clear()
    took_s = []
    for number in range(6):
        begun_s = cluster.loop.time()
        result = submit_at(cluster, names[0], number + 1)
        took_s.append(cluster.loop.time() - begun_s)
        assert result.is_error()
        assert result.error.verdict is Verdict.NOT_RUN
    assert sorted(took_s)[-2] < 0.2
    cluster.process_by_name[names[1]].paused.set()
