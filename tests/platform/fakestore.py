"""A fake of the platform's store, built after the platform's documentation."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import orjson
from tornado.web import Application, RequestHandler

MAX_PAGE_ROWS = 500
# How long a response is in flight.
RESPONSE_S = 0.01


class FakeStore:
    """Rows and the history of their changes, kept in memory.

    :ivar history_from: versions before this one are no longer in the history.
    :ivar error_status: status of every response; 0 to serve calls normally.
    :ivar max_page_rows: most rows on a page.
    :ivar rows_in_flight: rows of the replies that are being sent.
    :ivar max_rows_in_flight: highest value of `rows_in_flight` so far.
    :ivar reads_in_flight: replies that are being sent.
    :ivar max_reads_in_flight: highest value of `reads_in_flight` so far.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.version = 0
        self.history_from = 0
        self.error_status = 0
        self.max_page_rows = MAX_PAGE_ROWS
        self.rows_in_flight = 0
        self.max_rows_in_flight = 0
        self.reads_in_flight = 0
        self.max_reads_in_flight = 0

    def transact(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply all writes and removals, or none if a condition does not hold.

        :return: HTTP status and body.
        """
        for item in data["expectedRev"]:
            row = self.rows.get(_row_key(item))
            if (row["schemaVer"] if row else 0) != item["schemaVer"]:
                return 412, {"rows": []}
        self.version += 1
        for item in data["writes"]:
            row = {**item, "schemaVer": self.version}
            self.rows[_row_key(item)] = row
            self.history.append(row)
        for item in data["remove"]:
            self.rows.pop(_row_key(item), None)
            removed = {**item, "schemaVer": self.version, "deleted": True}
            self.history.append(removed)
        return 200, {"schemaVer": self.version, "nowMs": 1}

    def get(
        self, table: str, part: str, start: str, end: str, limit: str
    ) -> dict[str, Any]:
        """Return the body of a response with one page of rows.

        :param start: key of the first row.
        :param end: key after the last row; empty for no bound.
        :param limit: most rows on the page; empty for `max_page_rows`.
        """
        rows = [
            row
            for row_key, row in sorted(self.rows.items())
            if row_key[:2] == (table, part) and row_key[2] >= start
        ]
        if end:
            rows = [row for row in rows if row["key"] < end]
        page = rows[: min(int(limit or self.max_page_rows), self.max_page_rows)]
        return {
            "rows": page,
            "hasMore": len(rows) > len(page),
            "schemaVer": self.version,
        }

    def feed(self, table: str, after: int) -> tuple[int, dict[str, Any]]:
        """Return all versions of a table's rows that are newer than ``after``.

        :return: HTTP status and body; status 410 if the history starts later.
        """
        if after < self.history_from:
            return 410, {}
        rows = [
            row
            for row in self.history
            if row["schemaVer"] > after and row["table"] == table
        ]
        return 200, {"rows": rows, "schemaVer": self.version}


def _row_key(item: dict[str, Any]) -> tuple[str, str, str]:
    base64.b64decode(item.get("value", ""), validate=True)
    return item["table"], item["part"], item["key"]


class _Handler(RequestHandler):
    def initialize(self, store: FakeStore) -> None:
        self.store = store

    def prepare(self) -> None:
        if self.store.error_status:
            self.set_status(self.store.error_status)
            self.finish(b"{}")

    def reply(self, status: int, data: dict[str, Any]) -> None:
        self.set_status(status)
        self.finish(orjson.dumps(data))


class _Transact(_Handler):
    def post(self) -> None:
        self.reply(*self.store.transact(orjson.loads(self.request.body)))


class _Get(_Handler):
    async def get(self) -> None:
        # Unlike the raw arguments, get_argument() would drop control characters.
        arguments = self.request.query_arguments
        names = ("table", "part", "from", "target", "maxItems")
        values = [arguments.get(name, [b""])[0].decode() for name in names]
        page = self.store.get(*values)
        count = len(page["rows"])
        self.store.rows_in_flight += count
        self.store.max_rows_in_flight = max(
            self.store.max_rows_in_flight, self.store.rows_in_flight
        )
        self.store.reads_in_flight += 1
        self.store.max_reads_in_flight = max(
            self.store.max_reads_in_flight, self.store.reads_in_flight
        )
        await asyncio.sleep(RESPONSE_S)
        self.store.rows_in_flight -= count
        self.store.reads_in_flight -= 1
        self.reply(200, page)


class _Feed(_Handler):
    def get(self) -> None:
        table = self.get_argument("table")
        self.reply(*self.store.feed(table, int(self.get_argument("after"))))


def store_application(store: FakeStore) -> Application:
    """Return the HTTP interface of the store."""
    return Application(
        [
            (r"/-/rows-tx", _Transact, {"store": store}),
            (r"/-/rows-get", _Get, {"store": store}),
            (r"/-/rows-feed", _Feed, {"store": store}),
        ]
    )
