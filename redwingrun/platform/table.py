"""The table interface of the coordination package on the platform's store.

The key ``table/partition/key`` names a row in a partition of a table. The key
``table//key`` names a row of one of the store's own tables, which have no partitions.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
from collections.abc import AsyncIterator
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
    TableRejected,
    TableUnavailable,
    TableUnknown,
    Transaction,
    WatchableTable,
    Write,
)
from redwingrun.coordination.verdict import Verdict
from redwingrun.metrics import Metrics
from redwingrun.platform.jsonclient import JsonClient, JsonReply

OK_STATUS = 200
CONFLICT_STATUS = 412
HISTORY_TRUNCATED_STATUS = 410
NO_EFFECT_STATUSES = frozenset({403, 404, 429, 503, 507})
# The call is malformed, or a row or the call is too large.
REJECTED_STATUSES = frozenset({400, 413})
MS_PER_S = 1000
# Stands for a value that is not base64. It is no JSON, so nothing takes it for a row.
UNREADABLE_VALUE = "\ufffd"
# Rows of all pages that are read at the same time, about 250 KB. The slowest links
# carry that well before the calls time out.
MAX_CONCURRENT_ROWS = 192
# Many partitions hold few rows: a small first page lets more of them be read at once.
FIRST_PAGE_ROWS = 24
MAX_PAGE_ROWS = 64


def split_key(key: str) -> tuple[str, str, str]:
    """Return the store's table, partition and row key that a key names."""
    table, partition, row_key = key.split("/", 2)
    return table, partition, row_key


def _encode_key(key: str) -> dict[str, Any]:
    table, partition, row_key = split_key(key)
    return {"table": table, "part": partition, "key": row_key}


def _row_query(key: str) -> dict[str, Any]:
    """Return the parameters that request one row."""
    table, partition, row_key = split_key(key)
    return {
        "table": table,
        "part": partition,
        "from": row_key,
        "maxItems": 1,
        "target": row_key + "\0",
    }


def _decode_value(value: Any) -> str:
    """Return the text of a value, ``UNREADABLE_VALUE`` if another writer damaged it."""
    try:
        return base64.b64decode(value).decode(errors="replace")
    except (ValueError, TypeError):
        return UNREADABLE_VALUE


def _key_of(data: dict[str, Any]) -> str:
    """Return the key of a row as the store sends it.

    :raises TableUnknown: if a part of the key is missing.
    """
    try:
        return f"{data['table']}/{data.get('part', '')}/{data['key']}"
    except (KeyError, TypeError, AttributeError) as error:
        raise TableUnknown(f"damaged row: {error!r}") from error


def _decode_row(data: dict[str, Any]) -> Row:
    """Decode a row as the store sends it.

    :raises TableUnknown: if its key or version is missing.
    """
    key = _key_of(data)
    return Row(key, _decode_value(data.get("value", "")), _decode_version(data))


def _version_of(reply: JsonReply) -> int:
    return _decode_version(reply.body)


def _decode_version(data: dict[str, Any]) -> int:
    version = data.get("schemaVer")
    if not isinstance(version, int):
        raise TableUnknown("damaged answer: it has no version")
    return version


class RowBudget:
    """Limits the number of rows that are read at the same time.

    Reads get their rows in the order in which they ask for them.

    :param rows: the limit.
    """

    def __init__(self, rows: int):
        self._rows = asyncio.Semaphore(rows)
        # Held while a read collects its rows: two that have a part each would wait for
        # each other.
        self._collecting = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def reserved(self, rows: int) -> AsyncIterator[None]:
        """Hold a number of rows."""
        taken = 0
        try:
            async with self._collecting:
                while taken < rows:
                    await self._rows.acquire()
                    taken += 1
            yield
        finally:
            for _ in range(taken):
                self._rows.release()


