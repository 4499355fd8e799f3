"""Tasks that crash the workers that start them."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from redwingrun.jobs.evidence import LeaseExpired, OtherWorkerAtAddress
from redwingrun.jobs.progress import JobProgress, JobState, TaskState
from redwingrun.jobs.spec import Submission
from redwingrun.jobs.workerpool import WorkerReport
from tests.helpers import DOWN, OK
from tests.jobs.cluster import (
    CRASHES_BEFORE_LIMIT,
    QUEUE,
    STARTS_AFTER_CRASHES,
    SimulatedCluster,
    job,
    job_id,
    make_cluster,
    step,
)
from tests.jobs.test_workerreports import EngineHarness

PRIMARY = "s0"
CRASHING = 50
OTHER_JOBS = 8


@pytest.fixture
def cluster() -> Iterator[SimulatedCluster]:
    """Return a cluster with three members and eight workers."""
    made = make_cluster(workers=8)
    yield made
    made.close()


def submit_beside_others(cluster: SimulatedCluster, **more: object) -> None:
    """Submit a job whose first task crashes workers, and others beside it."""
    for number in range(OTHER_JOBS):
        cluster.submit(job_id(number), job(step(3, 1.0), step(2, 1.0, after=(0,))))
    cluster.crashing_jobs.add(job_id(CRASHING))
    cluster.submit(job_id(CRASHING), job(step(4, 1.0, **more)))
    for number in range(OTHER_JOBS, 2 * OTHER_JOBS):
        cluster.submit(job_id(number), job(step(3, 1.0)))


def check(cluster: SimulatedCluster, expected: JobState = JobState.FAILED) -> None:
    """Check that the crashing job was given up, and that the others completed."""
    assert cluster.all_violations() == []
    assert cluster.state(job_id(CRASHING)) is expected
    states = {cluster.state(job_id(number)) for number in range(2 * OTHER_JOBS)}
    assert states == {JobState.COMPLETED}


# Guards against a task that crashes one worker after the other: it was started anew
# until the end of the day, 39 times.
@pytest.mark.parametrize(
    "more", [{}, {"gang": True}, {"lasting": True}], ids=["task", "gang", "lasting"]
)
def test_a_task_that_crashes_workers_is_given_up(cluster: SimulatedCluster, more: dict):
    submit_beside_others(cluster, **more)
    cluster.run(40.0)
    check(cluster)


# Guards against the same by tasks that crash workers some time after their start, when
# other tasks have started beside them.
@pytest.mark.parametrize("delay_s", [0.3, 0.7, 2.0, 4.0])
def test_a_task_that_crashes_workers_later_is_given_up(
    cluster: SimulatedCluster, delay_s: float
):
    cluster.crash_delay_s = delay_s
    for number in range(2 * OTHER_JOBS):
        cluster.submit(job_id(number), job(step(3, 1.0), step(2, 1.0, after=(0,))))
    cluster.crashing_jobs.add(job_id(CRASHING))
    cluster.submit(job_id(CRASHING), job(step(2, 6.0)))
    for number in range(20):
        cluster.submit(job_id(100 + number), job(step(2, 1.0)))
        cluster.run(1.0)
    cluster.run(40.0)
    check(cluster)
    states = {cluster.state(job_id(100 + number)) for number in range(20)}
    assert states == {JobState.COMPLETED}


# Guards against an owner that forgets the crashes which its predecessors saw.
def test_crashes_are_remembered_by_the_next_owner(cluster: SimulatedCluster):
    """The owner is killed after each crash."""
    submit_beside_others(cluster)
    for number in range(12):
        crashes = sum(map(len, cluster.crashes_s_by_task.values()))
        for _ in range(40):
            cluster.run(0.1)
            if sum(map(len, cluster.crashes_s_by_task.values())) > crashes:
                break
        cluster.run(0.3)
        owner = cluster.owner_name()
        if owner:
            cluster.kill(owner)
            cluster.add_ready_member(f"n{number}")
    cluster.run(40.0)
    check(cluster)


# Guards against the same after all members have ended at once.
def test_crashes_are_remembered_after_a_full_restart(cluster: SimulatedCluster):
    """All members are killed some seconds after the first crash, and once more."""
    submit_beside_others(cluster)
    for number in range(2):
        cluster.run(4.0)
        for name in list(cluster.member_by_name):
            cluster.kill(name)
        cluster.run(1.0)
        for place in range(3):
            cluster.add_ready_member(f"r{number}{place}")
    cluster.run(40.0)
    check(cluster)


# Guards against the loss of what is known of crashes while the table does not answer.
def test_crashes_are_remembered_over_an_outage_of_the_table(cluster: SimulatedCluster):
    """The table is away for all from just after the first crash, and the owner ends."""
    submit_beside_others(cluster)
    for _ in range(100):
        cluster.run(0.02)
        if cluster.crashes_s_by_task:
            break
    for process in cluster.process_by_name.values():
        process.table_mode = DOWN
    cluster.run(4.0)
    for process in cluster.process_by_name.values():
        process.table_mode = OK
    cluster.run(3.0)
    cluster.unavailable_partitions = {PRIMARY}
    cluster.run(3.0)
    cluster.kill(cluster.owner_name())
    cluster.run(3.0)
    cluster.unavailable_partitions = set()
    cluster.run(40.0)
    check(cluster)


# Guards against a job that is given up because workers crash beside it.
@pytest.mark.parametrize(
    "more", [{}, {"gang": True}, {"lasting": True}], ids=["task", "gang", "lasting"]
)
def test_a_task_is_not_given_up_for_crashes_that_others_cause(
    cluster: SimulatedCluster, more: dict
):
    """Jobs of 6 s run while ten others crash the workers under them."""
    for number in range(4):
        cluster.submit(job_id(number), job(step(3, 6.0, **more)))
    for number in range(10):
        cluster.run(1.0)
        cluster.crashing_jobs.add(job_id(CRASHING + number))
        cluster.submit(job_id(CRASHING + number), job(step(1, 1.0)))
    cluster.run(90.0)
    assert cluster.all_violations() == []
    for number in range(10):
        assert cluster.state(job_id(CRASHING + number)) is JobState.FAILED
    expected = JobState.RUNNING if more.get("lasting") else JobState.COMPLETED
    assert {cluster.state(job_id(number)) for number in range(4)} == {expected}


# Guards against a crash that is counted for a run which had not started: a job was
# given up after one crash, with two in its record.
def test_a_start_that_was_never_carried_out_is_not_a_crash():
    """A worker ends before the start that a former owner had stored reaches it."""
    harness = EngineHarness(3)
    submission = Submission(QUEUE, job(step(1)), 0)
    harness.engine.add_job(job_id(1), submission, None, harness.now_s)
    for confirmed in (False, True, True):
        (order,) = harness.engine.plan(harness.now_s).starts
        if confirmed:
            harness.engine.start_accepted(order, harness.now_s)
        state = harness.engine.job_by_id[job_id(1)].progress.state
        assert state is JobState.RUNNING
        harness.engine.worker_lost(order.worker_id, OtherWorkerAtAddress(harness.now_s))
        harness.now_s += 1.0
        for name in harness.names:
            harness.report(name, {})
    assert harness.engine.job_by_id[job_id(1)].progress.state is JobState.FAILED


# Guards against a task that crashes its workers before they can answer its start.
def test_a_task_whose_starts_are_never_answered_is_given_up():
    """It is started five times: at most two times more after three crashes."""
    harness = EngineHarness(3)
    submission = Submission(QUEUE, job(step(1)), 0)
    harness.engine.add_job(job_id(1), submission, None, harness.now_s)
    progress = harness.engine.job_by_id[job_id(1)].progress
    starts = 0
    while progress.state is not JobState.FAILED:
        (order,) = harness.engine.plan(harness.now_s).starts
        starts += 1
        harness.engine.worker_lost(order.worker_id, OtherWorkerAtAddress(harness.now_s))
        harness.now_s += 1.0
        for name in harness.names:
            harness.report(name, {})
    assert starts == CRASHES_BEFORE_LIMIT + STARTS_AFTER_CRASHES - 1


# Guards against a job that is given up after one crash of its own, because one of its
# tasks had been beside another job's crash before.
def test_a_crash_that_another_job_may_have_caused_does_not_count_against_a_job():
    """After the first crash the second job is the only one there, twice."""
    harness = EngineHarness(1)
    harness.start_job(step(1))
    other = Submission(QUEUE, job(step(1)), 0)
    harness.engine.add_job(job_id(2), other, None, harness.now_s)
    states = [harness.engine.job_by_id[job_id(n)].progress for n in (1, 2)]
    survived = []
    for _ in range(3):
        for order in harness.engine.plan(harness.now_s).starts:
            harness.engine.start_accepted(order, harness.now_s)
        harness.engine.worker_lost("w0", OtherWorkerAtAddress(harness.now_s))
        survived.append([item.state is not JobState.FAILED for item in states])
        harness.now_s += 1.0
        harness.report("w0", {})
    assert survived == [[True, True], [True, True], [True, False]]


# Guards against workers that are cut off and count as crashed: a job would be given up
# after one crash.
def test_workers_that_are_cut_off_do_not_count_as_crashed():
    """The task is the only one each time; two workers have crashed at the end."""
    harness = EngineHarness(3)
    (order,) = harness.start_job(step(1))
    progress = harness.engine.job_by_id[job_id(1)].progress
    for has_crashed in (False, False, False, True, True):
        assert progress.state is JobState.RUNNING
        evidence = OtherWorkerAtAddress if has_crashed else LeaseExpired
        harness.engine.worker_lost(order.worker_id, evidence(harness.now_s))
        harness.now_s += 1.0
        for name in harness.names:
            harness.report(name, {})
        if has_crashed and progress.state is JobState.FAILED:
            continue
        (order,) = harness.engine.plan(harness.now_s).starts
        harness.engine.start_accepted(order, harness.now_s)
    assert progress.state is JobState.FAILED


# Guards against crashes that a new owner forgets, because it does not know for how long
# the runs that it found had lasted.
def test_a_crash_under_an_inherited_run_keeps_the_counts():
    progress = JobProgress.fresh()
    progress.state = JobState.RUNNING
    progress.add_occurrence(0, job(step(1)))
    task = progress.tasks_by_occurrence[0][0][0]
    task.state, task.run, task.worker = TaskState.PLACED, 3, "w0"
    task.crashes, task.suspected = 2, 1
    harness = EngineHarness(2)
    submission = Submission(QUEUE, job(step(1)), 0)
    harness.engine.add_job(job_id(1), submission, progress, harness.now_s)
    (run_id,) = harness.engine.worker_by_id["w0"].run_by_id
    harness.report("w0", {run_id: 10})
    harness.engine.worker_lost("w0", OtherWorkerAtAddress(harness.now_s))
    assert (task.crashes, task.suspected) == (3, 1)


# Guards against a suspected task whose starts are not watched any more once it has
# waited for room for some seconds: its crashes were then laid to its neighbours, too.
def test_a_suspected_task_that_had_to_wait_for_room_is_still_watched():
    harness = EngineHarness(1)
    (order,) = harness.start_job(step(1))
    harness.engine.worker_lost("w0", OtherWorkerAtAddress(harness.now_s))
    harness.report("w0", {})
    other = Submission(QUEUE, job(step(4, 30.0)), 0)
    harness.engine.add_job(job_id(2), other, None, harness.now_s)
    worker = harness.engine.worker_by_id["w0"]
    worker.avoid_until_s = harness.now_s + 1.0
    job_one = harness.engine.job_by_id[job_id(1)]
    job_one.due_s += 100.0
    harness.now_s += 1.5
    harness.report("w0", {})
    for start in harness.engine.plan(harness.now_s).starts:
        harness.engine.start_accepted(start, harness.now_s)
    running = dict.fromkeys(worker.run_by_id, 1)
    assert len(running) == 4
    for _ in range(10):
        harness.now_s += 0.5
        harness.report("w0", running)
        assert not harness.engine.plan(harness.now_s).starts
    harness.end_runs("w0", failed=False)
    (again,) = harness.engine.plan(harness.now_s).starts
    assert again.run_id.task == order.run_id.task
    assert worker.held_by_job == job_id(1)


# Guards against a job that is given up because its workers crash by themselves.
def test_a_task_survives_workers_that_crash_by_themselves(cluster: SimulatedCluster):
    """Each worker crashes several times under lasting tasks and long ones."""
    cluster.submit(job_id(1), job(step(6, 1.0, lasting=True)))
    cluster.submit(job_id(2), job(step(6, 5.0)))
    workers = list(cluster.worker_by_id.values())
    for number in range(16):
        workers[number % len(workers)].crash_and_restart()
        cluster.run(1.9)
    cluster.run(40.0)
    assert cluster.all_violations() == []
    assert cluster.state(job_id(1)) is JobState.RUNNING
    assert cluster.state(job_id(2)) is JobState.COMPLETED


# Guards against a job that is given up because of a crash under a run that had ended
# with an earlier incarnation and waited until no late start of it can arrive any more.
def test_a_run_that_has_ended_does_not_count_under_the_next_crash():
    harness = EngineHarness(1)
    (order,) = harness.start_job(step(1))
    harness.engine.start_unanswered(order, harness.now_s)
    progress = harness.engine.job_by_id[job_id(1)].progress
    for born_ms in (8, 9):
        harness.now_s += 0.2
        report = WorkerReport(100.0, (), (), born_ms=born_ms)
        harness.engine.worker_restarted("w0", report, harness.now_s, harness.now_s)
    assert progress.tasks_by_occurrence[0][0][0].crashes == 1
    assert progress.state is JobState.RUNNING
