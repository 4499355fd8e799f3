"""Tests of the detection of slow workers, without a network.

Some workers take several times as long for some seconds, although they report no
problem and no run fails.
"""

from __future__ import annotations

from redwingrun.jobs.spec import Submission
from tests.jobs.cluster import QUEUE, job, job_id, step
from tests.jobs.test_workerreports import EngineHarness

SLOW_WORKER = "w1"


def progress_with_slow_worker(
    harness: EngineHarness, factor: float, name: str = SLOW_WORKER
):
    """Return a progress function for tasks of one second, slow on one worker.

    :param factor: run time on that worker, in seconds.
    """

    def percent(run_id, since_s):
        worker_id = next(iter(harness.engine.state.live_runs[run_id.task].values()))
        rate = 100 / factor if worker_id == name else 100
        return min(99, since_s * rate)

    return percent


def test_runs_on_a_slow_worker_are_moved():
    """Restarted on another worker they end much sooner."""
    harness = EngineHarness()
    harness.start_job(step(6, 2.0))
    slow = [item for item in harness.workers() if item.worker_id == SLOW_WORKER]
    count = len(slow[0].run_by_id)
    stop_reasons = harness.report_for(2.0, progress_with_slow_worker(harness, 20.0))
    assert count >= 2
    assert len([text for text in stop_reasons if text.startswith("slow")]) == count


def test_one_long_task_does_not_make_its_worker_slow():
    """Some tasks take many times their estimate on any worker."""
    harness = EngineHarness()
    starts = harness.start_job(step(6, 1.0))
    long_run_id = starts[0].run_id

    def percent(run_id, since_s):
        return min(99, since_s * (6 if run_id == long_run_id else 95))

    assert harness.report_for(0.9, percent) == []


def test_a_step_longer_than_estimated_does_not_make_workers_slow():
    """In an incident 111 tasks were moved in vain: their estimates were far off."""
    harness = EngineHarness()
    harness.start_job(step(12, 2.0))
    assert harness.report_for(2.0, lambda run_id, since_s: since_s * 6) == []


def test_a_slow_worker_gets_no_new_runs_while_others_have_capacity():
    """Its cost for the placement is multiplied by its slow factor."""
    harness = EngineHarness()
    harness.start_job(step(6, 4.0))
    harness.report_for(
        1.0,
        lambda run_id, since_s: (
            progress_with_slow_worker(harness, 8.0)(run_id, since_s) / 4
        ),
    )
    submission = Submission(QUEUE, job(step(2, 1.0)), 0)
    harness.engine.add_job(job_id(2), submission, None, harness.now_s)
    starts = harness.engine.plan(harness.now_s).starts
    assert len(starts) == 2
    assert all(order.worker_id != SLOW_WORKER for order in starts)