class PlatformTable(WatchableTable):
    """Reads, writes and watches rows of the platform's store.

    :param client: client of the store.
    """

    def __init__(self, client: JsonClient, metrics: Metrics):
        self._client = client
        self._metrics = metrics
        self._rows_in_flight = RowBudget(MAX_CONCURRENT_ROWS)

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction, all of whose rows must be in one partition.

        :raises ValueError: for a condition that only expects the row to exist, which
            the store does not support.
        """
        body = {
            "expectedRev": [
                self._encode_condition(item) for item in transaction.conditions
            ],
            "writes": [
                self._encode_write(item)
                for item in transaction.writes
                if item.value is not None
            ],
            "remove": [
                _encode_key(item.key)
                for item in transaction.writes
                if item.value is None
            ],
        }
        self._metrics.count("table_calls_total", call="write")
        result = await self._client.post("/-/rows-tx", body)
        reply = self._check_reply(result, (OK_STATUS, CONFLICT_STATUS))
        if reply.status == CONFLICT_STATUS:
            return Conflict(tuple(item.key for item in transaction.conditions))
        return Committed(_version_of(reply))

    def _encode_condition(self, condition: Condition) -> dict[str, Any]:
        if condition.expect is Expect.PRESENT:
            raise ValueError("the platform's store has no condition 'present'")
        return {**_encode_key(condition.key), "schemaVer": condition.version}

    def _encode_write(self, write: Write) -> dict[str, Any]:
        value = base64.b64encode(write.value.encode()).decode()
        return {**_encode_key(write.key), "value": value}

    async def read(self, key: str) -> Row | None:
        """Return one row, ``None`` if there is none."""
        reply = await self._get("/-/rows-get", _row_query(key))
        rows = reply.body.get("rows") or []
        return _decode_row(rows[0]) if rows else None

    async def snapshot_row(self, key: str) -> Snapshot:
        """Return one row, if there is one; do not wait for scans that are under way."""
        reply = await self._get_large("/-/rows-get", _row_query(key))
        rows = tuple(_decode_row(item) for item in reply.body.get("rows") or [])
        return Snapshot(rows, _version_of(reply))

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows under a prefix."""
        return (await self.snapshot(prefix)).rows

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix, read page by page.

        Later pages may contain changes that are newer than the snapshot's version.
        """
        table, partition, row_key = split_key(prefix)
        rows: list[Row] = []
        start = row_key
        version: int | None = None
        page_rows = FIRST_PAGE_ROWS
        while True:
            query = {"table": table, "part": partition, "maxItems": page_rows}
            if start:
                query["from"] = start
            async with self._rows_in_flight.reserved(page_rows):
                reply = await self._get_large("/-/rows-get", query)
            page_rows = MAX_PAGE_ROWS
            if version is None:
                # Use the first page's version: a change made while later pages are
                # read is then reported again by `changes`, and none is missed.
                version = _version_of(reply)
            page = [_decode_row(item) for item in reply.body.get("rows") or []]
            rows.extend(row for row in page if row.key.startswith(prefix))
            if not reply.body.get("hasMore") or not page:
                return Snapshot(tuple(rows), version)
            start = split_key(page[-1].key)[2] + "\0"

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version, waiting for the first one.

        :param wait_s: longest wait in seconds.
        """
        table = prefix.partition("/")[0]
        query = {"table": table, "after": after, "waitMs": int(wait_s * MS_PER_S)}
        reply = await self._get_large("/-/rows-feed", query, wait_s)
        rows: list[Row] = []
        deleted: list[str] = []
        for data in reply.body.get("rows") or []:
            key = _key_of(data)
            if not key.startswith(prefix):
                continue
            if data.get("deleted"):
                deleted.append(key)
            else:
                rows.append(_decode_row(data))
        version = _version_of(reply)
        return Changes(tuple(rows), tuple(deleted), version)

    async def _get(self, path: str, query: dict[str, Any]) -> JsonReply:
        self._metrics.count("table_calls_total", call="read")
        result = await self._client.get(path, query)
        return self._check_reply(result, (OK_STATUS,))

    async def _get_large(
        self, path: str, query: dict[str, Any], server_wait_s: float = 0
    ) -> JsonReply:
        self._metrics.count("table_calls_total", call="read")
        result = await self._client.get_large(path, query, server_wait_s)
        return self._check_reply(result, (OK_STATUS,))

    def _check_reply(self, result: Any, expected: tuple[int, ...]) -> JsonReply:
        """Return the reply if its status is an expected one.

        :raises HistoryTruncated: if the requested changes are no longer stored.
        :raises TableRejected: if the same call would be refused again.
        :raises TableUnavailable: if the call had no effect.
        :raises TableUnknown: if the call may have had an effect.
        """
        if result.is_error():
            failure = result.error
            if failure.verdict is Verdict.NOT_RUN:
                raise TableUnavailable(f"{failure.reason}: {failure.detail}")
            raise TableUnknown(f"{failure.reason}: {failure.detail}")
        reply = result.ok
        if reply.status in expected:
            return reply
        if reply.status == HISTORY_TRUNCATED_STATUS:
            raise HistoryTruncated
        if reply.status in REJECTED_STATUSES:
            raise TableRejected(f"status {reply.status}")
        if reply.status in NO_EFFECT_STATUSES:
            raise TableUnavailable(f"status {reply.status}")
        raise TableUnknown(f"status {reply.status}")
