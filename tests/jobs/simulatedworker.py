"""A simulated worker that behaves as the platform's documentation says."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from redwingrun.jobs.ports import Heartbeat
from redwingrun.jobs.spec import RunId, TaskId
from redwingrun.jobs.workerpool import (
    EndKind,
    Refusal,
    RunEnd,
    RunStatus,
    StartOrder,
    StopOrder,
    WorkerInfo,
    WorkerReport,
)

if TYPE_CHECKING:
    from tests.jobs.cluster import SimulatedCluster

STOP_DURATION_S = 0.3
MAX_LISTED_ENDS = 500
RESTART_DELAY_S = 3.0
# A longer lease is shortened to this.
MAX_LEASE_MS = 10_000


@define
class SimulatedRun:
    """A run on a worker.

    :param duration_s: how long the run works before it ends.
    :param stop_at_s: time at which a stop takes effect; ``None`` without a stop.
    """

    run_id: RunId
    started_s: float
    duration_s: float
    saved_s: float
    fails: bool
    stop_at_s: float | None = None
    alone_s: float | None = None


@define
class SimulatedWorker:
    """A worker in virtual time, with faults that tests switch on.

    :ivar rate: speed of the worker's clock.
    :ivar boot_s: time at which this incarnation started.
    :ivar fence: the highest fencing token that the worker has received.
    :ivar deadline_ms: end of the lease on the worker's clock.
    :ivar ends: ends that are not acknowledged yet.
    :ivar highest_ended_run: by task, the highest run number that ended or was stopped.
    :ivar expired_ends: numbers of ends that were not acknowledged before the lease
        expired.
    :ivar hangs: whether the runs make no progress.
    :ivar max_listed_ends: a report lists at most so many ends.
    :ivar cut: names of the members that can't reach the worker.
    :ivar cut_refuses: whether their connections are refused; else calls time out.
    """

    cluster: SimulatedCluster
    info: WorkerInfo
    rate: float = 1.0
    up: bool = True
    boot_s: float = 0.0
    fence: int = 0
    deadline_ms: float = 0
    runs: dict[RunId, SimulatedRun] = field(factory=dict)
    ends: list[RunEnd] = field(factory=list)
    next_end: int = 1
    highest_ended_run: dict[TaskId, int] = field(factory=dict)
    expired_ends: set[int] = field(factory=set)
    hangs: bool = False
    max_listed_ends: int = MAX_LISTED_ENDS
    cut: set[str] = field(factory=set)
    cut_refuses: bool = False

    def clock_ms(self) -> float:
        """Return the worker's monotonic clock in milliseconds."""
        return (self.cluster.loop.time() - self.boot_s) * self.rate * 1000

    def crash(self) -> None:
        """Crash: lose all runs without an end, and answer no calls."""
        for run_id in list(self.runs):
            self.cluster.record_crash(run_id)
            self.cluster.record_run_gone(run_id, self)
        self.runs.clear()
        self.up = False

    def crash_and_restart(self) -> None:
        """Crash, and start again under the same id after ``RESTART_DELAY_S``."""
        if self.up:
            self.crash()
            self.cluster.loop.call_later(RESTART_DELAY_S, self._restart_if_down)

    def _crash_under(self, run_id: RunId) -> None:
        """Crash, unless the run has ended before."""
        if run_id in self.runs:
            self.crash_and_restart()

    def _restart_if_down(self) -> None:
        if not self.up:
            self.restart()

    def restart(self) -> None:
        """Start a new incarnation under the same id."""
        self.boot_s = self.cluster.loop.time()
        self.fence = 0
        self.deadline_ms = 0
        self.ends.clear()
        self.expired_ends.clear()
        self.next_end = 1
        self.highest_ended_run.clear()
        self.up = True
        self.info = evolve(self.info, born_ms=int(self.cluster.loop.time() * 1000))

    def advance(self) -> None:
        """End the runs that are due.

        These have finished, were stopped, waited too long for their gang, or run under
        a lease that has expired.
        """
        now_s = self.cluster.loop.time()
        if self.clock_ms() > self.deadline_ms:
            # Ends that were not acknowledged before the lease expired do not count: the
            # owner may treat their runs as lost.
            self.expired_ends.update(end.number for end in self.ends)
            for run in list(self.runs.values()):
                if run.run_id in self.runs:
                    self._end(run, EndKind.LEASE_EXPIRED)
        for run in list(self.runs.values()):
            if run.run_id not in self.runs:
                continue
            if run.stop_at_s is not None and now_s >= run.stop_at_s:
                self._end(run, EndKind.STOPPED)
            elif self.cluster.gang_wait_expired(run, now_s):
                self._end(run, EndKind.GANG_INCOMPLETE)
            elif not self.hangs and self.cluster.has_finished(run, now_s):
                self._end(run, EndKind.FAILED if run.fails else EndKind.DONE)

    def _end(self, run: SimulatedRun, kind: EndKind) -> None:
        del self.runs[run.run_id]
        task = run.run_id.task
        before = self.highest_ended_run.get(task, 0)
        self.highest_ended_run[task] = max(before, run.run_id.run)
        checkpoint = self._checkpoint(run) if kind is EndKind.STOPPED else ""
        self.ends.append(RunEnd(self.next_end, run.run_id, kind, checkpoint))
        self.next_end += 1
        self.cluster.record_end(run.run_id, kind, self)
        if kind is not EndKind.GANG_MEMBER_ENDED and self.cluster.step_of(task).gang:
            others = EndKind.DONE if kind is EndKind.DONE else EndKind.GANG_MEMBER_ENDED
            self.cluster.end_gang(run.run_id, others)

    def _checkpoint(self, run: SimulatedRun) -> str:
        """Return the checkpoint that a stopped run leaves; empty if it saves none."""
        step = self.cluster.step_of(run.run_id.task)
        if not self.cluster.saves_checkpoints or not step.checkpointed:
            return ""
        return f"{run.saved_s + self.cluster.loop.time() - run.started_s:.3f}"

    def end_with_gang(self, run: SimulatedRun, kind: EndKind) -> None:
        """End a run because another run of its gang ended."""
        del self.runs[run.run_id]
        task = run.run_id.task
        before = self.highest_ended_run.get(task, 0)
        self.highest_ended_run[task] = max(before, run.run_id.run)
        self.ends.append(RunEnd(self.next_end, run.run_id, kind, ""))
        self.next_end += 1
        self.cluster.record_end(run.run_id, kind, self)

    def start(
        self, order: StartOrder, fence: int, deadline_ms: float
    ) -> Refusal | None:
        """Start a run, unless it is running already; return the reason of a refusal."""
        self.advance()
        if fence < self.fence:
            return Refusal.STALE_FENCE
        self.fence = fence
        self._extend_lease(deadline_ms)
        if order.run_id in self.runs:
            return None
        if order.run_id.run <= self.highest_ended_run.get(order.run_id.task, 0):
            return Refusal.STALE_RUN
        if any(run_id.task == order.run_id.task for run_id in self.runs):
            return Refusal.STALE_RUN
        if self.clock_ms() >= self.deadline_ms:
            return Refusal.LEASE_EXPIRED
        spec = self.cluster.step_of(order.run_id.task)
        saved_s = float(order.checkpoint or 0)
        run = SimulatedRun(
            order.run_id,
            self.cluster.loop.time(),
            spec.estimate_ms / 1000 - saved_s,
            saved_s,
            fails=self.cluster.fails(order.run_id.task, self),
        )
        self.runs[order.run_id] = run
        self.cluster.check_start(order.run_id, self)
        if self.cluster.crashes_workers(order.run_id.task):
            self.cluster.loop.call_later(
                self.cluster.crash_delay_s, self._crash_under, order.run_id
            )
        return None

    def _extend_lease(self, deadline_ms: float) -> None:
        latest_ms = self.clock_ms() + MAX_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, latest_ms))

    def stop(self, order: StopOrder, fence: int) -> Refusal | None:
        """Stop a run within `STOP_DURATION_S`, and refuse to start it from now on."""
        self.advance()
        if fence < self.fence:
            return Refusal.STALE_FENCE
        self.fence = fence
        task = order.run_id.task
        before = self.highest_ended_run.get(task, 0)
        self.highest_ended_run[task] = max(before, order.run_id.run)
        for run_id, run in self.runs.items():
            if run_id.task == task and run_id.run <= order.run_id.run:
                run.stop_at_s = (
                    run.stop_at_s or self.cluster.loop.time() + STOP_DURATION_S
                )
        return None

    def heartbeat(self, call: Heartbeat) -> Refusal | None:
        """Apply a heartbeat's lease and acknowledgement."""
        self.advance()
        if call.fence < self.fence:
            return Refusal.STALE_FENCE
        self.fence = call.fence
        if call.deadline_ms is not None:
            self._extend_lease(call.deadline_ms)
        for end in self.ends:
            if end.number <= call.acked_end_number:
                self.cluster.record_acked_end(end, self)
        self.ends = [end for end in self.ends if end.number > call.acked_end_number]
        return None

    def report(self) -> WorkerReport:
        """Return the runs in progress and the ends that are not acknowledged."""
        now_s = self.cluster.loop.time()
        running = tuple(
            RunStatus(
                run.run_id,
                "",
                0
                if self.hangs
                else round(100 * (now_s - run.started_s) / max(0.001, run.duration_s)),
            )
            for run in self.runs.values()
        )
        return WorkerReport(
            self.clock_ms(),
            running,
            tuple(self.ends[: self.max_listed_ends]),
            self.info.born_ms,
            lists_all_ends=len(self.ends) < self.max_listed_ends,
        )
