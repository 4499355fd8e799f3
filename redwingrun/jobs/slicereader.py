"""Reads what a slice's owner works with, and follows its changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from redwingrun.coordination.table import (
    HistoryTruncated,
    Row,
    Snapshot,
    TableUnavailable,
    TableUnknown,
)
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
from redwingrun.jobs.workerlink import LEASE_S, SLOWEST_CLOCK

if TYPE_CHECKING:
    from redwingrun.jobs.sliceowner import SliceOwner

FEED_WAIT_S = 1.0
FEED_RETRY_S = 0.2
# Heartbeats change the registrations all the time; they are read together. Of jobs
# the owner hears from its peers first.
REGISTRY_PAUSE_S = 0.25
JOBS_PAUSE_S = 0.25
# A former owner that lost the store stops renewing leases within this time.
STEP_DOWN_S = 3.0
# What a former owner may have promised a worker that this one can't reach.
INHERITED_LEASE_S = STEP_DOWN_S + LEASE_S / SLOWEST_CLOCK + 1.0


class SliceReader:
    """Brings registrations, submissions and progress into the engine.

    :param owner: the slice owner that the reader works for.
    """

    def __init__(self, owner: SliceOwner):
        self._owner = owner
        self._parts = owner.parts
        self._engine = owner.engine
        self._is_loaded = False

    async def load(self) -> None:
        """Claim the standby parts, read everything, and follow what changes."""
        self._engine.set_time(self._parts.unix_ms())
        self._engine.set_inherited_lease_expiry(self._owner.now() + INHERITED_LEASE_S)
        # Before all parts are claimed a former owner may still write.
        workers, _ = await asyncio.gather(
            self._persist(self._parts.registry.load),
            self._persist(self._owner.journal.claim_standbys),
        )
        progress_by_id, submissions = await asyncio.gather(
            self._persist(lambda: self._owner.journal.load(self._parts.table)),
            self._persist(self._all_jobs),
        )
        self._take_workers(workers)
        self._take_all_jobs(progress_by_id, submissions.rows)
        for worker_id in list(self._engine.worker_by_id):
            self._owner.link(worker_id)
        self._owner.spawn(self._follow_workers(workers.version))
        self._owner.spawn(self._follow_jobs(submissions.version))
        self._owner.log.event(
            "owner-loaded",
            fence=self._owner.fence,
            jobs=len(self._engine.job_by_id),
            workers=len(self._engine.worker_by_id),
        )
        self._is_loaded = True

    def _take_all_jobs(
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
            self._take_cancel(row)

    def hear(self, job_id: str, submission: str) -> None:
        """Take a job or a cancellation that the table holds already.

        What comes before everything is read is found there.

        :param submission: empty for a cancellation.
        """
        if not self._is_loaded:
            return
        if submission:
            job = decode_submission(submission)
            self._engine.add_job(job_id, job, None, self._owner.now())
        else:
            self._engine.cancel_job(job_id)
        self._owner.wake()

    def _take_workers(self, changes: WorkerChanges) -> None:
        for info in changes.workers:
            self._engine.register_worker(info)
        if changes.is_snapshot:
            listed = {info.worker_id for info in changes.workers}
            gone = [key for key in self._engine.worker_by_id if key not in listed]
        else:
            gone = list(changes.gone)
        for worker_id in gone:
            self._engine.unregister_worker(worker_id)

    async def _follow_workers(self, version: int) -> None:
        registry = self._parts.registry
        while True:
            try:
                changes = await registry.changes(version, FEED_WAIT_S)
            except HistoryTruncated:
                changes = await self._reload(registry.load)
            except (TableUnavailable, TableUnknown) as error:
                self._owner.log.detail("registry-feed-failed", why=str(error))
                await asyncio.sleep(FEED_RETRY_S)
                continue
            if changes is None:
                continue
            version = changes.version
            self._take_workers(changes)
            for info in changes.workers:
                self._owner.link(info.worker_id)
            if changes.workers or changes.gone:
                self._owner.wake()
            await asyncio.sleep(REGISTRY_PAUSE_S)

    async def _follow_jobs(self, version: int) -> None:
        prefix = jobs_prefix(self._owner.journal.slice_name)
        table = self._parts.table
        failed = False
        while True:
            try:
                changes = await table.changes(prefix, version, FEED_WAIT_S)
            except HistoryTruncated:
                changes = await self._reload(self._all_jobs)
            except (TableUnavailable, TableUnknown) as error:
                self._owner.log.detail("jobs-feed-failed", why=str(error))
                failed = True
                await asyncio.sleep(FEED_RETRY_S)
                continue
            if changes is None:
                continue
            version = changes.version
            self._take_jobs(changes.rows)
            if failed:
                # Some parts may have been away, and what they hold passed over.
                failed = not await self._read_jobs_again()
            await asyncio.sleep(JOBS_PAUSE_S)

    async def _read_jobs_again(self) -> bool:
        snapshot = await self._reload(self._all_jobs)
        if snapshot is not None:
            self._take_jobs(snapshot.rows)
        return snapshot is not None

    async def _reload(self, read: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
        try:
            return await read()
        except (TableUnavailable, TableUnknown) as error:
            self._owner.log.event("reload-failed", why=str(error))
            await asyncio.sleep(FEED_RETRY_S)
            return None

    async def _all_jobs(self) -> Snapshot:
        """Read the submissions of all parts."""
        prefixes = jobs_prefixes(self._owner.journal.slice_name)
        table = self._parts.table
        parts = await asyncio.gather(*(table.snapshot(prefix) for prefix in prefixes))
        rows = tuple(row for part in parts for row in part.rows)
        return Snapshot(rows, min(part.version for part in parts))

    def _take_jobs(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if not last_segment(row.key).endswith(CANCEL_SUFFIX):
                self._add_job(row, None)
        for row in rows:
            self._take_cancel(row)
        if rows:
            self._owner.wake()

    def _add_job(self, row: Row, progress: Any) -> None:
        job_id = last_segment(row.key)
        submission = decode_submission(row.value)
        self._engine.add_job(job_id, submission, progress, self._owner.now())

    def _take_cancel(self, row: Row) -> None:
        job_id = last_segment(row.key)
        if job_id.endswith(CANCEL_SUFFIX):
            self._engine.cancel_job(job_id.removesuffix(CANCEL_SUFFIX))

    async def _persist(self, read: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
        """Read until the table answers."""
        while not self._owner.deposed:
            try:
                return await read()
            except (TableUnavailable, TableUnknown) as error:
                self._owner.log.event("owner-read-failed", why=str(error))
                await asyncio.sleep(FEED_RETRY_S)
            except OwnershipLost as error:
                self._owner.lose_ownership(str(error))
        raise OwnershipLost(self._owner.deposed)
