"""A stand-in for the platform's metadata store: rows, transactions and the feed."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from tornado.web import Application, RequestHandler

# How long a transaction takes.
TRANSACTION_S = 0.003
MAX_PAGE_ROWS = 500
MAX_ENTRIES = 100
MAX_VALUE_BYTES = 65_536
MAX_KEY_BYTES = 200
MAX_WAIT_MS = 30_000
# Tables that only the platform writes to.
PLATFORM_TABLES = frozenset({"op", "servers"})

RowKey = tuple[str, str, str]


class Store:
    """The rows and the whole history of their changes, in memory."""

    def __init__(self) -> None:
        self.rows: dict[RowKey, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self.version = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: dict[str, Any]) -> int:
        """Write a row of the platform; return its version."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self._apply(
            [{"table": table, "part": "", "key": key, "value": text}], []
        )

    def drop(self, table: str, key: str) -> None:
        """Remove a row of the platform, if there is one."""
        if (table, "", key) in self.rows:
            self._apply([], [{"table": table, "part": "", "key": key}])

    def transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction; return the status and the body of the answer."""
        expected = call.get("expectedRev") or []
        writes = call.get("writes") or []
        removed = call.get("remove") or []
        entries = [*expected, *writes, *removed]
        if not _is_valid(entries, writes):
            return 400, {}
        if any(item["table"] in PLATFORM_TABLES for item in [*writes, *removed]):
            return 403, {}
        current = [self.rows.get(_key_of(item)) for item in expected]
        for item, row in zip(expected, current, strict=True):
            if (row["schemaVer"] if row else 0) != item["schemaVer"]:
                rows = [found for found in current if found]
                return 412, {"rows": rows, **self.versions()}
        self._apply(writes, removed)
        return 200, self.versions()

    def _apply(self, writes: list[dict], removed: list[dict]) -> int:
        self.version += 1
        for item in writes:
            key = _key_of(item)
            row = {
                "table": key[0],
                "part": key[1],
                "key": key[2],
                "value": item["value"],
                "schemaVer": self.version,
            }
            self.rows[key] = row
            self._history.append(row)
        for item in removed:
            key = _key_of(item)
            if self.rows.pop(key, None) is None:
                continue
            names = dict(zip(("table", "part", "key"), key, strict=True))
            self._history.append({**names, "schemaVer": self.version, "deleted": True})
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def page(
        self, table: str, part: str, start: str, end: str, limit: int
    ) -> dict[str, Any]:
        """Return the answer with one page of rows."""
        found = sorted(
            (key, row)
            for key, row in self.rows.items()
            if key[:2] == (table, part)
            and key[2] >= start
            and (not end or key[2] < end)
        )
        rows = [row for _, row in found]
        limit = min(limit or MAX_PAGE_ROWS, MAX_PAGE_ROWS)
        return {
            "rows": rows[:limit],
            "hasMore": len(rows) > limit,
            **self.versions(),
        }

    async def feed(self, table: str, after: int, wait_ms: int) -> dict[str, Any]:
        """Return the changes of a table after a version; wait for the first one."""
        until_s = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1000
        while True:
            changed = self._changed
            rows = [
                row
                for row in self._history
                if row["schemaVer"] > after and row["table"] == table
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return {"rows": rows, **self.versions()}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def versions(self) -> dict[str, int]:
        """Return what each answer about rows includes."""
        return {"schemaVer": self.version, "nowMs": int(time.monotonic() * 1000)}

    def application(self) -> Application:
        """Return the HTTP interface."""
        options = {"store": self}
        return Application(
            [
                (r"/-/rows-tx", _TransactHandler, options),
                (r"/-/rows-get", _PageHandler, options),
                (r"/-/rows-feed", _FeedHandler, options),
            ],
            log_function=lambda handler: None,
        )


def _key_of(item: dict[str, Any]) -> RowKey:
    return item["table"], item.get("part", ""), item["key"]


def _is_valid(entries: list[dict], writes: list[dict]) -> bool:
    if len(entries) > MAX_ENTRIES or len({item["part"] for item in entries}) > 1:
        return False
    texts = [text for item in entries for text in _key_of(item)]
    if any(len(text.encode()) > MAX_KEY_BYTES for text in texts):
        return False
    return all(
        len(base64.b64decode(item["value"])) <= MAX_VALUE_BYTES for item in writes
    )


class _Handler(RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def reply(self, status: int, data: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(data))

    def argument(self, name: str, default: str = "") -> str:
        # get_argument() would drop control characters.
        values = self.request.query_arguments.get(name)
        return values[0].decode() if values else default


class _TransactHandler(_Handler):
    async def post(self) -> None:
        await asyncio.sleep(TRANSACTION_S)
        self.reply(*self.store.transact(json.loads(self.request.body)))


class _PageHandler(_Handler):
    def get(self) -> None:
        names = ("table", "part", "from", "target")
        texts = [self.argument(name) for name in names]
        limit = int(self.argument("maxItems", "0"))
        self.reply(200, self.store.page(*texts, limit))


class _FeedHandler(_Handler):
    async def get(self) -> None:
        after = int(self.argument("after", "0"))
        wait_ms = int(self.argument("waitMs", "0"))
        answer = await self.store.feed(self.argument("table"), after, wait_ms)
        self.reply(200, answer)
