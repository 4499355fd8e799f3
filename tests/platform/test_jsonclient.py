"""Tests of the timeouts of calls to a store that has become slow.

A member of a large cell sends a write every few seconds, and reads twice a second.
"""

from __future__ import annotations

import asyncio

from expression import Ok
from tornado.httputil import HTTPHeaders

from redwingrun.httpclient import HttpCall, HttpReply
from redwingrun.platform.jsonclient import JsonClient
from tests.helpers import LoopClock, VirtualLoop, close_loop


class SlowClient:
    """Replies to each call after a time that the test sets."""

    def __init__(self) -> None:
        self.response_s = 0.004
        self.calls: list[HttpCall] = []

    async def send(self, call: HttpCall):
        """Record a call, and reply to it late."""
        self.calls.append(call)
        await asyncio.sleep(self.response_s)
        return Ok(HttpReply(200, b"{}", HTTPHeaders()))


def write_timeout_after_reads(response_s: float) -> float:
    """Return the timeout of a write after some reads that took ``response_s`` each."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    http_client = SlowClient()
    client = JsonClient(http_client, "10.0.0.1:1", LoopClock(loop))

    async def call() -> None:
        http_client.response_s = response_s
        for _ in range(4):
            await client.get("/-/rows-get", {})
        await client.post("/-/rows-tx", {})

    loop.run_until_complete(call())
    close_loop(loop)
    return http_client.calls[-1].timeout_s


def test_a_write_to_a_slow_store_is_given_time_by_what_reads_have_shown():
    """It used to be sent again after 0.3 s, which doubled the load of the store."""
    assert write_timeout_after_reads(0.37) > 1.0


def test_a_write_to_a_fast_store_times_out_soon():
    """A lost reply of a fast store costs little."""
    assert write_timeout_after_reads(0.004) < 0.5
