"""What the parts of a slice's owner share: its engine, its writer and its tasks."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import frozen

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.table import WatchableTable
from redwingrun.jobs.decisionlog import DecisionLog
from redwingrun.jobs.engine import Engine, EngineSettings
from redwingrun.jobs.policyproxies import PolicyProxies
from redwingrun.jobs.policysender import PolicySender
from redwingrun.jobs.ports import WorkerPort, WorkerRegistry
from redwingrun.jobs.slicewriter import SliceWriter
from redwingrun.jobs.spec import QueueSet
from redwingrun.jobs.workerpool import LastEnd
from redwingrun.logs import Log
from redwingrun.metrics import Metrics

# Stops that wait for a worker's answer at the same time. More of them would delay each
# other until they time out, and with them the renewal of leases and of the claim.
MAX_STOPS_IN_FLIGHT = 200


@frozen
class OwnerDependencies:
    """What an owner calls: services outside the process, the policy, clock and log.

    :param registry: the registrations of workers.
    :param policy_proxies: the members that can send queries to the placement policy.
    :param policy: sends the queries.
    :param unix_ms: returns the time of day in Unix milliseconds.
    """

    table: WatchableTable
    workers: WorkerPort
    registry: WorkerRegistry
    policy_proxies: PolicyProxies
    policy: PolicySender
    clock: Clock
    unix_ms: Callable[[], int]
    log: Log
    metrics: Metrics
    settings: EngineSettings


class OwnerBase(ABC):
    """The part of a slice's owner that its links to workers and its reader use.

    :param writer: stores the progress of jobs under the claim.
    :ivar loss_reason: why the ownership is lost; empty while it is not.
    :ivar decisions: the log of what it decides about runs and jobs.
    :ivar stop_slots: limits the stops that are sent at the same time.
    """

    def __init__(
        self, writer: SliceWriter, dependencies: OwnerDependencies, queues: QueueSet
    ):
        self.writer = writer
        self.dependencies = dependencies
        self.engine = Engine(dependencies.settings)
        self.engine.set_queues(queues)
        self.log = dependencies.log
        self.decisions = DecisionLog(
            self.log, self.engine, dependencies.clock, dependencies.metrics
        )
        self.loss_reason = ""
        self.stop_slots = asyncio.Semaphore(MAX_STOPS_IN_FLIGHT)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._wake_event = asyncio.Event()
        self._stored_event = asyncio.Event()
        self._durable_end_by_worker: dict[str, LastEnd] = {}

    @abstractmethod
    def may_grant_leases(self) -> bool:
        """Return whether this member surely owned the slice a short while ago."""

    @abstractmethod
    def ensure_link(self, worker_id: str) -> None:
        """Connect to a worker unless there is a connection."""

    @property
    def fence(self) -> int:
        """The fencing token of the claim, sent with each order."""
        return self.writer.fence

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.dependencies.clock.now()

    def wake(self) -> None:
        """Run the next planning cycle as soon as the current one has ended."""
        self._wake_event.set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background until the ownership ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.fault("owner-task-failed", why=repr(task.exception()))
            self.lose_ownership("a background task of the owner failed")

    def durable_end_number(self, worker_id: str) -> int:
        """Return the number of the last end of a run on a worker that is stored."""
        worker = self.engine.worker_by_id.get(worker_id)
        durable = self._durable_end_by_worker.get(worker_id)
        if worker is None or durable is None:
            return 0
        return durable.number if durable.born_ms == worker.info.born_ms else 0

    def reset_durable_end_number(self, worker_id: str) -> None:
        """Forget which ends are stored, for a worker that counts them from 1 again."""
        self._durable_end_by_worker.pop(worker_id, None)

    async def wait_until_durable(self, worker_id: str, timeout_s: float) -> None:
        """Wait until the ends that a worker has reported are stored, or the timeout."""
        worker = self.engine.worker_by_id.get(worker_id)
        if worker is None:
            return
        deadline_s = self.now() + timeout_s
        while (
            self.durable_end_number(worker_id) < worker.last_end_number
            and self.now() < deadline_s
        ):
            stored = self._stored_event
            try:
                await asyncio.wait_for(
                    stored.wait(), max(0.01, deadline_s - self.now())
                )
            except TimeoutError:
                return

    def lose_ownership(self, why: str) -> None:
        """Stop owning the slice without releasing it.

        :param why: the reason for the log; the first one counts.
        """
        self.loss_reason = self.loss_reason or why
        self.writer.abandon()
        self.wake()
