"""The slice writer keeps track of what the primary lacks during concurrent commits."""

from __future__ import annotations

import asyncio

from redwingrun.coordination.table import TableUnavailable
from redwingrun.jobs.partitionwriter import OwnerRow
from redwingrun.jobs.progress import JobProgress, JobState, encode_progress
from redwingrun.jobs.rowkeys import progress_key, standby_partitions
from redwingrun.jobs.slicewriter import SliceWriter
from redwingrun.logs import Log
from tests.jobs.cluster import job_id

SLICE = "s0"


class FakePartitionWriter:
    """A partition whose commits wait for ``may_commit``."""

    def __init__(self, name: str, used: bool = False):
        self.partition = name
        self.row = OwnerRow("m0", "m0", "t", 0, used=used)
        self.fence = 5
        self.abandoned = False
        self.stored: dict[str, str] = {}
        self.may_commit = asyncio.Event()
        self.is_available = True

    async def check_ownership(self):
        if not self.is_available:
            raise TableUnavailable("silent")

    async def try_commit(self, writes, waiting_by_queue, used=False):
        await self.may_commit.wait()
        if not self.is_available:
            return False
        self.row = OwnerRow("m0", "m0", "t", 0, used=used)
        self.stored.update({write.key: write.value for write in writes})
        return True


class FakeTable:
    """A table with the rows that a former owner stored in a standby partition."""

    def __init__(self, value_by_key: dict[str, str]):
        self._value_by_key = value_by_key

    async def snapshot(self, prefix):
        rows = [
            FakeRow(key, value)
            for key, value in self._value_by_key.items()
            if key.startswith(prefix)
        ]
        return FakeRow(prefix, "", rows)


class FakeRow:
    """A row, or a snapshot of several."""

    def __init__(self, key: str, value: str, rows=()):
        self.key = key
        self.value = value
        self.rows = tuple(rows)


def test_progress_read_during_a_commit_is_written_back_by_the_next_commit():
    """Guards against progress that is lost because the commit began before the load.

    The standby must stay marked as used until a later commit writes the progress back.
    """

    async def scenario():
        name = standby_partitions(SLICE)[0]
        progress = JobProgress.fresh()
        progress.state = JobState.COMPLETED
        progress.stamp = (3, 1)
        key = progress_key(name, job_id(1))
        primary, standby = (
            FakePartitionWriter(SLICE),
            FakePartitionWriter(name, used=True),
        )
        standby.may_commit.set()
        log = Log("member", "quiet")
        writer = SliceWriter(primary, log, {name: standby}, unread_standbys={name})
        renewal = asyncio.ensure_future(writer.commit({}, {}, lambda work: None))
        await asyncio.sleep(0)
        await writer.load(FakeTable({key: encode_progress(progress)}))
        primary.may_commit.set()
        await renewal
        assert standby.row.used
        await writer.commit({}, {}, lambda work: None)
        assert progress_key(SLICE, job_id(1)) in primary.stored
        assert not standby.row.used

    asyncio.run(scenario())


def test_write_back_never_replaces_newer_progress_in_the_primary():
    """Guards against a second write-back of an old row from a standby.

    The job's progress changes in the commit that writes back, and not in the next one.
    Seen in a lab run: the next commit stored the older row again, and the next owner
    ran finished tasks a second time.
    """

    async def scenario():
        name = standby_partitions(SLICE)[0]
        key = progress_key(SLICE, job_id(1))
        primary, standby = FakePartitionWriter(SLICE), FakePartitionWriter(name)
        primary.may_commit.set()
        standby.may_commit.set()
        writer = SliceWriter(primary, Log("member", "quiet"), {name: standby})
        primary.is_available = False
        progress = JobProgress.fresh()
        probes = []
        await writer.commit({job_id(1): progress}, {}, probes.append)
        assert progress_key(name, job_id(1)) in standby.stored
        primary.is_available = True
        await probes.pop()
        progress.state = JobState.COMPLETED
        await writer.commit({job_id(1): progress}, {}, probes.append)
        newest = primary.stored[key]
        await writer.commit({}, {}, probes.append)
        assert primary.stored[key] == newest
        assert not standby.row.used

    asyncio.run(scenario())
