"""Odd answers of the platform's services."""

from __future__ import annotations

import asyncio

import orjson
import pytest
from expression import Ok
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.web import Application, RequestHandler

from lab.cell import free_ports
from redwingrun.coordination.groupcommit import GroupCommit, GroupCommitSettings
from redwingrun.coordination.table import TableUnknown, Transaction, Write
from redwingrun.httpclient import HttpClient, HttpReply
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.serviceclients import (
    HostListUnavailable,
    HttpHostList,
    HttpObjectStore,
    HttpTable,
    ListedHost,
)

PART_BYTES = 1000
PARTS = 12
PART_INTERVAL_S = 0.1
TIMEOUT_S = 0.4
ODD_ENTRIES = (
    3,
    None,
    [],
    {},
    {"name": "odd"},
    {"name": ["odd"], "state": "live"},
    {"name": "odd", "state": "resting"},
    {"name": "odd", "state": ["live"]},
)


class _SlowHandler(RequestHandler):
    """Sends an object in parts, as over a slow link."""

    async def get(self, name: str) -> None:
        self.set_header("Content-Length", PARTS * PART_BYTES)
        for _ in range(PARTS):
            self.write(b"x" * PART_BYTES)
            await self.flush()
            await asyncio.sleep(PART_INTERVAL_S)


# Guards against a read of a large object that is ended while it is still arriving: a
# host would begin it anew each time, and keep its old configuration.
def test_an_object_that_keeps_arriving_may_take_longer_than_the_timeout():
    async def read() -> bytes | None:
        port = free_ports(1)[0]
        server = HTTPServer(Application([(r"/objects/(.*)", _SlowHandler)]))
        server.listen(port, "127.0.0.1")
        client = HttpClient("test")
        store = HttpObjectStore(
            client, f"http://127.0.0.1:{port}", TIMEOUT_S, Metrics()
        )
        try:
            return await store.get("set-1")
        finally:
            client.close()
            server.stop()
            await server.close_all_connections()

    assert asyncio.run(read()) == b"x" * PARTS * PART_BYTES


class _Answer:
    """Takes the place of ``HttpClient``: gives the same answer to each call."""

    def __init__(self, body: bytes, status: int = 200):
        self._body = body
        self._status = status

    async def send(self, call: object) -> Ok:
        return Ok(HttpReply(self._status, self._body, HTTPHeaders()))


def read_hosts(body: bytes) -> dict[str, ListedHost]:
    """Return the hosts that the client decodes from an answer."""
    host_list = HttpHostList(_Answer(body), "http://list", 1.0, Log("test", "quiet"))
    return asyncio.run(host_list.hosts())


# Guards against one odd entry that ends the task which reads the list; the host then
# never changed its readiness again.
def test_odd_hosts_are_passed_over_one_by_one():
    """A usable entry stands between all the unusable ones."""
    usable = {"name": "routeboard-m1", "state": "leaving"}
    body = orjson.dumps([*ODD_ENTRIES, usable, *ODD_ENTRIES])
    assert list(read_hosts(body)) == ["routeboard-m1"]


@pytest.mark.parametrize(
    "body", [b"", b"{}", b"3", b"[" * 5000, b"[1e400]", b"\xff\xfe"]
)
def test_an_answer_that_is_no_list_counts_as_unavailable(body: bytes):
    """The last known states stay in use."""
    with pytest.raises(HostListUnavailable):
        read_hosts(body)


# Guards against a damaged answer that ends the group commit: the callers of its group
# waited for ever for an outcome.
@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize("body", [b"", b"no JSON", b"[]", b"{}", b'{"keys": 3}'])
def test_a_damaged_answer_of_the_table_leaves_the_outcome_unknown(status, body):
    table = HttpTable(_Answer(body, status), "http://127.0.0.1:1", TIMEOUT_S, Metrics())

    async def commit() -> None:
        group = GroupCommit(table, GroupCommitSettings())
        async with asyncio.timeout(TIMEOUT_S):
            await group.transact(Transaction((), (Write("a", "v"),)))

    with pytest.raises(TableUnknown):
        asyncio.run(commit())


# Guards against a damaged answer that is read as "there is no such row".
@pytest.mark.parametrize("body", [b"", b"no JSON", b"{}", b"[3]", b'[{"key": "a"}]'])
def test_a_damaged_answer_to_a_read_is_no_row(body):
    table = HttpTable(_Answer(body), "http://127.0.0.1:1", TIMEOUT_S, Metrics())
    with pytest.raises(TableUnknown):
        asyncio.run(table.read("a"))
