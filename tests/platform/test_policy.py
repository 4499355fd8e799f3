"""Tests of malformed answers of the placement policy.

An answer that could not be decoded used to end the owner's task, and with it the
ownership of the slice.
"""

from __future__ import annotations

import asyncio

import orjson
import pytest
from expression import Ok
from tornado.httputil import HTTPHeaders

from redwingrun.httpclient import HttpReply
from redwingrun.jobs.spec import StepId
from redwingrun.platform.policy import PlatformPolicy

GOOD_ROW = ["i-1", "ticket"]


class AnsweringClient:
    """Answers each call with the same body."""

    def __init__(self, body: bytes):
        self._body = body

    async def send(self, call):
        """Return the reply to a call."""
        return Ok(HttpReply(200, self._body, HTTPHeaders()))


def query(body: bytes):
    """Query a policy that answers with this body."""
    policy = PlatformPolicy(AnsweringClient(body), "10.0.0.1:1")
    return asyncio.run(policy.query_policy(StepId("0" * 16, 0, 0), ("i-1",), 1.0))


@pytest.mark.parametrize(
    "row", [None, "i-2", 7, [], ["i-2"], [["i-2"], "t"], ["i-2", {}], {"0": "i-2"}]
)
def test_an_odd_row_is_passed_over_by_itself(row):
    """The other rows name workers that may be used."""
    answer = query(orjson.dumps({"good": [row, GOOD_ROW], "validMs": 2500}))
    assert answer.ok.ticket_by_worker == {"i-1": "ticket"}
    assert answer.ok.valid_s == 2.5


@pytest.mark.parametrize(
    "body",
    [
        orjson.dumps({"good": {"i-1": "ticket"}}),
        orjson.dumps({"good": [GOOD_ROW], "validMs": "2500"}),
        orjson.dumps({"good": [GOOD_ROW], "validMs": -1}),
        b'{"good": [["i-1", "ticket"]], "validMs": 1e999}',
        b"[" * 100_000,
        b"no JSON",
        orjson.dumps([GOOD_ROW]),
        orjson.dumps({"validMs": 2500}),
        b"{}",
    ],
)
def test_an_answer_that_can_not_be_used_is_a_failure(body):
    """The query is sent again later.

    Without its list it would refuse all workers of the query for ever.
    """
    assert query(body).is_error()
