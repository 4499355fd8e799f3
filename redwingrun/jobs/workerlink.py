"""The owner's line to one worker: leases, lists, and orders until they are certain."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Result

from redwingrun.coordination.verdict import Verdict
from redwingrun.jobs.pacing import has_mixed_load
from redwingrun.jobs.ports import Heartbeat, WorkerAddress, WorkerFault, WorkerPort
from redwingrun.jobs.spec import RunId
from redwingrun.jobs.workerpool import (
    EndKind,
    PaceOrder,
    Refusal,
    StartOrder,
    StopOrder,
    Worker,
    WorkerReport,
)

if TYPE_CHECKING:
    from redwingrun.jobs.sliceowner import SliceOwner

MS_PER_S = 1000
# All that runs on a worker outlives its owner's silence by this; a takeover is shorter.
LEASE_S = 6.0
# A worker's clock may run 2 % slow (the platform's page on leases).
SLOWEST_CLOCK = 0.98
LAPSE_MARGIN_S = 0.2
IDLE_WAIT_S = 1.8
BUSY_WAIT_S = 1.0
# Tails of serving tasks are looked at more often while fillers run beside them.
SHARED_WAIT_S = 0.4
STORING_WAIT_S = 0.5
# After an end others often follow soon: they come with one look.
GATHER_ENDS_S = 0.06
RETRY_FIRST_S = 0.1
RETRY_LAST_S = 0.6
# An order without an answer may be carried out this much later (12 s and some).
LATE_ORDER_S = 15.0
REFUSALS_FOR_DEAD = 2


class WorkerLink:
    """Keeps one worker held and brings orders to it.

    :param owner: the slice owner that the link works for.
    """

    def __init__(self, owner: SliceOwner, port: WorkerPort, worker_id: str):
        self._owner = owner
        self._port = port
        self._worker_id = worker_id
        self._clock_ms: float | None = None
        self._clock_read_s = 0.0
        self._last_deadline_ms: float | None = None
        self._unanswered: dict[RunId, float] = {}
        self._failures = 0
        self._dead_answers = 0

    async def run(self) -> None:
        """Hold the worker until the link is cancelled."""
        while True:
            worker = self._owner.engine.worker_by_id.get(self._worker_id)
            if worker is None:
                return
            await self._hold_once(worker)

    async def _hold_once(self, worker: Worker) -> None:
        owner = self._owner
        sent_s = owner.now()
        durable = min(owner.durable_end(self._worker_id), worker.last_end_number)
        wait_s = self._wait_s(worker, durable)
        # What a silent worker runs must lapse some time: it is only asked.
        deadline_ms = None if self._failures else self._deadline_ms(worker)
        call = Heartbeat(owner.fence, durable, deadline_ms, wait_s)
        answer = await self._port.heartbeat(self._target(worker), call)
        if answer.is_error():
            await self._hold_failed(worker, answer.error)
            return
        report = answer.ok
        heard_s = owner.now()
        self._failures = 0
        self._dead_answers = 0
        self._read_clock(report.clock_ms)
        if self._is_new_life(worker, report):
            await self._settle_new_life(worker, report, sent_s)
        self._log_ends(worker, report)
        owner.engine.process_report(self._worker_id, report, sent_s, heard_s)
        owner.wake()
        if report.ends:
            await owner.wait_durable(self._worker_id, STORING_WAIT_S)
            gathered_s = owner.now() - heard_s
            await asyncio.sleep(max(0.0, GATHER_ENDS_S - gathered_s))

    def _log_ends(self, worker: Worker, report: WorkerReport) -> None:
        """Log the new ends that are not as they should be."""
        for end in report.ends:
            if end.number > worker.last_end_number and end.kind is not EndKind.DONE:
                task = end.run_id.task
                self._owner.log.event(
                    "run-ended",
                    job=task.job,
                    task=f"{task.occurrence}.{task.step}.{task.index}",
                    run=end.run_id.run,
                    worker=self._worker_id,
                    how=end.kind.value,
                    number=end.number,
                )

    def _wait_s(self, worker: Worker, durable: int) -> float:
        if not worker.has_reported or self._failures or self._clock_ms is None:
            return 0.0
        if worker.last_end_number > durable:
            return 0.0
        if has_mixed_load(worker):
            return SHARED_WAIT_S
        return BUSY_WAIT_S if worker.run_by_id else IDLE_WAIT_S

    def _target(self, worker: Worker) -> WorkerAddress:
        return WorkerAddress(worker.worker_id, worker.info.address)

    def _read_clock(self, clock_ms: float) -> None:
        self._clock_ms = clock_ms
        self._clock_read_s = self._owner.now()

    def _deadline_ms(self, worker: Worker) -> float | None:
        """Return a new end of the lease, and note when all has lapsed by then."""
        if self._clock_ms is None:
            return None
        since_s = self._owner.now() - self._clock_read_s
        lease_expiry_s = (since_s + LEASE_S) / SLOWEST_CLOCK + LAPSE_MARGIN_S
        worker.lease_expiry_s = max(
            worker.lease_expiry_s, self._clock_read_s + lease_expiry_s
        )
        self._last_deadline_ms = round(self._clock_ms + (since_s + LEASE_S) * MS_PER_S)
        return self._last_deadline_ms

    def _order_deadline_ms(self, worker: Worker) -> float | None:
        """Return the lease for a start; a silent worker's is not renewed."""
        return self._last_deadline_ms if self._failures else self._deadline_ms(worker)

    async def _hold_failed(self, worker: Worker, fault: WorkerFault) -> None:
        owner = self._owner
        self._failures += 1
        if fault.refusal is Refusal.STALE_FENCE:
            owner.lose_ownership(f"worker {self._worker_id} has seen a newer fence")
            await asyncio.sleep(RETRY_LAST_S)
            return
        self._dead_answers = self._dead_answers + 1 if fault.dead else 0
        dead = self._dead_answers >= REFUSALS_FOR_DEAD
        other_life = fault.refusal is Refusal.OTHER_INCARNATION
        lapsed = owner.now() > worker.lease_expiry_s
        if (dead or other_life or lapsed) and (
            worker.run_by_id or not worker.is_registered
        ):
            why = "dead" if dead else "other-life" if other_life else "lapsed"
            owner.log.event(
                "worker-lost",
                worker=self._worker_id,
                why=why,
                runs=len(worker.run_by_id),
            )
            owner.engine.worker_lost(self._worker_id)
            owner.wake()
        await asyncio.sleep(min(RETRY_LAST_S, RETRY_FIRST_S * self._failures))

    def _is_new_life(self, worker: Worker, report: WorkerReport) -> bool:
        known = worker.info.born_ms
        return bool(report.born_ms and known and report.born_ms != known)

    async def _settle_new_life(
        self, worker: Worker, report: WorkerReport, sent_s: float
    ) -> None:
        """Stop what late orders to the former life could still start in this one."""
        owner = self._owner
        owner.log.event("worker-reborn", worker=self._worker_id, born_ms=report.born_ms)
        owner.forget_durable(self._worker_id)
        owner.engine.worker_restarted(self._worker_id, report, sent_s)
        owner.wake()
        for run_id in self._recent_orders():
            if run_id not in worker.run_by_id:
                await self._stop_surely(worker, StopOrder(run_id, self._worker_id))

    async def _stop_surely(self, worker: Worker, order: StopOrder) -> None:
        owner = self._owner
        while True:
            answer = await self._port.stop(self._target(worker), order, owner.fence)
            if answer.is_ok() or answer.error.refusal is not None:
                return
            await asyncio.sleep(RETRY_FIRST_S)

    def _recent_orders(self) -> list[RunId]:
        """Return the starts without an answer that may still be carried out."""
        oldest_s = self._owner.now() - LATE_ORDER_S
        self._unanswered = {
            run_id: sent_s
            for run_id, sent_s in self._unanswered.items()
            if sent_s > oldest_s
        }
        return list(self._unanswered)

    async def start(self, order: StartOrder) -> None:
        """Bring a start to the worker until it is certain what came of it."""
        owner = self._owner
        attempts = 0
        while True:
            worker = owner.engine.worker_by_id.get(self._worker_id)
            if worker is None or not owner.engine.has_run(order):
                return
            if attempts and not owner.engine.should_send_start(order):
                await self.stop(StopOrder(order.run_id, self._worker_id))
                return
            deadline_ms = self._order_deadline_ms(worker)
            if deadline_ms is None:
                owner.engine.withdraw_start(order)
                return
            answer = await self._port.start(
                self._target(worker), order, owner.fence, deadline_ms
            )
            if self._start_is_settled(order, answer, attempts):
                return
            attempts += 1
            await asyncio.sleep(min(RETRY_LAST_S, RETRY_FIRST_S * attempts))

    def _start_is_settled(
        self, order: StartOrder, answer: Result[float, WorkerFault], attempts: int
    ) -> bool:
        owner = self._owner
        if answer.is_ok():
            owner.engine.start_accepted(order, owner.now())
            owner.wake()
            return True
        fault = answer.error
        if fault.failure.verdict is Verdict.MAY_HAVE_RUN:
            self._unanswered[order.run_id] = owner.now()
            owner.log_order("start-unanswered", order.run_id, self._worker_id, fault)
            return False
        refusal = fault.refusal or Refusal.NOT_SENT
        owner.log_order("start-refused", order.run_id, self._worker_id, fault)
        if refusal is Refusal.STALE_FENCE:
            owner.lose_ownership(f"worker {self._worker_id} has seen a newer fence")
            return True
        if attempts:
            # An earlier try may still be carried out: only a stop settles that.
            owner.spawn(self.stop(StopOrder(order.run_id, self._worker_id)))
            return True
        owner.engine.start_refused(order, refusal, owner.now())
        owner.wake()
        return True

    async def pace(self, order: PaceOrder) -> None:
        """Bring a pace to the worker once; its next report asks again if need be."""
        owner = self._owner
        worker = owner.engine.worker_by_id.get(self._worker_id)
        if worker is None:
            return
        answer = await self._port.pace(
            self._target(worker), order.run_id, order.percent, owner.fence
        )
        if answer.is_ok():
            owner.engine.pace_acknowledged(order)
        else:
            owner.log_order("pace-failed", order.run_id, self._worker_id, answer.error)

    async def stop(self, order: StopOrder) -> None:
        """Bring a stop to the worker until it is answered or the run is gone."""
        owner = self._owner
        failures = 0
        while True:
            worker = owner.engine.worker_by_id.get(self._worker_id)
            if worker is None or order.run_id not in worker.run_by_id:
                return
            answer = await self._port.stop(self._target(worker), order, owner.fence)
            if answer.is_ok():
                owner.engine.stop_acknowledged(order, owner.now())
                return
            if answer.error.refusal is Refusal.STALE_FENCE:
                owner.lose_ownership(f"worker {self._worker_id} has seen a newer fence")
                return
            failures += 1
            await asyncio.sleep(min(RETRY_LAST_S, RETRY_FIRST_S * failures))
