"""A simulated cluster in virtual time, which checks the scheduler's guarantees.

The members run the real code. Table, workers and policy are simulated. The workers
behave as the platform's documentation says: leases on their own clocks, fencing
tokens, run numbers, and ends that are kept until they are acknowledged. Every start and
end of a run is checked, and violations of a guarantee are recorded.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import Any

from attrs import define, evolve, field
from expression import Result

from redwingrun.coordination.verdict import Failure
from redwingrun.jobs.backlog import submission_bytes
from redwingrun.jobs.engine import EngineSettings
from redwingrun.jobs.member import Member
from redwingrun.jobs.memberconfig import MemberDependencies, MemberSettings
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import (
    JobSpec,
    Queue,
    QueueSet,
    RunId,
    StepId,
    StepSpec,
    Submission,
    TaskId,
    TaskSize,
    encode_submission,
)
from redwingrun.jobs.workerpool import (
    EndKind,
    RunEnd,
    WorkerInfo,
)
from redwingrun.metrics import Metrics
from tests.helpers import (
    OK,
    FakeProcess,
    LoopClock,
    Rows,
    VirtualLoop,
    close_loop,
)
from tests.jobs.clusterports import (
    RecordingLog,
    SimulatedPeers,
    SimulatedPolicy,
    SimulatedQueues,
    SimulatedRegistry,
    SimulatedTable,
    SimulatedWorkers,
)
from tests.jobs.simulatedworker import SimulatedRun, SimulatedWorker

GANG_TIMEOUT_S = 3.0
# A task under which so many workers have crashed must not be started this often again.
CRASHES_BEFORE_LIMIT = 3
STARTS_AFTER_CRASHES = 3
QUEUE = "checks"
# Share of its cap by which the platform lets an account exceed it.
CAP_OVERAGE = 0.1
POOL = "walls"


@define
class SimulatedCluster:
    """Members, workers and the table of one slice, with faults that tests switch on.

    :ivar history_from: the table's feed has no changes before this version.
    :ivar unavailable_partitions: partitions that do not answer any member.
    :ivar registry_is_unavailable: the registrations of workers can't be read.
    :ivar published: the versions of the configuration that were read, by version.
    :ivar engine_settings: settings of the engines of the members that are added.
    :ivar saves_checkpoints: whether stopped runs of checkpointed steps save one; it
        names the seconds of work that are done.
    :ivar account: the client account on whose behalf jobs are submitted.
    :ivar revocation_timeout_s: setting of the members that are added.
    :ivar clock_rate: rate of the clocks of the members that are added.
    :ivar queues_error: raised by reads of the configuration.
    :ivar registry_changes_time_out: changes of the registrations can't be read in time;
        their present state can.
    :ivar notifications_are_lost: notifications between members are lost.
    :ivar feed_is_silent: the table's feed reports no changes.
    :ivar isolated_members: names of members that reach no peer, nor are reached.
    :ivar lost_hosts: names of former members whose hosts are lost: calls to them hang.
    :ivar calls_to_lost_hosts: caller and host of each such call.
    :ivar policy_answer_s: how long the placement policy takes for a query.
    :ivar open_member_by_name: the members that accept calls from peers.
    :ivar accepted: ids of the jobs whose submission was confirmed.
    :ivar gang_ready_s: time at which all tasks of a gang step were running, by step
        and run number.
    :ivar failing_jobs: ids of jobs whose runs all fail.
    :ivar crashing_jobs: ids of jobs whose first task crashes each worker.
    :ivar crash_delay_s: how long after its start such a task crashes its worker.
    :ivar crashes_s_by_task: times at which a worker crashed under a run of a task.
    :ivar order_delays_s: delays of the next orders to workers; their answers are lost.
    :ivar heartbeat_delays_s: the same for the next heartbeats.
    :ivar lost_answers: how many of the next answers to orders are lost.
    :ivar live_runs: worker by run, for each task with runs that have not ended.
    :ivar acked_ends: ends that the owner has acknowledged, by task and run.
    :ivar starts: time, run and worker of each start.
    :ivar violations: violations found so far; see also :meth:`all_violations`.
    :ivar log_lines: time, member, event and fields of each log line.
    """

    loop: VirtualLoop
    rows: Rows = field(factory=Rows)
    queues: QueueSet = field(factory=lambda: make_queues())
    published: dict[int, QueueSet] = field(factory=dict)
    engine_settings: EngineSettings = EngineSettings()
    saves_checkpoints: bool = False
    account: str = ""
    revocation_timeout_s: float | None = None
    clock_rate: float = 1.0
    history_from: int = 0
    unavailable_partitions: set[str] = field(factory=set)
    registry_is_unavailable: bool = False
    queues_error: Exception | None = None
    registry_changes_time_out: bool = False
    notifications_are_lost: bool = False
    feed_is_silent: bool = False
    worker_by_id: dict[str, SimulatedWorker] = field(factory=dict)
    process_by_name: dict[str, FakeProcess] = field(factory=dict)
    member_by_name: dict[str, Member] = field(factory=dict)
    isolated_members: set[str] = field(factory=set)
    lost_hosts: set[str] = field(factory=set)
    calls_to_lost_hosts: list[tuple[str, str]] = field(factory=list)
    policy_answer_s: float = 0.03
    open_member_by_name: dict[str, Member] = field(factory=dict)
    submission_by_job: dict[str, Submission] = field(factory=dict)
    accepted: set[str] = field(factory=set)
    gang_ready_s: dict[tuple[StepId, int], float] = field(factory=dict)
    failing_jobs: set[str] = field(factory=set)
    crashing_jobs: set[str] = field(factory=set)
    crash_delay_s: float = 0.01
    crashes_s_by_task: dict[TaskId, list[float]] = field(factory=dict)
    order_delays_s: list[float] = field(factory=list)
    heartbeat_delays_s: list[float] = field(factory=list)
    lost_answers: int = 0
    live_runs: dict[TaskId, dict[RunId, str]] = field(factory=dict)
    done_tasks: set[TaskId] = field(factory=set)
    end_s_by_run: dict[RunId, float] = field(factory=dict)
    acked_ends: dict[TaskId, dict[RunId, EndKind]] = field(factory=dict)
    starts: list[tuple[float, RunId, str]] = field(factory=list)
    violations: list[str] = field(factory=list)
    log_lines: list[tuple] = field(factory=list)
    _numbers: Any = field(factory=lambda: itertools.count(1))

    # Setup, and actions of tests.

    def add_worker(self, cpu_milli: int = 8000, rate: float = 1.0) -> SimulatedWorker:
        """Add a running worker.

        :param rate: speed of the worker's clock.
        """
        number = next(self._numbers)
        info = WorkerInfo(
            f"i-{number}",
            f"10.0.0.{number}:1",
            POOL,
            capacity=TaskSize(cpu_milli, 64_000, 0),
            born_ms=1000 + number,
            rack=f"r{number % 2}",
        )
        worker = SimulatedWorker(self, info, rate, boot_s=self.loop.time())
        self.worker_by_id[info.worker_id] = worker
        return worker

    def add_member(self, name: str, speed: float = 1.0) -> Member:
        """Start a member."""
        process = FakeProcess(name)
        self.process_by_name[name] = process
        dependencies = MemberDependencies(
            SimulatedTable(self, process),
            SimulatedQueues(self, process),
            SimulatedWorkers(self, process),
            SimulatedRegistry(self, process),
            SimulatedPolicy(self),
            SimulatedPeers(self, process),
            LoopClock(self.loop, self.clock_rate),
            lambda: int(self.loop.time() * 1000),
            RecordingLog(name, self),
            Metrics(),
        )
        settings = MemberSettings(
            name,
            name,
            engine=self.engine_settings,
            speed=speed,
            revocation_timeout_s=self.revocation_timeout_s,
        )
        member = Member(settings, dependencies)
        self.member_by_name[name] = member
        member.start()
        return member

    def kill(self, name: str) -> None:
        """End a member without a hand-over."""
        process = self.process_by_name.pop(name)
        process.resumed.clear()
        member = self.member_by_name.pop(name)
        self.loop.run_until_complete(member.close())

    def lose_host(self, name: str) -> None:
        """End a member, and let calls to it hang as to a host without power."""
        self.lost_hosts.add(name)
        self.kill(name)

    def leave(self, name: str) -> None:
        """Let a member release the slice and end, as in a planned stop."""
        self.loop.run_until_complete(self.member_by_name[name].leave())
        self.kill(name)

    def owner_name(self) -> str | None:
        """Return the name of the slice's owner; ``None`` if none or several own it."""
        owners = [name for name, item in self.member_by_name.items() if item.is_owner]
        return owners[0] if len(owners) == 1 else None

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def encoded_submission(self, job_id: str) -> str:
        """Return a submission as it is stored in its row."""
        return encode_submission(self.submission_by_job[job_id])

    def submit(
        self, job_id: str, spec: JobSpec, at: str = "", queue: str = QUEUE
    ) -> None:
        """Submit a job.

        :param at: name of a member; by default the first that is not paused, if
            possible one that reaches the table.
        """
        submission = Submission(queue, spec, int(self.loop.time() * 1000), self.account)
        self.submission_by_job[job_id] = submission
        running = [n for n, p in self.process_by_name.items() if p.resumed.is_set()]
        if not running:
            return
        healthy = [n for n in running if self.process_by_name[n].table_mode == OK]
        names = [at] if at else healthy or running
        member = self.member_by_name[names[0]]
        result = self.loop.run_until_complete(
            member.jobs.submit(
                job_id,
                encode_submission(submission),
                3.0,
                submission_bytes(submission.spec),
            )
        )
        if result.is_ok():
            self.accepted.add(job_id)

    def add_ready_member(self, name: str, speed: float = 1.0) -> Member:
        """Start a member, and give it 1 s to get ready."""

        async def start() -> Member:
            return self.add_member(name, speed)

        member = self.loop.run_until_complete(start())
        self.run(1.0)
        return member

    def claim_count(self) -> int:
        """Return how many times the slice was claimed."""
        return sum(1 for _, _, kind, _ in self.log_lines if kind == "claimed")

    def query_state(self, member: Member, job_id: str) -> Result[Any, Failure]:
        """Return a job's state, or the failure, as a given member reports it."""
        return self.loop.run_until_complete(member.job_store.state(job_id, 2.0))

    def cancel(self, job_id: str) -> Result[Any, Failure]:
        """Cancel a job at the first member."""
        member = next(iter(self.member_by_name.values()))
        return self.loop.run_until_complete(member.jobs.cancel(job_id, 2.8))

    def state(self, job_id: str) -> JobState | None:
        """Return a job's state as reported by a member that reaches the table."""
        names = [n for n, p in self.process_by_name.items() if p.table_mode == OK]
        member = self.member_by_name[names[0]]
        result = self.loop.run_until_complete(member.job_store.state(job_id, 3.0))
        return result.default_value(None)

    def close(self) -> None:
        """End all members, and close the event loop."""
        for name in list(self.member_by_name):
            self.kill(name)
        close_loop(self.loop)

    # Used by the workers.

    def step_of(self, task: TaskId) -> StepSpec:
        """Return the step of a task."""
        return self.submission_by_job[task.job].spec.steps[task.step]

    def fails(self, task: TaskId, worker: SimulatedWorker) -> bool:
        """Return whether a run of a task is going to fail."""
        return task.job in self.failing_jobs

    def crashes_workers(self, task: TaskId) -> bool:
        """Return whether a task crashes each worker that starts it."""
        return task.job in self.crashing_jobs and not task.index

    def has_finished(self, run: SimulatedRun, now_s: float) -> bool:
        """Return whether a run has worked for its whole duration.

        The tasks of a gang begin to work when all of them have started. Lasting tasks
        never finish.
        """
        if self.step_of(run.run_id.task).lasting:
            return False
        since_s = run.started_s
        if self.step_of(run.run_id.task).gang:
            key = (run.run_id.task.step_id, run.run_id.run)
            since_s = self.gang_ready_s.get(key, math.inf)
        return now_s >= since_s + run.duration_s

    def gang_wait_expired(self, run: SimulatedRun, now_s: float) -> bool:
        """Return whether a run has waited too long for the other tasks of its gang."""
        key = (run.run_id.task.step_id, run.run_id.run)
        if not self.step_of(run.run_id.task).gang or key in self.gang_ready_s:
            return False
        return now_s >= run.started_s + GANG_TIMEOUT_S

    def end_gang(self, run_id: RunId, kind: EndKind) -> None:
        """End the runs of the other tasks of a gang."""
        for worker in self.worker_by_id.values():
            for other in list(worker.runs.values()):
                same_step = other.run_id.task.step_id == run_id.task.step_id
                if same_step and other.run_id.run == run_id.run:
                    worker.end_with_gang(other, kind)

    def next_order_delay_s(self) -> float:
        """Remove and return the delay of the next order in seconds; 0 for none."""
        return self.order_delays_s.pop(0) if self.order_delays_s else 0.0

    def take_lost_answer(self) -> bool:
        """Return whether this order's answer is lost, and count it."""
        if not self.lost_answers:
            return False
        self.lost_answers -= 1
        return True

    # Checks.

    def check_start(self, run_id: RunId, worker: SimulatedWorker) -> None:
        """Check a start against all earlier starts and ends."""
        self.starts.append((self.loop.time(), run_id, worker.info.worker_id))
        for other in self.worker_by_id.values():
            if other.up:
                other.advance()
        others = self.live_runs.setdefault(run_id.task, {})
        if others:
            self.violations.append(f"TWICE at the same time: {run_id} and {others}")
        others[run_id] = worker.info.worker_id
        self._record_gang_start(run_id)
        submission = self.submission_by_job.get(run_id.task.job)
        if submission is None:
            self.violations.append(f"UNKNOWN JOB: {run_id}")
            return
        self._check_step_order(run_id, submission.spec)
        self._check_cap(run_id, submission.account)
        used = sum(self.step_of(key.task).size.cpu_milli for key in worker.runs)
        if used > worker.info.capacity.cpu_milli:
            self.violations.append(
                f"CAPACITY: {worker.info.worker_id} uses {used}"
                f" of {worker.info.capacity.cpu_milli} millicores"
            )

    def _check_cap(self, run_id: RunId, account: str) -> None:
        """Check that a start brings its account over its cap by one task at most."""
        known = self.queues.accounts.find_by_name(account)
        if known is None:
            return
        used = sum(
            self.step_of(task).size.cpu_milli * len(runs)
            for task, runs in self.live_runs.items()
            if self.submission_by_job[task.job].account == account
        )
        allowed = known.cap.cpu_milli * (1 + CAP_OVERAGE)
        if used > allowed + self.step_of(run_id.task).size.cpu_milli:
            self.violations.append(f"CAP: {account} uses {used} millicores at {run_id}")

    def _record_gang_start(self, run_id: RunId) -> None:
        """Record the time if all tasks of the run's gang are running now."""
        step_id = run_id.task.step_id
        members = [
            run
            for runs in self.live_runs.values()
            for run in runs
            if run.task.step_id == step_id and run.run == run_id.run
        ]
        spec = self.submission_by_job.get(run_id.task.job)
        if spec and len(members) == spec.spec.steps[step_id.step].tasks:
            self.gang_ready_s[step_id, run_id.run] = self.loop.time()

    def _check_step_order(self, run_id: RunId, spec: JobSpec) -> None:
        task = run_id.task
        for other in spec.steps[task.step].after:
            for index in range(spec.steps[other].tasks):
                before = evolve(task, step=other, index=index)
                if before not in self.done_tasks:
                    self.violations.append(
                        f"STEP ORDER: {run_id} started before {before} was done"
                    )

    def record_end(self, run_id: RunId, kind: EndKind, worker: SimulatedWorker) -> None:
        """Record the end of a run."""
        self.record_run_gone(run_id, worker)
        if kind is EndKind.DONE:
            self.done_tasks.add(run_id.task)
            if self.step_of(run_id.task).gang:
                # One successful end counts for all tasks of the gang.
                count = self.step_of(run_id.task).tasks
                self.done_tasks |= {evolve(run_id.task, index=i) for i in range(count)}
        self.end_s_by_run[run_id] = self.loop.time()

    def record_crash(self, run_id: RunId) -> None:
        """Record that a worker has crashed under a run."""
        times = self.crashes_s_by_task.setdefault(run_id.task, [])
        times.append(self.loop.time())

    def record_run_gone(self, run_id: RunId, worker: SimulatedWorker) -> None:
        """Record that a run is gone, also if it leaves no end, as after a crash."""
        self.live_runs.get(run_id.task, {}).pop(run_id, None)

    def record_acked_end(self, end: RunEnd, worker: SimulatedWorker) -> None:
        """Record an end that the owner has acknowledged, and so has stored.

        An end does not count if it was not acknowledged before the lease expired.
        """
        if end.number not in worker.expired_ends:
            self.acked_ends.setdefault(end.run_id.task, {})[end.run_id] = end.kind

    def all_violations(self) -> list[str]:
        """Return the recorded violations, and starts that acknowledged ends forbid.

        An end may be acknowledged after the start that it forbids, so those starts are
        checked here and not when they happen.
        """
        attempts = self.queues.queue_by_name[QUEUE].attempts
        found = list(self.violations)
        for started_s, run_id, _ in self.starts:
            before = [
                kind
                for other, kind in self.acked_ends.get(run_id.task, {}).items()
                if self.end_s_by_run[other] < started_s
            ]
            if EndKind.DONE in before:
                found.append(f"TWICE after a successful end: {run_id}")
            if before.count(EndKind.FAILED) >= attempts:
                found.append(f"TOO MANY ATTEMPTS: {run_id}")
        return found + self._starts_after_crashes()

    def _starts_after_crashes(self) -> list[str]:
        """Return the crashing tasks that were started too often after their crashes."""
        found = []
        for task, times in self.crashes_s_by_task.items():
            if len(times) < CRASHES_BEFORE_LIMIT or not self.crashes_workers(task):
                continue
            limit_s = sorted(times)[CRASHES_BEFORE_LIMIT - 1]
            later = [s for s, run_id, _ in self.starts if run_id.task == task]
            if sum(s > limit_s for s in later) >= STARTS_AFTER_CRASHES:
                found.append(f"STARTED AFTER {len(times)} CRASHES: {task}")
        return found


