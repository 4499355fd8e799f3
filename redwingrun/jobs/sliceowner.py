"""The owner of a pool slice: runs the engine, stores first, then sends orders."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import frozen
from expression import Result

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.table import WatchableTable
from redwingrun.coordination.verdict import Failure
from redwingrun.jobs.cancellation import cancel_all
from redwingrun.jobs.engine import Engine, EngineSettings
from redwingrun.jobs.partitionwriter import OwnershipLost
from redwingrun.jobs.policycache import Ticket
from redwingrun.jobs.policyproxies import PolicyProxies, PolicyProxy
from redwingrun.jobs.ports import (
    PolicyAnswer,
    WorkerFault,
    WorkerPort,
    WorkerRegistry,
)
from redwingrun.jobs.slicereader import SliceReader
from redwingrun.jobs.slicewriter import SliceWriter
from redwingrun.jobs.spec import (
    QueueSet,
    RunId,
    StepId,
)
from redwingrun.jobs.workerlink import WorkerLink
from redwingrun.jobs.workerpool import PaceOrder, PolicyQuery, StartOrder, StopOrder
from redwingrun.logs import Log
from redwingrun.metrics import Metrics

# Without other writes the owner's row is renewed this often.
RENEW_S = 0.4
TICK_S = 0.1
# Changes that start nothing are stored together with those that come soon after.
GATHER_S = 0.04
GATHER_LEAST_S = 0.001
ASK_RETRY_S = 0.1
ASK_SLACK_S = 1.0
# A planned stop waits so long for the table to take the hand-over.
GIVE_UP_S = 1.0


@frozen
class OwnerDependencies:
    """What an owner works with.

    :param ask: puts a question to the policy through a machine.
    :param unix_ms: the time of day.
    """

    table: WatchableTable
    workers: WorkerPort
    registry: WorkerRegistry
    ask: Callable[
        [PolicyProxy, PolicyQuery, float],
        Coroutine[Any, Any, Result[PolicyAnswer, Failure]],
    ]
    clock: Clock
    unix_ms: Callable[[], int]
    log: Log
    metrics: Metrics
    settings: EngineSettings


class SliceOwner:
    """Owns a slice from a claim until it is deposed or gives up.

    :param journal: the claim.
    :ivar deposed: why the ownership is over; empty while it is not.
    """

    def __init__(
        self, journal: SliceWriter, parts: OwnerDependencies, queues: QueueSet
    ):
        self.journal = journal
        self.parts = parts
        self.engine = Engine(parts.settings)
        self.engine.set_queues(queues)
        self.log = parts.log
        self.proxies = PolicyProxies()
        self._link_by_worker: dict[str, WorkerLink] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._kicked = asyncio.Event()
        self._stored = asyncio.Event()
        self._durable: dict[str, int] = {}
        self.deposed = ""
        self._giving_up: str | None = None
        self._committed_s = parts.clock.now()
        self._stored_s = 0.0
        self._unsaved: set[str] = set()
        self._reader = SliceReader(self)
        self._waiting: dict[str, int] | None = None

    # What the links use.

    @property
    def fence(self) -> int:
        """The fence of each order."""
        return self.journal.fence

    def now(self) -> float:
        """Return steady seconds."""
        return self.parts.clock.now()

    def wake(self) -> None:
        """Let the engine plan soon."""
        self._kicked.set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something until this owner ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.fault("owner-task-failed", why=repr(task.exception()))
            self.lose_ownership("a part of the owner failed")

    def durable_end(self, worker_id: str) -> int:
        """Return the number of a worker's last end that is stored."""
        return self._durable.get(worker_id, 0)

    def forget_durable(self, worker_id: str) -> None:
        """Begin anew with a worker whose count of ends began anew."""
        self._durable.pop(worker_id, None)

    async def wait_durable(self, worker_id: str, longest_s: float) -> None:
        """Wait until the ends taken in so far are stored, but not for ever."""
        worker = self.engine.worker_by_id.get(worker_id)
        if worker is None:
            return
        until_s = self.now() + longest_s
        while (
            self.durable_end(worker_id) < worker.last_end_number
            and self.now() < until_s
        ):
            stored = self._stored
            try:
                await asyncio.wait_for(stored.wait(), max(0.01, until_s - self.now()))
            except TimeoutError:
                return

    def lose_ownership(self, why: str) -> None:
        """Stop owning the slice."""
        self.deposed = self.deposed or why
        self.journal.abandon()
        self.wake()

    def log_order(
        self, what: str, run_id: RunId, worker_id: str, fault: WorkerFault
    ) -> None:
        """Log what came of an order."""
        task = run_id.task
        self.log.event(
            what,
            job=task.job,
            task=f"{task.occurrence}.{task.step}.{task.index}",
            run=run_id.run,
            worker=worker_id,
            reason=fault.refusal.value if fault.refusal else fault.failure.reason,
            verdict=fault.failure.verdict.value,
        )

    # The life of an owner.

    async def run(self) -> str:
        """Own the slice; returns why that ended."""
        try:
            await self._load()
            while not self.deposed and self._giving_up is None:
                await self._cycle()
            if self._giving_up is not None and not self.deposed:
                await self.journal.give_up(self._giving_up)
                return "given up"
        except OwnershipLost as error:
            self.deposed = str(error)
        finally:
            await cancel_all(self._tasks)
        return self.deposed

    def give_up(self, successor: str) -> None:
        """Hand the slice to others, after what is being stored."""
        self._giving_up = successor
        loop = asyncio.get_running_loop()
        loop.call_later(
            GIVE_UP_S, self.lose_ownership, "stopped while the table is away"
        )
        self.wake()

    def silent_s(self) -> float:
        """Return how long nothing was stored."""
        return self.now() - self._committed_s

    def hear(self, job_id: str, submission: str) -> None:
        """Take a job or a cancellation that the table holds already.

        :param submission: empty for a cancellation.
        """
        self._reader.hear(job_id, submission)

    def set_queues(self, queues: QueueSet) -> None:
        """Take a newer configuration."""
        self.engine.set_queues(queues)
        self.wake()

    async def _load(self) -> None:
        """Read everything, and renew the claim meanwhile."""
        loaded = asyncio.Event()
        renewing = asyncio.get_running_loop().create_task(self._renew_until(loaded))
        try:
            await self._reader.load()
        finally:
            loaded.set()
            await renewing

    async def _renew_until(self, loaded: asyncio.Event) -> None:
        while not loaded.is_set():
            try:
                await self.journal.commit({}, self._waiting, self.spawn)
            except OwnershipLost as error:
                self.lose_ownership(str(error))
                return
            self._committed_s = self.now()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(loaded.wait(), RENEW_S)

    async def _cycle(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._kicked.wait(), self._pause_s())
        self._kicked.clear()
        self.engine.set_time(self.parts.unix_ms())
        plan = self.engine.plan(self.now())
        for stop in plan.stops:
            self._send_stop(stop)
        for pace in plan.paces:
            self._send_pace(pace)
        for ask in plan.policy_queries:
            self.spawn(self._ask(ask))
        self._unsaved |= plan.changed_jobs
        if plan.starts or self._gather_left_s() < GATHER_LEAST_S:
            await self._store()
        self._log_starts(plan.starts)
        for start in plan.starts:
            self._send_start(start)

    def _pause_s(self) -> float:
        """Return how long to wait for news."""
        if not self._unsaved:
            return TICK_S
        return min(TICK_S, max(GATHER_LEAST_S, self._gather_left_s()))

    def _gather_left_s(self) -> float:
        """Return how long changes wait for others, to be stored with them."""
        return max(0.0, self._stored_s + GATHER_S - self.now())

    async def _store(self) -> None:
        numbers = self.engine.last_end_by_worker()
        pending = any(
            number > self._durable.get(key, 0) for key, number in numbers.items()
        )
        changed, self._unsaved = frozenset(self._unsaved), set()
        idle = self.now() - self._committed_s < RENEW_S
        if idle and not changed and not pending:
            return
        progress = {
            job_id: self.engine.job_by_id[job_id].progress for job_id in changed
        }
        started_s = self.now()
        if progress or not idle:
            self._stored_s = started_s
            self._waiting = self.engine.waiting_by_queue()
            await self.journal.commit(progress, self._waiting, self.spawn)
            self._committed_s = started_s
            self._log_finished(changed)
            self.parts.metrics.seconds("commit_s", self.now() - started_s)
        self._durable.update(numbers)
        self._stored.set()
        self._stored = asyncio.Event()

    def _log_finished(self, changed: frozenset[str]) -> None:
        """Log the jobs whose end has just been stored."""
        for job_id in sorted(changed):
            job = self.engine.job_by_id[job_id]
            if job.is_final:
                self.log.event(
                    "job-ended",
                    job=job_id,
                    state=job.progress.state.name.lower(),
                    before_due_s=round(job.due_s - self.now(), 3),
                )

    def _log_starts(self, starts: tuple[StartOrder, ...]) -> None:
        """Log what starts where, a line a step."""
        by_step: dict[StepId, list[StartOrder]] = {}
        for order in starts:
            by_step.setdefault(order.run_id.task.step_id, []).append(order)
        for step_id, orders in by_step.items():
            job = self.engine.job_by_id[step_id.job]
            self.log.event(
                "start",
                job=step_id.job,
                step=f"{step_id.occurrence}.{step_id.step}",
                due_in_s=round(job.due_s - self.now(), 3),
                fence=self.fence,
                runs=[
                    f"{order.run_id.task.index}/{order.run_id.run}@{order.worker_id}"
                    for order in orders
                ],
            )

    def _send_start(self, order: StartOrder) -> None:
        link = self._link_by_worker.get(order.worker_id)
        if link is None or not self.engine.should_send_start(order):
            self.engine.withdraw_start(order)
            return
        self.parts.metrics.count("starts_total")
        self.spawn(link.start(order))

    def _send_stop(self, order: StopOrder) -> None:
        task = order.run_id.task
        self.log.event(
            "stop",
            job=task.job,
            task=f"{task.occurrence}.{task.step}.{task.index}",
            run=order.run_id.run,
            worker=order.worker_id,
            why=order.why,
        )
        link = self._link_by_worker.get(order.worker_id)
        if link is not None:
            self.spawn(link.stop(order))

    def _send_pace(self, order: PaceOrder) -> None:
        link = self._link_by_worker.get(order.worker_id)
        if link is not None:
            self.spawn(link.pace(order))

    def link(self, worker_id: str) -> None:
        """Keep a worker held, if that is not done yet."""
        worker = self.engine.worker_by_id.get(worker_id)
        if worker is None or worker_id in self._link_by_worker:
            return
        link = WorkerLink(self, self.parts.workers, worker_id)
        self._link_by_worker[worker_id] = link
        self.spawn(self._run_link(worker_id, link))

    async def _run_link(self, worker_id: str, link: WorkerLink) -> None:
        try:
            await link.run()
        finally:
            self._link_by_worker.pop(worker_id, None)
            self.forget_durable(worker_id)

    async def _ask(self, order: PolicyQuery) -> None:
        now_s = self.now()
        proxy = self.proxies.choose(order.expected_answer_s, now_s)
        waits_s = max(0.0, proxy.busy_until_s - now_s)
        answer = await self.parts.ask(proxy, order, waits_s + ASK_SLACK_S)
        self.engine.policy_query_ended(order)
        self.parts.metrics.seconds("policy_s", self.now() - now_s)
        if answer.is_error():
            self.proxies.mark_failed(proxy, self.now())
            self.log.event(
                "policy-failed",
                job=order.step_id.job,
                step=order.step_id.step,
                via=proxy.address,
                reason=answer.error.reason,
            )
            self.engine.policy_failed(order, self.now() + ASK_RETRY_S)
        else:
            tickets = self._tickets(answer.ok)
            self.log.event(
                "policy",
                job=order.step_id.job,
                step=f"{order.step_id.occurrence}.{order.step_id.step}",
                named=len(order.worker_ids),
                good=len(tickets),
                took_s=round(self.now() - now_s, 3),
                via=proxy.address,
            )
            self.engine.policy_answered(order, tickets)
        self.wake()

    def _tickets(self, answer: PolicyAnswer) -> dict[str, Ticket]:
        expires_s = self.now() + answer.valid_s
        tickets = {}
        for worker_id, text in answer.ticket_by_worker.items():
            worker = self.engine.worker_by_id.get(worker_id)
            if worker is not None:
                tickets[worker_id] = Ticket(text, worker.info.born_ms, expires_s)
        return tickets
