"""What a slice's owner stores, in three parts of the table.

The primary part holds the owner's row and the progress of all jobs. While it does not
answer, the owner writes what changes into a standby part that does, and back into the
primary one as soon as that answers again. A takeover claims all parts and reads those
that were used, so that neither an owner that is deposed nor a late transaction can hide
what was stored last: of two rows of a job the one with the highest stamp counts.
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
    RETRY_S,
    OwnerRow,
    OwnershipLost,
    PartitionWriter,
    owner_key,
    read_owner,
)
from redwingrun.jobs.progress import JobProgress, decode_progress, encode_progress
from redwingrun.jobs.rowkeys import (
    last_segment,
    progress_key,
    progress_prefix,
    standby_partitions,
)
from redwingrun.logs import Log

PROBE_S = 0.15


def _set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@define
class SliceWriter:
    """The right to write for a slice, whichever part answers.

    :ivar standby_by_name: the standby parts that are claimed.
    """

    primary: PartitionWriter
    log: Log
    standby_by_name: dict[str, PartitionWriter] = field(factory=dict)
    _primary_answers: asyncio.Event = field(factory=_set_event)
    # Standby parts with what a former owner left there, until that is read.
    _unread: set[str] = field(factory=set)
    # The standby part that took the last commit.
    _answering: PartitionWriter | None = None
    _sequence: int = 0
    _lost: str = ""
    # What the primary part does not hold yet, by job.
    _only_standby: dict[str, str] = field(factory=dict)

    @classmethod
    async def claim(
        cls,
        table: Table,
        slice_name: str,
        member: str,
        address: str,
        seen: Row | None,
        log: Log,
    ) -> SliceWriter | None:
        """Take a slice if the row of its primary part is still as it was seen.

        :return: ``None`` when another member was faster.
        :raises TableUnavailable: when nothing was done.
        """
        primary = await PartitionWriter.claim(
            table, slice_name, member, address, seen, log
        )
        return None if primary is None else cls(primary, log)

    @property
    def slice_name(self) -> str:
        """The slice."""
        return self.primary.slice_name

    @property
    def fence(self) -> int:
        """The fence of each order."""
        return self.primary.fence

    @property
    def row(self) -> OwnerRow:
        """The owner's row as it was written last."""
        if self._primary_answers.is_set() or self._answering is None:
            return self.primary.row
        return self._answering.row

    def abandon(self) -> None:
        """End a commit that waits for the table."""
        for journal in (self.primary, *self.standby_by_name.values()):
            journal.abandoned = True

    async def claim_standbys(self) -> None:
        """Take the standby parts, so that a former owner can't write there either.

        :raises Deposed: when a later owner has one.
        :raises TableUnavailable: when one does not answer; try again.
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
            seen = await primary.table.read(owner_key(name))
            found = read_owner(seen)
            if found is not None and found.claim > self.fence:
                raise OwnershipLost(f"the part {name} belongs to claim {found.claim}")
            used = found is not None and found.used
            journal = await PartitionWriter.claim(
                primary.table,
                name,
                primary.row.member,
                primary.row.address,
                seen,
                self.log,
                claim=self.fence,
                used=used,
            )
            if journal is None:
                continue
            self.standby_by_name[name] = journal
            if used:
                self._unread.add(name)

    async def load(self, table: WatchableTable) -> dict[str, JobProgress]:
        """Return the newest progress of each job that the parts hold."""
        newest = await self._read(table, self.slice_name)
        for name in sorted(self._unread):
            for job_id, progress in (await self._read(table, name)).items():
                if job_id not in newest or newest[job_id].stamp < progress.stamp:
                    newest[job_id] = progress
                    self._only_standby[job_id] = encode_progress(progress)
            self.log.event(
                "standby-read",
                part=name,
                jobs=len(self._only_standby),
                fence=self.fence,
            )
        self._unread.clear()
        return newest

    async def _read(self, table: WatchableTable, part: str) -> dict[str, JobProgress]:
        snapshot = await table.snapshot(progress_prefix(part))
        return {
            last_segment(row.key): decode_progress(row.value) for row in snapshot.rows
        }

    async def commit(
        self,
        progress_by_job: dict[str, JobProgress],
        waiting_by_queue: dict[str, int] | None,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        """Store changes; returns when they are certainly stored in one of the parts.

        Waits for as long as no part answers.

        :param waiting_by_queue: jobs of which nothing has started, if they are known.
        :param spawn: runs something until the owner ends.
        :raises Deposed: when another owner has claimed the slice.
        """
        texts = self._stamped(progress_by_job)
        while True:
            if self._primary_answers.is_set():
                if await self._commit_primary(texts, waiting_by_queue):
                    return
                if self.standby_by_name:
                    self._leave_primary(spawn)
            away = not self._primary_answers.is_set()
            if away and await self._try_standby(texts, waiting_by_queue):
                return
            if self.primary.abandoned:
                raise OwnershipLost(self._lost or "abandoned while the table was away")
            await self._pause()

    async def _pause(self) -> None:
        """Wait a little before the next try, less when the primary part is back."""
        if self._primary_answers.is_set():
            await asyncio.sleep(RETRY_S)
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._primary_answers.wait(), RETRY_S)

    def _stamped(self, progress_by_job: dict[str, JobProgress]) -> dict[str, str]:
        self._sequence += 1
        texts = {}
        for job_id in sorted(progress_by_job):
            progress = progress_by_job[job_id]
            progress.stamp = (self.fence, self._sequence)
            texts[job_id] = encode_progress(progress)
        return texts

    async def _commit_primary(
        self, texts: dict[str, str], waiting_by_queue: dict[str, int] | None
    ) -> bool:
        # More may come in while this is being stored.
        written_back = dict(self._only_standby)
        whole = {**written_back, **texts}
        writes = _writes(self.slice_name, whole)
        if not await self.primary.try_commit(writes, waiting_by_queue):
            return False
        for job_id, text in written_back.items():
            if self._only_standby.get(job_id) == text:
                del self._only_standby[job_id]
        if not self._only_standby and not self._unread:
            await self._release_standbys()
        return True

    async def _release_standbys(self) -> None:
        """Let the next owner know that the primary part holds everything."""
        used = [item for item in self.standby_by_name.values() if item.row.used]
        await asyncio.gather(*(item.try_commit((), None, used=False) for item in used))

    async def _try_standby(
        self, texts: dict[str, str], waiting_by_queue: dict[str, int] | None
    ) -> bool:
        """Store in a standby part, unless the primary part is back sooner."""
        loop = asyncio.get_running_loop()
        attempt = loop.create_task(self._commit_standby(texts, waiting_by_queue))
        back = loop.create_task(self._primary_answers.wait())
        try:
            await asyncio.wait((attempt, back), return_when=asyncio.FIRST_COMPLETED)
            return attempt.done() and attempt.result()
        finally:
            await cancel_all({attempt, back})

    async def _commit_standby(
        self, texts: dict[str, str], waiting_by_queue: dict[str, int] | None
    ) -> bool:
        # An attempt without an answer may take effect, too.
        self._only_standby.update(texts)
        if self._answering is not None:
            candidates = [self._answering]
        else:
            candidates = list(self.standby_by_name.values())
        self._answering = None
        self._answering = await self._first_to_store(
            candidates, texts, waiting_by_queue
        )
        return self._answering is not None

    async def _first_to_store(
        self,
        candidates: list[PartitionWriter],
        texts: dict[str, str],
        waiting_by_queue: dict[str, int] | None,
    ) -> PartitionWriter | None:
        """Try some parts at once; returns the first that has certainly stored."""
        loop = asyncio.get_running_loop()
        journal_by_attempt = {
            loop.create_task(
                journal.try_commit(
                    _writes(journal.slice_name, texts), waiting_by_queue, used=True
                )
            ): journal
            for journal in candidates
        }
        pending = set(journal_by_attempt)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for attempt in done:
                    if attempt.result():
                        return journal_by_attempt[attempt]
            return None
        finally:
            await cancel_all(set(journal_by_attempt))

    def _leave_primary(
        self, spawn: Callable[[Coroutine[Any, Any, None]], None]
    ) -> None:
        self.log.event("primary-part-lost", fence=self.fence)
        self._primary_answers.clear()
        spawn(self._probe())

    async def _probe(self) -> None:
        """Look for the primary part until it answers."""
        while not self._primary_answers.is_set():
            await asyncio.sleep(PROBE_S)
            try:
                await self.primary.check()
            except (TableUnavailable, TableUnknown) as error:
                self.log.detail("primary-part-silent", why=str(error))
                continue
            except OwnershipLost as error:
                self._lost = str(error)
                self.abandon()
            self.log.event("primary-part-back", jobs=len(self._only_standby))
            self._primary_answers.set()

    async def give_up(self, successor: str) -> None:
        """Leave the slice to others.

        :raises Deposed: when somebody has it already.
        """
        await self.primary.give_up(successor)


def _writes(part: str, texts: dict[str, str]) -> list[Write]:
    return [Write(progress_key(part, job_id), text) for job_id, text in texts.items()]
