"""JSON calls to the platform's services, with a time-out that follows the answers."""

from __future__ import annotations

from typing import Any
from urllib.parse import urlencode

import orjson
from attrs import frozen
from expression import Error, Ok, Result

from redwingrun.adaptivetimeout import AdaptiveTimeout
from redwingrun.coordination.clock import Clock
from redwingrun.coordination.verdict import Failure, Verdict, may_have_run
from redwingrun.httpclient import HttpCall, HttpClient

JSON_HEADERS = {"Content-Type": "application/json"}
CONNECT_TIMEOUT_S = 0.5
# A connection whose answer is lost stays silent: a reading is better asked again.
LONGEST_READ_S = 1.0


@frozen
class Answer:
    """A whole answer: its status and its decoded body."""

    status: int
    body: dict[str, Any]


class Service:
    """One service of the platform.

    :param address: IP and port.
    """

    def __init__(self, client: HttpClient, address: str, clock: Clock):
        self.address = address
        self._client = client
        self._clock = clock
        self._read_timeout = AdaptiveTimeout(LONGEST_READ_S)
        self._write_timeout = AdaptiveTimeout()

    async def get(
        self, path: str, query: dict[str, Any], extra_s: float = 0
    ) -> Result[Answer, Failure]:
        """Read; ``extra_s`` is how long the service may wait by itself."""
        return await self._send("GET", f"{path}?{urlencode(query)}", None, extra_s)

    async def post(
        self, path: str, plain: dict[str, Any], extra_s: float = 0
    ) -> Result[Answer, Failure]:
        """Write, or ask."""
        return await self._send("POST", path, orjson.dumps(plain), extra_s)

    async def _send(
        self, method: str, path: str, body: bytes | None, extra_s: float
    ) -> Result[Answer, Failure]:
        started_s = self._clock.now()
        timeout = self._read_timeout if method == "GET" else self._write_timeout
        timeout_s = timeout.current_s() + extra_s
        url = f"http://{self.address}{path}"
        connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
        call = HttpCall(method, url, timeout_s, body, JSON_HEADERS, connect_s)
        reply = await self._client.send(call)
        if reply.is_error():
            if reply.error.verdict is Verdict.MAY_HAVE_RUN:
                timeout.record_timeout()
            return reply
        if not extra_s:
            timeout.record_answer(self._clock.now() - started_s)
        return decoded(reply.ok.status, reply.ok.body)


def decoded(status: int, body: bytes) -> Result[Answer, Failure]:
    """Return an answer whose body is a JSON object or empty."""
    if not body:
        return Ok(Answer(status, {}))
    try:
        plain = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Error(may_have_run("damaged", str(error)))
    if isinstance(plain, dict):
        return Ok(Answer(status, plain))
    return Error(may_have_run("damaged", "the body is not an object"))
