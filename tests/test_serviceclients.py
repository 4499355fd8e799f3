"""Odd answers of the platform's services."""

from __future__ import annotations

import asyncio

import orjson
import pytest
from expression import Ok
from tornado.httputil import HTTPHeaders

from redwingrun.httpclient import HttpReply
from redwingrun.logs import Log
from redwingrun.serviceclients import HostListUnavailable, HttpHostList, ListedHost

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


class _Answer:
    """Takes the place of ``HttpClient``: gives the same answer to each call."""

    def __init__(self, body: bytes):
        self._body = body

    async def send(self, call: object) -> Ok:
        return Ok(HttpReply(200, self._body, HTTPHeaders()))


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
