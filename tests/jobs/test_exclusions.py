"""Tests of the workers chosen to retry a failed task."""

from __future__ import annotations

import pytest
from attrs import evolve

from redwingrun.jobs.policycache import Ticket
from redwingrun.jobs.spec import Submission, TaskSize
from tests.jobs.cluster import QUEUE, job, job_id, make_queues, step
from tests.jobs.test_workerreports import EngineHarness


def workers_of_three_attempts(harness: EngineHarness, *steps) -> list[set[str]]:
    """Let every run of a job fail; return the workers of each attempt."""
    submission = Submission(QUEUE, job(*steps), 0)
    harness.engine.add_job(job_id(1), submission, None, harness.now_s)
    workers_by_attempt = []
    for _ in range(3):
        starts = harness.engine.plan(harness.now_s).starts
        workers_by_attempt.append({order.worker_id for order in starts})
        for order in starts:
            harness.engine.start_accepted(order, harness.now_s)
        harness.now_s += 1.0
        for name in harness.names:
            harness.end_runs(name, failed=True)
    return workers_by_attempt


def test_a_failed_task_is_retried_on_another_worker():
    """A worker on which all runs failed used to get the same task four times."""
    first, second, third = workers_of_three_attempts(EngineHarness(3), step(1, 1.0))
    assert len(first | second | third) == 3


def test_a_failed_gang_is_retried_on_other_workers():
    """The members fail together, so no member may run where one has failed."""
    first, second, third = workers_of_three_attempts(
        EngineHarness(3), step(2, 1.0, gang=True)
    )
    assert not first & second
    assert third


@pytest.mark.parametrize("gang", [False, True])
def test_the_only_worker_is_not_excluded(gang):
    """A task does not wait for a worker that may never register."""
    workers_by_attempt = workers_of_three_attempts(
        EngineHarness(1), step(2, 1.0, gang=gang)
    )
    assert workers_by_attempt == [{"w0"}] * 3


def test_a_gang_that_needs_all_workers_excludes_none():
    """The other workers could never run it, so it would wait forever."""
    workers_by_attempt = workers_of_three_attempts(
        EngineHarness(3), step(12, 1.0, gang=True)
    )
    assert workers_by_attempt == [{"w0", "w1", "w2"}] * 3


def test_a_failed_task_does_not_wait_for_ever_for_another_worker():
    """The others could hold it, but tasks of other jobs always run there.

    A task that needs a whole worker stood still to the end of a day in this way.
    """
    harness = EngineHarness(2)
    blocker = Submission(QUEUE, job(step(1, 1000.0)), 0)
    harness.engine.add_job(job_id(2), blocker, None, harness.now_s)
    (blocking,) = harness.engine.plan(harness.now_s).starts
    harness.engine.start_accepted(blocking, harness.now_s)
    whole = evolve(step(1, 1.0), size=TaskSize(4000, 100))
    submission = Submission(QUEUE, job(whole), 0)
    harness.engine.add_job(job_id(1), submission, None, harness.now_s)
    (order,) = harness.engine.plan(harness.now_s).starts
    harness.engine.start_accepted(order, harness.now_s)
    harness.now_s += 1.0
    harness.end_runs(order.worker_id, failed=True)
    assert harness.engine.plan(harness.now_s).starts == ()
    harness.now_s += 1.6
    for name in harness.names:
        runs = harness.engine.worker_by_id[name].run_by_id
        harness.report(name, dict.fromkeys(runs, 0))
    (again,) = harness.engine.plan(harness.now_s).starts
    assert again.worker_id == order.worker_id


def test_the_only_worker_allowed_by_the_policy_is_not_excluded():
    """The policy refused all others."""
    harness = EngineHarness(3)
    harness.engine.set_queues(make_queues(uses_policy=True))
    submission = Submission(QUEUE, job(step(1, 1.0)), 0)
    harness.engine.add_job(job_id(1), submission, None, harness.now_s)
    allow_only(harness, "w1")
    (order,) = harness.engine.plan(harness.now_s).starts
    harness.engine.start_accepted(order, harness.now_s)
    harness.now_s += 1.0
    harness.end_runs("w1", failed=True)
    plan = harness.engine.plan(harness.now_s)
    assert [order.worker_id for order in plan.starts] == ["w1"]


def test_workers_not_queried_yet_are_queried_before_a_retry_on_the_failed_one():
    """The second worker registers only after the first query."""
    harness = EngineHarness(1)
    harness.engine.set_queues(make_queues(uses_policy=True))
    submission = Submission(QUEUE, job(step(1, 1.0)), 0)
    harness.engine.add_job(job_id(1), submission, None, harness.now_s)
    allow_only(harness, "w0")
    (order,) = harness.engine.plan(harness.now_s).starts
    harness.engine.start_accepted(order, harness.now_s)
    harness.add_worker("w1")
    harness.now_s += 1.0
    harness.end_runs("w0", failed=True)
    plan = harness.engine.plan(harness.now_s)
    assert plan.starts == ()
    assert [order.worker_ids for order in plan.policy_queries] == [("w1",)]


def allow_only(harness: EngineHarness, name: str) -> None:
    """Answer the next policy query: only one worker is allowed."""
    (query,) = harness.engine.plan(harness.now_s).policy_queries
    assert name in query.worker_ids
    ticket = Ticket("t", 7, harness.now_s + 30)
    harness.engine.policy_answered(query, {name: ticket})
    harness.engine.policy_query_ended(query)
