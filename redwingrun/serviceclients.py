"""HTTP clients of the platform's services: table, object store and list of hosts."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any

import orjson
from attrs import frozen

from redwingrun.coordination.follower import ObjectStore, ObjectStoreUnavailable
from redwingrun.coordination.table import (
    Committed,
    Condition,
    Conflict,
    Row,
    Table,
    TableUnavailable,
    TableUnknown,
    Transaction,
)
from redwingrun.coordination.verdict import Failure, Verdict
from redwingrun.httpclient import HttpCall, HttpClient, HttpReply
from redwingrun.logs import Log
from redwingrun.metrics import Metrics

CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404
# A large object may take as long as the link needs, but not pause for longer than this.
STALL_TIMEOUT_S = 0.5
# Raised when a value is read from JSON that does not have the expected form.
DAMAGED_JSON_ERRORS = (KeyError, TypeError, ValueError)


def _condition_json(condition: Condition) -> dict[str, object]:
    return {
        "key": condition.key,
        "expect": condition.expect.value,
        "version": condition.version,
    }


class HttpTable(Table):
    """Client of the table service; ``docs/INTERFACES.md`` describes the protocol."""

    def __init__(
        self, client: HttpClient, url: str, timeout_s: float, metrics: Metrics
    ):
        self._client = client
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._metrics = metrics

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction, or report which keys conflict."""
        body = orjson.dumps(
            {
                "conditions": [
                    _condition_json(item) for item in transaction.conditions
                ],
                "writes": [
                    {"key": item.key, "value": item.value}
                    for item in transaction.writes
                ],
            }
        )
        self._metrics.count("table_writes_total")
        reply = await self._send("POST", "/transact", body)
        try:
            reply_json = orjson.loads(reply.body)
            if reply.status == CONFLICT_STATUS:
                return Conflict(tuple(reply_json["keys"]))
            return Committed(reply_json["version"])
        except DAMAGED_JSON_ERRORS as error:
            raise TableUnknown(f"the table's answer is damaged: {error!r}") from error

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""
        rows = await self._rows("key", key)
        return rows[0] if rows else None

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows whose key starts with ``prefix``."""
        return await self._rows("prefix", prefix)

    async def _rows(self, field: str, value: str) -> tuple[Row, ...]:
        self._metrics.count("table_reads_total")
        reply = await self._send("POST", "/read", orjson.dumps({field: value}))
        try:
            rows = orjson.loads(reply.body)
            if not isinstance(rows, list):
                raise TypeError("no list")
            return tuple(
                Row(item["key"], item["value"], item["version"]) for item in rows
            )
        except DAMAGED_JSON_ERRORS as error:
            raise TableUnknown(f"the table's answer is damaged: {error!r}") from error

    async def _send(self, method: str, path: str, body: bytes) -> HttpReply:
        call = HttpCall(method, self._url + path, self._timeout_s, body)
        with self._metrics.timed("store_seconds", store="table"):
            result = await self._client.send(call)
        if result.is_error():
            raise _table_error(result.error)
        reply = result.ok
        if reply.status not in (200, CONFLICT_STATUS):
            # An error status means that the table applied nothing: it was over its
            # rate limit or out of service.
            raise TableUnavailable(f"the table replied with status {reply.status}")
        return reply


def _table_error(failure: Failure) -> Exception:
    text = f"{failure.reason}: {failure.detail}"
    if failure.verdict is Verdict.NOT_RUN:
        return TableUnavailable(text)
    return TableUnknown(text)


class HttpObjectStore(ObjectStore):
    """Client of the object store."""

    def __init__(
        self, client: HttpClient, url: str, timeout_s: float, metrics: Metrics
    ):
        self._client = client
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._metrics = metrics

    async def put(self, name: str, content: bytes) -> None:
        """Store an object."""
        reply = await self._send("PUT", name, content)
        if reply.status >= 300:
            raise ObjectStoreUnavailable(
                f"the object store replied with status {reply.status}"
            )

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        reply = await self._send("GET", name, None)
        if reply.status == NOT_FOUND_STATUS:
            return None
        if reply.status != 200:
            raise ObjectStoreUnavailable(
                f"the object store replied with status {reply.status}"
            )
        return reply.body

    async def _send(self, method: str, name: str, body: bytes | None) -> HttpReply:
        url = f"{self._url}/objects/{name}"
        stall_timeout_s = STALL_TIMEOUT_S if body is None else None
        call = HttpCall(
            method, url, self._timeout_s, body, stall_timeout_s=stall_timeout_s
        )
        with self._metrics.timed("store_seconds", store="objects"):
            result = await self._client.send(call)
        if result.is_error():
            raise ObjectStoreUnavailable(
                f"{result.error.reason}: {result.error.detail}"
            )
        return result.ok


class HostState(Enum):
    """State of a host in the list of hosts."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class ListedHost:
    """Entry of the list of hosts."""

    name: str
    state: HostState


class HostListUnavailable(Exception):
    """The list of hosts is unavailable; the last known states stay in use."""


class HostList(ABC):
    """The platform's list of live and leaving hosts, which may be out of date."""

    @abstractmethod
    async def hosts(self) -> dict[str, ListedHost]:
        """Return the hosts by name.

        :raises HostListUnavailable: if the service does not reply, or replies with
            an error.
        """


class HttpHostList(HostList):
    """Client of the list of hosts, which passes over entries that name no host."""

    def __init__(self, client: HttpClient, url: str, timeout_s: float, log: Log):
        self._client = client
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._log = log

    async def hosts(self) -> dict[str, ListedHost]:
        """Return the hosts by name."""
        result = await self._client.send(
            HttpCall("GET", f"{self._url}/hosts", self._timeout_s)
        )
        if result.is_error():
            raise HostListUnavailable(f"{result.error.reason}: {result.error.detail}")
        if result.ok.status != 200:
            raise HostListUnavailable(
                f"the list of hosts replied with status {result.ok.status}"
            )
        host_by_name = {}
        for item in _decode_list(result.ok.body):
            try:
                host = _decode_host(item)
            except ValueError as error:
                self._log.event(
                    "host-passed-over", entry=repr(item)[:80], why=str(error)
                )
                continue
            host_by_name[host.name] = host
        return host_by_name


def _decode_list(body: bytes) -> list[Any]:
    """Decode a JSON list.

    :raises HostListUnavailable: if the body is anything else.
    """
    try:
        items = orjson.loads(body)
    except ValueError as error:
        raise HostListUnavailable(f"the list of hosts is no JSON: {error}") from error
    if not isinstance(items, list):
        raise HostListUnavailable("the list of hosts is not a list")
    return items


def _decode_host(item: Any) -> ListedHost:
    """Decode an entry of the list.

    :raises ValueError: if the name or the state is missing or unknown.
    """
    if not isinstance(item, dict) or not isinstance(item.get("name"), str):
        raise ValueError("the entry has no name")
    return ListedHost(item["name"], HostState(item.get("state")))
