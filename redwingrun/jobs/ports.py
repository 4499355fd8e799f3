"""What the job engine asks of the outside: workers, policy, registry, queues."""

from __future__ import annotations

from abc import ABC, abstractmethod

from attrs import frozen
from expression import Result

from redwingrun.coordination.verdict import Failure
from redwingrun.jobs.spec import QueueSet, RunId, StepId
from redwingrun.jobs.workerpool import (
    Refusal,
    StartOrder,
    StopOrder,
    WorkerInfo,
    WorkerReport,
)


@frozen
class WorkerAddress:
    """Where a worker is, and which one is meant."""

    worker_id: str
    address: str


@frozen
class WorkerFault:
    """Why a call to a worker has no good answer.

    :param failure: says whether the call may have had an effect.
    :param refusal: the worker's reason, if it gave one.
    :param dead: nothing listens at the address.
    :param clock_ms: the worker's clock, if it told it.
    """

    failure: Failure
    refusal: Refusal | None = None
    dead: bool = False
    clock_ms: float | None = None


@frozen
class Heartbeat:
    """Renew the lease of all that runs on a worker, and ask for its lists.

    :param acked_end_number: ends up to this number are stored; the worker forgets them.
    :param deadline_ms: new end of the lease on the worker's clock.
    :param wait_s: how long the worker may wait for an end before it answers.
    """

    fence: int
    acked_end_number: int
    deadline_ms: float | None
    wait_s: float


class WorkerPort(ABC):
    """Calls to workers; each has a time-out of its own."""

    @abstractmethod
    async def start(
        self, target: WorkerAddress, order: StartOrder, fence: int, deadline_ms: float
    ) -> Result[float, WorkerFault]:
        """Start a run.

        :return: the worker's clock in ms.
        """

    @abstractmethod
    async def stop(
        self, target: WorkerAddress, order: StopOrder, fence: int
    ) -> Result[float, WorkerFault]:
        """Stop a run."""

    @abstractmethod
    async def heartbeat(
        self, target: WorkerAddress, call: Heartbeat
    ) -> Result[WorkerReport, WorkerFault]:
        """Renew leases and return the worker's lists."""

    @abstractmethod
    async def pace(
        self, target: WorkerAddress, run_id: RunId, percent: int, fence: int
    ) -> Result[float, WorkerFault]:
        """Let a run work at a share of its speed."""


@frozen
class PolicyAnswer:
    """Which of the workers named may run a step.

    :param valid_s: how long the tickets are good.
    """

    ticket_by_worker: dict[str, str]
    valid_s: float


class PolicyPort(ABC):
    """The placement policy."""

    @abstractmethod
    async def query_policy(
        self, step_id: StepId, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Ask which of the workers may run a step."""


@frozen
class WorkerChanges:
    """Registrations that changed.

    :param whole: whether ``workers`` is all there are.
    """

    workers: tuple[WorkerInfo, ...]
    gone: tuple[str, ...] = ()
    version: int = 0
    is_snapshot: bool = False


class WorkerRegistry(ABC):
    """The registrations of workers.

    Both methods raise what :class:`redwingrun.coordination.table.Table` raises.
    """

    @abstractmethod
    async def load(self) -> WorkerChanges:
        """Return all registrations."""

    @abstractmethod
    async def changes(self, after: int, wait_s: float) -> WorkerChanges:
        """Return what changed after a version."""


@frozen
class QueueChange:
    """A configuration as it came.

    :param queues: ``None`` when there is nothing newer.
    :param position: go on from here.
    """

    queues: QueueSet | None
    position: int = 0


class QueueSource(ABC):
    """Where the configuration of queues comes from."""

    @abstractmethod
    async def load(self) -> QueueChange:
        """Return the newest configuration."""

    @abstractmethod
    async def changes(self, after: int, wait_s: float) -> QueueChange:
        """Return the newest configuration if it changed after a position."""
