"""The public client: what the command line does, for programs to use too."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from typing import Any

import orjson
from attrs import field, frozen

from redwingrun.errors import NotReachable, Refused
from redwingrun.httpclient import (
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    HttpCall,
    HttpClient,
)

DEFAULT_TIMEOUT_S = 30.0
POLL_S = 0.25


@frozen
class ApiAnswer:
    """One answer of an entry.

    :param plain: the JSON body, ``None`` when the body is something else.
    """

    status: int
    body: bytes
    plain: Any = None
    headers: dict[str, str] = field(factory=dict)


class Api:
    """Calls one entry as one caller or operator.

    Every method raises :exc:`NotReachable` without an answer and
    :exc:`Refused` when the answer is an error. Example::

        api = Api("http://10.0.0.1:8080", token)
        print(api.status()["version"])
    """

    def __init__(self, server: str, token: str, timeout_s: float = DEFAULT_TIMEOUT_S):
        self._server = server.rstrip("/")
        self._token = token
        self._timeout_s = timeout_s

    # Operators

    def config(self) -> dict[str, Any]:
        """Return the version and the objects in force."""
        return self._json("GET", "/v1/config")

    def publish(
        self, sources: dict[str, str], based_on: int, reason: str
    ) -> dict[str, Any]:
        """Check and publish a whole set of object files, texts by name."""
        plain = {"sources": sources, "based_on": based_on, "reason": reason}
        return self._json("POST", "/v1/config", orjson.dumps(plain))

    def lagging(self, version: int) -> list[str]:
        """Return the live daemons that do not have a version in force yet."""
        members = self._json("GET", "/v1/members")
        return [
            f"{row['host']}/{row['kind']}"
            for row in members
            if row["config_version"] < version
        ]

    def until_in_force(self, version: int, timeout_s: float) -> Iterator[list[str]]:
        """Yield the lagging daemons again and again until there are none.

        :raises NotReachable: when some still lag after ``timeout_s``.
        """
        ends_s = time.monotonic() + timeout_s
        while lagging := self.lagging(version):
            yield lagging
            if time.monotonic() > ends_s:
                names = ", ".join(lagging)
                raise NotReachable(
                    f"version {version} is published, but not yet in {names}"
                )
            time.sleep(POLL_S)

    def status(self) -> dict[str, Any]:
        """Return a summary of the cell."""
        return self._json("GET", "/v1/status")

    def audit(self) -> list[dict[str, Any]]:
        """Return the audit trail, oldest first."""
        return self._json("GET", "/v1/audit")

    def drain(self, name: str, back: bool = False) -> dict[str, Any]:
        """Take a minion or worker out of service, or back."""
        return self._json("DELETE" if back else "PUT", f"/v1/drains/{name}")

    def debug(self) -> dict[str, Any]:
        """Return what the daemon holds."""
        return self._json("GET", "/v1/debug")

    # Callers

    def run(self, workload: str, body: bytes, headers: dict[str, str]) -> ApiAnswer:
        """Run a quick request and return its answer."""
        return self._send("POST", f"/v1/run/{workload}", body, headers)

    def submit(
        self, workload: str, body: bytes, headers: dict[str, str]
    ) -> dict[str, Any]:
        """Submit a task and return its id and state."""
        return self._send("POST", f"/v1/tasks/{workload}", body, headers).plain

    def task(self, task_id: str) -> dict[str, Any]:
        """Return the state of a task."""
        return self._json("GET", f"/v1/task/{task_id}")

    def result(self, task_id: str) -> bytes:
        """Return the result of a task."""
        return self._send("GET", f"/v1/task/{task_id}/result", None, {}).body

    def cancel(self, name: str) -> dict[str, Any]:
        """Cancel a task, or a request that still waits."""
        return self._json("DELETE", _path_of(name))

    def explain(self, name: str) -> dict[str, Any]:
        """Say what became of a request, or why a task waits."""
        suffix = "/explain" if _is_task(name) else ""
        return self._json("GET", _path_of(name) + suffix)

    # Helpers

    def _json(self, method: str, path: str, body: bytes | None = None) -> Any:
        return self._send(method, path, body, {}).plain

    def _send(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> ApiAnswer:
        return asyncio.run(self._exchange(method, path, body, headers))

    async def _exchange(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> ApiAnswer:
        client = HttpClient("redwingrun")
        all_headers = {"Authorization": f"Bearer {self._token}", **headers}
        call = HttpCall(method, self._server + path, self._timeout_s, body, all_headers)
        try:
            result = await client.send(call)
        finally:
            client.close()
        if result.is_error():
            failure = result.error
            raise NotReachable(
                f"{self._server}: {failure.verdict.value}: "
                f"{failure.detail or failure.reason}; "
                "check --server and that the entry runs"
            )
        reply = result.ok
        answer = ApiAnswer(
            reply.status, reply.body, _plain(reply.body), dict(reply.headers.get_all())
        )
        if reply.status >= 300:
            raise Refused(_refusal(answer))
        return answer


def _is_task(name: str) -> bool:
    return name.count(":") >= 2


def _path_of(name: str) -> str:
    return f"/v1/task/{name}" if _is_task(name) else f"/v1/requests/{name}"


def _plain(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return None


def _refusal(answer: ApiAnswer) -> str:
    plain = answer.plain if isinstance(answer.plain, dict) else {}
    verdict = plain.get("verdict") or answer.headers.get(VERDICT_HEADER, "may have run")
    detail = plain.get("detail") or answer.body[:200].decode(errors="replace")
    request_id = plain.get("request_id") or answer.headers.get(REQUEST_ID_HEADER, "")
    text = f"{verdict}: {plain.get('reason', answer.status)}: {detail}"
    return f"{text} (request {request_id})" if request_id else text
