"""Tests of which workers urgent work gets in the first seconds of a day.

Batch work was handed in a few seconds before, and runs on workers of all kinds. None of
its tasks, or only the shortest ones, have ended when the first urgent job arrives.
"""

from __future__ import annotations

from attrs import evolve

from redwingrun.jobs.spec import QueueSet, Submission
from redwingrun.jobs.workerpool import WorkerInfo
from tests.jobs.cluster import POOL, QUEUE, TaskSize, job, job_id, make_queues, step
from tests.jobs.test_workerreports import EngineHarness

BATCH_QUEUE = "batch"
TASK_S = 4.0
SLOWNESS_BY_KIND = {"fast": 0.7, "slow": 1.7}


def make_harness() -> EngineHarness:
    """Return an engine with twelve workers of two kinds, the slow ones first."""
    harness = EngineHarness(0)
    urgent = make_queues().queue_by_name[QUEUE]
    batch = evolve(urgent, name=BATCH_QUEUE, priority=2)
    harness.engine.set_queues(QueueSet(1, {QUEUE: urgent, BATCH_QUEUE: batch}))
    for number in range(12):
        name = f"w{number}"
        kind = "slow" if number < 6 else "fast"
        harness.names.append(name)
        info = WorkerInfo(
            name, "", POOL, kind=kind, capacity=TaskSize(4000, 64_000), born_ms=7
        )
        harness.engine.register_worker(info)
        harness.report(name, {})
    return harness


def start_batch(harness: EngineHarness, checkpointed: bool) -> None:
    """Start one batch task of four seconds on each worker."""
    spec = job(step(12, TASK_S, checkpointed=checkpointed, max_per_worker=1))
    submission = Submission(BATCH_QUEUE, spec, 0)
    harness.engine.add_job(job_id(1), submission, None, harness.now_s)
    starts = harness.engine.plan(harness.now_s).starts
    assert len(starts) == 12
    for order in starts:
        harness.engine.start_accepted(order, harness.now_s)


def report_all(harness: EngineHarness, since_s: float) -> None:
    """Let all workers report how far their tasks are.

    :param since_s: monotonic time at which the tasks started.
    """
    for worker in harness.workers():
        ran_s = harness.now_s - since_s
        percent = 100 * ran_s / TASK_S / SLOWNESS_BY_KIND[worker.info.kind]
        runs = dict.fromkeys(worker.run_by_id, round(percent))
        harness.report(worker.worker_id, runs)


def kinds_of_urgent_starts(harness: EngineHarness) -> set[str]:
    """Submit an urgent job of six tasks; return the kinds of its workers."""
    submission = Submission(QUEUE, job(step(6, 0.5)), 0)
    harness.engine.add_job(job_id(2), submission, None, harness.now_s)
    starts = harness.engine.plan(harness.now_s).starts
    assert len(starts) == 6
    workers = harness.engine.worker_by_id
    return {workers[order.worker_id].info.kind for order in starts}


def test_speeds_are_learned_before_the_first_task_ends():
    """Urgent work used to go to any kind until tasks had ended on both."""
    harness = make_harness()
    start_batch(harness, checkpointed=False)
    started_s, harness.now_s = harness.now_s, harness.now_s + 1.0
    report_all(harness, started_s)
    assert kinds_of_urgent_starts(harness) == {"fast"}


def test_tasks_with_checkpoints_count_as_well():
    """Their first runs used to be taken for resumed ones, which say nothing."""
    harness = make_harness()
    start_batch(harness, checkpointed=True)
    for worker in harness.workers():
        for run_id in worker.run_by_id:
            task = harness.engine.job_by_id[job_id(1)].task(run_id.task)
            task.checkpoint = "c1"
    harness.now_s += TASK_S * SLOWNESS_BY_KIND["fast"]
    for worker in harness.workers():
        if worker.info.kind == "fast":
            harness.end_runs(worker.worker_id, failed=False)
    harness.now_s += TASK_S * (SLOWNESS_BY_KIND["slow"] - SLOWNESS_BY_KIND["fast"])
    for worker in harness.workers():
        harness.end_runs(worker.worker_id, failed=False)
    assert kinds_of_urgent_starts(harness) == {"fast"}


def test_a_new_owner_learns_from_the_progress_of_inherited_runs():
    """It does not know when they started: their ends used to count as quick runs."""
    former = make_harness()
    start_batch(former, checkpointed=False)
    progress = former.engine.job_by_id[job_id(1)].progress
    submission = former.engine.job_by_id[job_id(1)].submission
    harness = make_harness()
    started_s, harness.now_s = harness.now_s, harness.now_s + 1.0
    harness.engine.add_job(job_id(1), submission, progress, harness.now_s)
    for _ in range(2):
        report_all(harness, started_s)
        harness.now_s += 0.5
    assert kinds_of_urgent_starts(harness) == {"fast"}
