"""What the owner makes of its workers' lists, without a network."""

from __future__ import annotations

from redwingrun.jobs.engine import Engine, EngineSettings
from redwingrun.jobs.spec import Submission
from redwingrun.jobs.workerpool import (
    EndKind,
    RunEnd,
    RunStatus,
    StartOrder,
    WorkerInfo,
    WorkerReport,
)
from tests.jobs.cluster import POOL, QUEUE, TaskSize, job, job_id, make_queues, step

LOOK_S = 0.5


class Pool:
    """An engine with workers that tell whatever a test wants.

    :param workers: how many; each holds four tasks of a core.
    """

    def __init__(self, workers: int = 3):
        self.engine = Engine(EngineSettings())
        self.engine.set_queues(make_queues())
        self.now_s = 100.0
        self.names: list[str] = []
        for number in range(workers):
            self.add_worker(f"w{number}")

    def add_worker(self, name: str) -> None:
        """Register a worker and let it answer."""
        self.names.append(name)
        capacity = TaskSize(4000, 64_000)
        info = WorkerInfo(name, f"{name}:1", POOL, capacity=capacity, born_ms=7)
        self.engine.register_worker(info)
        self.report(name, {})

    def report(self, name: str, percent_by_run: dict) -> None:
        """Take a worker's list of runs with their progress."""
        running = tuple(
            RunStatus(run_id, "", percent) for run_id, percent in percent_by_run.items()
        )
        report = WorkerReport(self.now_s * 1000, running, (), born_ms=7)
        self.engine.process_report(name, report, self.now_s, self.now_s)

    def begin(self, *steps) -> tuple[StartOrder, ...]:
        """Hand in a job and let its first starts be accepted."""
        submission = Submission(QUEUE, job(*steps), 0)
        self.engine.add_job(job_id(1), submission, None, self.now_s)
        starts = self.engine.plan(self.now_s).starts
        for order in starts:
            self.engine.start_accepted(order, self.now_s)
        return starts

    def watch(self, seconds: float, percent) -> list[str]:
        """Report for a while; returns why runs were stopped.

        :param percent: from a start and the seconds so far to its progress.
        """
        starts = list(self._runs())
        whys = []
        begun_s = self.now_s
        while self.now_s < begun_s + seconds:
            self.now_s += LOOK_S
            for name in self.names:
                told = {
                    run_id: percent(run_id, self.now_s - begun_s)
                    for run_id, worker in starts
                    if worker == name
                }
                self.report(name, told)
            whys += [stop.why for stop in self.engine.plan(self.now_s).stops]
        return whys

    def fail_all(self, rounds: int, only: str = "") -> None:
        """Start what waits and let it end, as failed unless another worker is meant."""
        for _ in range(rounds):
            starts = self.engine.plan(self.now_s).starts
            for order in starts:
                self.engine.start_accepted(order, self.now_s)
            self.now_s += 1.0
            for name in self.names:
                self.end_runs(name, not only or name == only)

    def end_runs(self, name: str, fails: bool) -> None:
        """End all runs of a worker, failed or done."""
        worker = self.engine.worker_by_id[name]
        kind = EndKind.FAILED if fails else EndKind.DONE
        ends = tuple(
            RunEnd(worker.last_end_number + number + 1, run_id, kind, "")
            for number, run_id in enumerate(worker.run_by_id)
        )
        report = WorkerReport(self.now_s * 1000, (), ends, born_ms=7)
        self.engine.process_report(name, report, self.now_s, self.now_s)

    def workers(self):
        """Return the workers as the engine knows them."""
        return list(self.engine.worker_by_id.values())

    def _runs(self):
        for worker in self.engine.worker_by_id.values():
            for run_id in worker.run_by_id:
                yield run_id, worker.worker_id


def watched_gang(percent) -> list[str]:
    """Watch a gang of six for ten seconds; returns why runs were stopped."""
    pool = Pool()
    pool.begin(step(6, 4.0, gang=True))
    return pool.watch(10.0, percent)


def test_members_of_a_gang_that_are_through_wait_for_the_slower_ones():
    """They end together: whoever stands at its end is not stuck.

    In an incident two gangs lost all their work this way, one of them twice.
    """

    def percent(run_id, since_s):
        quick = run_id.task.index < 3
        return min(100, since_s * (100 if quick else 8))

    assert watched_gang(percent) == []


def test_a_gang_that_stands_still_is_stopped():
    """A member that makes no progress before its end holds up all others."""

    def percent(run_id, since_s):
        return 40 if run_id.task.index == 2 else min(100, since_s * 50)

    whys = watched_gang(percent)
    assert any(why.startswith("stuck") for why in whys)


def test_a_member_that_never_begins_is_stopped_once_the_others_work():
    """Before, a member that hung from its start on held up its gang for ever."""

    def percent(run_id, since_s):
        return 0 if run_id.task.index == 2 else min(100, since_s * 20)

    whys = watched_gang(percent)
    assert any(why.startswith("stuck at 0") for why in whys)


def test_a_gang_that_is_not_complete_yet_is_left_alone():
    """Nobody works before all are there."""
    assert watched_gang(lambda run_id, since_s: 0) == []


def test_jobs_that_fail_everywhere_leave_most_workers_in_use():
    """A wave of hopeless jobs took all workers away from the others for seconds."""
    pool = Pool()
    for number in range(12):
        submission = Submission(QUEUE, job(step(1, 1.0)), 0)
        pool.engine.add_job(job_id(number + 1), submission, None, pool.now_s)
    pool.fail_all(rounds=5)
    aside = [worker for worker in pool.workers() if worker.avoid_until_s]
    assert len(aside) <= 1
    assert all(item.is_final for item in pool.engine.job_by_id.values())


def test_a_worker_on_which_everything_fails_is_put_aside():
    """What fails there succeeds elsewhere."""
    pool = Pool()
    for number in range(12):
        submission = Submission(QUEUE, job(step(1, 1.0)), 0)
        pool.engine.add_job(job_id(number + 1), submission, None, pool.now_s)
    pool.fail_all(rounds=1, only="w1")
    aside = [worker.worker_id for worker in pool.workers() if worker.avoid_until_s]
    assert aside == ["w1"]


def test_the_first_run_of_a_gang_is_number_one():
    """Its members share one number, and none is skipped."""
    starts = Pool().begin(step(6, 4.0, gang=True))
    assert {order.run_id.run for order in starts} == {1}
