"""The public Python client of an entry, which the command line also uses."""

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
POLL_INTERVAL_S = 0.25


@frozen
class ApiAnswer:
    """One reply of an entry.

    :param plain: the decoded body, ``None`` if the body is not JSON.
    """

    status: int
    body: bytes
    plain: Any = None
    headers: dict[str, str] = field(factory=dict)


class Api:
    """Calls one entry as one caller or operator.

    Every method raises :exc:`NotReachable` if the entry does not reply and
    :exc:`Refused` if it replies with an error. Example::

        api = Api("http://10.0.0.1:8080", token)
        print(api.status()["version"])
    """

    def __init__(self, server: str, token: str, timeout_s: float = DEFAULT_TIMEOUT_S):
        self._server = server.rstrip("/")
        self._token = token
        self._timeout_s = timeout_s

    # Operators

    def config(self) -> dict[str, Any]:
        """Return the active version and its objects."""
        return self._json("GET", "/v1/config")

    def publish(
        self, sources: dict[str, str], based_on: int, reason: str
    ) -> dict[str, Any]:
        """Publish a set of object files; the entry checks it first.

        :param sources: texts of the files by name.
        :param based_on: version that the set changes; refused if another is active.
        """
        data = {"sources": sources, "based_on": based_on, "reason": reason}
        return self._json("POST", "/v1/config", orjson.dumps(data))

    def lagging(self, version: int) -> list[str]:
        """Return the live daemons that have not activated a version yet."""
        members = self._json("GET", "/v1/members")
        return [
            f"{row['host']}/{row['kind']}"
            for row in members
            if row["config_version"] < version
        ]

    def until_active(self, version: int, timeout_s: float) -> Iterator[list[str]]:
        """Yield the lagging daemons, polling until there are none.

        :raises NotReachable: if some still lag after ``timeout_s``.
        """
        deadline_s = time.monotonic() + timeout_s
        while lagging := self.lagging(version):
            yield lagging
            if time.monotonic() > deadline_s:
                names = ", ".join(lagging)
                raise NotReachable(
                    f"version {version} is published, but not yet active on {names}"
                )
            time.sleep(POLL_INTERVAL_S)

    def status(self) -> dict[str, Any]:
        """Return a summary of the cluster."""
        return self._json("GET", "/v1/status")

    def audit(self) -> list[dict[str, Any]]:
        """Return the audit trail, oldest first."""
        return self._json("GET", "/v1/audit")

    def drain(self, name: str, back: bool = False) -> dict[str, Any]:
        """Take a minion or worker out of service, or return it to service."""
        return self._json("DELETE" if back else "PUT", f"/v1/drains/{name}")

    def debug(self) -> dict[str, Any]:
        """Return the state of the daemon."""
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
        """Return what happened to a request, or why a task waits."""
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
                "check --server and whether the entry is running"
            )
        reply = result.ok
        answer = ApiAnswer(
            reply.status,
            reply.body,
            _decode_json(reply.body),
            dict(reply.headers.get_all()),
        )
        if reply.status >= 300:
            raise Refused(_error_text(answer))
        return answer


def _is_task(name: str) -> bool:
    return name.count(":") >= 2


def _path_of(name: str) -> str:
    return f"/v1/task/{name}" if _is_task(name) else f"/v1/requests/{name}"


def _decode_json(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return None


def _error_text(answer: ApiAnswer) -> str:
    data = answer.plain if isinstance(answer.plain, dict) else {}
    verdict = data.get("verdict") or answer.headers.get(VERDICT_HEADER, "may have run")
    detail = data.get("detail") or answer.body[:200].decode(errors="replace")
    request_id = data.get("request_id") or answer.headers.get(REQUEST_ID_HEADER, "")
    text = f"{verdict}: {data.get('reason', answer.status)}: {detail}"
    return f"{text} (request {request_id})" if request_id else text
