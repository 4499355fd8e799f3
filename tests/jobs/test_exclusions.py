"""Where a failed task is tried again: elsewhere, while there is an elsewhere."""

from __future__ import annotations

import pytest

from redwingrun.jobs.policycache import Ticket
from redwingrun.jobs.spec import Submission
from tests.jobs.cluster import QUEUE, job, job_id, make_queues, step
from tests.jobs.test_workerreports import Pool


def places_of_three_tries(pool: Pool, *steps) -> list[set[str]]:
    """Let every run of a job fail; returns the workers of each round."""
    submission = Submission(QUEUE, job(*steps), 0)
    pool.engine.add_job(job_id(1), submission, None, pool.now_s)
    places = []
    for _ in range(3):
        starts = pool.engine.plan(pool.now_s).starts
        places.append({order.worker_id for order in starts})
        for order in starts:
            pool.engine.start_accepted(order, pool.now_s)
        pool.now_s += 1.0
        for name in pool.names:
            pool.end_runs(name, fails=True)
    return places


def test_a_failed_task_is_tried_on_another_worker_each_time():
    """One worker on which everything failed got the same task four times."""
    first, second, third = places_of_three_tries(Pool(3), step(1, 1.0))
    assert len(first | second | third) == 3


def test_a_failed_gang_leaves_out_the_workers_it_failed_on():
    """Its members share their fate, so that another member must not go there."""
    first, second, third = places_of_three_tries(Pool(3), step(2, 1.0, gang=True))
    assert not first & second
    assert third


@pytest.mark.parametrize("gang", [False, True])
def test_with_no_other_worker_the_same_one_is_tried_again(gang):
    """To wait for a worker that may never come would help nobody."""
    places = places_of_three_tries(Pool(1), step(2, 1.0, gang=gang))
    assert places == [{"w0"}] * 3


def test_a_gang_that_needs_every_worker_is_tried_on_all_again():
    """It would wait for ever for room that the others don't have."""
    places = places_of_three_tries(Pool(3), step(12, 1.0, gang=True))
    assert places == [{"w0", "w1", "w2"}] * 3


def test_the_only_worker_that_the_policy_allows_is_tried_again():
    """All others were named and refused."""
    pool = Pool(3)
    pool.engine.set_queues(make_queues(uses_policy=True))
    submission = Submission(QUEUE, job(step(1, 1.0)), 0)
    pool.engine.add_job(job_id(1), submission, None, pool.now_s)
    allow_only(pool, "w1")
    (order,) = pool.engine.plan(pool.now_s).starts
    pool.engine.start_accepted(order, pool.now_s)
    pool.now_s += 1.0
    pool.end_runs("w1", fails=True)
    plan = pool.engine.plan(pool.now_s)
    assert [order.worker_id for order in plan.starts] == ["w1"]


def test_a_worker_that_the_policy_may_still_allow_goes_before_the_failed_one():
    """The first question was put before the others had room."""
    pool = Pool(1)
    pool.engine.set_queues(make_queues(uses_policy=True))
    submission = Submission(QUEUE, job(step(1, 1.0)), 0)
    pool.engine.add_job(job_id(1), submission, None, pool.now_s)
    allow_only(pool, "w0")
    (order,) = pool.engine.plan(pool.now_s).starts
    pool.engine.start_accepted(order, pool.now_s)
    pool.add_worker("w1")
    pool.now_s += 1.0
    pool.end_runs("w0", fails=True)
    plan = pool.engine.plan(pool.now_s)
    assert plan.starts == ()
    assert [order.worker_ids for order in plan.policy_queries] == [("w1",)]


def allow_only(pool: Pool, name: str) -> None:
    """Answer the policy's next question with one worker."""
    (question,) = pool.engine.plan(pool.now_s).policy_queries
    assert name in question.worker_ids
    ticket = Ticket("t", 7, pool.now_s + 30)
    pool.engine.policy_answered(question, {name: ticket})
    pool.engine.policy_query_ended(question)
