"""The task that runs one pool of workers for as long as this process owns it."""

from __future__ import annotations

import asyncio

from attrs import evolve

from redwingrun.admission import refusal_of, row_of
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
from redwingrun.workerlink import STOP_AT_EXCESS, WorkerLink
from redwingrun.workers import (
    Grant,
    MemberReport,
    StartCall,
    SyncCall,
    WorkerClient,
    WorkerReport,
)

PLACE_INTERVAL_S = 0.5
MAX_ENDED_KEPT = 5_000
SILENT_RENEWALS = 2
END_BY_NAME = {
    "ok": EndReason.OK,
    "failed": EndReason.FAILED,
    "stopped": EndReason.STOPPED,
    "lapsed": EndReason.LOST,
}


class PoolOwner:
    """Owns the tasks and workers of one pool under one epoch.

    Every write is fenced by the shard's row, and every call to a worker carries
    the epoch, so a keeper that was paused past its lease can do no harm.
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
        self._place_now = asyncio.Event()
        self._order = 0
        self._submissions: dict[str, asyncio.Task] = {}
        fence = node.membership.fence(pool)
        self._rows = TaskRows(node.table, node.writer, pool, fence, self.owns)

    # Life

    def owns(self) -> bool:
        """Tell whether this keeper may act right now."""
        stopped = self.closed or self._rows.fenced
        return not stopped and self._node.membership.owns(self._pool, self._epoch)

    async def run(self) -> None:
        """Load the pool's tasks and keep them going until ownership ends."""
        while not await self._load():
            await asyncio.sleep(RETRY_INTERVAL_S)
            if not self.owns():
                return
        self.loaded = True
        self.update()
        while self.owns():
            self._place()
            await self._pause()
        self.closed = True

    async def _pause(self) -> None:
        try:
            await asyncio.wait_for(self._place_now.wait(), PLACE_INTERVAL_S)
        except TimeoutError:
            return
        self._place_now.clear()

    async def _load(self) -> bool:
        tasks = await self._rows.load()
        if tasks is None:
            return False
        self._set_objects()
        now_s = self._node.clock.now()
        for task in tasks:
            self.task_by_id[task.task_id] = task
            self._order = max(self._order, task.row.order)
            if task.state == QUEUED:
                self.scheduler.enqueue(task, now_s)
            elif not task.ended:
                task.adopt()
                self.scheduler.reserve(task, tuple(task.row.workers))
        self._node.log.event("pool-loaded", pool=self._pool, tasks=len(tasks))
        return True

    def update(self) -> None:
        """Take changed objects or leaving hosts."""
        if not self.loaded:
            return
        self._set_objects()
        for name in self.scheduler.worker_by_name:
            if name not in self._link_by_worker:
                self._link_by_worker[name] = WorkerLink(self._first_lease())
                self._node.spawn(self._keep_worker(name), f"worker-{name}")
        self._place_now.set()

    def _set_objects(self) -> None:
        objects = self._node.objects
        self.scheduler.objects = objects
        pool = objects.pools.get(self._pool)
        upstreams = pool.upstreams_by_name if pool else {}
        leaving = {name for name in upstreams if self._node.is_draining(name)}
        self.scheduler.set_workers(upstreams, leaving)

    def _first_lease(self) -> WorkerLease:
        # An earlier owner may have granted up to the moment of our claim.
        lease = WorkerLease(self._lease_settings, "")
        lease.record_clock(0.0, self._node.clock.now())
        lease.issue_grant()
        return lease

    # Submission and questions

    async def submit(self, message: SubmitTask, workload: Workload) -> Task | Failure:
        """Keep a new task, or return the one that its id means already."""
        under_way = self._submissions.get(message.task_id)
        if under_way is not None:
            # The same task was sent again: both must be told the same.
            await asyncio.wait([under_way])
        known = self.task_by_id.get(message.task_id)
        if known is not None:
            return self._same(known, message.digest)
        refusal = refusal_of(
            self._node.objects, message, workload, len(self.task_by_id)
        )
        if refusal is not None:
            return refusal
        work = self._node.spawn(self._keep_new(message, workload), "submit")
        self._submissions[message.task_id] = work
        # Goes on when the entry gives up waiting: its outcome decides for later ones.
        return await asyncio.shield(work)

    async def _keep_new(
        self, message: SubmitTask, workload: Workload
    ) -> Task | Failure:
        self._order += 1
        policy = self._node.objects.policies[workload.policy]
        task = Task(row_of(message, workload, policy, self._order))
        try:
            done = await self._rows.commit(task)
        finally:
            self._submissions.pop(message.task_id, None)
        if done is Commit.DONE:
            self.task_by_id[task.task_id] = task
            self.scheduler.enqueue(task, self._node.clock.now())
            self._place_now.set()
            return task
        if done is Commit.REFUSED:
            return not_run(
                "table-unavailable", "the task could not be kept; send it again"
            )
        # Ownership ended with a write under way: the next owner may find the row.
        return may_have_run("not-owner", "this host no longer owns the pool")

    def _same(self, known: Task, digest: str) -> Task | Failure:
        if known.row.digest != digest:
            return not_run("key-reused", "this key came with another body before")
        return known

    async def cancel(self, task: Task) -> Failure | None:
        """Cancel a task; its row says so before the caller is told."""
        if task.ended or task.state == STOPPING:
            return None
        before = task.row
        task.happen("cancel", "cancelled")
        done = await self._rows.commit(task)
        if done is Commit.DONE:
            self._wake_workers(task)
            return None
        if done is Commit.NOT_OWNER:
            return may_have_run(
                "not-owner", "the next owner may find the task cancelled"
            )
        self._take_back(task, before)
        return not_run("table-unavailable", "the cancellation could not be kept")

    def _take_back(self, task: Task, before: TaskRow) -> None:
        """Undo a cancellation that was not kept, unless the task ended meanwhile."""
        if task.state not in (STOPPING, CANCELLED):
            return
        task.row = evolve(task.row, state=before.state, detail=before.detail)
        if task.state == QUEUED:
            self.scheduler.enqueue(task, self._node.clock.now())

    # Placement

    def _place(self) -> None:
        now_s = self._node.clock.now()
        with self._node.metrics.timed("placement_seconds", pool=self._pool):
            placements = self.scheduler.place(now_s)
        for placement in placements:
            self._begin(placement)
        for task in self.scheduler.preemptions(self.task_by_id, now_s):
            task.happen("preempt", "makes room for urgent work")
            self._wake_workers(task)
        self._node.metrics.gauge(
            "tasks_queued", self.scheduler.queued(), pool=self._pool
        )

    def _begin(self, placement: Placement) -> None:
        task = placement.task
        workers = self.scheduler.worker_by_name
        incarnations = [workers[name].incarnation for name in placement.workers]
        task.place(list(placement.workers), incarnations)
        waited_s = self._node.clock.now() - task.queued_s
        self._node.metrics.seconds("task_waiting_seconds", waited_s, pool=self._pool)
        self._node.spawn(self._start(task, task.row), "start")

    async def _start(self, task: Task, row: TaskRow) -> None:
        done = await self._rows.commit(task)
        if done is Commit.NOT_OWNER:
            return
        if done is Commit.REFUSED or task.state == STOPPING:
            # Nothing was sent to any worker.
            for index in range(row.count):
                self._member_ended(task, index, EndReason.NOT_RUN)
            return
        await asyncio.gather(
            *[self._start_member(task, index) for index in range(row.count)]
        )

    async def _start_member(self, task: Task, index: int) -> None:
        row = task.row
        name = row.workers[index]
        link = self._link_by_worker[name]
        worker = self.scheduler.worker_by_name.get(name)
        stale = worker is None or worker.incarnation != row.incarnations[index]
        if stale or not self.owns():
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
        # The next owner takes over from the rows; our news is no longer of use.
        if (
            not self.owns()
            or index not in task.starting
            or task.row.attempt != row.attempt
        ):
            return
        task.starting.discard(index)
        if result.is_ok():
            link.lease.record_clock(result.ok.clock_s, self._node.clock.now())
            task.confirm(index)
            return
        self._start_failed(task, index, result.error)

    def _start_failed(self, task: Task, index: int, failure: Failure) -> None:
        name = task.row.workers[index]
        self._node.log.event(
            "start-failed", task=task.task_id, worker=name, reason=failure.reason
        )
        if failure.verdict is Verdict.NOT_RUN:
            task.avoid.add(name)
            self.scheduler.worker_failed(name, self._node.clock.now())
            self._member_ended(task, index, EndReason.NOT_RUN)
            return
        # The next report of the worker says whether it runs.
        self._link_by_worker[name].wake.set()

    # Workers

    async def _keep_worker(self, name: str) -> None:
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
            self._worker_silent(name, link, result.error)
            return
        self._worker_heard(name, link, result.ok, call)

    def _members_on(self, name: str) -> dict[MemberKey, tuple[Task, int]]:
        worker = self.scheduler.worker_by_name[name]
        found = {}
        for task_id in worker.tasks:
            task = self.task_by_id.get(task_id)
            if task is None:
                continue
            for index in task.live - task.starting:
                if task.row.workers[index] == name:
                    found[task.key(index)] = (task, index)
        return found

    def _worker_heard(
        self, name: str, link: WorkerLink, report: WorkerReport, call: SyncCall
    ) -> None:
        worker = self.scheduler.worker_by_name.get(name)
        if worker is None:
            return
        now_s = self._node.clock.now()
        if worker.incarnation != report.incarnation:
            # Whatever an earlier run of that process held has died with it.
            worker.incarnation = report.incarnation
            link.lease = WorkerLease(self._lease_settings, report.incarnation)
        link.lease.record_clock(report.clock_s, now_s)
        link.forget = [key for key in link.forget if key not in call.forget]
        link.stray = []
        was_reachable = worker.reachable
        worker.reachable = True
        if report.leaving and not worker.leaving:
            worker.leaving = True
            self.scheduler.workers_changed()
        self._take_members(name, link, report, call)
        if not was_reachable:
            self.scheduler.workers_changed()
            self._place_now.set()

    def _take_members(
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
                self._take_member(task, index, report.members.get(key))
        for key, found in report.members.items():
            self._take_stray(link, key, found)

    def _take_member(self, task: Task, index: int, found: MemberReport | None) -> None:
        if found is None:
            self._member_ended(task, index, task.missing(index))
        elif found.ended:
            self._take_end(task, index, found)
        else:
            task.confirm(index)
            over = bool(found.usage.excess(task.row.size))
            task.excess[index] = task.excess.get(index, 0) + 1 if over else 0

    def _take_end(self, task: Task, index: int, found: MemberReport) -> None:
        name = task.row.workers[index]
        if found.ended == "failed":
            self._worker_failed(task, name)
        elif found.ended == "ok":
            self.scheduler.worker_succeeded(name)
        if found.checkpoint:
            checkpoints = list(task.row.checkpoints or [""] * task.row.count)
            checkpoints[index] = found.checkpoint
            task.row = evolve(task.row, checkpoints=checkpoints)
        end = END_BY_NAME.get(found.ended, EndReason.LOST)
        if end is EndReason.STOPPED and task.excess.get(index, 0) >= STOP_AT_EXCESS:
            # Not the worker's fault, and not a stop that anybody asked for.
            end = EndReason.FAILED
        self._member_ended(task, index, end, found.result)

    def _worker_failed(self, task: Task, name: str) -> None:
        task.avoid.add(name)
        if self.scheduler.worker_failed(name, self._node.clock.now()):
            self._node.metrics.count("quarantines_total")
            self._node.log.event("quarantine", worker=name)

    def _take_stray(
        self, link: WorkerLink, key: MemberKey, found: MemberReport
    ) -> None:
        """Stop or forget what the worker has and no present attempt wants."""
        task = self.task_by_id.get(key.task_id)
        wanted = (
            task is not None
            and key.attempt == task.row.attempt
            and key.index in task.live
        )
        if wanted:
            return
        if not found.ended:
            link.stray.append(key)
        elif task is None or task.ended or task.row.attempt != key.attempt:
            link.forget.append(key)

    def _worker_silent(self, name: str, link: WorkerLink, failure: Failure) -> None:
        worker = self.scheduler.worker_by_name.get(name)
        if worker is None:
            return
        now_s = self._node.clock.now()
        if failure.reason == "status-410":
            # Another run of the process answers there: ask who is there now.
            worker.incarnation = ""
            link.wake.set()
            return
        since_last_contact_s = link.lease.since_last_contact_s(now_s)
        if since_last_contact_s > SILENT_RENEWALS * self._lease_settings.renew_s:
            worker.reachable = False
            self.scheduler.workers_changed()
        if not link.lease.all_grants_expired(now_s):
            return
        for task, index in self._members_on(name).values():
            self._member_ended(task, index, EndReason.LOST)

    # Ends

    def _member_ended(
        self, task: Task, index: int, end: EndReason, result: str = ""
    ) -> None:
        if index not in task.live:
            return
        task.record_member_end(index, end, result)
        self.scheduler.release_member(task, index)
        if task.live:
            self._wake_workers(task)
            return
        self.scheduler.release_quota(task)
        task.finish(_detail(task))
        self._place_now.set()
        if task.ended:
            self._node.spawn(self._keep_end(task), "end")
        else:
            self.scheduler.enqueue(task, self._node.clock.now())

    async def _keep_end(self, task: Task) -> None:
        if await self._rows.commit_for_sure(task):
            self._node.metrics.count("tasks_ended_total", state=task.state)
            self._forget_oldest()
            for index, name in enumerate(task.row.workers):
                link = self._link_by_worker.get(name)
                if link is not None:
                    link.forget.append(task.key(index))

    def _forget_oldest(self) -> None:
        ended = [task for task in self.task_by_id.values() if task.ended]
        if len(ended) <= MAX_ENDED_KEPT:
            return
        oldest = min(ended, key=lambda task: task.row.order)
        del self.task_by_id[oldest.task_id]
        self._node.spawn(self._rows.delete(oldest.row), "delete")

    def _wake_workers(self, task: Task) -> None:
        for name in task.row.workers:
            link = self._link_by_worker.get(name)
            if link is not None:
                link.wake.set()


def _detail(task: Task) -> str:
    ends = []
    for index, end in sorted(task.ends.items()):
        over = end is EndReason.FAILED and task.excess.get(index, 0) >= STOP_AT_EXCESS
        why = "more than its size, " if over else ""
        ends.append(f"{why}{end.value} on {task.row.workers[index]}")
    return ", ".join(ends)[:200]
