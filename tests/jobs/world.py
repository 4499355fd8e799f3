"""A slice in virtual time: members, table, minions and policy, with a judge.

The members are the shipping code. The minions follow the platform's pages: leases on
their own clocks, fences, run numbers, ends kept until they are acknowledged. The judge
sees every start and end, and keeps what breaks a promise.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field
from expression import Error, Ok, Result

from redwingrun.coordination.table import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Row,
    Snapshot,
    TableUnavailable,
    TableUnknown,
    Transaction,
    WatchedTable,
)
from redwingrun.coordination.verdict import Failure, may_have_run, not_run
from redwingrun.jobs.engine import EngineSettings
from redwingrun.jobs.intake import TABLE_AWAY
from redwingrun.jobs.member import Member
from redwingrun.jobs.memberparts import MemberParts, MemberSettings
from redwingrun.jobs.peerlinks import (
    LOOK_TIMEOUT_S,
    PeerLinks,
    RelayAnswer,
    RelayCall,
    RelayVerb,
)
from redwingrun.jobs.ports import (
    HoldCall,
    PolicyAnswer,
    PolicyPort,
    QueueChange,
    QueueSource,
    WorkerAddress,
    WorkerChanges,
    WorkerFault,
    WorkerPort,
    WorkerRegistry,
)
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
    AskOrder,
    EndKind,
    Refusal,
    RunEnd,
    Sighting,
    StartOrder,
    StopOrder,
    WorkerInfo,
    WorkerReport,
)
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from tests.helpers import (
    CALL_TIMEOUT_S,
    DOWN,
    OK,
    FakeTable,
    LoopClock,
    Process,
    Rows,
    VirtualLoop,
    close_loop,
)

HOP_S = 0.002
ORDER_TIMEOUT_S = 0.6
STOP_TAKES_S = 0.3
GANG_WAITS_S = 3.0
CHECKPOINT_S = 1.0
POLL_STEP_S = 0.02
QUEUE = "checks"
POOL = "walls"


class QuietLog(Log):
    """Keeps the last lines, so that a failed search can be read."""

    def __init__(self, name: str, world: World):
        super().__init__(name, "normal")
        self._name = name
        self._world = world

    def _write(self, level: Any, message: str, fields: dict[str, object]) -> None:
        if message.endswith("-task-failed"):
            self._world.breaches.append(f"CODE: {fields}")
        self._world.lines.append((self._world.loop.time(), self._name, message, fields))


class WorldTable(FakeTable, WatchedTable):
    """A process's view of the rows, with a feed."""

    def __init__(self, world: World, process: Process):
        super().__init__(world.rows, process)
        self._world = world

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction, unless its part of the table is dark."""
        if self._is_dark(transaction.writes[0].key):
            await self._stay_silent()
        return await super().transact(transaction)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return rows under a prefix, unless its part of the table is dark."""
        if self._is_dark(prefix):
            await self._stay_silent()
        return await super().scan(prefix)

    def _is_dark(self, key: str) -> bool:
        return key.split("/")[1] in self._world.dark_parts

    async def _stay_silent(self) -> None:
        await self._process.gate()
        await asyncio.sleep(CALL_TIMEOUT_S)
        await self._process.gate()
        raise TableUnknown("this part of the table is dark")

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix."""
        version = self._rows.version
        return Snapshot(await self.scan(prefix), version)

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version."""
        until_s = self._world.loop.time() + wait_s
        while True:
            await self._process.gate()
            await self._before(self._process.table_mode)
            if after < self._world.history_from:
                raise HistoryLost
            if self._world.feed_is_deaf:
                await asyncio.sleep(wait_s)
                return Changes((), (), after)
            rows = [
                row
                for row in self._rows.by_key.values()
                if row.version > after and row.key.startswith(prefix)
            ]
            dark = [row.version for row in rows if self._is_dark(row.key)]
            if dark:
                # Rows come in their order: nothing after one that can't be read.
                rows = [row for row in rows if row.version < min(dark)]
                if not rows:
                    await self._stay_silent()
                return Changes(tuple(rows), (), min(dark) - 1)
            if rows or self._world.loop.time() >= until_s:
                rows.sort(key=lambda row: row.version)
                return Changes(tuple(rows), (), self._rows.version)
            await asyncio.sleep(POLL_STEP_S)


