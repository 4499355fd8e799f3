"""A client of the fake store behind a slow link, in virtual time."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
from expression import Error, Ok, Result
from tornado.httputil import HTTPHeaders

from redwingrun.coordination.verdict import Failure, may_have_run
from redwingrun.httpclient import (
    INCOMPLETE,
    MAX_TRANSFER_S,
    TIMEOUT,
    HttpCall,
    HttpReply,
)
from tests.platform.fakestore import FakeStore

DELAY_S = 0.01
POLL_STEP_S = 0.01


class SlowLinkClient:
    """Takes the place of ``HttpClient``; all answers share one link.

    :param bytes_per_s: how fast the link carries the answers of the store.
    :ivar is_refused: whether the store resets each connection.
    :ivar is_silent: whether calls that are sent now never get any answer.
    :ivar received_bytes: bytes of all answers, incomplete ones included.
    """

    def __init__(self, store: FakeStore, bytes_per_s: float):
        self._store = store
        self._bytes_per_s = bytes_per_s
        self._link_free_s = 0.0
        self.is_refused = False
        self.is_silent = False
        self.received_bytes = 0.0

    async def send(self, call: HttpCall) -> Result[HttpReply, Failure]:
        """Send a read.

        It times out if its answer has not arrived in time, or not begun to arrive if
        the call ends by a stall only: this link never stalls.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + call.timeout_s
        await asyncio.sleep(DELAY_S)
        if self.is_refused:
            return Error(may_have_run("connection-lost", "reset"))
        if self.is_silent:
            await asyncio.sleep(deadline_s - loop.time())
            return Error(may_have_run(TIMEOUT, "with 0 bytes received"))
        status, body = await self._serve(call.url)
        begin_s = max(loop.time(), self._link_free_s)
        end_s = begin_s + len(body) / self._bytes_per_s
        if call.stall_timeout_s is not None and begin_s < deadline_s:
            deadline_s = begin_s + MAX_TRANSFER_S
        self._link_free_s = max(begin_s, min(end_s, deadline_s))
        self.received_bytes += (self._link_free_s - begin_s) * self._bytes_per_s
        await asyncio.sleep(max(0.0, min(end_s, deadline_s) - loop.time()))
        if end_s > deadline_s:
            reason = INCOMPLETE if begin_s < deadline_s else TIMEOUT
            return Error(may_have_run(reason, f"not all of {len(body)} bytes"))
        return Ok(HttpReply(status, body, HTTPHeaders()))

    async def _serve(self, url: str) -> tuple[int, bytes]:
        parts = urlsplit(url)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if parts.path == "/-/rows-feed":
            status, data = await self._wait_for_change(query)
        else:
            names = ("table", "part", "from", "target", "maxItems")
            status = 200
            data = self._store.get(*(query.get(name, "") for name in names))
        return status, orjson.dumps(data)

    async def _wait_for_change(self, query: dict[str, str]) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query["waitMs"]) / 1000
        while True:
            status, data = self._store.feed(query["table"], int(query["after"]))
            if status != 200 or data["rows"] or loop.time() >= until_s:
                return status, data
            await asyncio.sleep(POLL_STEP_S)
