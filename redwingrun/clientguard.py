"""What the servers of one process share to limit their clients."""

from __future__ import annotations

import asyncio
import time

from attrs import define, field

from redwingrun.bodybudget import BodyBudget
from redwingrun.clientconnection import ClientConnection
from redwingrun.readschedule import ReadSchedule
from redwingrun.refusals import RefusalCounter

# Work on a request counts like bytes that were read: 16 ms of it fill a turn.
BYTES_PER_WORK_S = 2_097_152
# What clients have sent counts half as much after each interval.
AGE_INTERVAL_S = 1.0


@define
class ClientGuard:
    """The budget of a process and the schedule of its reads.

    :param refusals: counts what is refused.
    """

    budget: BodyBudget
    refusals: RefusalCounter
    reads: ReadSchedule = field(factory=ReadSchedule)
    _is_turn_ending: bool = False
    _aged_s: float = 0.0

    def admit(self, record: ClientConnection, wanted_bytes: int) -> int:
        """Return how many bytes may be read now, 0 to wait for a later turn."""
        admitted = self.reads.admit(record, wanted_bytes)
        self._plan_end_of_turn()
        return admitted

    def charge(self, record: ClientConnection, count: int) -> None:
        """Count bytes that were read."""
        self.reads.charge(record, count)
        self._plan_end_of_turn()

    def charge_work(self, record: ClientConnection, took_s: float) -> None:
        """Count the time that a request has taken in this turn."""
        self.charge(record, int(took_s * BYTES_PER_WORK_S))

    def _plan_end_of_turn(self) -> None:
        if self.reads.must_end_turn and not self._is_turn_ending:
            self._is_turn_ending = True
            asyncio.get_running_loop().call_soon(self._end_turn)

    def _end_turn(self) -> None:
        self._is_turn_ending = False
        self.reads.end_turn()
        now_s = time.monotonic()
        if now_s - self._aged_s >= AGE_INTERVAL_S:
            self._aged_s = now_s
            self.reads.age()
