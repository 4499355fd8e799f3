"""A slice in virtual time: members, table, minions and policy, with a judge.

The members are the shipping code. The minions follow the platform's pages: leases on
their own clocks, fences, run numbers, ends kept until they are acknowledged. The judge
sees every start and end, and keeps what breaks a promise.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import Any

from attrs import define, evolve, field
from expression import Result

from redwingrun.coordination.verdict import Failure
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
    QuietLog,
    WorldPeers,
    WorldPolicy,
    WorldQueues,
    WorldRegistry,
    WorldTable,
    WorldWorkers,
)
from tests.jobs.minion import Minion, MinionRun

GANG_WAITS_S = 3.0
QUEUE = "checks"
POOL = "walls"


@define
class SimulatedCluster:
    """Everything, and what went wrong."""

    loop: VirtualLoop
    rows: Rows = field(factory=Rows)
    queues: QueueSet = field(factory=lambda: make_queues())
    history_from: int = 0
    unavailable_partitions: set[str] = field(factory=set)
    registry_is_dark: bool = False
    peers_are_deaf: bool = False
    feed_is_deaf: bool = False
    minion_by_id: dict[str, Minion] = field(factory=dict)
    process_by_name: dict[str, FakeProcess] = field(factory=dict)
    member_by_name: dict[str, Member] = field(factory=dict)
    open_member: dict[str, Member] = field(factory=dict)
    submissions: dict[str, Submission] = field(factory=dict)
    accepted: set[str] = field(factory=set)
    gang_ready_s: dict[tuple[StepId, int], float] = field(factory=dict)
    failing_jobs: set[str] = field(factory=set)
    order_delays_s: list[float] = field(factory=list)
    lost_answers: int = 0
    live: dict[TaskId, dict[RunId, str]] = field(factory=dict)
    done: set[TaskId] = field(factory=set)
    end_s: dict[RunId, float] = field(factory=dict)
    noted: dict[TaskId, dict[RunId, EndKind]] = field(factory=dict)
    starts: list[tuple[float, RunId, str]] = field(factory=list)
    violations: list[str] = field(factory=list)
    log_lines: list[tuple] = field(factory=list)
    _numbers: Any = field(factory=lambda: itertools.count(1))

    # Setting up.

    def add_minion(self, cpu_milli: int = 8000, rate: float = 1.0) -> Minion:
        """Add a minion that is up."""
        number = next(self._numbers)
        info = WorkerInfo(
            f"i-{number}",
            f"10.0.0.{number}:1",
            POOL,
            capacity=TaskSize(cpu_milli, 64_000, 0),
            born_ms=1000 + number,
            rack=f"r{number % 2}",
        )
        minion = Minion(self, info, rate, life_s=self.loop.time())
        self.minion_by_id[info.worker_id] = minion
        return minion

    def add_member(self, name: str, speed: float = 1.0) -> Member:
        """Start a member."""
        process = FakeProcess(name)
        self.process_by_name[name] = process
        parts = MemberDependencies(
            WorldTable(self, process),
            WorldQueues(self, process),
            WorldWorkers(self, process),
            WorldRegistry(self, process),
            WorldPolicy(),
            WorldPeers(self, process),
            LoopClock(self.loop),
            lambda: int(self.loop.time() * 1000),
            QuietLog(name, self),
            Metrics(),
        )
        settings = MemberSettings(name, name, engine=EngineSettings(), speed=speed)
        member = Member(settings, parts)
        self.member_by_name[name] = member
        member.start()
        return member

    def kill(self, name: str) -> None:
        """End a member at once."""
        process = self.process_by_name.pop(name)
        process.paused.clear()
        member = self.member_by_name.pop(name)
        self.loop.run_until_complete(member.close())

    def leave(self, name: str) -> None:
        """Let a member hand over and end, as at a planned stop."""
        self.loop.run_until_complete(self.member_by_name[name].leave())
        self.kill(name)

    def owner_name(self) -> str | None:
        """Return the member that owns the slice."""
        owners = [name for name, item in self.member_by_name.items() if item.is_owner]
        return owners[0] if len(owners) == 1 else None

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def encoded(self, job_id: str) -> str:
        """Return a submission as its row holds it."""
        return encode_submission(self.submissions[job_id])

    def submit(self, job_id: str, spec: JobSpec, at: str = "") -> None:
        """Hand in a job at a member, by default at the first one that is well."""
        submission = Submission(QUEUE, spec, int(self.loop.time() * 1000))
        self.submissions[job_id] = submission
        awake = [n for n, p in self.process_by_name.items() if p.paused.is_set()]
        if not awake:
            return
        served = [n for n in awake if self.process_by_name[n].table_mode == OK]
        names = [at] if at else served or awake
        member = self.member_by_name[names[0]]
        result = self.loop.run_until_complete(
            member.jobs.submit(job_id, encode_submission(submission), 3.0)
        )
        if result.is_ok():
            self.accepted.add(job_id)

    def add_ready_member(self, name: str, speed: float = 1.0) -> Member:
        """Start a member, and let it get ready."""

        async def start() -> Member:
            return self.add_member(name, speed)

        member = self.loop.run_until_complete(start())
        self.run(1.0)
        return member

    def claim_count(self) -> int:
        """Return how often the slice was claimed."""
        return sum(1 for _, _, kind, _ in self.log_lines if kind == "claimed")

    def ask_state(self, member: Member, job_id: str) -> Result[Any, Failure]:
        """Ask one member for a job's state."""
        return self.loop.run_until_complete(member.intake.state(job_id, 2.0))

    def cancel(self, job_id: str) -> Result[Any, Failure]:
        """Cancel a job at some member."""
        member = next(iter(self.member_by_name.values()))
        return self.loop.run_until_complete(member.jobs.cancel(job_id, 2.8))

    def state(self, job_id: str) -> JobState | None:
        """Ask a healthy member for a job's state."""
        names = [n for n, p in self.process_by_name.items() if p.table_mode == OK]
        member = self.member_by_name[names[0]]
        result = self.loop.run_until_complete(member.intake.state(job_id, 3.0))
        return result.default_value(None)

    def close(self) -> None:
        """End everything."""
        for name in list(self.member_by_name):
            self.kill(name)
        close_loop(self.loop)

    # What the minions ask.

    def step_of(self, task: TaskId) -> StepSpec:
        """Return the step of a task."""
        return self.submissions[task.job].spec.steps[task.step]

    def fails(self, task: TaskId, minion: Minion) -> bool:
        """Tell whether a run will fail by its own fault."""
        return task.job in self.failing_jobs

    def has_worked(self, run: MinionRun, now_s: float) -> bool:
        """Tell whether a run has worked for as long as it takes."""
        since_s = run.started_s
        if self.step_of(run.run_id.task).gang:
            key = (run.run_id.task.step_id, run.run_id.run)
            since_s = self.gang_ready_s.get(key, math.inf)
        return now_s >= since_s + run.works_s

    def is_alone(self, run: MinionRun, now_s: float) -> bool:
        """Tell whether a gang's member has waited too long for the others."""
        key = (run.run_id.task.step_id, run.run_id.run)
        if not self.step_of(run.run_id.task).gang or key in self.gang_ready_s:
            return False
        return now_s >= run.started_s + GANG_WAITS_S

    def end_gang(self, run_id: RunId, kind: EndKind) -> None:
        """End the other members of a gang's run."""
        for minion in self.minion_by_id.values():
            for other in list(minion.runs.values()):
                same_step = other.run_id.task.step_id == run_id.task.step_id
                if same_step and other.run_id.run == run_id.run:
                    minion.end_as_member(other, kind)

    def order_late_s(self) -> float:
        """Return by how much the next order is carried out late; 0 for at once."""
        return self.order_delays_s.pop(0) if self.order_delays_s else 0.0

    def answer_is_lost(self) -> bool:
        """Tell whether the next order's answer is lost."""
        if not self.lost_answers:
            return False
        self.lost_answers -= 1
        return True

    # The judge.

    def judge_start(self, run_id: RunId, minion: Minion) -> None:
        """Check a start against everything before it."""
        self.starts.append((self.loop.time(), run_id, minion.info.worker_id))
        for other in self.minion_by_id.values():
            if other.up:
                other.settle()
        live = self.live.setdefault(run_id.task, {})
        if live:
            self.violations.append(f"TWICE at the same time: {run_id} beside {live}")
        live[run_id] = minion.info.worker_id
        self._gather_gang(run_id)
        submission = self.submissions.get(run_id.task.job)
        if submission is None:
            self.violations.append(f"UNASKED: {run_id}")
            return
        self._judge_order(run_id, submission.spec)
        used = sum(self.step_of(key.task).size.cpu_milli for key in minion.runs)
        if used > minion.info.capacity.cpu_milli:
            self.violations.append(f"LIMIT: {minion.info.worker_id} has {used}")

    def _gather_gang(self, run_id: RunId) -> None:
        step_id = run_id.task.step_id
        members = [
            run
            for runs in self.live.values()
            for run in runs
            if run.task.step_id == step_id and run.run == run_id.run
        ]
        spec = self.submissions.get(run_id.task.job)
        if spec and len(members) == spec.spec.steps[step_id.step].tasks:
            self.gang_ready_s[step_id, run_id.run] = self.loop.time()

    def _judge_order(self, run_id: RunId, spec: JobSpec) -> None:
        task = run_id.task
        for other in spec.steps[task.step].after:
            for index in range(spec.steps[other].tasks):
                before = evolve(task, step=other, index=index)
                if before not in self.done:
                    self.violations.append(f"ORDER: {run_id} before {before}")

    def judge_end(self, run_id: RunId, kind: EndKind, minion: Minion) -> None:
        """Take an end."""
        self.judge_gone(run_id, minion)
        if kind is EndKind.DONE:
            self.done.add(run_id.task)
            if self.step_of(run_id.task).gang:
                # One such end stands for all members.
                count = self.step_of(run_id.task).tasks
                self.done |= {evolve(run_id.task, index=i) for i in range(count)}
        self.end_s[run_id] = self.loop.time()

    def judge_gone(self, run_id: RunId, minion: Minion) -> None:
        """Take the end of a run that may have no end listed."""
        self.live.get(run_id.task, {}).pop(run_id, None)

    def judge_noted(self, end: RunEnd, minion: Minion) -> None:
        """Take an acknowledged end: it stands for good."""
        if end.number not in minion.lapsed_ends:
            self.noted.setdefault(end.run_id.task, {})[end.run_id] = end.kind

    def all_violations(self) -> list[str]:
        """Return what was broken, with what the ends noted since say of the starts."""
        attempts = self.queues.queue_by_name[QUEUE].attempts
        found = list(self.violations)
        for started_s, run_id, _ in self.starts:
            before = [
                kind
                for other, kind in self.noted.get(run_id.task, {}).items()
                if self.end_s[other] < started_s
            ]
            if EndKind.DONE in before:
                found.append(f"TWICE after done: {run_id}")
            if before.count(EndKind.FAILED) >= attempts:
                found.append(f"BUDGET: {run_id}")
        return found


def make_queues(attempts: int = 3, uses_policy: bool = False) -> QueueSet:
    """Return a configuration with one queue."""
    queue = Queue(
        QUEUE, POOL, attempts=attempts, uses_policy=uses_policy, policy_call_ms=30
    )
    return QueueSet(1, {QUEUE: queue})


def make_cluster(members: int = 3, minions: int = 3) -> SimulatedCluster:
    """Return a world whose slice is owned."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    cluster = SimulatedCluster(loop)
    for _ in range(minions):
        cluster.add_minion()

    async def start() -> None:
        for number in range(members):
            cluster.add_member(f"m{number}")

    loop.run_until_complete(start())
    cluster.run(2.0)
    return cluster


def job(*steps: StepSpec) -> JobSpec:
    """Return a job of these steps."""
    return JobSpec("payload", steps)


def step(tasks: int = 3, seconds: float = 1.0, **more: Any) -> StepSpec:
    """Return a step of tasks that take a core each."""
    return StepSpec(tasks, TaskSize(1000, 100), estimate_ms=seconds * 1000, **more)


def job_id(number: int) -> str:
    """Return an id as clients choose them."""
    return f"{number:016x}"
