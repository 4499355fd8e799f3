"""The task that follows published configurations, with damaged content."""

from __future__ import annotations

import asyncio

import pytest

from redwingrun.configtask import ConfigTask
from redwingrun.coordination.codec import encode
from redwingrun.coordination.follower import VERSION_KEY, VersionRow, digest_of
from redwingrun.coordination.table import Transaction, Write
from redwingrun.logs import Log
from redwingrun.objects import ObjectSet
from tests.helpers import (
    FakeNetwork,
    FakeObjectStore,
    FakePeers,
    FakeProcess,
    FakeTable,
    Rows,
    VirtualLoop,
    close_loop,
    settings_for,
)


# Guards against damaged content that ends the task: the process kept the version that
# it had, and heard of no later one.
@pytest.mark.parametrize("damaged", [b"", b"[", b"[]", b'{"teams": 3}', b"{}x"])
def test_damaged_content_is_refused_and_the_next_version_is_followed(damaged: bytes):
    """The digest is checked before the content is parsed."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    process, rows, objects = FakeProcess("host"), Rows(), {}
    content = ObjectSet().content()
    task = ConfigTask(
        settings_for(config_poll_s=1.0),
        FakeTable(rows, process),
        FakeObjectStore(objects, process),
        FakePeers(FakeNetwork(), process, "address"),
        Log("test", "quiet"),
        lambda: [],
        lambda: None,
        lambda: None,
    )
    row = VersionRow(1, digest_of(content), token="t")
    rows.apply(Transaction((), (Write(VERSION_KEY, encode(row)),)))
    objects[row.digest] = damaged
    try:
        loop.run_until_complete(task.poll())
        assert task.follower.active_version.number == 0
        objects[row.digest] = content
        loop.run_until_complete(task.poll())
    finally:
        close_loop(loop)
    assert task.follower.active_version.number == 1
