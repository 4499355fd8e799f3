"""What the owner's journal remembers while it loads and commits side by side."""

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


class Part:
    """A part that stores when it is told to."""

    def __init__(self, name: str, used: bool = False):
        self.slice_name = name
        self.row = OwnerRow("m0", "m0", "t", 0, used=used)
        self.fence = 5
        self.abandoned = False
        self.stored: dict[str, str] = {}
        self.may_store = asyncio.Event()
        self.answers = True

    async def check(self):
        if not self.answers:
            raise TableUnavailable("silent")

    async def try_commit(self, writes, waiting_by_queue, used=False):
        await self.may_store.wait()
        if not self.answers:
            return False
        self.row = OwnerRow("m0", "m0", "t", 0, used=used)
        self.stored.update({write.key: write.value for write in writes})
        return True


class Rows:
    """The rows of the standby part, which a former owner has left."""

    def __init__(self, value_by_key: dict[str, str]):
        self._value_by_key = value_by_key

    async def snapshot(self, prefix):
        rows = [
            Found(key, value)
            for key, value in self._value_by_key.items()
            if key.startswith(prefix)
        ]
        return Found(prefix, "", rows)


class Found:
    """A row, or several."""

    def __init__(self, key: str, value: str, rows=()):
        self.key = key
        self.value = value
        self.rows = tuple(rows)


def test_what_is_read_during_a_commit_is_written_back_by_the_next_one():
    """The commit began before the rows were known, so that it doesn't hold them."""

    async def scenario():
        name = standby_partitions(SLICE)[0]
        progress = JobProgress.fresh()
        progress.state = JobState.COMPLETED
        progress.stamp = (3, 1)
        key = progress_key(name, job_id(1))
        primary, standby = Part(SLICE), Part(name, used=True)
        standby.may_store.set()
        log = Log("member", "quiet")
        journal = SliceWriter(primary, log, {name: standby}, unread={name})
        renewal = asyncio.ensure_future(journal.commit({}, {}, lambda work: None))
        await asyncio.sleep(0)
        await journal.load(Rows({key: encode_progress(progress)}))
        primary.may_store.set()
        await renewal
        assert standby.row.used
        await journal.commit({}, {}, lambda work: None)
        assert progress_key(SLICE, job_id(1)) in primary.stored
        assert not standby.row.used

    asyncio.run(scenario())


def test_what_was_stored_in_a_standby_part_never_replaces_what_came_after_it():
    """The job goes on in the commit that writes it back, and rests in the next one.

    Seen in a hunt: the older row came back, and the next owner ran done tasks again.
    """

    async def scenario():
        name = standby_partitions(SLICE)[0]
        key = progress_key(SLICE, job_id(1))
        primary, standby = Part(SLICE), Part(name)
        primary.may_store.set()
        standby.may_store.set()
        journal = SliceWriter(primary, Log("member", "quiet"), {name: standby})
        primary.answers = False
        progress = JobProgress.fresh()
        probes = []
        await journal.commit({job_id(1): progress}, {}, probes.append)
        assert progress_key(name, job_id(1)) in standby.stored
        primary.answers = True
        await probes.pop()
        progress.state = JobState.COMPLETED
        await journal.commit({job_id(1): progress}, {}, probes.append)
        newest = primary.stored[key]
        await journal.commit({}, {}, probes.append)
        assert primary.stored[key] == newest
        assert not standby.row.used

    asyncio.run(scenario())
