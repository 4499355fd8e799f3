"""The settings of a member, and the services that it depends on."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.table import WatchableTable
from redwingrun.jobs.engine import EngineSettings
from redwingrun.jobs.peerlinks import PeerLinks
from redwingrun.jobs.peerlist import MemberRow
from redwingrun.jobs.ports import PolicyPort, QueueSource, WorkerPort, WorkerRegistry
from redwingrun.logs import Log
from redwingrun.metrics import Metrics


@frozen
class MemberSettings:
    """Who a member is, and which slice it serves.

    :param name: unique among all members.
    :param address: IP and port at which peers reach the member.
    :param engine: settings of the job engine, used while the member owns the slice.
    :param speed: speed of the host's processor share; 1.0 is one core of ordinary
        speed.
    :param revocation_timeout_s: time within which a revoked key must stop working on
        every member, in seconds; ``None`` if there is no such limit.
    """

    name: str
    address: str
    slice_name: str = "s0"
    engine: EngineSettings = EngineSettings()
    speed: float = 1.0
    revocation_timeout_s: float | None = None

    def row(self) -> MemberRow:
        """Return the row by which peers find the member."""
        return MemberRow(self.name, self.address, self.speed)


@frozen
class MemberDependencies:
    """What a member calls: services outside the process, its peers, clock and log.

    :param queues: source of the configuration of queues.
    :param registry: the registrations of workers.
    :param unix_ms: returns the time of day in Unix milliseconds.
    """

    table: WatchableTable
    queues: QueueSource
    workers: WorkerPort
    registry: WorkerRegistry
    policy: PolicyPort
    peers: PeerLinks
    clock: Clock
    unix_ms: Callable[[], int]
    log: Log
    metrics: Metrics
