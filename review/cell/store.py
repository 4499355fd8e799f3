"""Stand-in for the platform's metadata store, after PROTOCOL.md."""

from __future__ import annotations

import asyncio
import base64
import time
from typing import Any

import orjson
from tornado.web import Application, RequestHandler

ANSWER_S = 0.004
TRANSACTION_S = 0.003
MAX_PAGE_ROWS = 500
ROW_BYTES = 65_536
MAX_CALL_BYTES = 1_000_000
MAX_CALL_ENTRIES = 100

RowKey = tuple[str, str, str]


class Store:
    """Rows and their history, in memory; nothing that was acknowledged is lost.

    :ivar is_down: whether every call is answered with 503, without effect.
    :ivar too_large: tables and sizes of the values refused for their size.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.version = 0
        self.is_down = False
        self.too_large: list[tuple[RowKey, int]] = []
        self._changed = asyncio.Event()

    def write(self, table: str, key: str, data: dict[str, Any]) -> None:
        """Write a row as the operator or a minion does."""
        value = base64.b64encode(orjson.dumps(data)).decode()
        row = {"table": table, "part": "", "key": key, "value": value}
        self._apply([row], [])

    def remove(self, table: str, key: str) -> None:
        """Remove a row, as the store does with the entry of a lost minion."""
        if (table, "", key) in self.rows:
            self._apply([], [{"table": table, "part": "", "key": key}])

    def transact(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply all entries of a call, or none; return the status and the body."""
        conditions = data.get("expectedRev") or []
        writes, removed = data.get("writes") or [], data.get("remove") or []
        if len(conditions) + len(writes) + len(removed) > MAX_CALL_ENTRIES:
            return 400, {}
        for item in writes:
            size = len(base64.b64decode(item["value"], validate=True))
            if size > ROW_BYTES:
                self.too_large.append((_row_key(item), size))
                return 400, {}
        for item in conditions:
            row = self.rows.get(_row_key(item))
            if (row["schemaVer"] if row else 0) != item["schemaVer"]:
                return 412, {"rows": [row] if row else []}
        self._apply(writes, removed)
        return 200, self.stamp()

    def _apply(self, writes: list[dict], removed: list[dict]) -> None:
        self.version += 1
        for item in writes:
            row = {**item, "schemaVer": self.version}
            self.rows[_row_key(item)] = row
            self.history.append(row)
        for item in removed:
            self.rows.pop(_row_key(item), None)
            self.history.append({**item, "schemaVer": self.version, "deleted": True})
        self._changed.set()
        self._changed = asyncio.Event()

    def stamp(self) -> dict[str, Any]:
        """Return the fields that each response about rows has."""
        return {"schemaVer": self.version, "nowMs": int(time.monotonic() * 1000)}

    def page(self, query: dict[str, str]) -> dict[str, Any]:
        """Return one page of a partition's rows."""
        end = query.get("target", "")
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and (not end or key < end)
        ]
        limit = min(MAX_PAGE_ROWS, int(query.get("maxItems") or MAX_PAGE_ROWS))
        return {"rows": rows[:limit], "hasMore": len(rows) > limit, **self.stamp()}

    async def feed(self, table: str, after: int, wait_s: float) -> dict[str, Any]:
        """Return the changes of a table after a version, waiting for the first."""
        deadline_s = time.monotonic() + wait_s
        while True:
            rows = self._changes(table, after)
            left_s = deadline_s - time.monotonic()
            if rows or left_s <= 0:
                return {"rows": rows, **self.stamp()}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        found = []
        for row in reversed(self.history):
            if row["schemaVer"] <= after:
                break
            if row["table"] == table:
                found.append(row)
        return found[::-1]


def _row_key(item: dict[str, Any]) -> RowKey:
    return item["table"], item.get("part", ""), item["key"]


class _Handler(RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def prepare(self) -> None:
        if self.store.is_down:
            self.reply(503, {})

    def reply(self, status: int, data: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(data))

    def query(self) -> dict[str, str]:
        # get_argument() would strip the control character at the end of a key.
        arguments = self.request.query_arguments
        return {name: values[0].decode() for name, values in arguments.items()}


class _Transact(_Handler):
    async def post(self) -> None:
        await asyncio.sleep(ANSWER_S + TRANSACTION_S)
        if len(self.request.body) > MAX_CALL_BYTES:
            self.reply(400, {})
        elif self.store.is_down:
            self.reply(503, {})
        else:
            self.reply(*self.store.transact(orjson.loads(self.request.body)))


class _Get(_Handler):
    async def get(self) -> None:
        await asyncio.sleep(ANSWER_S)
        self.reply(200, self.store.page(self.query()))


class _Feed(_Handler):
    async def get(self) -> None:
        query = self.query()
        wait_s = min(30_000, int(query.get("waitMs") or 0)) / 1000
        body = await self.store.feed(query["table"], int(query["after"]), wait_s)
        if self.store.is_down:
            self.reply(503, {})
        else:
            self.reply(200, body)


def store_application(store: Store) -> Application:
    """Return the HTTP interface of the store."""
    arguments = {"store": store}
    return Application(
        [
            (r"/-/rows-tx", _Transact, arguments),
            (r"/-/rows-get", _Get, arguments),
            (r"/-/rows-feed", _Feed, arguments),
        ],
        log_function=lambda handler: None,
    )
