"""PlatformTable against a fake of the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import orjson
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
    TableUnknown,
    Transaction,
    Write,
)
from redwingrun.httpclient import HttpClient
from redwingrun.metrics import Metrics
from redwingrun.platform.jsonclient import JsonClient
from redwingrun.platform.table import PlatformTable
from tests.platform.fakestore import FakeStore, store_application

KEY = "progress/s0/a"


def run_with_store(
    scenario: Callable[[PlatformTable, FakeStore], Coroutine[Any, Any, None]],
) -> None:
    """Run a scenario with a table on an empty store."""

    async def run() -> None:
        store = FakeStore()
        server = HTTPServer(store_application(store))
        socket, port = bind_unused_port()
        server.add_socket(socket)
        http_client = HttpClient("")
        client = JsonClient(http_client, f"127.0.0.1:{port}", MonotonicClock())
        try:
            await scenario(PlatformTable(client, Metrics()), store)
        finally:
            http_client.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


def write_transaction(key: str, value: str, *conditions: Condition) -> Transaction:
    """Return a transaction that writes a row."""
    return Transaction(conditions, (Write(key, value),))


def test_a_transaction_with_a_failed_condition_has_no_effect():
    """A row is created only if absent and changed only at the expected version."""

    async def scenario(table: PlatformTable, store: FakeStore) -> None:
        created = await table.transact(
            write_transaction(KEY, "1", Condition.absent(KEY))
        )
        assert isinstance(created, Committed)
        again = await table.transact(write_transaction(KEY, "2", Condition.absent(KEY)))
        assert isinstance(again, Conflict)
        changed = await table.transact(
            write_transaction(KEY, "3", Condition.at(KEY, created.version))
        )
        assert isinstance(changed, Committed)
        assert (await table.read(KEY)).value == "3"
        await table.transact(Transaction((), (Write(KEY, None),)))
        assert await table.read(KEY) is None

    run_with_store(scenario)


def test_an_empty_value_is_stored():
    """Writing an empty value does not delete the row."""

    async def scenario(table: PlatformTable, store: FakeStore) -> None:
        await table.transact(write_transaction(KEY, ""))
        assert (await table.read(KEY)).value == ""

    run_with_store(scenario)


def test_a_snapshot_contains_all_pages():
    """A snapshot reads all pages of one partition and no rows of another one."""

    async def scenario(table: PlatformTable, store: FakeStore) -> None:
        for name in "abcde":
            await table.transact(write_transaction(f"progress/s0/{name}", name))
        await table.transact(write_transaction("progress/s1/z", "z"))
        store.max_page_rows = 2
        snapshot = await table.snapshot("progress/s0/")
        assert [row.value for row in snapshot.rows] == list("abcde")
        assert snapshot.version == 6

    run_with_store(scenario)


def test_concurrent_scans_do_not_saturate_a_slow_link():
    """The number of rows in flight is limited across concurrent scans.

    A takeover on a slow link that read eight partitions of 100 rows at the same time
    never finished: the replies shared the link, all of them timed out, and all of
    them were requested again.
    """

    async def scenario(table: PlatformTable, store: FakeStore) -> None:
        keys = [f"jobs/s0-{part}/{row:03}" for part in range(8) for row in range(100)]
        writes = tuple(Write(key, "x") for key in keys)
        await table.transact(Transaction((), writes))
        prefixes = [f"jobs/s0-{part}/" for part in range(8)]
        scans = await asyncio.gather(*(table.scan(prefix) for prefix in prefixes))
        assert sum(len(rows) for rows in scans) == len(keys)
        assert store.max_rows_in_flight <= 200

    run_with_store(scenario)


def test_many_partitions_with_few_rows_are_read_at_the_same_time():
    """A takeover reads 64 of them; two at a time took 12 s from a slow table."""

    async def scenario(table: PlatformTable, store: FakeStore) -> None:
        prefixes = [f"jobs/s0-{part:x}/" for part in range(64)]
        writes = tuple(
            Write(f"{prefix}{row}", "x") for prefix in prefixes for row in "ab"
        )
        await table.transact(Transaction((), writes[:64]))
        await table.transact(Transaction((), writes[64:]))
        await asyncio.gather(*(table.scan(prefix) for prefix in prefixes))
        assert store.max_reads_in_flight >= 8

    run_with_store(scenario)


def test_changes_cover_all_partitions_under_a_prefix_and_deleted_rows():
    """A prefix may end within a partition's name and then covers several partitions."""

    async def scenario(table: PlatformTable, store: FakeStore) -> None:
        await table.transact(write_transaction("jobs/s0-1/a", "a"))
        await table.transact(write_transaction("jobs/s0-2/b", "b"))
        await table.transact(write_transaction("jobs/other/c", "c"))
        await table.transact(Transaction((), (Write("jobs/s0-1/a", None),)))
        changes = await table.changes("jobs/s0-", 0, 0.0)
        assert [row.value for row in changes.rows] == ["a", "b"]
        assert changes.deleted == ("jobs/s0-1/a",)
        assert changes.version == 4

    run_with_store(scenario)


def test_truncated_history_raises_its_own_error():
    """The reader has to tell it from other errors, to read everything again."""

    async def scenario(table: PlatformTable, store: FakeStore) -> None:
        store.history_from = 5
        with pytest.raises(HistoryTruncated):
            await table.changes("jobs/", 1, 0.0)

    run_with_store(scenario)


@pytest.mark.parametrize("status", [429, 503])
def test_a_refused_call_raises_table_unavailable(status: int):
    """The error says that the call had no effect, so a caller may report *not run*."""

    async def scenario(table: PlatformTable, store: FakeStore) -> None:
        store.error_status = status
        with pytest.raises(TableUnavailable):
            await table.transact(write_transaction(KEY, "1"))

    run_with_store(scenario)


# Guards against a row of another writer that ends whoever reads the table.
@pytest.mark.parametrize("value", ["***a", 3, None, "/w=="])
def test_a_row_that_cannot_be_read_does_not_hide_the_others(value: object):
    """Its value is returned as text that is not JSON."""

    async def scenario(table: PlatformTable, store: FakeStore) -> None:
        await table.transact(write_transaction("servers//b", "{}"))
        store.version += 1
        odd = {"table": "servers", "part": "", "key": "a", "value": value}
        odd["schemaVer"] = store.version
        store.rows["servers", "", "a"] = odd
        store.history.append(odd)
        for rows in (
            (await table.snapshot("servers//")).rows,
            (await table.changes("servers//", 0, 0.1)).rows,
        ):
            value_by_key = {row.key: row.value for row in rows}
            assert value_by_key["servers//b"] == "{}"
            with pytest.raises(ValueError, match=r"\w"):
                orjson.loads(value_by_key["servers//a"])

    run_with_store(scenario)


# Guards against an answer that raises an error which no caller expects.
def test_an_answer_without_a_version_is_unknown():
    """The callers try again."""

    async def scenario(table: PlatformTable, store: FakeStore) -> None:
        store.version = None
        store.transact = lambda data: (200, {})
        store.feed = lambda table, after: (200, {"rows": [{"table": "servers"}]})
        with pytest.raises(TableUnknown):
            await table.transact(write_transaction(KEY, "1"))
        with pytest.raises(TableUnknown):
            await table.snapshot("servers//")
        with pytest.raises(TableUnknown):
            await table.snapshot_row("servers//a")
        with pytest.raises(TableUnknown):
            await table.changes("servers//", 0, 0.1)

    run_with_store(scenario)
