"""How many starts wait for their workers' answers at the same time."""

from __future__ import annotations

from redwingrun.jobs.progress import JobState
from redwingrun.jobs.sliceowner import MAX_STARTS_IN_FLIGHT
from redwingrun.jobs.spec import StepSpec, Submission, TaskSize
from tests.jobs.cluster import QUEUE, job, job_id, make_cluster, step
from tests.jobs.clusterports import SimulatedWorkers
from tests.jobs.test_workerreports import EngineHarness

TASKS = 1000


# Guards against a large job whose starts are all sent at once: they delayed each other
# until they timed out, and the owner lost its claim meanwhile.
def test_the_starts_of_a_large_job_are_sent_a_part_at_a_time(monkeypatch):
    in_flight, highest = 0, 0
    original = SimulatedWorkers.start

    async def start(self, *arguments):
        nonlocal in_flight, highest
        in_flight += 1
        highest = max(highest, in_flight)
        try:
            return await original(self, *arguments)
        finally:
            in_flight -= 1

    monkeypatch.setattr(SimulatedWorkers, "start", start)
    cluster = make_cluster()
    try:
        tiny = StepSpec(TASKS, TaskSize(1, 1), estimate_ms=3000)
        cluster.submit(job_id(1), job(tiny))
        cluster.run(3.0)
        assert highest <= MAX_STARTS_IN_FLIGHT
        assert len(cluster.starts) == TASKS
        assert cluster.all_violations() == []
    finally:
        cluster.close()


# Guards against workers that do not answer and so hold up the starts at all others.
def test_starts_without_an_answer_do_not_hold_up_others():
    cluster = make_cluster(workers=4)
    try:
        silent = cluster.worker_by_id["i-1"]
        silent.cut.update(cluster.member_by_name)
        tiny = StepSpec(TASKS, TaskSize(1, 1), estimate_ms=3000)
        cluster.submit(job_id(1), job(tiny))
        cluster.run(4.0)
        started = {run_id for _, run_id, _ in cluster.starts}
        placed_there = cluster.member_by_name[cluster.owner_name()]._owner
        waiting = len(placed_there.engine.worker_by_id["i-1"].run_by_id)
        assert len(started) == TASKS - waiting
        assert cluster.all_violations() == []
    finally:
        cluster.close()


def test_a_gang_is_placed_as_a_whole_also_if_it_exceeds_the_limit():
    harness = EngineHarness(3)
    submission = Submission(QUEUE, job(step(6, 1.0, gang=True)), 0)
    harness.engine.add_job(job_id(1), submission, None, harness.now_s)
    assert len(harness.engine.plan(harness.now_s, 4).starts) == 6


def test_a_plan_starts_no_more_tasks_than_it_may():
    harness = EngineHarness(3)
    submission = Submission(QUEUE, job(step(8, 1.0)), 0)
    harness.engine.add_job(job_id(1), submission, None, harness.now_s)
    assert len(harness.engine.plan(harness.now_s, 3).starts) == 3
    assert harness.engine.plan(harness.now_s, 0).starts == ()
    assert len(harness.engine.plan(harness.now_s, 9).starts) == 5


# Guards against a run that is stopped because the answer to its start was lost,
# although a report has listed it before the start was repeated.
def test_a_start_that_a_report_has_confirmed_is_settled():
    cluster = make_cluster()
    try:
        cluster.lost_answers = 1
        cluster.submit(job_id(1), job(step(1, 5.0)))
        cluster.submit(job_id(2), job(step(20, 0.2)))
        cluster.run(12.0)
        assert cluster.state(job_id(1)) is JobState.COMPLETED
        stops = [fields for _, _, kind, fields in cluster.log_lines if kind == "stop"]
        assert stops == []
        first = [run for _, run, _ in cluster.starts if run.task.job == job_id(1)]
        assert len(first) == 1
    finally:
        cluster.close()
