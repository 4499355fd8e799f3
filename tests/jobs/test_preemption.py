"""Tests of preemption: urgent work behind long work that has filled all workers.

With a burst of long jobs, about half of the urgent jobs of the next seconds were late.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from contextlib import closing

import pytest
from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from redwingrun.jobs.engine import EngineSettings, Plan
from redwingrun.jobs.policycache import Ticket
from redwingrun.jobs.preemption import (
    MAX_WORKERS_COMPARED,
    PREEMPT_AGAIN_S,
    PREEMPTED,
    ROOM_WAIT_S,
    STOP_MARGIN_S,
)
from redwingrun.jobs.preemptionbudget import (
    MAX_PREEMPTED_SHARE,
    MAX_STOPS_IN_FLIGHT,
    WINDOW_S,
)
from redwingrun.jobs.progress import JobState, TaskState
from redwingrun.jobs.spec import JobSpec, Queue, QueueSet, RunId, Submission, TaskSize
from redwingrun.jobs.workerpool import (
    EndKind,
    RunEnd,
    RunPhase,
    RunStatus,
    StopOrder,
    WorkerReport,
)
from tests.helpers import run_state_machine
from tests.jobs import test_engine_model
from tests.jobs.cluster import (
    POOL,
    QUEUE,
    SimulatedCluster,
    job,
    job_id,
    make_cluster,
    step,
)
from tests.jobs.test_engine_model import SliceMachine
from tests.jobs.test_workerreports import EngineHarness

URGENT = QUEUE
LONG = "long"
WORKERS = 20
WORKER_CORES = 4
LONG_CORES = 2
# As many long tasks as all workers have room for.
LONG_TASKS = WORKERS * WORKER_CORES // LONG_CORES
LONG_S = 6.0
URGENT_S = 0.8
STOP_S = 0.4
RESTORE_S = 0.25
STEP_S = 0.05
SEARCH_EXAMPLES = 8


def make_queues(uses_policy: bool = False) -> QueueSet:
    """Return a configuration with an urgent queue and one for long work."""
    urgent = Queue(
        URGENT,
        POOL,
        attempts=3,
        stretch=1.5,
        slack_ms=300,
        uses_policy=uses_policy,
        policy_call_ms=30,
    )
    long = Queue(LONG, POOL, priority=2, attempts=1, stretch=2.2, slack_ms=1200)
    return QueueSet(1, {URGENT: urgent, LONG: long})


def long_step(tasks: int = LONG_TASKS, seconds: float = LONG_S, **fields):
    """Return a step of tasks of two cores that save checkpoints."""
    fields = {"checkpointed": True, **fields}
    size = TaskSize(LONG_CORES * 1000, 100)
    return evolve(step(tasks, seconds, **fields), size=size)


@define
class LoadedSlice:
    """An engine with workers that run what it orders, at intervals of ``STEP_S``.

    :ivar stops: the stop orders, with their times.
    :ivar stop_s: how long a worker takes to stop a run.
    :ivar started_s: time of the latest start, by run.
    :ivar frozen_s: time since which a run neither progresses nor ends.
    :ivar saved_s: seconds of work that the checkpoint of a task holds.
    :ivar lost_core_s: core-seconds in which runs were being stopped or restored.
    :ivar idle_core_s: core-seconds of free room while tasks waited.
    """

    preempts: bool = True
    workers: int = WORKERS
    uses_policy: bool = False
    stop_s: float = STOP_S
    harness: EngineHarness = field(init=False)
    stops: list[tuple[float, StopOrder]] = field(factory=list)
    submitted_s: dict[str, float] = field(factory=dict)
    started_s: dict[RunId, float] = field(factory=dict)
    stopping_s: dict[RunId, float] = field(factory=dict)
    saved_s: dict = field(factory=dict)
    resumed_with: dict[RunId, str] = field(factory=dict)
    frozen_s: dict[RunId, float] = field(factory=dict)
    lost_core_s: float = 0.0
    idle_core_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        engine_settings = EngineSettings(
            preempts=self.preempts, stop_timeout_s=self.stop_s
        )
        self.harness = EngineHarness(self.workers, engine_settings)
        self.harness.engine.set_queues(make_queues(self.uses_policy))

    @property
    def now_s(self) -> float:
        """The current time."""
        return self.harness.now_s

    def submit(self, number: int, queue: str, *steps) -> str:
        """Add a job; return its id."""
        submission = Submission(queue, job(*steps), 0)
        name = job_id(number)
        self.submitted_s[name] = self.now_s
        self.harness.engine.add_job(name, submission, None, self.now_s)
        return name

    def plan(self) -> Plan:
        """Carry out a plan's starts and stops."""
        plan = self.harness.engine.plan(self.now_s)
        for order in plan.stops:
            self.stops.append((self.now_s, order))
            self.stopping_s[order.run_id] = self.now_s
            self.harness.engine.stop_acknowledged(order, self.now_s)
        for order in plan.starts:
            self.started_s[order.run_id] = self.now_s
            self.resumed_with[order.run_id] = order.checkpoint
            self.lost_core_s += bool(order.checkpoint) * RESTORE_S * LONG_CORES
            self.harness.engine.start_accepted(order, self.now_s)
        return plan

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.plan()
            self._count_idle()
            self.harness.now_s += STEP_S
            for worker in self.harness.workers():
                self._report(worker)

    def save(self, worker) -> None:
        """Let all runs of a worker report a new checkpoint."""
        running = tuple(RunStatus(run, "c1", 33) for run in worker.run_by_id)
        report = WorkerReport(self.now_s * 1000, running, (), born_ms=7)
        self.harness.engine.process_report(
            worker.worker_id, report, self.now_s, self.now_s
        )

    def freeze(self, run_ids: Iterable[RunId]) -> None:
        """Let runs neither progress nor end from now on."""
        self.frozen_s |= dict.fromkeys(run_ids, self.now_s)

    def _report(self, worker) -> None:
        running, ends = [], []
        for run_id in worker.run_by_id:
            done_s, needed_s = self._work(run_id)
            kind = None
            if run_id in self.frozen_s:
                kind = None
            elif done_s >= needed_s:
                kind = EndKind.DONE
            elif self.now_s - self.stopping_s.get(run_id, self.now_s) >= self.stop_s:
                kind = EndKind.STOPPED
            if kind is None:
                percent = round(100 * max(0, done_s) / needed_s)
                running.append(RunStatus(run_id, "", percent))
                continue
            checkpoint = ""
            if kind is EndKind.STOPPED:
                self.saved_s[run_id.task] = done_s
                checkpoint = f"{done_s:.2f}"
                lost_s = self.now_s - self.stopping_s[run_id]
                self.lost_core_s += lost_s * LONG_CORES
            number = worker.last_end_number + 1 + len(ends)
            ends.append(RunEnd(number, run_id, kind, checkpoint))
        report = WorkerReport(self.now_s * 1000, tuple(running), tuple(ends), born_ms=7)
        self.harness.engine.process_report(
            worker.worker_id, report, self.now_s, self.now_s
        )

    def _work(self, run_id: RunId) -> tuple[float, float]:
        """Return the seconds of work of a task that are done, and those in all."""
        spec = self.harness.engine.job_by_id[run_id.task.job].step(run_id.task.step_id)
        if spec.lasting:
            return 0.0, 1000.0
        until_s = self.stopping_s.get(run_id, self.now_s)
        until_s = self.frozen_s.get(run_id, until_s)
        done_s = until_s - self.started_s[run_id]
        if run_id.task in self.saved_s:
            done_s += self.saved_s[run_id.task] - RESTORE_S
        return done_s + 1e-6, spec.estimate_ms / 1000

    def _count_idle(self) -> None:
        """Count the room that is free although tasks wait."""
        if not self.harness.engine.state.ready_step_by_id:
            return
        free = sum(
            worker.info.capacity.cpu_milli - worker.cpu_used
            for worker in self.harness.workers()
        )
        self.idle_core_s += STEP_S * free / 1000

    def first_start_s(self, name: str) -> float:
        """Return after how many seconds a job's last first run started."""
        times = [s for run, s in self.started_s.items() if run.task.job == name]
        return max(times) - self.submitted_s[name]

    def preempted(self) -> list[RunId]:
        """Return the runs that were preempted."""
        return [order.run_id for _, order in self.stops if order.why == PREEMPTED]

    def urgent_burst(self, jobs: int, interval_s: float, tasks: int = 5) -> list[str]:
        """Let urgent jobs arrive one after the other; return their ids."""
        names = []
        for _ in range(jobs):
            number = 1000 + len(self.submitted_s)
            names.append(self.submit(number, URGENT, step(tasks, URGENT_S)))
            self.run(interval_s)
        return names


