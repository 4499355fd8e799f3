"""The owner's connection to one worker: heartbeats, leases, and orders with retries."""

from __future__ import annotations

import asyncio

from expression import Result

from redwingrun.coordination.verdict import TIMEOUT, Verdict
from redwingrun.jobs.endacks import EndAcks
from redwingrun.jobs.evidence import Evidence, LeaseExpired, OtherWorkerAtAddress
from redwingrun.jobs.ownerbase import OwnerBase
from redwingrun.jobs.pacing import has_mixed_load
from redwingrun.jobs.ports import Heartbeat, WorkerAddress, WorkerFault, WorkerPort
from redwingrun.jobs.spec import RunId
from redwingrun.jobs.workerlease import MAX_ORDER_DELAY_S, WorkerLease
from redwingrun.jobs.workerpool import (
    PaceOrder,
    Refusal,
    StartOrder,
    StopOrder,
    Worker,
    WorkerReport,
)

# Longest delay of a worker's answer to a heartbeat; it answers earlier if a run ends.
IDLE_WAIT_S = 1.8
BUSY_WAIT_S = 1.0
# Shorter, because the tail latency of serving tasks is checked more often while filler
# tasks run beside them.
MIXED_LOAD_WAIT_S = 0.4
# Longest wait until reported ends are stored, so that the next heartbeat can
# acknowledge them.
STORE_WAIT_S = 0.5
# Time from a report with an end to the next heartbeat: ends often follow each other
# closely, and one heartbeat then reports several.
END_BATCH_DELAY_S = 0.06
# Longest wait for the answers to starts before a heartbeat with an acknowledgement.
START_ANSWER_WAIT_S = 0.1
# The delay before a retry grows by this step with each attempt.
RETRY_STEP_S = 0.1
MAX_RETRY_DELAY_S = 0.6
# A worker that refuses a stop so will refuse the start, too.
FINAL_STOP_REFUSALS = frozenset(
    {Refusal.STALE_FENCE, Refusal.OTHER_INCARNATION, Refusal.BAD_ORDER}
)


