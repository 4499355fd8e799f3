"""What a pool's owner keeps of one worker: its lease, and what to tell it next."""

from __future__ import annotations

import asyncio

from attrs import define, field

from redwingrun.coordination.tasklease import WorkerLease
from redwingrun.tasks import CHECKPOINTING, STOPPING, MemberKey, Task
from redwingrun.workers import Grant, SyncCall

# Seen once over its size a member is throttled, seen again it is stopped, with a
# checkpoint if it can be started again.
STOP_AT_EXCESS = 2


@define
class WorkerLink:
    """One worker's lease and the next call to it.

    :param wake: set when the call should not wait for its turn.
    :param forget: ended members whose result is kept in the table now.
    :param stray: members that run there and that no present attempt wants.
    """

    lease: WorkerLease
    wake: asyncio.Event = field(factory=asyncio.Event)
    forget: list[MemberKey] = field(factory=list)
    stray: list[MemberKey] = field(factory=list)

    def grant(self, epoch: int, incarnation: str) -> Grant:
        """Return a grant up to the end of the lease, counted as given."""
        return Grant(incarnation, epoch, self.lease.issue_grant())

    def sync_call(
        self, address: str, grant: Grant, members: dict[MemberKey, tuple[Task, int]]
    ) -> SyncCall:
        """Return the call that renews, stops and asks about the worker's members."""
        call = SyncCall(address, grant, forget=list(self.forget), stop=list(self.stray))
        for key, (task, index) in members.items():
            call.keep.append(key)
            excess = task.excess.get(index, 0)
            if task.state == STOPPING or task.stop_all:
                call.stop.append(key)
            elif task.state == CHECKPOINTING or excess >= STOP_AT_EXCESS:
                kept = call.checkpoint if task.row.restartable else call.stop
                kept.append(key)
            elif excess:
                call.throttle.append(key)
        return call
