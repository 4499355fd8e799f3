"""The owner of a slice: runs the engine, stores its decisions and sends orders.

A start is sent to a worker only after it is stored, so that the next owner knows of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import math

from redwingrun.jobs.cancellation import cancel_all
from redwingrun.jobs.looplag import watch_loop_lag
from redwingrun.jobs.ownerbase import OwnerBase, OwnerDependencies
from redwingrun.jobs.ownerwatch import EARLIEST_CLAIM_S
from redwingrun.jobs.partitionwriter import OwnershipLost
from redwingrun.jobs.policycache import Ticket
from redwingrun.jobs.ports import PolicyAnswer
from redwingrun.jobs.slicereader import SliceReader
from redwingrun.jobs.slicewriter import SliceWriter
from redwingrun.jobs.spec import QueueSet
from redwingrun.jobs.workerlease import STEP_DOWN_S
from redwingrun.jobs.workerlink import WorkerLink
from redwingrun.jobs.workerpool import (
    PaceOrder,
    PolicyQuery,
    StartOrder,
    StopOrder,
)

# How often the memory of unfinished jobs is added up.
MEASURE_BACKLOG_INTERVAL_S = 1.0
# The owner's row is renewed at this interval when nothing else is stored.
RENEW_INTERVAL_S = 0.4
PLAN_INTERVAL_S = 0.1
# Changes that start no task are stored at the earliest this long after the previous
# commit began, so that one commit stores several of them.
BATCH_INTERVAL_S = 0.04
# A batch that would have to wait for less than this is stored without waiting.
MIN_BATCH_DELAY_S = 0.001
# First attempts of starts that wait for a worker's answer at the same time. More would
# delay each other until they time out, and with them the renewal of leases and of the
# claim.
MAX_STARTS_IN_FLIGHT = 200
POLICY_RETRY_INTERVAL_S = 0.1
# If the release of the slice is not stored within this time the ownership ends without
# it, so that a planned stop or a hand-over does not wait longer.
RELEASE_TIMEOUT_S = 1.0


class SliceOwner(OwnerBase):
    """Owns a slice from its claim until it loses or releases the ownership."""

    def __init__(
        self, writer: SliceWriter, dependencies: OwnerDependencies, queues: QueueSet
    ):
        super().__init__(writer, dependencies, queues)
        self._link_by_worker: dict[str, WorkerLink] = {}
        # Set when the slice is to be released; empty if any member may claim it.
        self._successor: str | None = None
        self._last_commit_s = dependencies.clock.now()
        self._last_batch_s = 0.0
        self._grants_leases = True
        # Last time at which no other member can have claimed the slice.
        self._unclaimed_s = -math.inf
        self._unsaved_jobs: set[str] = set()
        self._starts_in_flight = 0
        self._reader = SliceReader(self)
        self._waiting_by_queue: dict[str, int] | None = None
        self._backlog_measured_s = -math.inf

    # Ownership.

    async def run(self) -> str:
        """Own the slice until the ownership ends; return why it ended."""
        dependencies = self.dependencies
        self.spawn(watch_loop_lag(dependencies.clock, self.log, dependencies.metrics))
        try:
            await self._load()
            while not self.loss_reason and self._successor is None:
                await self._run_cycle()
            if self._successor is not None and not self.loss_reason:
                await self.writer.release(self._successor)
                return "the owner released the slice"
        except OwnershipLost as error:
            self.loss_reason = str(error)
        finally:
            await cancel_all(self._tasks)
        return self.loss_reason

    def release(self, successor: str) -> None:
        """Release the slice after the commit that is under way.

        If the release can't be stored within ``RELEASE_TIMEOUT_S``, the ownership ends
        without it.

        :param successor: the member that should claim the slice; empty for any.
        """
        self._successor = successor
        loop = asyncio.get_running_loop()
        loop.call_later(
            RELEASE_TIMEOUT_S,
            self.lose_ownership,
            f"the release was not stored within {RELEASE_TIMEOUT_S:g} s",
        )
        self.wake()

    def since_commit_s(self) -> float:
        """Return the seconds since the last successful commit.

        Before the first one, they count from the claim.
        """
        return self.now() - self._last_commit_s

    def may_grant_leases(self) -> bool:
        """Return whether this member surely owned the slice a short while ago.

        A later owner counts on it that this one grants no leases once it may have lost
        the slice, also if it was stopped for a while and does not know yet.
        """
        owned_s = max(self._last_commit_s, self._unclaimed_s)
        may_grant = self.now() - owned_s <= STEP_DOWN_S
        if may_grant != self._grants_leases:
            self._grants_leases = may_grant
            self.log.event(
                "leases-granted" if may_grant else "leases-not-granted",
                since_commit_s=round(self.since_commit_s(), 3),
            )
        return may_grant

    def note_owner_row_ages(self, ages: list[float | None], probed_s: float) -> None:
        """Record when all peers last read the owner's row, as they have answered.

        If none has read it late enough to claim the slice, it is still owned, although
        the claim can't be renewed. An owner that knows no peers may have missed some.

        :param ages: seconds since each peer's last read, ``None`` without an answer.
        :param probed_s: when the peers were asked.
        """
        if not ages or None in ages:
            return
        if min(ages) > self.since_commit_s() - EARLIEST_CLAIM_S:
            self._unclaimed_s = probed_s

    def receive_notification(self, job_id: str, submission: str) -> None:
        """Apply a job or cancellation that the table already holds.

        :param submission: the job's submission; empty for a cancellation.
        """
        self._reader.receive_notification(job_id, submission)

    def set_queues(self, queues: QueueSet) -> None:
        """Apply a newer configuration."""
        self.engine.set_queues(queues)
        self.wake()

    async def _load(self) -> None:
        """Read the jobs and workers of the slice, and renew the claim meanwhile."""
        loaded = asyncio.Event()
        renewing = asyncio.get_running_loop().create_task(self._renew_until(loaded))
        try:
            await self._reader.load()
        finally:
            loaded.set()
            await renewing

    async def _renew_until(self, loaded: asyncio.Event) -> None:
        while not loaded.is_set():
            try:
                await self.writer.commit({}, self._waiting_by_queue, self.spawn)
            except OwnershipLost as error:
                self.lose_ownership(str(error))
                return
            self._last_commit_s = self.now()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(loaded.wait(), RENEW_INTERVAL_S)

    async def _run_cycle(self) -> None:
        """Plan, store what changed, then send the starts.

        Stops, changes of pace and policy queries do not depend on what is stored and
        are sent first.
        """
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wake_event.wait(), self._cycle_delay_s())
        self._wake_event.clear()
        self.engine.set_time(self.dependencies.unix_ms())
        max_starts = MAX_STARTS_IN_FLIGHT - self._starts_in_flight
        usable_proxies = self.dependencies.policy_proxies.usable_count()
        self.engine.set_policy_proxy_count(usable_proxies)
        plan = self.engine.plan(self.now(), max_starts)
        for stop in plan.stops:
            self._send_stop(stop)
        for pace in plan.paces:
            self._send_pace(pace)
        for query in plan.policy_queries:
            self.spawn(self._query_policy(query))
        self._unsaved_jobs |= plan.changed_jobs
        if plan.starts or self._batch_delay_s() < MIN_BATCH_DELAY_S:
            await self._store()
        self.decisions.accounts(plan.capped_accounts)
        self.decisions.interference()
        self.decisions.rates(plan.rate_changes)
        self.decisions.starts(plan.starts, self.fence)
        for start in plan.starts:
            self._send_start(start)

    def _cycle_delay_s(self) -> float:
        """Return the seconds until the next cycle, unless the owner is woken."""
        if not self._unsaved_jobs:
            return PLAN_INTERVAL_S
        return min(PLAN_INTERVAL_S, max(MIN_BATCH_DELAY_S, self._batch_delay_s()))

    def _batch_delay_s(self) -> float:
        """Return for how many more seconds changes are collected for one commit."""
        return max(0.0, self._last_batch_s + BATCH_INTERVAL_S - self.now())

    async def _store(self) -> None:
        """Store the changed jobs, or renew the owner's row if that is due.

        Afterwards the ends that were reported before the call count as durable. Ends
        that changed no job need no write for that.
        """
        end_by_worker = self.engine.last_end_by_worker()
        has_new_ends = any(
            end.number > self.durable_end_number(key)
            for key, end in end_by_worker.items()
        )
        changed, self._unsaved_jobs = frozenset(self._unsaved_jobs), set()
        recently_committed = self.now() - self._last_commit_s < RENEW_INTERVAL_S
        if recently_committed and not changed and not has_new_ends:
            return
        progress = {
            job_id: self.engine.job_by_id[job_id].progress for job_id in changed
        }
        started_s = self.now()
        if progress or not recently_committed:
            self._last_batch_s = started_s
            self._waiting_by_queue = self.engine.waiting_by_queue()
            self._report_backlog()
            rejected = await self.writer.commit(
                progress, self._waiting_by_queue, self.spawn
            )
            self._last_commit_s = started_s
            self._give_up_rejected(rejected)
            self.decisions.finished_jobs(changed - rejected)
            self.dependencies.metrics.seconds("commit_s", self.now() - started_s)
        self._durable_end_by_worker.update(end_by_worker)
        # Wakes the coroutines that wait now; later ones wait for the new event.
        self._stored_event.set()
        self._stored_event = asyncio.Event()

    @property
    def has_loaded(self) -> bool:
        """Whether all stored jobs are known."""
        return self._reader.is_loaded

    def _report_backlog(self) -> None:
        """Have the members know how much memory is left for jobs."""
        if self.now() - self._backlog_measured_s >= MEASURE_BACKLOG_INTERVAL_S:
            self._backlog_measured_s = self.now()
            self.engine.measure_backlog()
        room_bytes = self.engine.backlog_room_bytes() if self.has_loaded else None
        self.writer.report_room(room_bytes)
        if room_bytes is not None:
            self.dependencies.metrics.gauge("backlog_room_bytes", room_bytes)

    def _give_up_rejected(self, rejected: frozenset[str]) -> None:
        """Fail the jobs whose progress the table rejects.

        Their tasks can't be started: the next owner would not know of them. The row of
        a failed job has no tasks, so that it can be stored.
        """
        for job_id in sorted(rejected):
            self.dependencies.metrics.count("jobs_rejected_total")
            self.log.fault("job-rejected", job=job_id)
            self.engine.give_up_job(job_id)

    def _send_start(self, order: StartOrder) -> None:
        link = self._link_by_worker.get(order.worker_id)
        if link is None or not self.engine.should_send_start(order):
            self.engine.withdraw_start(order, self.now())
            return
        self.dependencies.metrics.count("starts_total")
        self._starts_in_flight += 1
        self.spawn(self._start(link, order))

    async def _start(self, link: WorkerLink, order: StartOrder) -> None:
        """Send a start until its outcome is certain."""
        try:
            is_settled = await link.try_start(order, 0)
        finally:
            self._starts_in_flight -= 1
        if not is_settled:
            await link.repeat_start(order)

    def _send_stop(self, order: StopOrder) -> None:
        self.decisions.stop(order)
        link = self._link_by_worker.get(order.worker_id)
        if link is not None:
            self.spawn(link.stop(order))

    def _send_pace(self, order: PaceOrder) -> None:
        link = self._link_by_worker.get(order.worker_id)
        if link is not None:
            self.spawn(link.pace(order))

    def ensure_link(self, worker_id: str) -> None:
        """Start the link to a worker that the engine knows, unless there is one."""
        worker = self.engine.worker_by_id.get(worker_id)
        if worker is None or worker_id in self._link_by_worker:
            return
        link = WorkerLink(self, self.dependencies.workers, worker_id)
        self._link_by_worker[worker_id] = link
        self.spawn(self._run_link(worker_id, link))

    async def _run_link(self, worker_id: str, link: WorkerLink) -> None:
        try:
            await link.run()
        finally:
            self._link_by_worker.pop(worker_id, None)
            self.reset_durable_end_number(worker_id)

    async def _query_policy(self, query: PolicyQuery) -> None:
        """Send a query to the placement policy, and pass the answer to the engine."""
        started_s = self.now()
        answer = await self.dependencies.policy.send(query)
        self.engine.policy_query_ended(query)
        self.dependencies.metrics.seconds("policy_s", self.now() - started_s)
        if answer.is_error():
            self.engine.policy_failed(query, self.now() + POLICY_RETRY_INTERVAL_S)
        else:
            self.engine.policy_answered(query, self._tickets(answer.ok))
        self.wake()

    def _tickets(self, answer: PolicyAnswer) -> dict[str, Ticket]:
        expires_s = self.now() + answer.valid_s
        tickets = {}
        for worker_id, text in answer.ticket_by_worker.items():
            worker = self.engine.worker_by_id.get(worker_id)
            if worker is not None:
                tickets[worker_id] = Ticket(text, worker.info.born_ms, expires_s)
        return tickets