@define
class MinionRun:
    """A run on a minion."""

    run_id: RunId
    started_s: float
    works_s: float
    saved_s: float
    fails: bool
    stopping_s: float | None = None
    alone_s: float | None = None


@define
class Minion:
    """A minion as the platform's pages describe it."""

    world: World
    info: WorkerInfo
    rate: float = 1.0
    up: bool = True
    life_s: float = 0.0
    fence: int = 0
    deadline_ms: float = 0
    runs: dict[RunId, MinionRun] = field(factory=dict)
    ends: list[RunEnd] = field(factory=list)
    next_end: int = 1
    highest_ended: dict[TaskId, int] = field(factory=dict)
    lapsed_ends: set[int] = field(factory=set)
    hangs: bool = False
    cut: set[str] = field(factory=set)

    def clock_ms(self) -> float:
        """The minion's steady clock."""
        return (self.world.loop.time() - self.life_s) * self.rate * 1000

    def crash(self) -> None:
        """Die: nothing runs, nothing answers."""
        for run_id in list(self.runs):
            self.world.judge_gone(run_id, self)
        self.runs.clear()
        self.up = False

    def start_again(self) -> None:
        """Begin a new life under the old id."""
        self.life_s = self.world.loop.time()
        self.fence = 0
        self.deadline_ms = 0
        self.ends.clear()
        self.lapsed_ends.clear()
        self.next_end = 1
        self.highest_ended.clear()
        self.up = True
        self.info = evolve(self.info, born_ms=int(self.world.loop.time() * 1000))

    def settle(self) -> None:
        """Let time do its work: ends, lapses, stops."""
        now_s = self.world.loop.time()
        if self.clock_ms() > self.deadline_ms:
            # An end whose lease lapsed before it is acknowledged isn't taken note of.
            self.lapsed_ends.update(end.number for end in self.ends)
            for run in list(self.runs.values()):
                if run.run_id in self.runs:
                    self._end(run, EndKind.LAPSED)
        for run in list(self.runs.values()):
            if run.run_id not in self.runs:
                continue
            if run.stopping_s is not None and now_s >= run.stopping_s:
                self._end(run, EndKind.STOPPED)
            elif self.world.is_alone(run, now_s):
                self._end(run, EndKind.ALONE)
            elif not self.hangs and self.world.has_worked(run, now_s):
                self._end(run, EndKind.FAILED if run.fails else EndKind.DONE)

    def _end(self, run: MinionRun, kind: EndKind) -> None:
        del self.runs[run.run_id]
        task = run.run_id.task
        before = self.highest_ended.get(task, 0)
        self.highest_ended[task] = max(before, run.run_id.run)
        self.ends.append(RunEnd(self.next_end, run.run_id, kind, ""))
        self.next_end += 1
        self.world.judge_end(run.run_id, kind, self)
        if kind is not EndKind.BROKEN and self.world.step_of(task).gang:
            others = EndKind.DONE if kind is EndKind.DONE else EndKind.BROKEN
            self.world.end_gang(run.run_id, others)

    def end_as_member(self, run: MinionRun, kind: EndKind) -> None:
        """End a run because another member of its gang ended."""
        del self.runs[run.run_id]
        task = run.run_id.task
        before = self.highest_ended.get(task, 0)
        self.highest_ended[task] = max(before, run.run_id.run)
        self.ends.append(RunEnd(self.next_end, run.run_id, kind, ""))
        self.next_end += 1
        self.world.judge_end(run.run_id, kind, self)

    def start(
        self, order: StartOrder, fence: int, deadline_ms: float
    ) -> Refusal | None:
        """Carry out a start."""
        self.settle()
        if fence < self.fence:
            return Refusal.FENCE
        self.fence = fence
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        if order.run_id in self.runs:
            return None
        if order.run_id.run <= self.highest_ended.get(order.run_id.task, 0):
            return Refusal.OLD
        if any(run_id.task == order.run_id.task for run_id in self.runs):
            return Refusal.OLD
        if self.clock_ms() >= self.deadline_ms:
            return Refusal.LATE
        spec = self.world.step_of(order.run_id.task)
        run = MinionRun(
            order.run_id,
            self.world.loop.time(),
            spec.estimate_ms / 1000,
            0.0,
            fails=self.world.fails(order.run_id.task, self),
        )
        self.runs[order.run_id] = run
        self.world.judge_start(order.run_id, self)
        return None

    def stop(self, order: StopOrder, fence: int) -> Refusal | None:
        """Carry out a stop."""
        self.settle()
        if fence < self.fence:
            return Refusal.FENCE
        self.fence = fence
        task = order.run_id.task
        before = self.highest_ended.get(task, 0)
        self.highest_ended[task] = max(before, order.run_id.run)
        for run_id, run in self.runs.items():
            if run_id.task == task and run_id.run <= order.run_id.run:
                run.stopping_s = run.stopping_s or self.world.loop.time() + STOP_TAKES_S
        return None

    def hold(self, call: HoldCall) -> Refusal | None:
        """Take a hold's lease and acknowledgement."""
        self.settle()
        if call.fence < self.fence:
            return Refusal.FENCE
        self.fence = call.fence
        if call.deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, call.deadline_ms)
        for end in self.ends:
            if end.number <= call.seen_end:
                self.world.judge_noted(end, self)
        self.ends = [end for end in self.ends if end.number > call.seen_end]
        return None

    def report(self) -> WorkerReport:
        """Return the lists."""
        now_s = self.world.loop.time()
        running = tuple(
            Sighting(
                run.run_id,
                "",
                0
                if self.hangs
                else round(100 * (now_s - run.started_s) / max(0.001, run.works_s)),
            )
            for run in self.runs.values()
        )
        return WorkerReport(
            self.clock_ms(), running, tuple(self.ends), self.info.born_ms
        )