def make_queues(attempts: int = 3, uses_policy: bool = False) -> QueueSet:
    """Return a configuration with one queue."""
    queue = Queue(
        QUEUE, POOL, attempts=attempts, uses_policy=uses_policy, policy_call_ms=30
    )
    return QueueSet(1, {QUEUE: queue})


def make_cluster(members: int = 3, workers: int = 3, **fields: Any) -> SimulatedCluster:
    """Return a cluster that has run for 2 s, in which a member claims the slice.

    :param fields: initial values of fields of the cluster.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    cluster = SimulatedCluster(loop, **fields)
    for _ in range(workers):
        cluster.add_worker()

    async def start() -> None:
        for number in range(members):
            cluster.add_member(f"m{number}")

    loop.run_until_complete(start())
    cluster.run(2.0)
    return cluster


def job(*steps: StepSpec) -> JobSpec:
    """Return a job with the given steps."""
    return JobSpec("payload", steps)


def step(tasks: int = 3, seconds: float = 1.0, **more: Any) -> StepSpec:
    """Return a step of tasks that use one core each.

    :param seconds: duration of each task.
    """
    return StepSpec(tasks, TaskSize(1000, 100), estimate_ms=seconds * 1000, **more)


def job_id(number: int) -> str:
    """Return a job id in the format that clients use."""
    return f"{number:016x}"
