"""The pool owner's state for the calls to one worker: its lease and pending orders."""

from __future__ import annotations

import asyncio

from attrs import define, field

from redwingrun.coordination.tasklease import WorkerLease
from redwingrun.tasks import CHECKPOINTING, STOPPING, MemberKey, Task
from redwingrun.workers import Grant, SyncCall, WorkerReport

# A member is throttled when a report shows it over its size, and stopped after this
# many such reports in a row, with a checkpoint if its task can be restarted.
STOP_AFTER_OVER_SIZE_REPORTS = 2


@define
class WorkerLink:
    """One worker's lease and what the next call to it says.

    :param wake: set when the next call is to be made now, not after the interval.
    :param forget: ended members whose result is stored in the table.
    :param stray: members that run there but belong to no current attempt.
    """

    lease: WorkerLease
    wake: asyncio.Event = field(factory=asyncio.Event)
    forget: list[MemberKey] = field(factory=list)
    stray: list[MemberKey] = field(factory=list)

    def record_clock(self, report: WorkerReport, received_s: float) -> None:
        """Record the worker's clock from an answer of the lease's incarnation.

        The answer of a former incarnation may arrive after the first one of the next,
        whose clock has started again.

        :param received_s: time of receipt, on the sender's clock.
        """
        if report.incarnation == self.lease.incarnation:
            self.lease.record_clock(report.clock_s, received_s)

    def grant(self, epoch: int, incarnation: str) -> Grant:
        """Return a grant, and record it as issued.

        It lasts one lease term from the worker's last clock reading.
        """
        return Grant(incarnation, epoch, self.lease.issue_grant())

    def sync_call(
        self, address: str, grant: Grant, members: dict[MemberKey, tuple[Task, int]]
    ) -> SyncCall:
        """Return the next call to the worker.

        :param members: task and member index of all members that may run there.
        """
        call = SyncCall(address, grant, forget=list(self.forget), stop=list(self.stray))
        for key, (task, index) in members.items():
            call.keep.append(key)
            over_size_reports = task.over_size_reports.get(index, 0)
            if task.state == STOPPING or task.stop_all:
                call.stop.append(key)
            elif (
                task.state == CHECKPOINTING
                or over_size_reports >= STOP_AFTER_OVER_SIZE_REPORTS
            ):
                orders = call.checkpoint if task.row.restartable else call.stop
                orders.append(key)
            elif over_size_reports:
                call.throttle.append(key)
        return call