class WorldWorkers(WorkerPort):
    """A process's calls to minions."""

    def __init__(self, world: World, process: Process):
        self._world = world
        self._process = process

    async def _reach(self, target: WorkerAddress) -> Minion | None:
        await self._process.gate()
        await asyncio.sleep(HOP_S)
        minion = self._world.minion_by_id[target.worker_id]
        if not minion.up or self._process.name in minion.cut:
            return None
        return minion

    async def _order(
        self, target: WorkerAddress, act: Callable[[Minion], Refusal | None]
    ) -> Result[float, WorkerFault]:
        minion = await self._reach(target)
        if minion is None:
            return await self._silent(target)
        late_s = self._world.order_late_s()
        if late_s:
            self._world.loop.call_later(late_s, self._late, minion, act)
            return await self._silent(target)
        refusal = act(minion)
        if self._world.answer_is_lost():
            return await self._silent(target)
        await asyncio.sleep(HOP_S)
        await self._process.gate()
        if refusal is not None:
            return Error(WorkerFault(not_run(refusal.value), refusal))
        return Ok(minion.clock_ms())

    def _late(self, minion: Minion, act: Callable[[Minion], Refusal | None]) -> None:
        if minion.up:
            act(minion)

    async def _silent(self, target: WorkerAddress) -> Result[Any, WorkerFault]:
        minion = self._world.minion_by_id[target.worker_id]
        if not target.address:
            return Error(WorkerFault(not_run("not-connected")))
        if not minion.up:
            return Error(WorkerFault(not_run("connection-refused"), dead=True))
        await asyncio.sleep(ORDER_TIMEOUT_S)
        await self._process.gate()
        return Error(WorkerFault(may_have_run("timeout")))

    async def start(
        self, target: WorkerAddress, order: StartOrder, fence: int, deadline_ms: float
    ) -> Result[float, WorkerFault]:
        """Start a run."""
        return await self._order(target, lambda m: m.start(order, fence, deadline_ms))

    async def stop(
        self, target: WorkerAddress, order: StopOrder, fence: int
    ) -> Result[float, WorkerFault]:
        """Stop a run."""
        return await self._order(target, lambda m: m.stop(order, fence))

    async def pace(
        self, target: WorkerAddress, run_id: RunId, percent: int, fence: int
    ) -> Result[float, WorkerFault]:
        """Do nothing: the world has no fillers."""
        return await self._order(target, lambda m: None)

    async def hold(
        self, target: WorkerAddress, call: HoldCall
    ) -> Result[WorkerReport, WorkerFault]:
        """Renew leases and return the lists."""
        minion = await self._reach(target)
        if minion is None:
            return await self._silent(target)
        refusal = minion.hold(call)
        until_s = self._world.loop.time() + call.wait_s
        while refusal is None and self._world.loop.time() < until_s:
            if minion.ends or not minion.up:
                break
            await asyncio.sleep(POLL_STEP_S)
            minion.settle()
        if not minion.up or self._process.name in minion.cut:
            return await self._silent(target)
        report = minion.report()
        await asyncio.sleep(HOP_S)
        await self._process.gate()
        if refusal is not None:
            return Error(WorkerFault(not_run(refusal.value), refusal))
        return Ok(report)


