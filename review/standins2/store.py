"""Stand-in for the platform's metadata store, with its rows and the operator's API."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from bisect import bisect_left
from typing import Any

from standins2.httpwire import Request, Server

ANSWER_S = 0.004
MAX_ROWS = 500

Key = tuple[str, str, str]


class Store:
    """Rows in tables and parts, transactions under conditions, and a feed."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.rows: dict[Key, tuple[str, int]] = {}
        self.version = 0
        self._log: list[tuple[int, Key]] = []
        self._changed = asyncio.Event()
        # The rows of each table's part, and their sorted names until one comes or goes.
        self._keys_by_place: dict[tuple[str, str], set[str]] = {}
        self._names_by_place: dict[tuple[str, str], list[str]] = {}

    def put(self, table: str, key: str, data: Any, part: str = "") -> int:
        """Write a row as the operator or a minion does; return its version."""
        text = data if isinstance(data, str) else json.dumps(data)
        self.version += 1
        self._set((table, part, key), base64.b64encode(text.encode()).decode())
        self._notify()
        return self.version

    def drop(self, table: str, key: str, part: str = "") -> None:
        """Remove a row."""
        self.version += 1
        self._remove((table, part, key))
        self._notify()

    def text(self, table: str, key: str, part: str = "") -> str | None:
        """Return the text of a row."""
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0]).decode()

    def put_old_rows(self, value_by_key: dict[Key, str]) -> None:
        """Add rows that have been there for long: no feed returns them any more."""
        for key, value in value_by_key.items():
            self._keys_by_place.setdefault(key[:2], set()).add(key[2])
            self.rows[key] = (value, 1)
        self._names_by_place.clear()

    def _set(self, key: Key, value: str) -> None:
        if key not in self.rows:
            self._keys_by_place.setdefault(key[:2], set()).add(key[2])
            self._names_by_place.pop(key[:2], None)
        self.rows[key] = (value, self.version)
        self._log.append((self.version, key))

    def _remove(self, key: Key) -> None:
        if self.rows.pop(key, None) is not None:
            self._keys_by_place[key[:2]].discard(key[2])
            self._names_by_place.pop(key[:2], None)
            self._log.append((self.version, key))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(ANSWER_S)
        if request.path == "/-/rows-tx":
            return self._transact(request.json())
        if request.path == "/-/rows-get":
            return self._get(request.query)
        if request.path == "/-/rows-parts":
            return self._parts(request.query)
        if request.path == "/-/rows-feed":
            return await self._feed(request.query)
        return 404, {}

    def _head(self) -> dict[str, Any]:
        return {"schemaVer": self.version, "nowMs": int(time.monotonic() * 1000)}

    def _row(self, key: Key) -> dict[str, Any]:
        value, version = self.rows[key]
        table, part, name = key
        row = {"table": table, "part": part, "key": name}
        return {**row, "value": value, "schemaVer": version}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = body.get("expectedRev") or []
        writes, remove = body.get("writes") or [], body.get("remove") or []
        if any(item["table"] in ("op", "servers") for item in (*writes, *remove)):
            return 403, self._head()
        wanted = {_key(item): item.get("schemaVer", 0) for item in expected}
        if any(self.rows.get(key, ("", 0))[1] != ver for key, ver in wanted.items()):
            rows = [self._row(key) for key in wanted if key in self.rows]
            return 412, {**self._head(), "rows": rows}
        self.version += 1
        for item in writes:
            self._set(_key(item), item["value"])
        for item in remove:
            self._remove(_key(item))
        self._notify()
        return 200, self._head()

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        place = (query["table"], query.get("part", ""))
        limit = min(MAX_ROWS, int(query.get("maxItems", MAX_ROWS)))
        names = self._names(place)
        start = bisect_left(names, query.get("from", ""))
        end = bisect_left(names, query["target"]) if "target" in query else len(names)
        rows = [
            self._row((*place, name)) for name in names[start : min(end, start + limit)]
        ]
        more = end - start > limit
        return 200, {**self._head(), "rows": rows, "hasMore": more}

    def _names(self, place: tuple[str, str]) -> list[str]:
        if place not in self._names_by_place:
            names = self._keys_by_place.get(place, ())
            self._names_by_place[place] = sorted(names)
        return self._names_by_place[place]

    def _parts(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        parts = {key[1] for key in self.rows if key[0] == query["table"]}
        later = sorted(part for part in parts if part > query.get("after", ""))
        head = self._head()
        return 200, {**head, "parts": later[:1000], "hasMore": len(later) > 1000}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, table = int(query["after"]), query["table"]
        deadline_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            keys = {key for ver, key in self._log if ver > after and key[0] == table}
            left_s = deadline_s - time.monotonic()
            if keys or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        rows = [self._row(key) for key in keys if key in self.rows]
        rows.sort(key=lambda row: row["schemaVer"])
        gone = [
            {"table": key[0], "part": key[1], "key": key[2], "deleted": True}
            for key in keys
            if key not in self.rows
        ]
        return 200, {**self._head(), "rows": rows + gone}


def _key(item: dict[str, Any]) -> Key:
    return item["table"], item.get("part", ""), item["key"]