def full_slice(**fields) -> LoadedSlice:
    """Return a slice of which long work has taken all room two seconds ago."""
    loaded = LoadedSlice(**fields)
    loaded.submit(1, LONG, long_step(LONG_TASKS * 2))
    loaded.run(2.0)
    return loaded


def waits_behind_long_work(preempts: bool) -> list[float]:
    """Return how long each of eight urgent jobs waits; one arrives every 0.3 s."""
    loaded = full_slice(preempts=preempts)
    names = loaded.urgent_burst(8, 0.3)
    loaded.run(8.0)
    return [loaded.first_start_s(name) for name in names]


def test_urgent_jobs_behind_a_burst_of_long_work_wait_only_for_a_stop():
    """Without preemption the first of them wait until the long tasks end."""
    assert max(waits_behind_long_work(preempts=False)) > 3.0
    # A stop, a report and, for some jobs, the budget of the next window.
    waits = waits_behind_long_work(preempts=True)
    assert max(waits) <= STOP_S + WINDOW_S
    assert sum(wait <= STOP_S + 2 * STEP_S for wait in waits) >= 4


def test_nothing_is_preempted_while_there_is_room():
    """A stop would cost the long work time for nothing."""
    loaded = LoadedSlice()
    loaded.submit(1, LONG, long_step(LONG_TASKS // 2))
    loaded.run(1.0)
    loaded.urgent_burst(6, 0.3)
    assert not loaded.stops


def test_nothing_is_preempted_unless_it_is_switched_on():
    """Deployments without the setting see no change."""
    loaded = full_slice(preempts=False)
    loaded.urgent_burst(4, 0.3)
    assert not loaded.stops


@pytest.mark.parametrize(
    ("queue", "spec"),
    [
        (LONG, long_step(gang=True)),
        (LONG, long_step(lasting=True)),
        (LONG, long_step(checkpointed=False)),
        (LONG, evolve(long_step(filler=True), size=TaskSize(2000, 32_000))),
        (URGENT, long_step()),
    ],
    ids=["gang", "lasting", "unsaved", "filler", "urgent"],
)
def test_work_that_would_lose_more_than_a_stop_is_left_alone(queue: str, spec):
    """Of a gang all work would wait, and unsaved work would begin again."""
    loaded = LoadedSlice()
    loaded.submit(1, queue, spec)
    loaded.run(2.0)
    urgent = loaded.submit(2, URGENT, evolve(step(5), size=TaskSize(1000, 8000)))
    loaded.run(1.0)
    assert not loaded.stops
    assert not [run for run in loaded.started_s if run.task.job == urgent]


def test_nothing_is_preempted_if_enough_tasks_are_about_to_end():
    """By their progress they end before a stop would have made room."""
    loaded = LoadedSlice()
    loaded.submit(1, LONG, long_step(LONG_TASKS, seconds=2.3))
    loaded.submit(2, LONG, long_step(LONG_TASKS))
    loaded.run(2.0)
    loaded.submit(3, URGENT, step(5, URGENT_S))
    loaded.run(0.5)
    assert not loaded.stops
    assert loaded.first_start_s(job_id(3)) <= 0.5


def test_a_wrong_forecast_delays_a_preemption_only_once():
    """Runs that stop just short of their end would be waited for all the time."""
    loaded = LoadedSlice()
    short = loaded.submit(1, LONG, long_step(LONG_TASKS // 2, seconds=2.3))
    loaded.submit(2, LONG, long_step(LONG_TASKS))
    loaded.run(2.0)
    loaded.freeze(run for run in loaded.started_s if run.task.job == short)
    loaded.submit(3, URGENT, step(5, URGENT_S))
    loaded.run(STOP_S + STOP_MARGIN_S - STEP_S)
    assert not loaded.stops
    loaded.run(3 * STEP_S)
    assert len(loaded.preempted()) == 3


def test_nothing_is_preempted_for_a_job_that_is_too_late_to_count():
    """After three times its objective a job counts nothing."""
    loaded = full_slice()
    name = loaded.submit(2, URGENT, step(5, URGENT_S))
    objective_s = 1.5 * URGENT_S + 0.3
    loaded.harness.engine.job_by_id[name].due_s -= 2.5 * objective_s
    loaded.run(1.0)
    assert not loaded.stops


def test_the_fewest_and_most_recently_started_runs_are_stopped():
    """Five tasks of one core need three runs of two cores; older runs go on."""
    loaded = LoadedSlice()
    loaded.submit(1, LONG, long_step(LONG_TASKS - 6))
    loaded.run(2.0)
    young = loaded.submit(2, LONG, long_step(6))
    loaded.run(0.5)
    loaded.submit(3, URGENT, step(5, URGENT_S))
    loaded.plan()
    stopped = loaded.preempted()
    assert len(stopped) == 3
    assert {run_id.task.job for run_id in stopped} == {young}


def test_a_run_that_saved_recently_is_stopped_before_one_that_started_later():
    """A stop that takes too long loses the work since the last checkpoint.

    The worker is found among more of them than are compared with each other.
    """
    loaded = full_slice(workers=3 * MAX_WORKERS_COMPARED)
    loaded.submit(2, LONG, long_step(3 * LONG_TASKS))
    loaded.run(1.0)
    saved = loaded.harness.workers()[-5]
    loaded.save(saved)
    loaded.submit(3, URGENT, step(4, URGENT_S))
    loaded.plan()
    assert {order.worker_id for _, order in loaded.stops} == {saved.worker_id}


def test_a_run_that_has_just_ended_is_not_counted_on():
    """The forecast for a worker is kept for a while, and its runs may end meanwhile."""
    loaded = full_slice()
    first, second = loaded.harness.workers()[5:7]
    loaded.save(first)
    loaded.save(second)
    loaded.submit(2, URGENT, step(2, URGENT_S))
    loaded.plan()
    ended = next(iter(second.run_by_id))
    loaded.started_s[ended] -= LONG_S
    loaded.run(STEP_S)
    loaded.submit(3, URGENT, step(6, URGENT_S))
    loaded.plan()
    stopped = {order.run_id for _, order in loaded.stops if order.for_job == job_id(3)}
    assert len(stopped) == 2
    assert stopped <= first.run_by_id.keys() | second.run_by_id.keys()


def long_slice_under_surge(cores: int) -> tuple[LoadedSlice, int]:
    """Let more urgent work arrive in a second than a window's budget has room for.

    :param cores: cores of each of the long tasks that have filled 100 workers.
    :return: the slice, and the most stops in flight at a time.
    """
    loaded = LoadedSlice(workers=100)
    size = TaskSize(cores * 1000, 100)
    tasks = 100 * WORKER_CORES // cores
    loaded.submit(1, LONG, evolve(long_step(2 * tasks), size=size))
    loaded.run(2.0)
    most = 0
    for number in range(20):
        loaded.submit(1000 + number, URGENT, step(40, URGENT_S))
        loaded.run(STEP_S)
        in_flight = sum(
            run.phase is RunPhase.STOPPING
            for worker in loaded.harness.workers()
            for run in worker.run_by_id.values()
        )
        most = max(most, in_flight)
    return loaded, most


def test_the_budget_bounds_the_share_of_the_pool_that_is_preempted():
    """A surge of urgent work must not stop all long work at the same time."""
    loaded, _ = long_slice_under_surge(LONG_CORES)
    assert loaded.stops
    for began_s, _ in loaded.stops:
        recent = [s for s, _ in loaded.stops if began_s <= s < began_s + WINDOW_S]
        cores = len(recent) * LONG_CORES
        assert cores <= MAX_PREEMPTED_SHARE * 100 * WORKER_CORES


def test_the_budget_bounds_the_stops_in_flight():
    """Stops for other reasons would wait behind them."""
    _, most = long_slice_under_surge(1)
    assert most == MAX_STOPS_IN_FLIGHT


def test_no_task_is_stopped_twice_for_the_same_burst():
    """A task that resumes has started most recently, and would be the first choice."""
    loaded = full_slice()
    for _ in range(3):
        loaded.urgent_burst(4, 0.1)
        loaded.run(1.5)
    stops = Counter(run_id.task for run_id in loaded.preempted())
    resumed = [run for run in loaded.started_s if run.run > 1]
    assert len(stops) > 5
    assert resumed
    assert max(stops.values()) == 1


def test_a_step_causes_no_more_stops_while_the_first_ones_take_effect():
    """Each plan used to find the same tasks without room."""
    loaded = full_slice()
    loaded.submit(2, URGENT, step(4, URGENT_S))
    for _ in range(5):
        loaded.plan()
    assert len(loaded.preempted()) == 2


def test_steps_that_wait_together_do_not_count_on_the_same_room():
    """Each of two steps needs two runs to stop."""
    loaded = full_slice()
    loaded.submit(2, URGENT, step(4, URGENT_S))
    loaded.submit(3, URGENT, step(4, URGENT_S))
    loaded.plan()
    loaded.plan()
    assert len(loaded.preempted()) == 4


def test_a_late_stop_is_replaced_by_another():
    """A worker may have frozen; urgent work must not wait for it."""
    loaded = full_slice()
    loaded.submit(2, URGENT, step(2, URGENT_S))
    loaded.plan()
    loaded.freeze(loaded.preempted())
    loaded.run(STOP_S + STOP_MARGIN_S + STOP_S + 0.2)
    assert len(loaded.preempted()) == 2
    assert loaded.first_start_s(job_id(2)) <= 2 * STOP_S + STOP_MARGIN_S + 2 * STEP_S


def test_room_that_comes_free_in_parts_is_held_until_there_is_enough():
    """Small tasks of less urgent queues would take each part."""
    loaded = full_slice()
    loaded.submit(3, LONG, step(100, LONG_S))
    whole_worker = evolve(step(1, URGENT_S), size=TaskSize(4000, 100))
    urgent = loaded.submit(2, URGENT, whole_worker)
    loaded.plan()
    first, second = loaded.preempted()
    loaded.stopping_s[second] += 3 * STEP_S
    loaded.run(STOP_S + 5 * STEP_S)
    assert [run for run in loaded.started_s if run.task.job == urgent]


def test_a_hold_ends_when_the_urgent_step_is_placed():
    """The rest of the worker is for all work again."""
    loaded = full_slice()
    urgent = loaded.submit(2, URGENT, step(6, URGENT_S))
    loaded.submit(3, LONG, step(100, LONG_S))
    loaded.run(STOP_S + 3 * STEP_S)
    # Long tasks need half of a worker: room may be held for them, too.
    held = [
        worker
        for worker in loaded.harness.workers()
        if worker.is_room_held(loaded.now_s) and worker.room_held_by_job == urgent
    ]
    starts = Counter(run.task.job for run in loaded.started_s)
    assert starts[urgent] == 6
    assert not held


def test_a_hold_ends_when_the_step_does_not_need_the_room():
    """The job may be cancelled while runs are being stopped for it."""
    loaded = full_slice()
    urgent = loaded.submit(2, URGENT, step(6, URGENT_S))
    loaded.plan()
    loaded.harness.engine.cancel_job(urgent)
    loaded.run(STOP_S + STOP_MARGIN_S + ROOM_WAIT_S + 2 * STEP_S)
    running = [run for w in loaded.harness.workers() for run in w.run_by_id]
    assert len(running) == LONG_TASKS


def test_a_preempted_task_waits_with_its_checkpoint_and_nothing_is_held_against_it():
    """The queue allows one attempt: a stop that counts would fail the job."""
    loaded = full_slice()
    loaded.submit(2, URGENT, step(2, URGENT_S))
    loaded.plan()
    (stopped,) = loaded.preempted()
    stopped_at = loaded.stops[0][1].worker_id
    loaded.run(STOP_S + STEP_S)
    loaded.plan()
    engine = loaded.harness.engine
    long_job = engine.job_by_id[stopped.task.job]
    task = long_job.task(stopped.task)
    assert (task.state, task.failures) == (TaskState.WAITING, 0)
    assert (task.crashes, task.suspected) == (0, 0)
    assert not long_job.failed_s_by_worker_by_task
    assert engine.worker_by_id[stopped_at].avoid_until_s == 0
    assert task.checkpoint == f"{loaded.saved_s[stopped.task]:.2f}"
    loaded.run(PREEMPT_AGAIN_S + 2 * LONG_S)
    resumed = evolve(stopped, run=stopped.run + 1)
    assert loaded.resumed_with[resumed] == task.checkpoint
    assert long_job.progress.state is JobState.COMPLETED


def test_preempted_work_loses_only_the_stop_and_the_restore():
    """Guards against stops of which no urgent task makes use.

    The budget bounds the preempted cores of each window, and each of them loses a stop
    and a restore. Its room is idle for at most the time in which it is held.
    """
    loaded = full_slice()
    began_s = loaded.now_s
    loaded.urgent_burst(20, 0.25)
    windows = (loaded.now_s - began_s) / WINDOW_S + 1
    loaded.run(1.0)
    cores = MAX_PREEMPTED_SHARE * WORKERS * WORKER_CORES * windows
    assert 0 < loaded.lost_core_s <= cores * (STOP_S + RESTORE_S + 2 * STEP_S)
    assert loaded.idle_core_s <= cores * (STOP_MARGIN_S + ROOM_WAIT_S)


def test_the_policy_is_asked_about_full_workers_and_only_allowed_ones_make_room():
    """A stop on a worker that the policy refuses would be for nothing."""
    loaded = full_slice(uses_policy=True)
    loaded.submit(2, URGENT, step(4, URGENT_S))
    queries = loaded.plan().policy_queries
    named = {worker_id for query in queries for worker_id in query.worker_ids}
    assert named
    assert not loaded.stops
    allowed = set(sorted(named)[:3])
    for query in queries:
        loaded.harness.engine.policy_query_ended(query)
        tickets = {
            worker_id: Ticket("t", 7, loaded.now_s + 2.5)
            for worker_id in allowed.intersection(query.worker_ids)
        }
        loaded.harness.engine.policy_answered(query, tickets)
    loaded.plan()
    assert {order.worker_id for _, order in loaded.stops} <= allowed
    assert len(loaded.stops) == 2
    loaded.run(STOP_S + 2 * STEP_S)
    assert loaded.first_start_s(job_id(2)) <= STOP_S + 2 * STEP_S


def test_the_policy_is_not_asked_about_full_workers_without_preemption():
    """Such a query would be for nothing, and delay others."""
    loaded = full_slice(uses_policy=True, preempts=False)
    loaded.submit(2, URGENT, step(4, URGENT_S))
    assert not loaded.plan().policy_queries


# Complete members.


def preempting_cluster(members: int = 3) -> SimulatedCluster:
    """Return a cluster of three workers that long checkpointed work has filled."""
    cluster = make_cluster(
        members,
        engine_settings=EngineSettings(preempts=True, stop_timeout_s=0.3),
        queues=make_queues(),
        saves_checkpoints=True,
    )
    cluster.submit(job_id(1), job(step(24, 8.0, checkpointed=True)), queue=LONG)
    cluster.run(2.0)
    return cluster


def stop_lines(cluster: SimulatedCluster) -> list[dict]:
    """Return the fields of the log lines about stops of preempted runs."""
    return [
        fields
        for _, _, kind, fields in cluster.log_lines
        if kind == "stop" and fields["why"] == PREEMPTED
    ]


def test_the_log_and_a_counter_show_for_which_job_a_run_was_preempted():
    """Else nobody could tell why a long job took longer."""
    with closing(preempting_cluster(members=1)) as cluster:
        cluster.submit(job_id(2), job(step(3, 0.5)))
        cluster.run(1.5)
        assert cluster.state(job_id(2)) is JobState.COMPLETED
        lines = stop_lines(cluster)
        assert {line["for_job"] for line in lines} == {job_id(2)}
        (member,) = cluster.member_by_name.values()
        metrics = member._dependencies.metrics
        assert metrics.counter_total("preempted_total") == len(lines) == 3
        assert cluster.all_violations() == []


@pytest.mark.parametrize("after_stop_s", [0.0, 0.1, 0.29, 0.32, 0.36])
def test_a_takeover_between_stop_and_start_loses_nothing(after_stop_s: float):
    """The new owner learns of the end, or places the task that the table holds."""
    with closing(preempting_cluster()) as cluster:
        cluster.submit(job_id(2), job(step(3, 0.5)))
        while not stop_lines(cluster):
            cluster.run(0.01)
        cluster.run(after_stop_s)
        cluster.kill(cluster.owner_name())
        cluster.run(20.0)
        assert cluster.state(job_id(1)) is JobState.COMPLETED
        assert cluster.state(job_id(2)) is JobState.COMPLETED
        # A run that is stopped and one that resumes make up a whole task.
        starts = Counter(run.task for _, run, _ in cluster.starts)
        assert max(starts.values()) == 2
        assert cluster.all_violations() == []


class PreemptingMachine(SliceMachine):
    """The search of the slice, with jobs of two queues and preemption."""

    preempted = 0

    @initialize()
    def start_cluster(self) -> None:
        """Start a slice without faults, and fill it."""
        self.cluster = preempting_cluster(test_engine_model.MEMBERS)
        self.jobs = 1

    @rule(index=st.integers(0, 4), queue=st.sampled_from([URGENT, URGENT, LONG]))
    def submit(self, index: int, queue: str) -> None:
        """Submit a job to one of the queues."""
        self._submit(test_engine_model.job_specs()[index], queue)

    @rule()
    def submit_long(self) -> None:
        """Submit a job that fills what is free."""
        self._submit(job(step(12, 4.0, checkpointed=True)), LONG)

    def _submit(self, spec: JobSpec, queue: str) -> None:
        self.jobs += 1
        self.cluster.submit(job_id(self.jobs), spec, queue=queue)

    def teardown(self) -> None:
        """Count the preempted runs."""
        super().teardown()
        if self.cluster is not None:
            PreemptingMachine.preempted += len(stop_lines(self.cluster))


def test_no_violation_under_random_faults_with_preemption():
    """Guards against runs that start twice or jobs that are lost around a preemption.

    The same checks hold as without it; the seed is fixed.
    """
    few = settings(test_engine_model.SETTINGS, max_examples=SEARCH_EXAMPLES)
    run_state_machine(PreemptingMachine, few)
    assert PreemptingMachine.preempted
