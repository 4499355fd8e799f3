"""What the members of a world work with: every call may be lost, late or refused."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from redwingrun.coordination.table import (
    Changes,
    Committed,
    Conflict,
    HistoryTruncated,
    Row,
    Snapshot,
    TableUnavailable,
    TableUnknown,
    Transaction,
    WatchableTable,
)
from redwingrun.coordination.verdict import Failure, may_have_run, not_run
from redwingrun.jobs.jobstore import TABLE_AWAY
from redwingrun.jobs.member import Member
from redwingrun.jobs.peerlinks import (
    LOOK_TIMEOUT_S,
    PeerLinks,
    RelayAnswer,
    RelayCall,
    RelayVerb,
)
from redwingrun.jobs.ports import (
    Heartbeat,
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
    RunId,
    StepId,
)
from redwingrun.jobs.workerpool import (
    PolicyQuery,
    Refusal,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from redwingrun.logs import Log
from tests.helpers import (
    CALL_TIMEOUT_S,
    DOWN,
    FakeProcess,
    FakeTable,
)
from tests.jobs.minion import Minion

if TYPE_CHECKING:
    from tests.jobs.cluster import SimulatedCluster

HOP_S = 0.002
ORDER_TIMEOUT_S = 0.6
POLL_STEP_S = 0.02


class QuietLog(Log):
    """Keeps the last lines, so that a failed search can be read."""

    def __init__(self, name: str, cluster: SimulatedCluster):
        super().__init__(name, "normal")
        self._name = name
        self._world = cluster

    def _write(self, level: Any, message: str, fields: dict[str, object]) -> None:
        if message.endswith("-task-failed"):
            self._world.violations.append(f"CODE: {fields}")
        self._world.log_lines.append(
            (self._world.loop.time(), self._name, message, fields)
        )


class WorldTable(FakeTable, WatchableTable):
    """A process's view of the rows, with a feed."""

    def __init__(self, cluster: SimulatedCluster, process: FakeProcess):
        super().__init__(cluster.rows, process)
        self._world = cluster

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
        return key.split("/")[1] in self._world.unavailable_partitions

    async def _stay_silent(self) -> None:
        await self._process.wait_until_resumed()
        await asyncio.sleep(CALL_TIMEOUT_S)
        await self._process.wait_until_resumed()
        raise TableUnknown("this part of the table is dark")

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix."""
        version = self._rows.version
        return Snapshot(await self.scan(prefix), version)

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version."""
        until_s = self._world.loop.time() + wait_s
        while True:
            await self._process.wait_until_resumed()
            await self._before(self._process.table_mode)
            if after < self._world.history_from:
                raise HistoryTruncated
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


class WorldWorkers(WorkerPort):
    """A process's calls to minions."""

    def __init__(self, cluster: SimulatedCluster, process: FakeProcess):
        self._world = cluster
        self._process = process

    async def _reach(self, target: WorkerAddress) -> Minion | None:
        await self._process.wait_until_resumed()
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
        await self._process.wait_until_resumed()
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
        await self._process.wait_until_resumed()
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

    async def heartbeat(
        self, target: WorkerAddress, call: Heartbeat
    ) -> Result[WorkerReport, WorkerFault]:
        """Renew leases and return the lists."""
        minion = await self._reach(target)
        if minion is None:
            return await self._silent(target)
        refusal = minion.heartbeat(call)
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
        await self._process.wait_until_resumed()
        if refusal is not None:
            return Error(WorkerFault(not_run(refusal.value), refusal))
        return Ok(report)


class WorldRegistry(WorkerRegistry):
    """The minions that are up."""

    def __init__(self, cluster: SimulatedCluster, process: FakeProcess):
        self._world = cluster
        self._process = process

    async def load(self) -> WorkerChanges:
        """Return all."""
        await self._process.wait_until_resumed()
        await asyncio.sleep(HOP_S)
        if self._world.registry_is_dark:
            raise TableUnknown("the registrations can't be read")
        infos = tuple(
            minion.info for minion in self._world.minion_by_id.values() if minion.up
        )
        return WorkerChanges(infos, (), 0, is_snapshot=True)

    async def changes(self, after: int, wait_s: float) -> WorkerChanges:
        """Return all, a while later."""
        await asyncio.sleep(wait_s)
        return await self.load()


class WorldQueues(QueueSource):
    """One configuration for ever."""

    def __init__(self, cluster: SimulatedCluster, process: FakeProcess):
        self._world = cluster
        self._process = process

    async def load(self) -> QueueChange:
        """Return it."""
        await self._process.wait_until_resumed()
        return QueueChange(self._world.queues, 1)

    async def changes(self, after: int, wait_s: float) -> QueueChange:
        """Return nothing newer."""
        await asyncio.sleep(wait_s)
        await self._process.wait_until_resumed()
        if self._process.table_mode == DOWN:
            raise TableUnavailable(DOWN)
        return QueueChange(None, 1)


class WorldPolicy(PolicyPort):
    """Allows every worker."""

    async def query_policy(
        self, step_id: StepId, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Answer after a while."""
        await asyncio.sleep(0.03)
        return Ok(PolicyAnswer(dict.fromkeys(worker_ids, "t"), 2.0))


class WorldPeers(PeerLinks):
    """Members call each other directly, while both run."""

    def __init__(self, cluster: SimulatedCluster, process: FakeProcess):
        self._world = cluster
        self._process = process

    async def open(self, member: Member, secret: str) -> None:
        """Be reachable."""
        self._world.open_member[self._process.name] = member

    async def close(self) -> None:
        """Be gone."""
        self._world.open_member.pop(self._process.name, None)

    async def _reach(self, address: str) -> Member | None:
        await self._process.wait_until_resumed()
        await asyncio.sleep(HOP_S)
        process = self._world.process_by_name.get(address)
        if process is None or not process.paused.is_set():
            return None
        return self._world.open_member.get(address)

    async def query_policy(
        self, address: str, order: PolicyQuery, timeout_s: float
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
        await self._process.wait_until_resumed()
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
            member.poll_owner_row(hands_over)
        return member.owner_row_age_s()
