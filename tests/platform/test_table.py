"""The product's table on the platform's store, against a stand-in of ours."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from redwingrun.coordination.clock import MonotonicClock
from redwingrun.coordination.table import (
    Committed,
    Condition,
    Conflict,
    HistoryTruncated,
    TableUnavailable,
    Transaction,
    Write,
)
from redwingrun.httpclient import HttpClient
from redwingrun.metrics import Metrics
from redwingrun.platform.jsonclient import Service
from redwingrun.platform.table import PlatformTable
from tests.platform.fakestore import Store, application

KEY = "progress/s0/a"


def on_store(work: Callable[[PlatformTable, Store], Coroutine[Any, Any, None]]) -> None:
    """Run something against a fresh store."""

    async def run() -> None:
        store = Store()
        server = HTTPServer(application(store))
        socket, port = bind_unused_port()
        server.add_socket(socket)
        client = HttpClient("")
        service = Service(client, f"127.0.0.1:{port}", MonotonicClock())
        try:
            await work(PlatformTable(service, Metrics()), store)
        finally:
            client.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


def put(key: str, value: str, *conditions: Condition) -> Transaction:
    """Return a transaction that writes a row."""
    return Transaction(conditions, (Write(key, value),))


def test_a_condition_that_fails_changes_nothing():
    """A row is made once, changed at its version only, and deleted."""

    async def work(table: PlatformTable, store: Store) -> None:
        made = await table.transact(put(KEY, "1", Condition.absent(KEY)))
        assert isinstance(made, Committed)
        again = await table.transact(put(KEY, "2", Condition.absent(KEY)))
        assert isinstance(again, Conflict)
        changed = await table.transact(put(KEY, "3", Condition.at(KEY, made.version)))
        assert isinstance(changed, Committed)
        assert (await table.read(KEY)).value == "3"
        await table.transact(Transaction((), (Write(KEY, None),)))
        assert await table.read(KEY) is None

    on_store(work)


def test_a_value_that_is_empty_is_stored():
    """An empty value is a value, not a deletion."""

    async def work(table: PlatformTable, store: Store) -> None:
        await table.transact(put(KEY, ""))
        assert (await table.read(KEY)).value == ""

    on_store(work)


def test_a_snapshot_joins_all_pages():
    """Rows beyond one page are read, and no row of another part."""

    async def work(table: PlatformTable, store: Store) -> None:
        for name in "abcde":
            await table.transact(put(f"progress/s0/{name}", name))
        await table.transact(put("progress/s1/z", "z"))
        store.most_rows = 2
        snapshot = await table.snapshot("progress/s0/")
        assert [row.value for row in snapshot.rows] == list("abcde")
        assert snapshot.version == 6

    on_store(work)


def test_scans_of_many_parts_do_not_fill_a_slow_link():
    """Eight parts of 100 rows at once: a takeover on a slow link never ended so.

    Each answer got a part of the link, all timed out, and all were asked again.
    """

    async def work(table: PlatformTable, store: Store) -> None:
        keys = [f"jobs/s0-{part}/{row:03}" for part in range(8) for row in range(100)]
        writes = tuple(Write(key, "x") for key in keys)
        await table.transact(Transaction((), writes))
        prefixes = [f"jobs/s0-{part}/" for part in range(8)]
        scans = await asyncio.gather(*(table.scan(prefix) for prefix in prefixes))
        assert sum(len(rows) for rows in scans) == len(keys)
        assert store.most_under_way <= 200

    on_store(work)


def test_changes_of_all_parts_are_told_with_what_is_gone():
    """A prefix without a part covers every part that begins so."""

    async def work(table: PlatformTable, store: Store) -> None:
        await table.transact(put("jobs/s0-1/a", "a"))
        await table.transact(put("jobs/s0-2/b", "b"))
        await table.transact(put("jobs/other/c", "c"))
        await table.transact(Transaction((), (Write("jobs/s0-1/a", None),)))
        changes = await table.changes("jobs/s0-", 0, 0.0)
        assert [row.value for row in changes.rows] == ["a", "b"]
        assert changes.deleted == ("jobs/s0-1/a",)
        assert changes.version == 4

    on_store(work)


def test_history_that_is_gone_is_told_apart():
    """The reader must read everything again."""

    async def work(table: PlatformTable, store: Store) -> None:
        store.history_from = 5
        with pytest.raises(HistoryTruncated):
            await table.changes("jobs/", 1, 0.0)

    on_store(work)


@pytest.mark.parametrize("status", [429, 503])
def test_a_refused_call_certainly_did_nothing(status: int):
    """The caller may say *not run*."""

    async def work(table: PlatformTable, store: Store) -> None:
        store.refuse = status
        with pytest.raises(TableUnavailable):
            await table.transact(put(KEY, "1"))

    on_store(work)
