"""Interfaces to the platform: workers, placement policy, registry, configuration."""

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
    """The address of a worker, and the id that the worker there must have.

    :param address: IP and port; empty if unknown.
    """

    worker_id: str
    address: str


@frozen
class WorkerFault:
    """The failure of a call to a worker.

    :param failure: says whether the call may have had an effect.
    :param refusal: the worker's reason; ``None`` if it gave none.
    :param clock_ms: the worker's monotonic clock, if it was in the answer.
    """

    failure: Failure
    refusal: Refusal | None = None
    clock_ms: float | None = None


@frozen
class Heartbeat:
    """Renews the lease of all runs on a worker and requests its report.

    :param fence: the owner's fencing token.
    :param acked_end_number: acknowledges the run ends up to this number, which are
        stored. The worker stops reporting them.
    :param deadline_ms: new end of the lease on the worker's clock; ``None`` to request
        a report without renewing the lease.
    :param wait_s: how long the worker may delay its answer until a run ends.
    """

    fence: int
    acked_end_number: int
    deadline_ms: float | None
    wait_s: float


class WorkerPort(ABC):
    """Calls to workers; each kind of call has its own timeout.

    A worker refuses calls whose ``fence`` is lower than the highest it has seen.
    """

    @abstractmethod
    async def start(
        self, target: WorkerAddress, order: StartOrder, fence: int, deadline_ms: float
    ) -> Result[float, WorkerFault]:
        """Start a run and renew the lease of all runs on the worker.

        :param deadline_ms: new end of the lease on the worker's clock.
        :return: the worker's monotonic clock in ms.
        """

    @abstractmethod
    async def stop(
        self, target: WorkerAddress, order: StopOrder, fence: int
    ) -> Result[float, WorkerFault]:
        """Stop a run; return the worker's monotonic clock in ms."""

    @abstractmethod
    async def heartbeat(
        self, target: WorkerAddress, call: Heartbeat
    ) -> Result[WorkerReport, WorkerFault]:
        """Renew the lease and return the worker's report."""

    @abstractmethod
    async def pace(
        self, target: WorkerAddress, run_id: RunId, percent: int, fence: int
    ) -> Result[float, WorkerFault]:
        """Limit a run to a share of its full speed; return the worker's clock in ms."""


@frozen
class PolicyAnswer:
    """The workers that may run a step, out of those in the query.

    :param ticket_by_worker: a ticket for each worker that may, by id.
    :param valid_s: seconds until the tickets expire.
    """

    ticket_by_worker: dict[str, str]
    valid_s: float


class PolicyPort(ABC):
    """The placement policy, an external service."""

    @abstractmethod
    async def query_policy(
        self, step_id: StepId, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Return which of the workers may run a step."""


@frozen
class WorkerChanges:
    """Changed registrations.

    :param deleted: ids of the workers whose registrations were deleted.
    :param version: version of the table from which to request the next changes.
    :param is_snapshot: whether ``workers`` holds all registrations.
    """

    workers: tuple[WorkerInfo, ...]
    deleted: tuple[str, ...] = ()
    version: int = 0
    is_snapshot: bool = False


class WorkerRegistry(ABC):
    """The registrations of workers.

    Both methods raise the errors of :class:`redwingrun.coordination.table.Table`.
    """

    @abstractmethod
    async def load(self) -> WorkerChanges:
        """Return all registrations."""

    @abstractmethod
    async def changes(self, after: int, wait_s: float) -> WorkerChanges:
        """Return the changes after a version of the table.

        :param wait_s: how long to wait for a change.
        """


@frozen
class QueueChange:
    """A version of the configuration.

    :param queues: ``None`` if there is no newer one.
    :param version: version of the table from which to request the next change; not that
        of the configuration.
    :param row_count: how many versions of the configuration the answer held.
    :param value_bytes: their size without the encoding of the answer.
    :param encoded: ``queues`` as the table holds it.
    :param is_newest: whether no newer version exists that could not be read.
    """

    queues: QueueSet | None
    version: int = 0
    row_count: int = 0
    value_bytes: int = 0
    encoded: str = ""
    is_newest: bool = True


class QueueSource(ABC):
    """The source of the queues' configuration."""

    @abstractmethod
    def decode(self, encoded: str) -> QueueSet | None:
        """Decode a configuration that a peer holds; ``None`` if it is damaged."""

    @abstractmethod
    async def load(self) -> QueueChange:
        """Return the newest configuration."""

    @abstractmethod
    async def changes(self, after: int, wait_s: float) -> QueueChange:
        """Return the newest configuration if it changed after a version of the table.

        :param wait_s: how long to wait for a change.
        """
