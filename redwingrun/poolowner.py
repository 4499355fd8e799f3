"""Runs the tasks of one pool of workers while this process owns the pool."""

from __future__ import annotations

import asyncio

from attrs import evolve

from redwingrun.admission import check_admission, new_row
from redwingrun.coordination.tasklease import WorkerLease
from redwingrun.coordination.verdict import Failure, Verdict, may_have_run, not_run
from redwingrun.node import Node
from redwingrun.objects import Workload
from redwingrun.peer_pb2 import SubmitTask
from redwingrun.scheduler import Placement, Scheduler
from redwingrun.taskrows import RETRY_INTERVAL_S, Commit, TaskRows
from redwingrun.tasks import (
    CANCELLED,
    QUEUED,
    STOPPING,
    EndReason,
    MemberKey,
    Task,
    TaskRow,
)
from redwingrun.workerlink import STOP_AFTER_OVER_SIZE_REPORTS, WorkerLink
from redwingrun.workers import (
    Grant,
    MemberReport,
    StartCall,
    SyncCall,
    WorkerClient,
    WorkerReport,
)

PLACE_INTERVAL_S = 0.5
# Ended tasks that are kept; the oldest above this number are deleted.
MAX_ENDED_TASKS = 5_000
# Renewal intervals without an answer after which a worker gets no new tasks.
UNREACHABLE_AFTER_INTERVALS = 2
# How a member ended, by the name in a worker's report.
END_BY_NAME = {
    "ok": EndReason.OK,
    "failed": EndReason.FAILED,
    "stopped": EndReason.STOPPED,
    "lapsed": EndReason.LOST,
}


