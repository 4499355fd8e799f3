"""Fenced writes of a slice's owner, with failover between three partitions.

The primary partition holds the owner's row and the progress of all jobs. While it does
not answer, the owner writes changes to a standby partition that does. It writes them
back to the primary as soon as that answers again.

A new owner claims all three partitions, so that neither a former owner nor a late
transaction can write any more. Then it reads the primary and the standbys in use. Of
two rows with the same name the one with the higher stamp is the newer one.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define, field

from redwingrun.coordination.table import (
    Row,
    Table,
    TableUnavailable,
    TableUnknown,
    WatchableTable,
    Write,
)
from redwingrun.jobs.cancellation import cancel_all
from redwingrun.jobs.partitionwriter import (
    RETRY_INTERVAL_S,
    OwnerRow,
    OwnershipLost,
    PartitionWriter,
    WritesRejected,
    decode_owner_row,
    owner_key,
)
from redwingrun.jobs.progress import JobProgress
from redwingrun.jobs.progressrows import (
    ProgressRowEncoder,
    decode_rows,
    job_of,
    newer_rows,
)
from redwingrun.jobs.rowkeys import (
    last_segment,
    progress_key,
    progress_prefix,
    standby_partitions,
)
from redwingrun.logs import Log

PROBE_INTERVAL_S = 0.15
# A line names at most so many rows, so that its length is bounded.
MAX_LOGGED_ROWS = 20


def _set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@define
class SliceWriter:
    """Writes the progress of a slice's jobs to whichever partition answers.

    :param has_former_owner: whether the slice was ever claimed before.
    :ivar standby_by_name: writers for the standby partitions that are claimed.
    """

    primary: PartitionWriter
    log: Log
    standby_by_name: dict[str, PartitionWriter] = field(factory=dict)
    _primary_available: asyncio.Event = field(factory=_set_event)
    # Standby partitions with changes of a former owner that are not read yet.
    _unread_standbys: set[str] = field(factory=set)
    # The standby partition that stored the last commit to a standby; None if there was
    # none or it failed. The next commit to a standby is sent to this one only.
    _active_standby: PartitionWriter | None = None
    _commit_number: int = 0
    _loss_reason: str = ""
    _encoder: ProgressRowEncoder = field(factory=ProgressRowEncoder)
    # Rows that the primary partition lacks, by name.
    _not_in_primary: dict[str, str] = field(factory=dict)
    # Jobs with rows that the table rejects, in the present commit.
    _rejected_jobs: set[str] = field(factory=set)
    has_former_owner: bool = field(default=True, kw_only=True)

    @classmethod
    async def claim(
        cls,
        table: Table,
        slice_name: str,
        member: str,
        address: str,
        expected: Row | None,
        log: Log,
    ) -> SliceWriter | None:
        """Claim a slice if the owner's row in the primary partition has not changed.

        :param expected: the owner's row as last read; ``None`` if there was none.
        :return: ``None`` if the row has changed, for example by another member's claim,
            or does not hold a claim of unknown outcome when it is read back.
        :raises TableUnavailable: when the claim had no effect, or the row can't be read
            back after a claim of unknown outcome.
        :raises TableUnknown: when the row can't be read back after a claim of unknown
            outcome.
        """
        primary = await PartitionWriter.claim(
            table, slice_name, member, address, expected, log
        )
        if primary is None:
            return None
        return cls(primary, log, has_former_owner=expected is not None)

    @property
    def slice_name(self) -> str:
        """The name of the slice, which is also that of its primary partition."""
        return self.primary.partition

    @property
    def fence(self) -> int:
        """The fencing token of the claim; each later claim has a higher one."""
        return self.primary.fence

    @property
    def row(self) -> OwnerRow:
        """The owner's row in the last transaction that was tried."""
        if self._primary_available.is_set() or self._active_standby is None:
            return self.primary.row
        return self._active_standby.row

    def report_room(self, room_bytes: int | None) -> None:
        """Have the next commits report the memory that is left for jobs."""
        for writer in (self.primary, *self.standby_by_name.values()):
            writer.report_room(room_bytes)

    def abandon(self) -> None:
        """End a commit that waits for the table."""
        for writer in (self.primary, *self.standby_by_name.values()):
            writer.abandoned = True

    async def claim_standbys(self) -> None:
        """Claim the standby partitions, so that a former owner can't write there.

        :raises OwnershipLost: when a later owner has claimed one.
        :raises TableUnavailable: when a call had no effect; try again.
        :raises TableUnknown: when a call's outcome is unknown; try again.
        """
        outcomes = await asyncio.gather(
            *(
                self._claim_standby(name)
                for name in standby_partitions(self.slice_name)
            ),
            return_exceptions=True,
        )
        for outcome in outcomes:
            if outcome is not None:
                raise outcome

    async def _claim_standby(self, name: str) -> None:
        primary = self.primary
        while name not in self.standby_by_name:
            expected = await primary.table.read(owner_key(name))
            owner_row = decode_owner_row(expected)
            if owner_row is not None and owner_row.claim > self.fence:
                raise OwnershipLost(
                    f"partition {name} is held by the later claim {owner_row.claim}"
                )
            used = owner_row is not None and owner_row.used
            writer = await PartitionWriter.claim(
                primary.table,
                name,
                primary.row.member,
                primary.row.address,
                expected,
                self.log,
                claim=self.fence,
                used=used,
            )
            if writer is None:
                continue
            self.standby_by_name[name] = writer
            if used:
                self._unread_standbys.add(name)

    async def load(self, table: WatchableTable) -> dict[str, JobProgress]:
        """Return the newest progress of each job in the primary and unread standbys.

        Progress that is newer in a standby is written to the primary with the next
        commit there.
        """
        newest = await self._read(table, self.slice_name)
        for name in sorted(self._unread_standbys):
            newer = newer_rows(newest, await self._read(table, name))
            newest.update(newer)
            self._not_in_primary.update(newer)
            self.log.event(
                "standby-read",
                part=name,
                rows=len(self._not_in_primary),
                fence=self.fence,
            )
        self._unread_standbys.clear()
        return decode_rows(newest)

    async def _read(self, table: WatchableTable, partition: str) -> dict[str, str]:
        """Return the progress rows of a partition, by name."""
        snapshot = await table.snapshot(progress_prefix(partition))
        return {last_segment(row.key): row.value for row in snapshot.rows}

    async def commit(
        self,
        progress_by_job: dict[str, JobProgress],
        waiting_by_queue: dict[str, int] | None,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> frozenset[str]:
        """Store changes; return when they are certainly stored in one partition.

        Retry while no partition answers. A row that the table rejects is not stored,
        and does not hold up the rows of other jobs.

        :param waiting_by_queue: number of jobs of which nothing has started; ``None``
            if unknown.
        :param spawn: runs a coroutine in the background until the ownership ends.
        :return: the ids of the jobs of which the table rejects a row.
        :raises OwnershipLost: when another owner has claimed the slice, or the claim
            was abandoned.
        """
        texts = self._stamp_and_encode(progress_by_job)
        self._rejected_jobs.clear()
        await self._commit_texts(texts, waiting_by_queue, spawn)
        self._encoder.mark_stored(
            name for name in texts if job_of(name) not in self._rejected_jobs
        )
        return frozenset(self._rejected_jobs)

    async def _commit_texts(
        self,
        texts: dict[str, str],
        waiting_by_queue: dict[str, int] | None,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        """Store rows in whichever partition answers."""
        while True:
            if self._primary_available.is_set():
                if await self._commit_primary(texts, waiting_by_queue):
                    return
                if self.standby_by_name:
                    self._fail_over(spawn)
            is_failed_over = not self._primary_available.is_set()
            if is_failed_over and await self._try_standby(texts, waiting_by_queue):
                return
            if self.primary.abandoned:
                raise OwnershipLost(
                    self._loss_reason
                    or "the claim was abandoned while the table was unavailable"
                )
            await self._pause()

    async def _pause(self) -> None:
        """Wait ``RETRY_INTERVAL_S``, or less if the primary answers again before."""
        if self._primary_available.is_set():
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._primary_available.wait(), RETRY_INTERVAL_S)

    def _stamp_and_encode(
        self, progress_by_job: dict[str, JobProgress]
    ) -> dict[str, str]:
        """Stamp each progress with this commit's number; return its rows by name."""
        self._commit_number += 1
        texts: dict[str, str] = {}
        for job_id in sorted(progress_by_job):
            progress = progress_by_job[job_id]
            progress.stamp = (self.fence, self._commit_number)
            texts.update(self._encoder.encode(job_id, progress))
        return texts

    async def _store_rows(
        self,
        writer: PartitionWriter,
        texts: dict[str, str],
        waiting_by_queue: dict[str, int] | None,
        used: bool = False,
    ) -> bool:
        """Store rows in a partition, but for those that the table rejects.

        :return: whether all others are certainly stored.
        """
        writes = _writes(writer.partition, texts)
        try:
            return await writer.try_commit(writes, waiting_by_queue, used)
        except WritesRejected as error:
            names = {last_segment(key) for key in error.keys}
            self.log.fault("rows-rejected", rows=sorted(names)[:MAX_LOGGED_ROWS])
            self._rejected_jobs |= {job_of(name) for name in names}
            for name in names:
                self._not_in_primary.pop(name, None)
            return True

    async def _commit_primary(
        self, texts: dict[str, str], waiting_by_queue: dict[str, int] | None
    ) -> bool:
        """Store changes in the primary, with those that only a standby holds."""
        # A copy, because load() may add entries during the commit.
        written_back = dict(self._not_in_primary)
        # The order of a commit's own rows matters; see ProgressRowEncoder.encode().
        others = {name: written_back[name] for name in written_back.keys() - texts}
        all_texts = {**others, **texts}
        if not await self._store_rows(self.primary, all_texts, waiting_by_queue):
            return False
        for job_id, text in written_back.items():
            if self._not_in_primary.get(job_id) == text:
                del self._not_in_primary[job_id]
        if not self._not_in_primary and not self._unread_standbys:
            await self._mark_standbys_unused()
        return True

    async def _mark_standbys_unused(self) -> None:
        """Store in the standbys that the primary holds all changes.

        The next owner need not read them then.
        """
        used = [item for item in self.standby_by_name.values() if item.row.used]
        await asyncio.gather(*(item.try_commit((), None, used=False) for item in used))

    async def _try_standby(
        self, texts: dict[str, str], waiting_by_queue: dict[str, int] | None
    ) -> bool:
        """Store changes in a standby; give up when the primary answers again first."""
        loop = asyncio.get_running_loop()
        attempt = loop.create_task(self._commit_standby(texts, waiting_by_queue))
        primary_back = loop.create_task(self._primary_available.wait())
        try:
            await asyncio.wait(
                (attempt, primary_back), return_when=asyncio.FIRST_COMPLETED
            )
            return attempt.done() and attempt.result()
        finally:
            await cancel_all({attempt, primary_back})

    async def _commit_standby(
        self, texts: dict[str, str], waiting_by_queue: dict[str, int] | None
    ) -> bool:
        # Recorded before the attempt: one without an answer may still take effect.
        self._not_in_primary.update(texts)
        if self._active_standby is not None:
            candidates = [self._active_standby]
        else:
            candidates = list(self.standby_by_name.values())
        self._active_standby = None
        self._active_standby = await self._first_to_store(
            candidates, texts, waiting_by_queue
        )
        return self._active_standby is not None

    async def _first_to_store(
        self,
        candidates: list[PartitionWriter],
        texts: dict[str, str],
        waiting_by_queue: dict[str, int] | None,
    ) -> PartitionWriter | None:
        """Commit to several partitions in parallel; return the first that succeeds."""
        loop = asyncio.get_running_loop()
        writer_by_attempt = {
            loop.create_task(
                self._store_rows(writer, texts, waiting_by_queue, used=True)
            ): writer
            for writer in candidates
        }
        pending = set(writer_by_attempt)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for attempt in done:
                    if attempt.result():
                        return writer_by_attempt[attempt]
            return None
        finally:
            await cancel_all(set(writer_by_attempt))

    def _fail_over(self, spawn: Callable[[Coroutine[Any, Any, None]], None]) -> None:
        """Use the standbys until a probe finds that the primary answers again."""
        self.log.event("primary-part-lost", fence=self.fence)
        self._primary_available.clear()
        spawn(self._probe_primary())

    async def _probe_primary(self) -> None:
        """Read the owner's row in the primary until it answers, then use it again.

        If the row holds another claim, this one is abandoned.
        """
        while not self._primary_available.is_set():
            await asyncio.sleep(PROBE_INTERVAL_S)
            try:
                await self.primary.check_ownership()
            except (TableUnavailable, TableUnknown) as error:
                self.log.detail("primary-part-silent", why=str(error))
                continue
            except OwnershipLost as error:
                self._loss_reason = str(error)
                self.abandon()
            self.log.event("primary-part-back", rows=len(self._not_in_primary))
            self._primary_available.set()

    async def release(self, successor: str) -> None:
        """Release the slice, and retry until that is stored in the primary partition.

        :param successor: the member that should claim the slice; empty for any.
        :raises OwnershipLost: when another owner has claimed the slice, or the claim
            was abandoned.
        """
        await self.primary.release(successor)


def _writes(partition: str, texts: dict[str, str]) -> list[Write]:
    return [
        Write(progress_key(partition, job_id), text) for job_id, text in texts.items()
    ]
