"""Single faults of workers and of the table."""

from __future__ import annotations

import pytest
from attrs import evolve

from redwingrun.coordination.verdict import Verdict
from redwingrun.jobs.backlog import submission_bytes
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import Submission, encode_submission
from tests.helpers import DOWN, LOST_ANSWER
from tests.jobs.cluster import QUEUE, SimulatedCluster, job, job_id, make_cluster, step


@pytest.fixture
def cluster():
    """Return a cluster with three members and three workers."""
    made = make_cluster()
    yield made
    made.close()


def submit_at(cluster: SimulatedCluster, name: str, number: int):
    """Submit a job at a given member, and return the result."""
    spec = job(step(2, 0.5))
    submission = Submission(QUEUE, spec, int(cluster.loop.time() * 1000))
    cluster.submission_by_job[job_id(number)] = submission
    member = cluster.member_by_name[name]
    work = member.jobs.submit(
        job_id(number), encode_submission(submission), 2.8, submission_bytes(spec)
    )
    return cluster.loop.run_until_complete(work)


def test_tasks_without_progress_are_moved(cluster: SimulatedCluster):
    """The tasks of a worker that hangs are restarted on other workers."""
    cluster.worker_by_id["i-1"].hangs = True
    cluster.submit(job_id(1), job(step(6, 1.0)))
    cluster.run(8.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_member_without_the_table_accepts_a_job_through_a_peer(
    cluster: SimulatedCluster,
):
    """A peer stores the submission, and the job runs."""
    name = next(n for n in cluster.member_by_name if n != cluster.owner_name())
    cluster.process_by_name[name].table_mode = DOWN
    cluster.run(3.0)
    assert submit_at(cluster, name, 1).is_ok()
    cluster.run(3.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED


def test_an_owner_without_the_table_is_succeeded_by_a_peer(
    cluster: SimulatedCluster,
):
    """Another member owns the slice within 9 s, and the job completes."""
    before = cluster.owner_name()
    cluster.submit(job_id(1), job(step(3, 4.0), step(1, 0.5, after=(0,))))
    cluster.run(1.0)
    cluster.process_by_name[before].table_mode = DOWN
    cluster.run(9.0)
    assert cluster.owner_name() not in (None, before)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 4
    assert cluster.all_violations() == []


def test_running_tasks_survive_an_outage_of_the_table(
    cluster: SimulatedCluster,
):
    """No member reaches the table: the owner stays, and renews the leases."""
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


def test_lost_answers_of_the_table_do_not_repeat_transactions(
    cluster: SimulatedCluster,
):
    """Each transaction takes effect once, also if its answer is lost."""
    cluster.submit(job_id(1), job(step(3, 1.0), step(3, 1.0, after=(0,))))
    cluster.run(0.5)
    owner = cluster.process_by_name[cluster.owner_name()]
    owner.table_mode = LOST_ANSWER
    cluster.run(2.0)
    owner.table_mode = "ok"
    cluster.run(6.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_delayed_start_does_not_run_a_task_twice(cluster: SimulatedCluster):
    """A start without an answer is settled before the task starts elsewhere."""
    cluster.order_delays_s = [4.0, 4.0, 4.0]
    cluster.submit(job_id(1), job(step(3, 1.0)))
    cluster.run(12.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []


def test_a_job_that_always_fails_ends_after_its_attempts(cluster: SimulatedCluster):
    """No task is started more often than the queue's attempts allow."""
    cluster.failing_jobs.add(job_id(1))
    cluster.submit(job_id(1), job(step(2, 0.3)))
    cluster.run(6.0)
    assert cluster.state(job_id(1)) is JobState.FAILED
    assert cluster.all_violations() == []


def test_a_worker_that_is_unreachable_for_less_than_a_lease_keeps_its_tasks(
    cluster: SimulatedCluster,
):
    """Without new reports a run does not count as stuck; only its lease ends it."""
    cluster.submit(job_id(1), job(step(9, 8.0)))
    cluster.run(1.0)
    worker = cluster.worker_by_id["i-1"]
    worker.cut.update(cluster.member_by_name)
    cluster.run(4.5)
    worker.cut.clear()
    cluster.run(6.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 9
    assert cluster.all_violations() == []


def test_requests_are_refused_quickly_during_an_outage_of_the_table(
    cluster: SimulatedCluster,
):
    """Of two peers one is frozen: it delays one request only, the other refuses.

    All requests but the slowest must be refused within 0.2 s.
    """
    names = list(cluster.member_by_name)
    for process in cluster.process_by_name.values():
        process.table_mode = DOWN
    cluster.run(2.0)
    cluster.process_by_name[names[1]].resumed.clear()
    took_s = []
    for number in range(6):
        started_s = cluster.loop.time()
        result = submit_at(cluster, names[0], number + 1)
        took_s.append(cluster.loop.time() - started_s)
        assert result.is_error()
        assert result.error.verdict is Verdict.NOT_RUN
    assert sorted(took_s)[-2] < 0.2
    cluster.process_by_name[names[1]].resumed.set()


# Guards against an owner that asks for all changes of the registrations since one
# version, in an answer that never arrives in time: it knew no worker that came later.
def test_a_worker_registered_while_changes_time_out_gets_work(
    cluster: SimulatedCluster,
):
    """The present registrations can be read all the time."""
    cluster.registry_changes_time_out = True
    cluster.run(2.0)
    for worker in list(cluster.worker_by_id.values()):
        worker.crash()
    new = cluster.add_worker()
    cluster.run(3.0)
    cluster.submit(job_id(1), job(step(2, 0.3)))
    cluster.run(2.0)
    assert {worker_id for _, _, worker_id in cluster.starts} == {new.info.worker_id}
    assert cluster.all_violations() == []


# Guards against an exception that no one expects in the follower of the configuration:
# its task ended, and the member kept the version that it had until it was restarted.
def test_the_configuration_is_followed_after_an_unexpected_error(
    cluster: SimulatedCluster,
):
    """The error is logged as a fault, and the member's task is started again."""
    cluster.queues_error = KeyError("schemaVer")
    cluster.run(2.0)
    cluster.queues_error = None
    cluster.queues = evolve(cluster.queues, version=2)
    cluster.run(3.0)
    versions = {name: m.queues.version for name, m in cluster.member_by_name.items()}
    assert versions == {"m0": 2, "m1": 2, "m2": 2}
    assert any("TASK FAILED" in text for text in cluster.violations)