class WorldRegistry(WorkerRegistry):
    """The minions that are up."""

    def __init__(self, world: World, process: Process):
        self._world = world
        self._process = process

    async def load(self) -> WorkerChanges:
        """Return all."""
        await self._process.gate()
        await asyncio.sleep(HOP_S)
        if self._world.registry_is_dark:
            raise TableUnknown("the registrations can't be read")
        infos = tuple(
            minion.info for minion in self._world.minion_by_id.values() if minion.up
        )
        return WorkerChanges(infos, (), 0, whole=True)

    async def changes(self, after: int, wait_s: float) -> WorkerChanges:
        """Return all, a while later."""
        await asyncio.sleep(wait_s)
        return await self.load()


class WorldQueues(QueueSource):
    """One configuration for ever."""

    def __init__(self, world: World, process: Process):
        self._world = world
        self._process = process

    async def load(self) -> QueueChange:
        """Return it."""
        await self._process.gate()
        return QueueChange(self._world.queues, 1)

    async def changes(self, after: int, wait_s: float) -> QueueChange:
        """Return nothing newer."""
        await asyncio.sleep(wait_s)
        await self._process.gate()
        if self._process.table_mode == DOWN:
            raise TableUnavailable(DOWN)
        return QueueChange(None, 1)


class WorldPolicy(PolicyPort):
    """Allows every worker."""

    async def ask(
        self, step_id: StepId, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Answer after a while."""
        await asyncio.sleep(0.03)
        return Ok(PolicyAnswer(dict.fromkeys(worker_ids, "t"), 2.0))


class WorldPeers(PeerLinks):
    """Members call each other directly, while both run."""

    def __init__(self, world: World, process: Process):
        self._world = world
        self._process = process

    async def open(self, member: Member, secret: str) -> None:
        """Be reachable."""
        self._world.open_member[self._process.name] = member

    async def close(self) -> None:
        """Be gone."""
        self._world.open_member.pop(self._process.name, None)

    async def _reach(self, address: str) -> Member | None:
        await self._process.gate()
        await asyncio.sleep(HOP_S)
        process = self._world.process_by_name.get(address)
        if process is None or not process.paused.is_set():
            return None
        return self._world.open_member.get(address)

    async def ask(
        self, address: str, order: AskOrder, timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Have a peer ask."""
        member = await self._reach(address)
        if member is None:
            return Error(not_run("peer-lost"))
        return await member.ask_here(order, timeout_s)

    async def relay(
        self, address: str, call: RelayCall, timeout_s: float
    ) -> Result[RelayAnswer, Failure]:
        """Have a peer carry out a request."""
        member = await self._reach(address)
        if member is None:
            await asyncio.sleep(timeout_s)
            return Error(not_run("peer-lost"))
        if member.table_is_away():
            return Error(not_run(TABLE_AWAY))
        if call.verb is RelayVerb.SUBMIT:
            done = await member.intake.submit(call.job_id, call.submission, timeout_s)
            return done.map(lambda _: RelayAnswer(True, JobState.QUEUED))
        if call.verb is RelayVerb.CANCEL:
            done = await member.intake.cancel(call.job_id, timeout_s)
            return done.map(lambda known: RelayAnswer(known, JobState.QUEUED))
        done = await member.intake.state(call.job_id, timeout_s)
        return done.map(
            lambda state: RelayAnswer(state is not None, state or JobState.QUEUED)
        )

    async def tell(self, address: str, job_id: str, submission: str) -> bool:
        """Tell the owner."""
        member = await self._reach(address)
        if member is None or self._world.peers_are_deaf:
            return False
        member.hear(job_id, submission)
        return True

    async def is_gone(self, address: str) -> bool:
        """Tell whether a member was killed; a frozen one doesn't answer for a while."""
        await self._process.gate()
        await asyncio.sleep(HOP_S)
        process = self._world.process_by_name.get(address)
        if process is not None and not process.paused.is_set():
            await asyncio.sleep(LOOK_TIMEOUT_S)
        return process is None

    async def look(
        self, address: str, claim: bool, hands_over: str = ""
    ) -> float | None:
        """Look at a peer."""
        member = await self._reach(address)
        if member is None:
            return None
        if claim:
            member.look_now(hands_over)
        return member.owner_row_age_s()


@define
class World:
    """Everything, and what went wrong."""

    loop: VirtualLoop
    rows: Rows = field(factory=Rows)
    queues: QueueSet = field(factory=lambda: make_queues())
    history_from: int = 0
    dark_parts: set[str] = field(factory=set)
    registry_is_dark: bool = False
    peers_are_deaf: bool = False
    feed_is_deaf: bool = False
    minion_by_id: dict[str, Minion] = field(factory=dict)
    process_by_name: dict[str, Process] = field(factory=dict)
    member_by_name: dict[str, Member] = field(factory=dict)
    open_member: dict[str, Member] = field(factory=dict)
    submissions: dict[str, Submission] = field(factory=dict)
    accepted: set[str] = field(factory=set)
    gang_ready_s: dict[tuple[StepId, int], float] = field(factory=dict)
    poison: set[str] = field(factory=set)
    late_orders: list[float] = field(factory=list)
    lost_answers: int = 0
    live: dict[TaskId, dict[RunId, str]] = field(factory=dict)
    done: set[TaskId] = field(factory=set)
    end_s: dict[RunId, float] = field(factory=dict)
    noted: dict[TaskId, dict[RunId, EndKind]] = field(factory=dict)
    starts: list[tuple[float, RunId, str]] = field(factory=list)
    breaches: list[str] = field(factory=list)
    lines: list[tuple] = field(factory=list)
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
        process = Process(name)
        self.process_by_name[name] = process
        parts = MemberParts(
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

    def add_member_now(self, name: str, speed: float = 1.0) -> Member:
        """Start a member, and let it get ready."""

        async def start() -> Member:
            return self.add_member(name, speed)

        member = self.loop.run_until_complete(start())
        self.run(1.0)
        return member

    def claims(self) -> int:
        """Return how often the slice was claimed."""
        return sum(1 for _, _, kind, _ in self.lines if kind == "claimed")

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
        return task.job in self.poison

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
        return self.late_orders.pop(0) if self.late_orders else 0.0

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
            self.breaches.append(f"TWICE at the same time: {run_id} beside {live}")
        live[run_id] = minion.info.worker_id
        self._gather_gang(run_id)
        submission = self.submissions.get(run_id.task.job)
        if submission is None:
            self.breaches.append(f"UNASKED: {run_id}")
            return
        self._judge_order(run_id, submission.spec)
        used = sum(self.step_of(key.task).size.cpu_milli for key in minion.runs)
        if used > minion.info.capacity.cpu_milli:
            self.breaches.append(f"LIMIT: {minion.info.worker_id} has {used}")

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
                    self.breaches.append(f"ORDER: {run_id} before {before}")

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

    def broken(self) -> list[str]:
        """Return what was broken, with what the ends noted since say of the starts."""
        attempts = self.queues.queue_by_name[QUEUE].attempts
        found = list(self.breaches)
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


def make_queues(attempts: int = 3, gated: bool = False) -> QueueSet:
    """Return a configuration with one queue."""
    queue = Queue(QUEUE, POOL, attempts=attempts, gated=gated, decide_ms=30)
    return QueueSet(1, {QUEUE: queue})


def make_world(members: int = 3, minions: int = 3) -> World:
    """Return a world whose slice is owned."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = World(loop)
    for _ in range(minions):
        world.add_minion()

    async def start() -> None:
        for number in range(members):
            world.add_member(f"m{number}")

    loop.run_until_complete(start())
    world.run(2.0)
    return world


def job(*steps: StepSpec) -> JobSpec:
    """Return a job of these steps."""
    return JobSpec("payload", steps)


def step(tasks: int = 3, seconds: float = 1.0, **more: Any) -> StepSpec:
    """Return a step of tasks that take a core each."""
    return StepSpec(tasks, TaskSize(1000, 100), estimate_ms=seconds * 1000, **more)


def job_id(number: int) -> str:
    """Return an id as clients choose them."""
    return f"{number:016x}"
