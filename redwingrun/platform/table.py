"""The product's table on the platform's store.

A key of the product, ``table/part/key``, names a row of the store. A key without a
part, ``table//key``, names a row of the store's own tables.
"""

from __future__ import annotations

import asyncio
import base64
from typing import Any

from redwingrun.coordination.table import (
    Changes,
    Committed,
    Condition,
    Conflict,
    Expect,
    HistoryTruncated,
    Row,
    Snapshot,
    TableUnavailable,
    TableUnknown,
    Transaction,
    WatchableTable,
    Write,
)
from redwingrun.coordination.verdict import Verdict
from redwingrun.metrics import Metrics
from redwingrun.platform.jsonclient import Answer, Service

OK_STATUS = 200
CONFLICT_STATUS = 412
HISTORY_LOST_STATUS = 410
REFUSED_STATUSES = frozenset({400, 403, 404, 429, 503, 507})
MS_PER_S = 1000
# Pages of a scan that are under way at once, and their rows: about 150 KB, which the
# slowest links carry well before the calls time out.
PAGES_AT_ONCE = 2
PAGE_ROWS = 64


def split_key(key: str) -> tuple[str, str, str]:
    """Return the store's table, part and key of a key of the product."""
    table, part, rest = key.split("/", 2)
    return table, part, rest


def _names(key: str) -> dict[str, Any]:
    table, part, rest = split_key(key)
    return {"table": table, "part": part, "key": rest}


def _text(value: str) -> str:
    return base64.b64decode(value).decode(errors="replace")


def _row(plain: dict[str, Any]) -> Row:
    key = f"{plain['table']}/{plain.get('part', '')}/{plain['key']}"
    return Row(key, _text(plain.get("value", "")), int(plain["schemaVer"]))


class PlatformTable(WatchableTable):
    """Rows, conditions and changes.

    :param service: the store.
    """

    def __init__(self, service: Service, metrics: Metrics):
        self._service = service
        self._metrics = metrics
        self._pages = asyncio.Semaphore(PAGES_AT_ONCE)

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction; all its rows must lie in one part."""
        body = {
            "expectedRev": [self._expected(item) for item in transaction.conditions],
            "writes": [
                self._written(item)
                for item in transaction.writes
                if item.value is not None
            ],
            "remove": [_names(w.key) for w in transaction.writes if w.value is None],
        }
        self._metrics.count("table_calls_total", call="write")
        result = await self._service.post("/-/rows-tx", body)
        answer = self._checked(result, (OK_STATUS, CONFLICT_STATUS))
        if answer.status == CONFLICT_STATUS:
            return Conflict(tuple(item.key for item in transaction.conditions))
        return Committed(int(answer.body["schemaVer"]))

    def _expected(self, condition: Condition) -> dict[str, Any]:
        if condition.expect is Expect.PRESENT:
            raise ValueError("the platform's store knows no such condition")
        return {**_names(condition.key), "schemaVer": condition.version}

    def _written(self, write: Write) -> dict[str, Any]:
        value = base64.b64encode(write.value.encode()).decode()
        return {**_names(write.key), "value": value}

    async def read(self, key: str) -> Row | None:
        """Return one row."""
        table, part, rest = split_key(key)
        query = {"table": table, "part": part, "from": rest, "maxItems": 1}
        query["target"] = rest + "\0"
        answer = await self._get("/-/rows-get", query)
        rows = answer.body.get("rows") or []
        return _row(rows[0]) if rows else None

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows under a prefix."""
        return (await self.snapshot(prefix)).rows

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix, page by page."""
        table, part, rest = split_key(prefix)
        rows: list[Row] = []
        start = rest
        version: int | None = None
        while True:
            query = {"table": table, "part": part, "maxItems": PAGE_ROWS}
            if start:
                query["from"] = start
            async with self._pages:
                answer = await self._get("/-/rows-get", query)
            if version is None:
                # The first page's: what changes while others are read comes again.
                version = int(answer.body["schemaVer"])
            page = [_row(item) for item in answer.body.get("rows") or []]
            rows.extend(row for row in page if row.key.startswith(prefix))
            if not answer.body.get("hasMore") or not page:
                return Snapshot(tuple(rows), version)
            start = split_key(page[-1].key)[2] + "\0"

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version, waiting for the first one."""
        table = prefix.partition("/")[0]
        query = {"table": table, "after": after, "waitMs": int(wait_s * MS_PER_S)}
        answer = await self._get("/-/rows-feed", query, wait_s)
        rows: list[Row] = []
        deleted: list[str] = []
        for plain in answer.body.get("rows") or []:
            key = f"{plain['table']}/{plain.get('part', '')}/{plain['key']}"
            if not key.startswith(prefix):
                continue
            if plain.get("deleted"):
                deleted.append(key)
            else:
                rows.append(_row(plain))
        version = int(answer.body["schemaVer"])
        return Changes(tuple(rows), tuple(deleted), version)

    async def _get(
        self, path: str, query: dict[str, Any], extra_s: float = 0
    ) -> Answer:
        self._metrics.count("table_calls_total", call="read")
        result = await self._service.get(path, query, extra_s)
        return self._checked(result, (OK_STATUS,))

    def _checked(self, result: Any, wanted: tuple[int, ...]) -> Answer:
        if result.is_error():
            failure = result.error
            if failure.verdict is Verdict.NOT_RUN:
                raise TableUnavailable(f"{failure.reason}: {failure.detail}")
            raise TableUnknown(f"{failure.reason}: {failure.detail}")
        answer = result.ok
        if answer.status in wanted:
            return answer
        if answer.status == HISTORY_LOST_STATUS:
            raise HistoryTruncated
        if answer.status in REFUSED_STATUSES:
            raise TableUnavailable(f"status {answer.status}")
        raise TableUnknown(f"status {answer.status}")
