"""How a member is set up, and what it works with."""

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
    """How a member is set up.

    :param name: unique among all members.
    :param address: where peers reach the member.
    :param speed: of the host's processor share; 1.0 is a whole ordinary core.
    """

    name: str
    address: str
    slice_name: str = "s0"
    engine: EngineSettings = EngineSettings()
    speed: float = 1.0

    def row(self) -> MemberRow:
        """Return what peers know of the member."""
        return MemberRow(self.name, self.address, self.speed)


@frozen
class MemberDependencies:
    """What a member works with."""

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
