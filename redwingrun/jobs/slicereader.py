"""Reads the jobs and workers of a slice for its owner, and follows their changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from redwingrun.coordination.table import (
    HistoryTruncated,
    Row,
    Snapshot,
    TableUnavailable,
    TableUnknown,
)
from redwingrun.jobs.ownerbase import OwnerBase
from redwingrun.jobs.partitionwriter import OwnershipLost
from redwingrun.jobs.ports import WorkerChanges
from redwingrun.jobs.progress import JobProgress
from redwingrun.jobs.rowkeys import (
    CANCEL_SUFFIX,
    jobs_prefix,
    jobs_prefixes,
    last_segment,
)
from redwingrun.jobs.spec import decode_submission
from redwingrun.jobs.workerlease import INHERITED_LEASE_S

FEED_WAIT_S = 1.0
FEED_RETRY_INTERVAL_S = 0.2
# Pause between two reads of a feed, so that one read returns several changes: workers
# keep renewing their registrations. New jobs arrive earlier as notifications.
REGISTRY_PAUSE_S = 0.25
JOBS_PAUSE_S = 0.25


class SliceReader:
    """Passes registrations, submissions and progress from the table to the engine.

    :param owner: the slice owner that the reader works for.
    :ivar is_loaded: whether all stored jobs have been passed on.
    """

    def __init__(self, owner: OwnerBase):
        self._owner = owner
        self._dependencies = owner.dependencies
        self._engine = owner.engine
        self.is_loaded = False

    async def load(self) -> None:
        """Claim the standby partitions, read all rows, and start to follow changes.

        :raises OwnershipLost: when another member has claimed the slice.
        """
        self._engine.set_time(self._dependencies.unix_ms())
        # A former owner can write, and grant leases, until all partitions are claimed,
        # so the progress of jobs is read after that.
        workers, _ = await asyncio.gather(
            self._retry_until_done(self._dependencies.registry.load),
            self._retry_until_done(self._owner.writer.claim_standbys),
        )
        if self._owner.writer.has_former_owner:
            lease_expiry_s = self._owner.now() + INHERITED_LEASE_S
            self._engine.set_inherited_lease_expiry(lease_expiry_s)
        progress_by_id, submissions = await asyncio.gather(
            self._retry_until_done(
                lambda: self._owner.writer.load(self._dependencies.table)
            ),
            self._retry_until_done(self._all_jobs),
        )
        self._apply_worker_changes(workers)
        self._add_stored_jobs(progress_by_id, submissions.rows)
        for worker_id in list(self._engine.worker_by_id):
            self._owner.ensure_link(worker_id)
        self._owner.spawn(self._follow_workers(workers.version))
        self._owner.spawn(self._follow_jobs(submissions.version))
        self._owner.log.event(
            "owner-loaded",
            fence=self._owner.fence,
            jobs=len(self._engine.job_by_id),
            workers=len(self._engine.worker_by_id),
        )
        self.is_loaded = True

    def _add_stored_jobs(
        self, progress_by_id: dict[str, JobProgress], rows: tuple[Row, ...]
    ) -> None:
        for job_id, progress in progress_by_id.items():
            if progress.state.is_final:
                self._engine.mark_finished(job_id)
        for row in rows:
            job_id = last_segment(row.key)
            if not job_id.endswith(CANCEL_SUFFIX):
                self._add_job(row, progress_by_id.get(job_id))
        for row in rows:
            self._apply_cancellation(row)

    def receive_notification(self, job_id: str, submission: str) -> None:
        """Apply a job or cancellation that the table already holds.

        Before all rows are loaded it is ignored: the load, or the feed after it, finds
        the change in the table.

        :param submission: the job's submission; empty for a cancellation.
        """
        if not self.is_loaded:
            return
        if submission:
            job = decode_submission(submission)
            self._engine.add_job(job_id, job, None, self._owner.now())
        else:
            self._engine.cancel_job(job_id)
        self._owner.wake()

    def _apply_worker_changes(self, changes: WorkerChanges) -> None:
        for info in changes.workers:
            self._engine.register_worker(info)
        if changes.is_snapshot:
            registered = {info.worker_id for info in changes.workers}
            unregistered = [
                key for key in self._engine.worker_by_id if key not in registered
            ]
        else:
            unregistered = list(changes.deleted)
        for worker_id in unregistered:
            self._engine.unregister_worker(worker_id)

    async def _follow_workers(self, version: int) -> None:
        registry = self._dependencies.registry
        # Whether to read the present registrations: after a failed read, the changes
        # since the last one may be too many to arrive in time.
        reload = False
        while True:
            try:
                if reload:
                    changes = await registry.load()
                else:
                    changes = await registry.changes(version, FEED_WAIT_S)
            except HistoryTruncated:
                reload = True
                continue
            except (TableUnavailable, TableUnknown) as error:
                self._owner.log.event("registry-unread", why=str(error), reload=reload)
                reload = True
                await asyncio.sleep(FEED_RETRY_INTERVAL_S)
                continue
            reload = False
            version = changes.version
            self._apply_worker_changes(changes)
            for info in changes.workers:
                self._owner.ensure_link(info.worker_id)
            if changes.workers or changes.deleted:
                self._owner.wake()
            await asyncio.sleep(REGISTRY_PAUSE_S)

    async def _follow_jobs(self, version: int) -> None:
        prefix = jobs_prefix(self._owner.writer.slice_name)
        table = self._dependencies.table
        failed = False
        while True:
            try:
                changes = await table.changes(prefix, version, FEED_WAIT_S)
            except HistoryTruncated:
                changes = await self._reload(self._all_jobs)
            except (TableUnavailable, TableUnknown) as error:
                self._owner.log.detail("jobs-feed-failed", why=str(error))
                failed = True
                await asyncio.sleep(FEED_RETRY_INTERVAL_S)
                continue
            if changes is None:
                continue
            version = changes.version
            self._apply_job_rows(changes.rows)
            if failed:
                # The feed may have skipped changes in partitions that did not answer.
                failed = not await self._read_jobs_again()
            await asyncio.sleep(JOBS_PAUSE_S)

    async def _read_jobs_again(self) -> bool:
        """Apply all submissions and cancellations; return whether that succeeded."""
        snapshot = await self._reload(self._all_jobs)
        if snapshot is not None:
            self._apply_job_rows(snapshot.rows)
        return snapshot is not None

    async def _reload(self, read: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
        """Return what ``read`` returns, or ``None`` if the table does not answer."""
        try:
            return await read()
        except (TableUnavailable, TableUnknown) as error:
            self._owner.log.event("reload-failed", why=str(error))
            await asyncio.sleep(FEED_RETRY_INTERVAL_S)
            return None

    async def _all_jobs(self) -> Snapshot:
        """Read the submissions and cancellations in all partitions."""
        prefixes = jobs_prefixes(self._owner.writer.slice_name)
        table = self._dependencies.table
        snapshots = await asyncio.gather(
            *(table.snapshot(prefix) for prefix in prefixes)
        )
        rows = tuple(row for snapshot in snapshots for row in snapshot.rows)
        return Snapshot(rows, min(snapshot.version for snapshot in snapshots))

    def _apply_job_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if not last_segment(row.key).endswith(CANCEL_SUFFIX):
                self._add_job(row, None)
        for row in rows:
            self._apply_cancellation(row)
        if rows:
            self._owner.wake()

    def _add_job(self, row: Row, progress: Any) -> None:
        job_id = last_segment(row.key)
        submission = decode_submission(row.value)
        self._engine.add_job(job_id, submission, progress, self._owner.now())

    def _apply_cancellation(self, row: Row) -> None:
        job_id = last_segment(row.key)
        if job_id.endswith(CANCEL_SUFFIX):
            self._engine.cancel_job(job_id.removesuffix(CANCEL_SUFFIX))

    async def _retry_until_done(
        self, call: Callable[[], Coroutine[Any, Any, Any]]
    ) -> Any:
        """Return what ``call`` returns; retry until the table answers.

        :raises OwnershipLost: when the ownership has ended meanwhile.
        """
        while not self._owner.loss_reason:
            try:
                return await call()
            except (TableUnavailable, TableUnknown) as error:
                self._owner.log.event("owner-read-failed", why=str(error))
                await asyncio.sleep(FEED_RETRY_INTERVAL_S)
            except OwnershipLost as error:
                self._owner.lose_ownership(str(error))
        raise OwnershipLost(self._owner.loss_reason)
