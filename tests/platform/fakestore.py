"""A stand-in for the platform's store, as its pages describe it."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import orjson
from tornado.web import Application, RequestHandler

MOST_ROWS = 500
ANSWER_S = 0.01


class Store:
    """Rows and their history in memory.

    :ivar refuse: status with which every call is refused; 0 for none.
    :ivar most_rows: rows that a page holds at most.
    :ivar under_way: rows of the answers that are being sent.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.version = 0
        self.history_from = 0
        self.refuse = 0
        self.most_rows = MOST_ROWS
        self.under_way = 0
        self.most_under_way = 0

    def transact(self, plain: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply all entries or none."""
        for item in plain["expectedRev"]:
            row = self.rows.get(_name(item))
            if (row["schemaVer"] if row else 0) != item["schemaVer"]:
                return 412, {"rows": []}
        self.version += 1
        for item in plain["writes"]:
            row = {**item, "schemaVer": self.version}
            self.rows[_name(item)] = row
            self.history.append(row)
        for item in plain["remove"]:
            self.rows.pop(_name(item), None)
            gone = {**item, "schemaVer": self.version, "deleted": True}
            self.history.append(gone)
        return 200, {"schemaVer": self.version, "nowMs": 1}

    def get(
        self, table: str, part: str, start: str, end: str, limit: str
    ) -> dict[str, Any]:
        """Return a page of rows."""
        found = [
            row
            for name, row in sorted(self.rows.items())
            if name[:2] == (table, part) and name[2] >= start
        ]
        if end:
            found = [row for row in found if row["key"] < end]
        page = found[: min(int(limit or self.most_rows), self.most_rows)]
        return {
            "rows": page,
            "hasMore": len(found) > len(page),
            "schemaVer": self.version,
        }


def _name(item: dict[str, Any]) -> tuple[str, str, str]:
    base64.b64decode(item.get("value", ""), validate=True)
    return item["table"], item["part"], item["key"]


class _Handler(RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def prepare(self) -> None:
        if self.store.refuse:
            self.set_status(self.store.refuse)
            self.finish(b"{}")

    def answer(self, status: int, plain: dict[str, Any]) -> None:
        self.set_status(status)
        self.finish(orjson.dumps(plain))


class _Transact(_Handler):
    def post(self) -> None:
        self.answer(*self.store.transact(orjson.loads(self.request.body)))


class _Get(_Handler):
    async def get(self) -> None:
        # tornado's own reading of arguments drops control characters.
        given = self.request.query_arguments
        names = ("table", "part", "from", "target", "maxItems")
        values = [given.get(name, [b""])[0].decode() for name in names]
        page = self.store.get(*values)
        count = len(page["rows"])
        self.store.under_way += count
        self.store.most_under_way = max(self.store.most_under_way, self.store.under_way)
        await asyncio.sleep(ANSWER_S)
        self.store.under_way -= count
        self.answer(200, page)


class _Feed(_Handler):
    def get(self) -> None:
        after = int(self.get_argument("after"))
        if after < self.store.history_from:
            self.answer(410, {})
            return
        table = self.get_argument("table")
        rows = [
            row
            for row in self.store.history
            if row["schemaVer"] > after and row["table"] == table
        ]
        self.answer(200, {"rows": rows, "schemaVer": self.store.version})


def application(store: Store) -> Application:
    """Return the store's interface."""
    return Application(
        [
            (r"/-/rows-tx", _Transact, {"store": store}),
            (r"/-/rows-get", _Get, {"store": store}),
            (r"/-/rows-feed", _Feed, {"store": store}),
        ]
    )
