"""Tests of queries to the placement policy at the load of a large slice.

The policy takes about as long for one query as for one task. A step that does not get
room with its first query waits as long again.
"""

from __future__ import annotations

from attrs import evolve

from redwingrun.jobs.policycache import Ticket
from redwingrun.jobs.spec import QueueSet, Submission
from redwingrun.jobs.workerpool import PolicyQuery
from tests.jobs.cluster import QUEUE, job, job_id, make_queues, step
from tests.jobs.test_workerreports import EngineHarness

WORKERS = 120
# The policy allows one worker in ALLOWED_ONE_IN for a step.
ALLOWED_ONE_IN = 3
TICKET_VALID_S = 2.5


def batch_queues() -> QueueSet:
    """Return a configuration whose queue is not urgent and uses the policy."""
    queues = make_queues(uses_policy=True)
    queue = queues.queue_by_name[QUEUE]
    queue = evolve(queue, priority=2, policy_call_ms=900, policy_per_worker_ms=8)
    return QueueSet(1, {QUEUE: queue})


def make_harness(jobs: int, tasks: int, **step_fields) -> EngineHarness:
    """Return an engine with many workers, to which jobs are added in one moment."""
    harness = EngineHarness(WORKERS)
    harness.engine.set_queues(batch_queues())
    harness.engine.set_policy_proxy_count(WORKERS)
    for number in range(1, jobs + 1):
        submission = Submission(QUEUE, job(step(tasks, 5.0, **step_fields)), 0)
        harness.engine.add_job(job_id(number), submission, None, harness.now_s)
    return harness


def is_allowed(query: PolicyQuery, worker_id: str) -> bool:
    """Return whether the policy allows a worker, differently for each step."""
    number = int(query.step_id.job, 16) + int(worker_id.removeprefix("w"))
    return number % ALLOWED_ONE_IN == 0


def answer(harness: EngineHarness, queries: tuple[PolicyQuery, ...]) -> None:
    """Let the policy answer queries."""
    for query in queries:
        tickets = {
            worker_id: Ticket("t", 7, harness.now_s + TICKET_VALID_S)
            for worker_id in query.worker_ids
            if is_allowed(query, worker_id)
        }
        harness.engine.policy_query_ended(query)
        harness.engine.policy_answered(query, tickets)


def test_steps_that_become_ready_together_do_not_query_the_same_workers():
    """Twelve steps need 240 of 480 cores; all used to name the same 30 workers."""
    harness = make_harness(jobs=12, tasks=20)
    answer(harness, harness.engine.plan(harness.now_s).policy_queries)
    starts = harness.engine.plan(harness.now_s).starts
    assert len(starts) == 12 * 20


def test_a_wide_step_queries_as_many_workers_as_it_needs_at_once():
    """A service of 20 tasks on different workers used to need a query after another."""
    harness = make_harness(jobs=1, tasks=20, max_per_worker=1)
    queries = harness.engine.plan(harness.now_s).policy_queries
    named = [worker_id for query in queries for worker_id in query.worker_ids]
    assert len(named) == len(set(named))
    answer(harness, queries)
    assert len(harness.engine.plan(harness.now_s).starts) == 20


def test_a_narrow_step_sends_one_query():
    """More queries than needed would delay those of other steps."""
    harness = make_harness(jobs=1, tasks=3)
    assert len(harness.engine.plan(harness.now_s).policy_queries) == 1


def test_tasks_start_when_the_first_of_several_queries_is_answered():
    """The other queries may take longer, or fail."""
    harness = make_harness(jobs=1, tasks=20, max_per_worker=1)
    first, *others = harness.engine.plan(harness.now_s).policy_queries
    answer(harness, (first,))
    assert harness.engine.plan(harness.now_s).starts
    for query in others:
        harness.engine.policy_query_ended(query)
        harness.engine.policy_failed(query, harness.now_s + 0.1)
    harness.now_s += 0.2
    plan = harness.engine.plan(harness.now_s)
    asked = {
        worker_id for query in plan.policy_queries for worker_id in query.worker_ids
    }
    assert asked >= {worker_id for query in others for worker_id in query.worker_ids}


def test_an_ended_query_frees_what_it_was_expected_to_place():
    """Else workers that were named often would be avoided for ever."""
    harness = make_harness(jobs=1, tasks=20)
    queries = harness.engine.plan(harness.now_s).policy_queries
    for query in queries:
        harness.engine.policy_query_ended(query)
        harness.engine.policy_failed(query, harness.now_s)
    again = harness.engine.plan(harness.now_s).policy_queries
    assert [query.worker_ids for query in again] == [q.worker_ids for q in queries]
