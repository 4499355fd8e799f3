"""JSON calls to the platform's services, with timeouts adapted to response times."""

from __future__ import annotations

from typing import Any
from urllib.parse import urlencode

import orjson
from attrs import frozen
from expression import Error, Ok, Result

from redwingrun.adaptivetimeout import AdaptiveTimeout
from redwingrun.coordination.clock import Clock
from redwingrun.coordination.verdict import Failure, Verdict, may_have_run
from redwingrun.httpclient import INCOMPLETE, HttpCall, HttpClient

JSON_HEADERS = {"Content-Type": "application/json"}
CONNECT_TIMEOUT_S = 0.5
# When a reply is lost, nothing more arrives on that connection. Reads can be
# repeated, so it is better to time out early and send the read again.
MAX_READ_TIMEOUT_S = 1.0
# A large reply of which only a part arrived in time gets more time when it is requested
# again: how long it takes depends on the link.
MAX_LARGE_READ_BACKOFF_S = 5.0


@frozen
class JsonReply:
    """The status and the decoded body of a complete reply."""

    status: int
    body: dict[str, Any]


class JsonClient:
    """Client of one service of the platform.

    :param address: IP and port of the service.
    """

    def __init__(self, client: HttpClient, address: str, clock: Clock):
        self.address = address
        self._client = client
        self._clock = clock
        self._read_timeout = AdaptiveTimeout(MAX_READ_TIMEOUT_S)
        # Kept apart, because replies to small reads say nothing about large ones.
        self._large_read_timeout = AdaptiveTimeout(
            MAX_READ_TIMEOUT_S, MAX_LARGE_READ_BACKOFF_S
        )
        self._write_timeout = AdaptiveTimeout()

    async def get(self, path: str, query: dict[str, Any]) -> Result[JsonReply, Failure]:
        """Send a GET request whose reply is small."""
        timeout = self._read_timeout
        url = f"{path}?{urlencode(query)}"
        call = self._call("GET", url, None, timeout.current_s())
        return await self._send(call, timeout)

    async def get_large(
        self, path: str, query: dict[str, Any], server_wait_s: float = 0
    ) -> Result[JsonReply, Failure]:
        """Send a GET request whose reply may be large, such as a page of rows.

        :param server_wait_s: how long the service may hold the request before it
            replies; added to the timeout.
        """
        timeout = self._large_read_timeout
        timeout_s = max(timeout.current_s(), self._read_timeout.current_s())
        url = f"{path}?{urlencode(query)}"
        call = self._call("GET", url, None, timeout_s + server_wait_s)
        return await self._send(call, timeout, is_held=server_wait_s > 0)

    async def post(self, path: str, data: dict[str, Any]) -> Result[JsonReply, Failure]:
        """Send a POST request."""
        timeout = self._write_timeout
        call = self._call("POST", path, orjson.dumps(data), timeout.current_s())
        return await self._send(call, timeout)

    def _call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpCall:
        url = f"http://{self.address}{path}"
        connect_timeout_s = min(CONNECT_TIMEOUT_S, timeout_s)
        return HttpCall(method, url, timeout_s, body, JSON_HEADERS, connect_timeout_s)

    async def _send(
        self, call: HttpCall, timeout: AdaptiveTimeout, is_held: bool = False
    ) -> Result[JsonReply, Failure]:
        """Send a call, and adapt the timeout to how it ends.

        :param is_held: whether the service may hold the request, so that the response
            time says nothing about the service.
        """
        started_s = self._clock.now()
        reply = await self._client.send(call)
        if reply.is_error():
            self._record_failure(timeout, reply.error)
            return reply
        if is_held:
            timeout.reset_backoff()
        else:
            timeout.record_reply(self._clock.now() - started_s)
        return decode_reply(reply.ok.status, reply.ok.body)

    def _record_failure(self, timeout: AdaptiveTimeout, failure: Failure) -> None:
        """Allow more time to the next call of the same kind.

        A large read without any answer says as little as a small one: its size did
        not matter.
        """
        if failure.verdict is not Verdict.MAY_HAVE_RUN:
            return
        if timeout is self._large_read_timeout and failure.reason != INCOMPLETE:
            timeout.reset_backoff()
            timeout = self._read_timeout
        timeout.record_timeout()


def decode_reply(status: int, body: bytes) -> Result[JsonReply, Failure]:
    """Decode a reply whose body is a JSON object or empty.

    :return: the decoded reply, or a failure that *may have run* for any other body.
    """
    if not body:
        return Ok(JsonReply(status, {}))
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Error(may_have_run("damaged", str(error)))
    if isinstance(data, dict):
        return Ok(JsonReply(status, data))
    return Error(may_have_run("damaged", "the body is not a JSON object"))
