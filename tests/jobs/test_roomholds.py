"""Tests of large tasks beside a stream of small ones, which take room as it comes free.

A video analysis on eight accelerators waited for half a minute while tasks on one each
kept all workers partly taken.
"""

from __future__ import annotations

from attrs import evolve

from redwingrun.jobs.policycache import Ticket
from redwingrun.jobs.spec import Queue, QueueSet, Submission, TaskSize
from redwingrun.jobs.workerpool import Worker
from tests.jobs.cluster import POOL, QUEUE, job, job_id, make_queues, step
from tests.jobs.test_workerreports import EngineHarness

WORKERS = 4
WHOLE_WORKER = TaskSize(4000, 100)
LARGE_JOB = job_id(1)
URGENT_QUEUE = "urgent"
SMALL_TASK_S = 2.0
STEP_S = 0.5


class Stream:
    """Small tasks that arrive as fast as others end, on workers of four cores.

    Each worker's tasks end at different times, so that it is never empty by itself.

    :param large: the step of the job that waits.
    """

    def __init__(self, large, uses_policy: bool = False):
        self.harness = EngineHarness(WORKERS)
        queues = make_queues(uses_policy=uses_policy)
        large_queue = evolve(queues.queue_by_name[QUEUE], priority=1)
        by_name = {
            QUEUE: large_queue,
            "small": evolve(large_queue, name="small", priority=2, uses_policy=False),
            URGENT_QUEUE: Queue(URGENT_QUEUE, POOL, priority=0),
        }
        self.harness.engine.set_queues(QueueSet(1, by_name))
        self._started_s: dict = {}
        self._next = 100
        for _ in range(8):
            self.run_step()
        submission = Submission(QUEUE, job(large), 0)
        self.harness.engine.add_job(LARGE_JOB, submission, None, self.harness.now_s)

    def run_step(self, queue: str = "small", jobs: int = 2 * WORKERS) -> list:
        """Let half a second pass, with new small jobs; return the starts of a plan."""
        harness = self.harness
        harness.now_s += STEP_S
        for worker in harness.workers():
            self._report(worker)
        for _ in range(jobs):
            self._next += 1
            submission = Submission(queue, job(step(1, SMALL_TASK_S)), 0)
            harness.engine.add_job(job_id(self._next), submission, None, harness.now_s)
        starts = harness.engine.plan(harness.now_s).starts
        for order in starts:
            self._started_s[order.run_id] = harness.now_s
            harness.engine.start_accepted(order, harness.now_s)
        return list(starts)

    def _report(self, worker: Worker) -> None:
        """Report a worker's runs; those that have run for their time are done."""
        now_s = self.harness.now_s
        done = [
            run_id
            for run_id in worker.run_by_id
            if now_s - self._started_s[run_id] >= SMALL_TASK_S
        ]
        running = {run_id: 0 for run_id in worker.run_by_id if run_id not in done}
        numbered = list(enumerate(done, start=worker.last_end_number + 1))
        self.harness.report_with_ends(worker.worker_id, running, numbered)

    def seconds_until_started(self, limit_s: float = 20.0) -> float:
        """Return after how many seconds the large job starts, at most the limit."""
        began_s = self.harness.now_s
        while self.harness.now_s < began_s + limit_s:
            if any(order.run_id.task.job == LARGE_JOB for order in self.run_step()):
                return self.harness.now_s - began_s
        return limit_s


def whole_worker(tasks: int = 1, **fields):
    """Return a step whose tasks need a whole worker each."""
    return evolve(step(tasks, 1.0, **fields), size=WHOLE_WORKER)


def test_a_task_that_needs_a_whole_worker_starts_beside_a_stream_of_small_ones():
    """It used to wait until the stream ended."""
    assert Stream(whole_worker()).seconds_until_started() <= 5.0


def test_other_workers_stay_open_to_the_stream():
    """One of four is held at most."""
    stream = Stream(whole_worker())
    stream.run_step()
    stream.run_step()
    stream.run_step()
    held = [w for w in stream.harness.workers() if w.is_room_held(stream.harness.now_s)]
    assert len(held) == 1


def test_more_urgent_jobs_use_a_held_worker():
    """They may preempt others anyway."""
    stream = Stream(whole_worker())
    for _ in range(5):
        stream.run_step()
    now_s = stream.harness.now_s
    (held,) = [w for w in stream.harness.workers() if w.is_room_held(now_s)]
    workers = set()
    for _ in range(3):
        for order in stream.run_step(URGENT_QUEUE, jobs=16):
            workers.add(order.worker_id)
    assert held.worker_id in workers


def test_no_worker_is_held_once_the_task_has_started():
    """A hold that is not renewed ends soon."""
    stream = Stream(whole_worker())
    stream.seconds_until_started()
    for _ in range(4):
        stream.run_step()
    now_s = stream.harness.now_s
    assert not any(worker.is_room_held(now_s) for worker in stream.harness.workers())


def test_the_policy_is_asked_about_full_workers_so_that_an_allowed_one_is_held():
    """A worker that the policy refuses would be emptied for nothing."""
    stream = Stream(whole_worker(), uses_policy=True)
    harness = stream.harness
    (query,) = harness.engine.plan(harness.now_s).policy_queries
    assert set(query.worker_ids) == set(harness.names)
    harness.engine.policy_query_ended(query)
    ticket = Ticket("t", 7, harness.now_s + 1.0)
    harness.engine.policy_answered(query, {"w2": ticket})
    for _ in range(4):
        stream.run_step()
    held = [w for w in harness.workers() if w.is_room_held(harness.now_s)]
    assert [worker.worker_id for worker in held] == ["w2"]
