"""JSON calls to the platform's services, with timeouts adapted to response times."""

from __future__ import annotations

from typing import Any
from urllib.parse import urlencode

import orjson
from attrs import frozen
from expression import Error, Ok, Result

from redwingrun.adaptivetimeout import MAX_TIMEOUT_S, AdaptiveTimeout
from redwingrun.coordination.clock import Clock
from redwingrun.coordination.verdict import Failure, Verdict, may_have_run
from redwingrun.httpclient import HttpCall, HttpClient

JSON_HEADERS = {"Content-Type": "application/json"}
CONNECT_TIMEOUT_S = 0.5
# When a reply is lost, nothing more arrives on that connection. Reads can be
# repeated, so it is better to time out early and send the read again.
MAX_READ_TIMEOUT_S = 1.0
# A large reply may take as long as its link needs, but not pause for longer than this.
STALL_TIMEOUT_S = 0.5


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

        The timeout is for its first bytes.

        :param server_wait_s: how long the service may hold the request before it
            replies; added to the timeout.
        """
        timeout = self._read_timeout
        timeout_s = timeout.current_s() + server_wait_s
        url = f"{path}?{urlencode(query)}"
        call = self._call("GET", url, None, timeout_s, STALL_TIMEOUT_S)
        return await self._send(call, timeout)

    async def post(self, path: str, data: dict[str, Any]) -> Result[JsonReply, Failure]:
        """Send a POST request.

        Most members send few of them. A service that has become slow is known from the
        replies to reads before, and a POST that times out too early is sent twice.
        """
        timeout = self._write_timeout
        timeout_s = max(
            timeout.current_s(), min(MAX_TIMEOUT_S, self._read_timeout.unbounded_s())
        )
        call = self._call("POST", path, orjson.dumps(data), timeout_s)
        return await self._send(call, timeout)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        stall_timeout_s: float | None = None,
    ) -> HttpCall:
        url = f"http://{self.address}{path}"
        connect_timeout_s = min(CONNECT_TIMEOUT_S, timeout_s)
        return HttpCall(
            method,
            url,
            timeout_s,
            body,
            JSON_HEADERS,
            connect_timeout_s,
            stall_timeout_s,
        )

    async def _send(
        self, call: HttpCall, timeout: AdaptiveTimeout
    ) -> Result[JsonReply, Failure]:
        """Send a call, and adapt the timeout to how it ends.

        How long a large reply takes says nothing about the service: it depends on the
        link, and on how long the service held the request.
        """
        started_s = self._clock.now()
        reply = await self._client.send(call)
        if reply.is_error():
            if reply.error.verdict is Verdict.MAY_HAVE_RUN:
                timeout.record_timeout()
            return reply
        if call.stall_timeout_s is not None:
            timeout.reset_backoff()
        else:
            timeout.record_reply(self._clock.now() - started_s)
        return decode_reply(reply.ok.status, reply.ok.body)


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