class WorkerLink:
    """Renews the lease of one worker, receives its reports and sends it orders.

    :param owner: the slice owner that the link works for.
    """

    def __init__(self, owner: OwnerBase, port: WorkerPort, worker_id: str):
        self._owner = owner
        self._port = port
        self._worker_id = worker_id
        self._lease = WorkerLease(owner.dependencies.settings.max_lease_s)
        self._acks = EndAcks()
        self._has_answered = False
        self._unanswered_start_s: dict[RunId, float] = {}
        self._failed_heartbeats = 0
        self._checked_born_ms = 0

    async def run(self) -> None:
        """Send heartbeats until the engine drops the worker."""
        while True:
            worker = self._owner.engine.worker_by_id.get(self._worker_id)
            if worker is None:
                return
            await self._send_heartbeat(worker)

    async def _send_heartbeat(self, worker: Worker) -> None:
        """Send one heartbeat, and pass the report to the engine."""
        owner = self._owner
        await self._acks.wait_for_starts(START_ANSWER_WAIT_S)
        sent_s = owner.now()
        durable_end_number = min(
            owner.durable_end_number(self._worker_id), worker.last_end_number
        )
        acked_end_number = self._acks.number(durable_end_number, sent_s)
        wait_s = self._wait_s(worker, durable_end_number)
        # After a failed heartbeat the lease is not renewed, so that it expires if the
        # worker stays unreachable.
        deadline_ms = None if self._failed_heartbeats else self._deadline_ms(worker)
        call = Heartbeat(owner.fence, acked_end_number, deadline_ms, wait_s)
        answer = await self._port.heartbeat(self._target(worker), call)
        if answer.is_error():
            if answer.error.failure.reason == TIMEOUT:
                self._lease.note_unanswered(owner.now())
            self._acks.doubt_incarnation(owner.now())
            await self._heartbeat_failed(worker, answer.error)
            return
        report = answer.ok
        received_s = owner.now()
        self._note_answer(worker, report, received_s)
        self._acks.record_report(report, sent_s)
        self._lease.record_clock(report.clock_ms, owner.now())
        if self._has_restarted(worker, report):
            self._log_restart(worker, report, acked_end_number)
            await self._handle_restart(worker, report, sent_s)
        owner.decisions.abnormal_ends(worker, report)
        crash = owner.engine.process_report(self._worker_id, report, sent_s, received_s)
        owner.decisions.crash(self._worker_id, crash)
        owner.wake()
        if report.ends:
            await owner.wait_until_durable(self._worker_id, STORE_WAIT_S)
            if not self._acks.must_hurry(owner.now()):
                elapsed_s = owner.now() - received_s
                await asyncio.sleep(max(0.0, END_BATCH_DELAY_S - elapsed_s))

    def _wait_s(self, worker: Worker, durable_end_number: int) -> float:
        """Return how long the worker may wait for an end before it answers."""
        if not worker.is_reachable or self._failed_heartbeats:
            return 0.0
        if not self._lease.is_clock_known:
            return 0.0
        if worker.last_end_number > durable_end_number:
            return 0.0
        if has_mixed_load(worker):
            return MIXED_LOAD_WAIT_S
        return BUSY_WAIT_S if worker.run_by_id else IDLE_WAIT_S

    def _target(self, worker: Worker) -> WorkerAddress:
        return WorkerAddress(worker.worker_id, worker.info.address)

    def _deadline_ms(self, worker: Worker) -> float | None:
        """Return a new deadline of the lease, and record when it certainly expires.

        :return: time on the worker's clock; ``None`` if no lease may be granted.
        """
        if not self._owner.may_grant_leases():
            return None
        grant = self._lease.grant(self._owner.now())
        if grant is None:
            return None
        worker.lease_expiry_s = max(worker.lease_expiry_s, grant.expires_s)
        return grant.deadline_ms

    def _order_deadline_ms(self, worker: Worker) -> float | None:
        """Return the lease deadline for a start.

        After a failed heartbeat it is the last one, so that the lease is not renewed.
        """
        return (
            self._lease.last_deadline_ms
            if self._failed_heartbeats
            else self._deadline_ms(worker)
        )

    def _note_answer(
        self, worker: Worker, report: WorkerReport, received_s: float
    ) -> None:
        """Record that the worker has answered a heartbeat."""
        if not self._has_answered and self._owner.writer.has_former_owner:
            expires_s = self._lease.inherited_expiry_s(report.clock_ms, received_s)
            worker.lease_expiry_s = min(worker.lease_expiry_s, expires_s)
        if self._failed_heartbeats:
            self._owner.log.event(
                "worker-reached", worker=self._worker_id, failed=self._failed_heartbeats
            )
        self._has_answered = True
        self._failed_heartbeats = 0

    async def _heartbeat_failed(self, worker: Worker, fault: WorkerFault) -> None:
        """Handle a failed heartbeat.

        It gets no new work before it answers again. A worker that refuses connections
        may be cut off and run on, so its runs are lost only once another incarnation
        has answered at its address or the lease has expired. A worker that has seen a
        newer fence belongs to a newer owner.
        """
        owner = self._owner
        self._failed_heartbeats += 1
        if fault.refusal is Refusal.STALE_FENCE:
            owner.lose_ownership(f"worker {self._worker_id} has seen a newer fence")
            await asyncio.sleep(MAX_RETRY_DELAY_S)
            return
        if self._failed_heartbeats == 1:
            self._log_unreachable(worker, fault)
        owner.engine.worker_unreachable(self._worker_id)
        evidence = self._evidence_of_loss(worker, fault)
        if evidence is not None and (worker.run_by_id or not worker.is_registered):
            self._lose_worker(worker, evidence)
        await asyncio.sleep(
            min(MAX_RETRY_DELAY_S, RETRY_STEP_S * self._failed_heartbeats)
        )

    def _evidence_of_loss(self, worker: Worker, fault: WorkerFault) -> Evidence | None:
        """Return what shows, after a failed heartbeat, that all runs have ended."""
        now_s = self._owner.now()
        if fault.refusal is Refusal.OTHER_INCARNATION:
            return OtherWorkerAtAddress(now_s)
        self._check_registration(worker)
        if now_s > worker.lease_expiry_s:
            return LeaseExpired(now_s)
        return None

    def _check_registration(self, worker: Worker) -> None:
        """Notice by its registration that a worker has restarted.

        It may have got starts since, as in :meth:`_check_clock`.
        """
        born_ms = worker.registered_born_ms
        if born_ms in (0, worker.info.born_ms, self._checked_born_ms):
            return
        self._checked_born_ms = born_ms
        self._owner.log.event(
            "worker-registered-anew", worker=self._worker_id, born_ms=born_ms
        )
        self._assume_longest_lease(worker)

    def _log_unreachable(self, worker: Worker, fault: WorkerFault) -> None:
        """Log the first failed heartbeat after an answer."""
        owner = self._owner
        owner.log.event(
            "worker-unreachable",
            worker=self._worker_id,
            reason=fault.refusal.value if fault.refusal else fault.failure.reason,
            runs=len(worker.run_by_id),
            lease_left_s=round(worker.lease_expiry_s - owner.now(), 3),
        )

    def _lose_worker(self, worker: Worker, evidence: Evidence) -> None:
        """Report to the engine that all runs of a worker have ended."""
        owner = self._owner
        owner.log.event(
            "worker-lost",
            worker=self._worker_id,
            why=evidence.name,
            runs=len(worker.run_by_id),
        )
        crash = owner.engine.worker_lost(self._worker_id, evidence)
        owner.decisions.crash(self._worker_id, crash)
        owner.wake()

    def _has_restarted(self, worker: Worker, report: WorkerReport) -> bool:
        known_born_ms = worker.info.born_ms
        return bool(
            report.born_ms and known_born_ms and report.born_ms != known_born_ms
        )

    def _log_restart(
        self, worker: Worker, report: WorkerReport, acked_end_number: int
    ) -> None:
        """Log a restart, and what was acknowledged to which incarnation.

        :param acked_end_number: what the heartbeat for the report acknowledged.
        """
        self._owner.log.event(
            "worker-reborn",
            worker=self._worker_id,
            born_ms=report.born_ms,
            acked=acked_end_number,
            former_born_ms=worker.info.born_ms,
            former_acked=self._acks.last_sent,
        )
        self._acks.last_sent = 0

    async def _handle_restart(
        self, worker: Worker, report: WorkerReport, sent_s: float
    ) -> None:
        """Report the worker's restart to the engine, and stop late starts.

        A start that was sent to the former incarnation without an answer may still be
        carried out by the new one. The engine decides about those whose runs it still
        holds; the others are stopped here.
        """
        owner = self._owner
        owner.reset_durable_end_number(self._worker_id)
        crash = owner.engine.worker_restarted(
            self._worker_id, report, sent_s, owner.now()
        )
        owner.decisions.crash(self._worker_id, crash)
        owner.wake()
        late_starts = self._possibly_late_starts()
        self._assume_longest_lease(worker)
        for run_id in late_starts:
            if run_id not in worker.run_by_id:
                order = StopOrder(run_id, self._worker_id)
                owner.spawn(self._prevent_late_start(worker, order))

    def _assume_longest_lease(self, worker: Worker) -> None:
        """Record until when the leases of a new incarnation may last.

        Orders that were sent before its restart was known have deadlines on the clock
        of the former one, which may be far in its future. Late ones may still arrive.
        """
        expires_s = self._lease.longest_expiry_s(self._owner.now())
        worker.lease_expiry_s = max(worker.lease_expiry_s, expires_s)

    async def _prevent_late_start(self, worker: Worker, order: StopOrder) -> None:
        """Send a stop until it is acknowledged, or its start can't be carried out now.

        Heartbeats go on meanwhile: the worker may crash again.
        """
        owner = self._owner
        until_s = owner.now() + MAX_ORDER_DELAY_S
        while owner.now() < until_s:
            answer = await self._port.stop(self._target(worker), order, owner.fence)
            if answer.is_ok() or answer.error.refusal in FINAL_STOP_REFUSALS:
                return
            await asyncio.sleep(RETRY_STEP_S)

    def _possibly_late_starts(self) -> list[RunId]:
        """Return the unanswered starts that the worker may still carry out."""
        oldest_s = self._owner.now() - MAX_ORDER_DELAY_S
        self._unanswered_start_s = {
            run_id: sent_s
            for run_id, sent_s in self._unanswered_start_s.items()
            if sent_s > oldest_s
        }
        return list(self._unanswered_start_s)

    async def repeat_start(self, order: StartOrder) -> None:
        """Repeat a start that got no answer until its outcome is certain."""
        attempts = 1
        while True:
            await asyncio.sleep(min(MAX_RETRY_DELAY_S, RETRY_STEP_S * attempts))
            if await self.try_start(order, attempts):
                return
            attempts += 1

    async def try_start(self, order: StartOrder, attempts: int) -> bool:
        """Send a start to the worker once.

        It is withdrawn while no lease can be granted, because it can have no deadline
        then. It is replaced by a stop if, after an attempt without an answer, it is
        refused, no longer needed or without a deadline.

        :param attempts: earlier attempts to send the same start.
        :return: whether no other attempt is needed.
        """
        owner = self._owner
        worker = owner.engine.worker_by_id.get(self._worker_id)
        if worker is None or owner.engine.is_start_settled(order):
            return True
        if attempts and not owner.engine.should_send_start(order):
            await self.stop(StopOrder(order.run_id, self._worker_id))
            return True
        deadline_ms = self._order_deadline_ms(worker)
        if deadline_ms is None and attempts:
            await self.stop(StopOrder(order.run_id, self._worker_id))
            return True
        if deadline_ms is None:
            owner.engine.withdraw_start(order, owner.now())
            return True
        sent_s = owner.now()
        with self._acks.start_in_flight():
            answer = await self._port.start(
                self._target(worker), order, owner.fence, deadline_ms
            )
        if answer.is_ok():
            self._check_clock(worker, answer.ok, sent_s)
        return self._process_start_answer(order, answer, attempts)

    def _check_clock(self, worker: Worker, clock_ms: float, sent_s: float) -> None:
        """Notice by its clock that a worker has restarted since its last report.

        Deadlines on the clock of its former incarnation are the longest lease for the
        new one. Until its next report it gets no starts and no lease.

        :param clock_ms: the worker's clock in the answer to an order.
        :param sent_s: when the order was sent.
        """
        owner = self._owner
        if not self._lease.is_of_later_incarnation(clock_ms, sent_s):
            return
        owner.log.event(
            "worker-clock-back", worker=self._worker_id, clock_ms=round(clock_ms)
        )
        self._assume_longest_lease(worker)
        self._lease.forget_clock()
        self._acks.doubt_incarnation(owner.now())
        owner.engine.worker_unreachable(self._worker_id)

    def _process_start_answer(
        self, order: StartOrder, answer: Result[float, WorkerFault], attempts: int
    ) -> bool:
        """Process the answer to a start; return whether no other attempt is needed.

        :param attempts: earlier attempts to send the same start.
        """
        owner = self._owner
        if answer.is_ok():
            owner.engine.start_accepted(order, owner.now())
            owner.wake()
            return True
        fault = answer.error
        if fault.failure.verdict is Verdict.MAY_HAVE_RUN:
            self._unanswered_start_s[order.run_id] = owner.now()
            owner.engine.start_unanswered(order, owner.now())
            self._lease.note_unanswered(owner.now())
            self._acks.note_unanswered_start(owner.now())
            owner.decisions.order_failed(
                "start-unanswered", order.run_id, self._worker_id, fault
            )
            return False
        refusal = fault.refusal or Refusal.NOT_SENT
        owner.decisions.order_failed(
            "start-refused", order.run_id, self._worker_id, fault
        )
        if refusal is Refusal.STALE_FENCE:
            owner.lose_ownership(f"worker {self._worker_id} has seen a newer fence")
            return True
        if attempts:
            # An earlier attempt may still be carried out; a stop rules that out.
            owner.spawn(self.stop(StopOrder(order.run_id, self._worker_id)))
            return True
        owner.engine.start_refused(order, refusal, owner.now())
        owner.wake()
        return True

    async def pace(self, order: PaceOrder) -> None:
        """Send a change of pace to the worker once.

        If it is lost, the engine repeats it after one of the next reports.
        """
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
            owner.decisions.order_failed(
                "pace-failed", order.run_id, self._worker_id, answer.error
            )

    async def stop(self, order: StopOrder) -> None:
        """Send a stop to the worker until it is acknowledged or the run has ended."""
        owner = self._owner
        failures = 0
        while True:
            worker = owner.engine.worker_by_id.get(self._worker_id)
            if worker is None or order.run_id not in worker.run_by_id:
                return
            async with owner.stop_slots:
                answer = await self._port.stop(self._target(worker), order, owner.fence)
            if answer.is_ok():
                owner.engine.stop_acknowledged(order, owner.now())
                return
            if answer.error.refusal is Refusal.STALE_FENCE:
                owner.lose_ownership(f"worker {self._worker_id} has seen a newer fence")
                return
            failures += 1
            await asyncio.sleep(min(MAX_RETRY_DELAY_S, RETRY_STEP_S * failures))
