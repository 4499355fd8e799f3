"""Workers that have become slow, without a network.

The load: some workers take several times as long for seconds, while their health is
good and nothing fails.
"""

from __future__ import annotations

from redwingrun.jobs.spec import Submission
from tests.jobs.cluster import QUEUE, job, job_id, step
from tests.jobs.test_workerreports import Pool

SLOW = "w1"


def slow_on(pool: Pool, factor: float, name: str = SLOW):
    """Return a progress of one second's work that is slow on one worker."""

    def percent(run_id, since_s):
        where = next(iter(pool.engine.state.live_runs[run_id.task].values()))
        rate = 100 / factor if where == name else 100
        return min(99, since_s * rate)

    return percent


def test_tasks_of_a_slow_worker_are_moved():
    """They begin elsewhere long before they would end here."""
    pool = Pool()
    pool.begin(step(6, 2.0))
    slow = [item for item in pool.workers() if item.worker_id == SLOW]
    count = len(slow[0].run_by_id)
    whys = pool.watch(2.0, slow_on(pool, 20.0))
    assert count >= 2
    assert len([why for why in whys if why.startswith("slow")]) == count


def test_one_long_task_says_nothing_about_its_worker():
    """Some tasks take many times their estimate anywhere."""
    pool = Pool()
    starts = pool.begin(step(6, 1.0))
    long = starts[0].run_id

    def percent(run_id, since_s):
        return min(99, since_s * (6 if run_id == long else 95))

    assert pool.watch(0.9, percent) == []


def test_a_step_that_takes_longer_than_estimated_says_nothing_about_workers():
    """In an incident 111 tasks were moved in vain: their estimates were far off."""
    pool = Pool()
    pool.begin(step(12, 2.0))
    assert pool.watch(2.0, lambda run_id, since_s: since_s * 6) == []


def test_nothing_new_begins_on_a_slow_worker_while_others_have_room():
    """Its place in the order is that of a worker several times as slow."""
    pool = Pool()
    pool.begin(step(6, 4.0))
    pool.watch(1.0, lambda run_id, since_s: slow_on(pool, 8.0)(run_id, since_s) / 4)
    submission = Submission(QUEUE, job(step(2, 1.0)), 0)
    pool.engine.add_job(job_id(2), submission, None, pool.now_s)
    starts = pool.engine.plan(pool.now_s).starts
    assert len(starts) == 2
    assert all(order.worker_id != SLOW for order in starts)