class PoolOwner:
    """Owns the tasks and workers of one pool under one epoch.

    Each write is fenced by the shard's row, and each call to a worker has the epoch.
    So a process that was paused beyond the end of its ownership can't write or give
    orders to workers any more.
    """

    def __init__(self, node: Node, pool: str, epoch: int, workers: WorkerClient):
        self._node = node
        self._pool = pool
        self._epoch = epoch
        self._workers = workers
        self._lease_settings = node.settings.task_lease_settings()
        self.scheduler = Scheduler()
        self.task_by_id: dict[str, Task] = {}
        self.loaded = False
        self.closed = False
        self._link_by_worker: dict[str, WorkerLink] = {}
        self._placement_due = asyncio.Event()
        self._last_order = 0
        self._submissions: dict[str, asyncio.Task] = {}
        fence = node.membership.fencing_condition(pool)
        self._rows = TaskRows(node.table, node.writer, pool, fence, self.owns)

    # Ownership

    def owns(self) -> bool:
        """Return whether this process still owns the pool under this epoch."""
        ended = self.closed or self._rows.ownership_lost
        return not ended and self._node.membership.owns(self._pool, self._epoch)

    async def run(self) -> None:
        """Load the pool's tasks, then place and run them until ownership ends."""
        while not await self._load():
            await asyncio.sleep(RETRY_INTERVAL_S)
            if not self.owns():
                return
        self.loaded = True
        self.update()
        while self.owns():
            self._place()
            await self._wait_for_placement()
        self.closed = True

    async def _wait_for_placement(self) -> None:
        """Wait until a placement is due, at most ``PLACE_INTERVAL_S``."""
        try:
            await asyncio.wait_for(self._placement_due.wait(), PLACE_INTERVAL_S)
        except TimeoutError:
            return
        self._placement_due.clear()

    async def _load(self) -> bool:
        tasks = await self._rows.load()
        if tasks is None:
            return False
        self._set_objects()
        now_s = self._node.clock.now()
        for task in tasks:
            self.task_by_id[task.task_id] = task
            task.end_is_stored = task.ended
            self._last_order = max(self._last_order, task.row.order)
            if task.state == QUEUED:
                self.scheduler.enqueue(task, now_s)
            elif not task.ended:
                task.adopt()
                self.scheduler.reserve(task, tuple(task.row.workers))
        self._node.log.event("pool-loaded", pool=self._pool, tasks=len(tasks))
        return True

    def update(self) -> None:
        """Apply changed objects, drains or leaving hosts."""
        if not self.loaded:
            return
        self._set_objects()
        for name in self.scheduler.worker_by_name:
            if name not in self._link_by_worker:
                self._link_by_worker[name] = WorkerLink(self._first_lease())
                self._node.spawn(self._monitor_worker(name), f"worker-{name}")
        self._placement_due.set()

    def _set_objects(self) -> None:
        objects = self._node.objects
        self.scheduler.objects = objects
        pool = objects.pools.get(self._pool)
        upstreams = pool.upstreams_by_name if pool else {}
        leaving = {name for name in upstreams if self._node.is_draining(name)}
        self.scheduler.set_workers(upstreams, leaving)

    def _first_lease(self) -> WorkerLease:
        """Return the lease to assume for a worker that has not answered yet.

        An earlier owner may have issued grants until this process claimed the pool,
        so a full term is counted from now.
        """
        lease = WorkerLease(self._lease_settings, "")
        lease.record_clock(0.0, self._node.clock.now())
        lease.issue_grant()
        return lease

    # Calls of entries

    async def submit(self, message: SubmitTask, workload: Workload) -> Task | Failure:
        """Store and queue a new task, or return the known one with its id."""
        pending = self._submissions.get(message.task_id)
        if pending is not None:
            # The same task is being stored. A second write would conflict with the
            # first one's row, and the call would be answered *not run* although the
            # task is stored.
            await asyncio.wait([pending])
        known = self.task_by_id.get(message.task_id)
        if known is not None:
            return self._check_digest(known, message.digest)
        refusal = check_admission(
            self._node.objects, message, workload, len(self.task_by_id)
        )
        if refusal is not None:
            return refusal
        submission = self._node.spawn(self._store_new(message, workload), "submit")
        self._submissions[message.task_id] = submission
        # The write continues when the entry no longer waits for it: later submissions
        # of the same task need its outcome.
        return await asyncio.shield(submission)

    async def _store_new(
        self, message: SubmitTask, workload: Workload
    ) -> Task | Failure:
        self._last_order += 1
        policy = self._node.objects.policies[workload.policy]
        task = Task(new_row(message, workload, policy, self._last_order))
        try:
            commit = await self._rows.commit(task)
        finally:
            self._submissions.pop(message.task_id, None)
        if commit is Commit.DONE:
            self.task_by_id[task.task_id] = task
            self.scheduler.enqueue(task, self._node.clock.now())
            self._placement_due.set()
            return task
        if commit is Commit.REFUSED:
            return not_run(
                "table-unavailable", "the task could not be stored; submit it again"
            )
        # Ownership ended during a write: the next owner may find the row.
        return may_have_run(
            "not-owner",
            f"this host no longer owns pool {self._pool}; the task may be stored",
        )

    def _check_digest(self, known: Task, digest: str) -> Task | Failure:
        if known.row.digest != digest:
            return not_run("key-reused", "this key was used with another body before")
        return known

    async def cancel(self, task: Task) -> Failure | None:
        """Cancel a task; return ``None`` when that is stored, otherwise a failure.

        For a task that has ended or is being cancelled nothing is done, and ``None``
        is returned.
        """
        # The write continues when the caller no longer waits for it: this process has
        # to learn the version that it stores.
        return await asyncio.shield(self._node.spawn(self._cancel(task), "cancel"))

    async def _cancel(self, task: Task) -> Failure | None:
        async with task.write_lock:
            # The write under way may be that of another cancellation, which may fail.
            pass
        if task.ended or task.state == STOPPING:
            return None
        previous_row = task.row
        task.apply_event("cancel", "cancelled")
        ends_now = task.ended
        commit = await self._rows.commit(task)
        if commit is Commit.DONE:
            task.end_is_stored = task.end_is_stored or ends_now
            self._wake_workers(task)
            return None
        if commit is Commit.NOT_OWNER:
            return may_have_run(
                "not-owner",
                f"this host no longer owns pool {self._pool};"
                " the cancellation may be stored",
            )
        if task.state == CANCELLED and not ends_now:
            # The members were stopped meanwhile. The end is written until it is stored.
            return may_have_run(
                "table-unavailable", "the task was stopped; that may be stored later"
            )
        self._revert_cancel(task, previous_row)
        return not_run("table-unavailable", "the cancellation could not be stored")

    def _revert_cancel(self, task: Task, previous_row: TaskRow) -> None:
        """Undo a cancellation that was not stored, unless the task succeeded."""
        if task.state not in (STOPPING, CANCELLED):
            return
        task.row = evolve(
            task.row, state=previous_row.state, detail=previous_row.detail
        )
        # A queue drops a cancelled task only when it comes to it.
        is_queued = any(item is task for item in self.scheduler.queued_tasks())
        if task.state == QUEUED and not is_queued:
            self.scheduler.enqueue(task, self._node.clock.now())

    # Placement

    def _place(self) -> None:
        now_s = self._node.clock.now()
        with self._node.metrics.timed("placement_seconds", pool=self._pool):
            placements = self.scheduler.place(now_s)
        for placement in placements:
            self._start_placement(placement)
        for task in self.scheduler.preemptions(self.task_by_id, now_s):
            task.apply_event("preempt", "preempted by an urgent task")
            self._wake_workers(task)
        self._node.metrics.gauge(
            "tasks_queued", self.scheduler.queued_count(), pool=self._pool
        )

    def _start_placement(self, placement: Placement) -> None:
        task = placement.task
        workers = self.scheduler.worker_by_name
        incarnations = [workers[name].incarnation for name in placement.workers]
        task.place(list(placement.workers), incarnations)
        waited_s = self._node.clock.now() - task.queued_s
        self._node.metrics.seconds("task_waiting_seconds", waited_s, pool=self._pool)
        self._node.spawn(self._start(task, task.row), "start")

    async def _start(self, task: Task, row: TaskRow) -> None:
        """Store a placement, then start the members."""
        commit = await self._rows.commit(task)
        if commit is Commit.NOT_OWNER:
            return
        if commit is Commit.REFUSED or task.state == STOPPING:
            # No start call was made.
            for index in range(row.count):
                self._member_ended(task, index, EndReason.NOT_RUN)
            return
        await asyncio.gather(
            *[self._start_member(task, index) for index in range(row.count)]
        )

    async def _start_member(self, task: Task, index: int) -> None:
        row = task.row
        name = row.workers[index]
        link = self._link_by_worker.get(name)
        worker = self.scheduler.worker_by_name.get(name)
        stale = worker is None or worker.incarnation != row.incarnations[index]
        if link is None or stale or not self.owns():
            self._member_ended(task, index, EndReason.NOT_RUN)
            return
        call = StartCall(
            address=worker.upstream.address,
            grant=link.grant(self._epoch, row.incarnations[index]),
            member=task.key(index),
            workload=row.workload,
            size=row.size,
            run_s=row.run_s,
            service=row.service,
            body=row.body,
            checkpoint=row.checkpoints[index] if row.checkpoints else "",
        )
        result = await self._workers.start(call, self._node.settings.worker_timeout_s)
        # After a change of owner, or in a later attempt, the answer is out of date.
        if (
            not self.owns()
            or index not in task.starting
            or task.row.attempt != row.attempt
        ):
            return
        task.starting.discard(index)
        if result.is_ok():
            link.record_clock(result.ok, self._node.clock.now())
            task.confirm(index)
            return
        self._start_failed(task, index, result.error)

    def _start_failed(self, task: Task, index: int, failure: Failure) -> None:
        name = task.row.workers[index]
        self._node.log.event(
            "start-failed", task=task.task_id, worker=name, reason=failure.reason
        )
        if failure.verdict is Verdict.NOT_RUN:
            task.excluded_workers.add(name)
            self.scheduler.record_task_failure(name, self._node.clock.now())
            self._member_ended(task, index, EndReason.NOT_RUN)
            return
        # Unknown whether it runs: the worker's next report shows it.
        link = self._link_by_worker.get(name)
        if link is not None:
            link.wake.set()

    # Workers

    async def _monitor_worker(self, name: str) -> None:
        """Call a worker every renewal interval, or sooner when it is woken."""
        link = self._link_by_worker[name]
        while self.owns() and name in self.scheduler.worker_by_name:
            link.wake.clear()
            await self._sync(name, link)
            try:
                await asyncio.wait_for(link.wake.wait(), self._lease_settings.renew_s)
            except TimeoutError:
                continue
        self._link_by_worker.pop(name, None)

    async def _sync(self, name: str, link: WorkerLink) -> None:
        """Renew the leases of a worker's members and apply its report."""
        worker = self.scheduler.worker_by_name[name]
        members = self._members_on(name)
        known = bool(worker.incarnation)
        grant = Grant("", self._epoch, 0.0)
        if known:
            grant = link.grant(self._epoch, worker.incarnation)
        call = link.sync_call(worker.upstream.address, grant, members)
        result = await self._workers.sync(call, self._node.settings.worker_timeout_s)
        if not self.owns():
            return
        if result.is_error():
            self._handle_sync_failure(name, link, result.error)
            return
        self._apply_report(name, link, result.ok, call)

    def _members_on(self, name: str) -> dict[MemberKey, tuple[Task, int]]:
        """Return the members that may run on a worker, but not those being started."""
        worker = self.scheduler.worker_by_name[name]
        members = {}
        for task_id in worker.tasks:
            task = self.task_by_id.get(task_id)
            if task is None:
                continue
            for index in task.live - task.starting:
                if task.row.workers[index] == name:
                    members[task.key(index)] = (task, index)
        return members

    def _apply_report(
        self, name: str, link: WorkerLink, report: WorkerReport, call: SyncCall
    ) -> None:
        worker = self.scheduler.worker_by_name.get(name)
        if worker is None:
            return
        now_s = self._node.clock.now()
        if worker.incarnation != report.incarnation:
            # The first answer, or the worker was restarted: what an earlier
            # incarnation ran has ended with it.
            worker.incarnation = report.incarnation
            link.lease = WorkerLease(self._lease_settings, report.incarnation)
        link.record_clock(report, now_s)
        link.forget = [key for key in link.forget if key not in call.forget]
        link.stray = []
        was_reachable = worker.reachable
        worker.reachable = True
        if report.leaving and not worker.leaving:
            worker.leaving = True
            self.scheduler.workers_changed()
        self._apply_member_reports(name, link, report, call)
        if not was_reachable:
            self.scheduler.workers_changed()
            self._placement_due.set()

    def _apply_member_reports(
        self, name: str, link: WorkerLink, report: WorkerReport, call: SyncCall
    ) -> None:
        members = self._members_on(name)
        for key in call.keep:
            if key not in members:
                continue
            task, index = members[key]
            if task.row.incarnations[index] != report.incarnation:
                self._member_ended(task, index, EndReason.LOST)
            else:
                self._apply_member_report(task, index, report.members.get(key))
        for key, member in report.members.items():
            self._check_stray(link, key, member)

    def _apply_member_report(
        self, task: Task, index: int, member: MemberReport | None
    ) -> None:
        if member is None:
            self._member_ended(task, index, task.end_of_missing(index))
        elif member.ended:
            self._apply_member_end(task, index, member)
        else:
            task.confirm(index)
            over_size = bool(member.usage.excess(task.row.size))
            task.over_size_reports[index] = (
                task.over_size_reports.get(index, 0) + 1 if over_size else 0
            )

    def _apply_member_end(self, task: Task, index: int, member: MemberReport) -> None:
        name = task.row.workers[index]
        if member.ended == "failed":
            self._record_task_failure(task, name)
        elif member.ended == "ok":
            self.scheduler.record_task_success(name)
        if member.checkpoint:
            checkpoints = list(task.row.checkpoints or [""] * task.row.count)
            checkpoints[index] = member.checkpoint
            task.row = evolve(task.row, checkpoints=checkpoints)
        end = END_BY_NAME.get(member.ended, EndReason.LOST)
        if (
            end is EndReason.STOPPED
            and task.over_size_reports.get(index, 0) >= STOP_AFTER_OVER_SIZE_REPORTS
        ):
            # Stopped because it used more than its size: the task failed, through no
            # fault of the worker.
            end = EndReason.FAILED
        self._member_ended(task, index, end, member.result)

    def _record_task_failure(self, task: Task, name: str) -> None:
        task.excluded_workers.add(name)
        if self.scheduler.record_task_failure(name, self._node.clock.now()):
            self._node.metrics.count("quarantines_total")
            self._node.log.event("quarantine", worker=name)

    def _check_stray(
        self, link: WorkerLink, key: MemberKey, member: MemberReport
    ) -> None:
        """Have the worker stop a member that is not live, or forget it if it ended.

        A member that ended in the current attempt is forgotten only once the end of its
        task is stored: the next owner must find either of the two.
        """
        task = self.task_by_id.get(key.task_id)
        current = (
            task is not None
            and key.attempt == task.row.attempt
            and key.index in task.live
        )
        if current:
            return
        if not member.ended:
            link.stray.append(key)
        elif task is None or task.end_is_stored or task.row.attempt != key.attempt:
            link.forget.append(key)

    def _handle_sync_failure(
        self, name: str, link: WorkerLink, failure: Failure
    ) -> None:
        worker = self.scheduler.worker_by_name.get(name)
        if worker is None:
            return
        now_s = self._node.clock.now()
        if failure.reason == "status-410":
            # Another incarnation answers: the next call asks which one.
            worker.incarnation = ""
            link.wake.set()
            return
        unanswered_s = link.lease.since_last_contact_s(now_s)
        if unanswered_s > UNREACHABLE_AFTER_INTERVALS * self._lease_settings.renew_s:
            worker.reachable = False
            self.scheduler.workers_changed()
        if not link.lease.all_grants_expired(now_s):
            return
        for task, index in self._members_on(name).values():
            self._member_ended(task, index, EndReason.LOST)

    # Ends of members and tasks

    def _member_ended(
        self, task: Task, index: int, end: EndReason, result: str = ""
    ) -> None:
        """Record a member's end; with the last one the task ends or is queued again."""
        if index not in task.live:
            return
        task.record_member_end(index, end, result)
        self.scheduler.release_member(task, index)
        if task.live:
            self._wake_workers(task)
            return
        self.scheduler.release_quota(task)
        task.finish(_end_detail(task))
        self._placement_due.set()
        if task.ended:
            self._node.spawn(self._store_end(task), "end")
        else:
            self.scheduler.enqueue(task, self._node.clock.now())

    async def _store_end(self, task: Task) -> None:
        if await self._rows.commit_until_done(task):
            task.end_is_stored = True
            self._node.metrics.count("tasks_ended_total", state=task.state)
            self._delete_oldest()
            for index, name in enumerate(task.row.workers):
                link = self._link_by_worker.get(name)
                if link is not None:
                    link.forget.append(task.key(index))

    def _delete_oldest(self) -> None:
        ended = [task for task in self.task_by_id.values() if task.ended]
        if len(ended) <= MAX_ENDED_TASKS:
            return
        oldest = min(ended, key=lambda task: task.row.order)
        del self.task_by_id[oldest.task_id]
        self._node.spawn(self._rows.delete(oldest.row), "delete")

    def _wake_workers(self, task: Task) -> None:
        for name in task.row.workers:
            link = self._link_by_worker.get(name)
            if link is not None:
                link.wake.set()


def _end_detail(task: Task) -> str:
    """Return how and on which worker each member ended, as text."""
    ends = []
    for index, end in sorted(task.ends.items()):
        over_size = (
            end is EndReason.FAILED
            and task.over_size_reports.get(index, 0) >= STOP_AFTER_OVER_SIZE_REPORTS
        )
        cause = "used more than its size, " if over_size else ""
        ends.append(f"{cause}{end.value} on {task.row.workers[index]}")
    return ", ".join(ends)[:200]
