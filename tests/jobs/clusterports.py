"""The simulated services that members call; a call may be lost, late or refused."""

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
from redwingrun.jobs.configanswer import ConfigAnswer
from redwingrun.jobs.jobstore import TABLE_UNAVAILABLE
from redwingrun.jobs.member import Member
from redwingrun.jobs.peerlinks import (
    CONFIG_TIMEOUT_S,
    LIVENESS_TIMEOUT_S,
    NOTIFY_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    Liveness,
    PeerFailure,
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
    QueueSet,
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
from tests.jobs.simulatedworker import SimulatedWorker

if TYPE_CHECKING:
    from tests.jobs.cluster import SimulatedCluster

# One way between two hosts.
HOP_DELAY_S = 0.002
ORDER_TIMEOUT_S = 0.6
POLL_STEP_S = 0.02


class RecordingLog(Log):
    """A log that keeps its lines, to explain the failure of a randomized test.

    A failed background task of a member is recorded as a violation.
    """

    def __init__(self, name: str, cluster: SimulatedCluster):
        super().__init__(name, "normal")
        self._name = name
        self._cluster = cluster

    def _write(self, level: Any, message: str, fields: dict[str, object]) -> None:
        if message.endswith("-task-failed"):
            self._cluster.violations.append(f"TASK FAILED: {fields}")
        self._cluster.log_lines.append(
            (self._cluster.loop.time(), self._name, message, fields)
        )


class SimulatedTable(FakeTable, WatchableTable):
    """A process's access to the cluster's rows, and the feed of their changes."""

    def __init__(self, cluster: SimulatedCluster, process: FakeProcess):
        super().__init__(cluster.rows, process)
        self._cluster = cluster

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction, unless its partition is unavailable."""
        if self._is_unavailable(transaction.writes[0].key):
            await self._time_out()
        return await super().transact(transaction)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows under a prefix, unless its partition is unavailable."""
        if self._is_unavailable(prefix):
            await self._time_out()
        return await super().scan(prefix)

    def _is_unavailable(self, key: str) -> bool:
        return key.split("/")[1] in self._cluster.unavailable_partitions

    async def _time_out(self) -> None:
        await self._process.wait_until_resumed()
        await asyncio.sleep(CALL_TIMEOUT_S)
        await self._process.wait_until_resumed()
        raise TableUnknown("this partition of the table is unavailable")

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix."""
        version = self._rows.version
        return Snapshot(await self.scan(prefix), version)

    async def snapshot_row(self, key: str) -> Snapshot:
        """Return one row."""
        version = self._rows.version
        row = await self.read(key)
        return Snapshot((row,) if row else (), version)

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version.

        The feed stops before the lowest version in an unavailable partition, because
        versions must not be skipped. Rows are sorted by version only if no such row
        stops the feed.
        """
        until_s = self._cluster.loop.time() + wait_s
        while True:
            await self._process.wait_until_resumed()
            await self._simulate_request(self._process.table_mode)
            if after < self._cluster.history_from:
                raise HistoryTruncated
            if self._cluster.feed_is_silent:
                await asyncio.sleep(wait_s)
                return Changes((), (), after)
            rows = [
                row
                for row in self._rows.by_key.values()
                if row.version > after and row.key.startswith(prefix)
            ]
            unreadable = [row.version for row in rows if self._is_unavailable(row.key)]
            if unreadable:
                rows = [row for row in rows if row.version < min(unreadable)]
                if not rows:
                    await self._time_out()
                return Changes(tuple(rows), (), min(unreadable) - 1)
            deleted = tuple(
                key
                for key, version in self._rows.deleted_version_by_key.items()
                if version > after and key.startswith(prefix)
            )
            if rows or deleted or self._cluster.loop.time() >= until_s:
                rows.sort(key=lambda row: row.version)
                return Changes(tuple(rows), deleted, self._rows.version)
            await asyncio.sleep(POLL_STEP_S)


class SimulatedWorkers(WorkerPort):
    """A process's calls to the workers."""

    def __init__(self, cluster: SimulatedCluster, process: FakeProcess):
        self._cluster = cluster
        self._process = process

    async def _reach(self, target: WorkerAddress) -> SimulatedWorker | None:
        await self._process.wait_until_resumed()
        await asyncio.sleep(HOP_DELAY_S)
        worker = self._cluster.worker_by_id[target.worker_id]
        if not worker.up or self._process.name in worker.cut:
            return None
        return worker

    async def _send_order(
        self, target: WorkerAddress, act: Callable[[SimulatedWorker], Refusal | None]
    ) -> Result[float, WorkerFault]:
        """Have a worker carry out an order; it may be late, or its answer lost."""
        worker = await self._reach(target)
        if worker is None:
            return await self._no_answer(target)
        delay_s = self._cluster.next_order_delay_s()
        if delay_s:
            self._cluster.loop.call_later(delay_s, self._carry_out_late, worker, act)
            return await self._lose_answer()
        refusal = act(worker)
        if self._cluster.take_lost_answer():
            return await self._lose_answer()
        await asyncio.sleep(HOP_DELAY_S)
        await self._process.wait_until_resumed()
        if refusal is not None:
            return Error(WorkerFault(not_run(refusal.value), refusal))
        return Ok(worker.clock_ms())

    def _carry_out_late(
        self, worker: SimulatedWorker, act: Callable[[SimulatedWorker], Refusal | None]
    ) -> None:
        if worker.up:
            act(worker)

    async def _no_answer(self, target: WorkerAddress) -> Result[Any, WorkerFault]:
        worker = self._cluster.worker_by_id[target.worker_id]
        if not target.address:
            return Error(WorkerFault(not_run("not-connected")))
        if not worker.up or worker.cut_refuses:
            return Error(WorkerFault(not_run("connection-refused")))
        return await self._lose_answer()

    async def _lose_answer(self) -> Result[Any, WorkerFault]:
        """Time out: the worker may carry out the call, or has done so."""
        await asyncio.sleep(ORDER_TIMEOUT_S)
        await self._process.wait_until_resumed()
        return Error(WorkerFault(may_have_run("timeout")))

    async def start(
        self, target: WorkerAddress, order: StartOrder, fence: int, deadline_ms: float
    ) -> Result[float, WorkerFault]:
        """Start a run."""
        return await self._send_order(
            target, lambda m: m.start(order, fence, deadline_ms)
        )

    async def stop(
        self, target: WorkerAddress, order: StopOrder, fence: int
    ) -> Result[float, WorkerFault]:
        """Stop a run."""
        return await self._send_order(target, lambda m: m.stop(order, fence))

    async def pace(
        self, target: WorkerAddress, run_id: RunId, percent: int, fence: int
    ) -> Result[float, WorkerFault]:
        """Change no pace, because the cluster has no filler tasks."""
        return await self._send_order(target, lambda m: None)

    async def heartbeat(
        self, target: WorkerAddress, call: Heartbeat
    ) -> Result[WorkerReport, WorkerFault]:
        """Renew the lease; return the report at the first end or after the wait."""
        worker = await self._reach(target)
        if worker is None:
            return await self._no_answer(target)
        if self._cluster.heartbeat_delays_s:
            delay_s = self._cluster.heartbeat_delays_s.pop(0)
            self._cluster.loop.call_later(
                delay_s, self._carry_out_late, worker, lambda m: m.heartbeat(call)
            )
            return await self._lose_answer()
        refusal = worker.heartbeat(call)
        until_s = self._cluster.loop.time() + call.wait_s
        while refusal is None and self._cluster.loop.time() < until_s:
            if worker.ends or not worker.up:
                break
            await asyncio.sleep(POLL_STEP_S)
            worker.advance()
        if not worker.up or self._process.name in worker.cut:
            return await self._no_answer(target)
        report = worker.report()
        await asyncio.sleep(HOP_DELAY_S)
        await self._process.wait_until_resumed()
        if refusal is not None:
            return Error(WorkerFault(not_run(refusal.value), refusal))
        return Ok(report)


class SimulatedRegistry(WorkerRegistry):
    """The registrations of the running workers."""

    def __init__(self, cluster: SimulatedCluster, process: FakeProcess):
        self._cluster = cluster
        self._process = process

    async def load(self) -> WorkerChanges:
        """Return all registrations."""
        await self._process.wait_until_resumed()
        await asyncio.sleep(HOP_DELAY_S)
        if self._cluster.registry_is_unavailable:
            raise TableUnknown("the registrations can't be read")
        infos = tuple(
            worker.info for worker in self._cluster.worker_by_id.values() if worker.up
        )
        return WorkerChanges(infos, (), 0, is_snapshot=True)

    async def changes(self, after: int, wait_s: float) -> WorkerChanges:
        """Return all registrations after the wait."""
        await asyncio.sleep(wait_s)
        if self._cluster.registry_changes_time_out:
            raise TableUnknown("the answer did not arrive in time")
        return await self.load()


class SimulatedQueues(QueueSource):
    """The configuration, whose changes are reported at the end of the wait."""

    def __init__(self, cluster: SimulatedCluster, process: FakeProcess):
        self._cluster = cluster
        self._process = process

    def decode(self, encoded: str) -> QueueSet | None:
        """Decode a peer's configuration: here, its version."""
        return self._cluster.published[int(encoded)]

    async def load(self) -> QueueChange:
        """Return the configuration, unless the table is down.

        A member that is paused gets the answer late, as it was given.
        """
        queues = self._cluster.queues
        await self._process.wait_until_resumed()
        if self._process.table_mode == DOWN:
            raise TableUnavailable(DOWN)
        if self._cluster.queues_error is not None:
            raise self._cluster.queues_error
        self._cluster.published[queues.version] = queues
        return QueueChange(queues, queues.version, 1, encoded=str(queues.version))

    async def changes(self, after: int, wait_s: float) -> QueueChange:
        """Return the configuration if it is newer, after the wait."""
        await asyncio.sleep(wait_s)
        change = await self.load()
        return change if change.version > after else QueueChange(None, after)


class SimulatedPolicy(PolicyPort):
    """A policy that allows every worker, and handles a member's queries in turn."""

    def __init__(self, cluster: SimulatedCluster):
        self._cluster = cluster
        self._free_s = 0.0

    async def query_policy(
        self, step_id: StepId, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Answer with tickets that are valid for 2 s, unless that takes too long."""
        now_s = self._cluster.loop.time()
        answer_s = max(self._free_s, now_s) + self._cluster.policy_answer_s
        self._free_s = answer_s
        if answer_s > now_s + timeout_s:
            await asyncio.sleep(timeout_s)
            return Error(may_have_run("timeout"))
        await asyncio.sleep(answer_s - now_s)
        return Ok(PolicyAnswer(dict.fromkeys(worker_ids, "t"), 2.0))


class SimulatedPeers(PeerLinks):
    """Direct calls between members that are open and not paused."""

    def __init__(self, cluster: SimulatedCluster, process: FakeProcess):
        self._cluster = cluster
        self._process = process

    async def open(self, member: Member, secret: str) -> None:
        """Accept calls from peers."""
        self._cluster.open_member_by_name[self._process.name] = member

    async def close(self) -> None:
        """Stop accepting calls."""
        self._cluster.open_member_by_name.pop(self._process.name, None)

    async def _reach(self, address: str, timeout_s: float) -> Member | None:
        """Return the member at an address, ``None`` if the call is not answered.

        A call to a member that is paused or whose host is lost hangs until its timeout.
        """
        await self._process.wait_until_resumed()
        if address in self._cluster.lost_hosts:
            self._cluster.calls_to_lost_hosts.append((self._process.name, address))
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.sleep(HOP_DELAY_S)
        process = self._cluster.process_by_name.get(address)
        if process is None:
            return None
        if not process.resumed.is_set():
            await asyncio.sleep(timeout_s)
            return None
        if self._cluster.isolated_members & {address, self._process.name}:
            return None
        return self._cluster.open_member_by_name.get(address)

    async def query_policy(
        self, address: str, query: PolicyQuery, timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Have a peer send a query to the policy."""
        member = await self._reach(address, timeout_s)
        if member is None:
            return Error(PeerFailure.of(not_run("peer-lost")))
        return await member.query_policy_locally(query, timeout_s)

    async def relay(
        self, address: str, call: RelayCall, timeout_s: float
    ) -> Result[RelayAnswer, Failure]:
        """Have a peer serve a client's request."""
        member = await self._reach(address, 0.0)
        if member is None:
            await asyncio.sleep(timeout_s)
            return Error(PeerFailure.of(not_run("peer-lost")))
        if member.table_is_unavailable():
            return Error(not_run(TABLE_UNAVAILABLE))
        if call.verb is RelayVerb.SUBMIT:
            result = await member.job_store.submit(
                call.job_id, call.submission, timeout_s
            )
            return result.map(lambda _: RelayAnswer(True, JobState.QUEUED))
        if call.verb is RelayVerb.CANCEL:
            result = await member.job_store.cancel(call.job_id, timeout_s)
            return result.map(lambda exists: RelayAnswer(exists, JobState.QUEUED))
        result = await member.job_store.state(call.job_id, timeout_s)
        return result.map(
            lambda state: RelayAnswer(state is not None, state or JobState.QUEUED)
        )

    async def notify(self, address: str, job_id: str, submission: str) -> bool:
        """Notify the owner, unless notifications are lost."""
        member = await self._reach(address, NOTIFY_TIMEOUT_S)
        if member is None or self._cluster.notifications_are_lost:
            return False
        member.receive_notification(job_id, submission)
        return True

    async def read_config(
        self, address: str, known_version: int
    ) -> Result[ConfigAnswer, Failure]:
        """Ask a member which configuration it uses."""
        member = await self._reach(address, CONFIG_TIMEOUT_S)
        if member is None:
            return Error(PeerFailure.of(not_run("peer-lost")))
        return Ok(member.config_answer(known_version))

    async def liveness(self, address: str) -> Liveness:
        """Return whether a member answers; the call to a paused one times out."""
        await self._process.wait_until_resumed()
        if await self._reach(address, LIVENESS_TIMEOUT_S) is not None:
            return Liveness.ANSWERS
        if address in self._cluster.lost_hosts:
            return Liveness.SILENT
        process = self._cluster.process_by_name.get(address)
        if process is None:
            return Liveness.ENDED
        if not process.resumed.is_set():
            return Liveness.SILENT
        if self._cluster.isolated_members & {address, self._process.name}:
            await asyncio.sleep(LIVENESS_TIMEOUT_S)
            await self._process.wait_until_resumed()
            return Liveness.SILENT
        return Liveness.ANSWERS

    async def probe(
        self, address: str, claim: bool, handover_from: str = ""
    ) -> float | None:
        """Return the seconds since a peer last read the owner's row."""
        member = await self._reach(address, PROBE_TIMEOUT_S)
        if member is None:
            return None
        if claim:
            member.poll_owner_row(handover_from)
        return member.owner_row_age_s()
