"""Stand-in for the platform: table, object store and lagging list of hosts."""

from __future__ import annotations

import time
from typing import Any

import orjson
from attrs import define, field
from tornado.web import Application

from standins.faults import STALE, Faults, FaultyHandler

WRITES_PER_S = 400.0
READS_PER_S = 2000.0
BURST_S = 1.0


@define
class _Bucket:
    rate_per_s: float
    level: float = 0.0
    seen_s: float = field(factory=time.monotonic)

    def take(self) -> bool:
        now_s = time.monotonic()
        self.level = max(0.0, self.level - (now_s - self.seen_s) * self.rate_per_s)
        self.seen_s = now_s
        if self.level + 1 > self.rate_per_s * BURST_S:
            return False
        self.level += 1
        return True


@define
class Platform:
    """Rows, objects and hosts, in memory."""

    faults: Faults = field(factory=Faults)
    rows: dict[str, tuple[str, int]] = field(factory=dict)
    version: int = 0
    objects: dict[str, bytes] = field(factory=dict)
    hosts: dict[str, str] = field(factory=dict)
    stale_hosts: dict[str, str] | None = None
    writes: int = 0
    reads: int = 0
    row_writes: int = 0
    limited: int = 0
    write_limit: _Bucket = field(factory=lambda: _Bucket(WRITES_PER_S))
    read_limit: _Bucket = field(factory=lambda: _Bucket(READS_PER_S))

    def transact(self, conditions: list[dict], writes: list[dict]) -> list[str]:
        """Apply a transaction; return the keys that stood against it."""
        failed = [item["key"] for item in conditions if not self._holds(item)]
        if failed:
            return failed
        self.version += 1
        for item in writes:
            self.row_writes += 1
            if item["value"] is None:
                self.rows.pop(item["key"], None)
            else:
                self.rows[item["key"]] = (item["value"], self.version)
        return []

    def _holds(self, item: dict) -> bool:
        row = self.rows.get(item["key"])
        if item["expect"] == "absent":
            return row is None
        if item["expect"] == "present":
            return row is not None
        return row is not None and row[1] == item["version"]

    def counters(self) -> dict[str, Any]:
        """Return what was counted."""
        return {
            "writes": self.writes,
            "reads": self.reads,
            "row_writes": self.row_writes,
            "limited": self.limited,
            "rows": len(self.rows),
        }


class TransactHandler(FaultyHandler):
    """Transactions."""

    async def post(self) -> None:
        """Apply one."""
        if not await self.before("table"):
            return
        owner: Platform = self.owner
        if not owner.write_limit.take():
            owner.limited += 1
            await self.answer({"error": "write limit"}, 429)
            return
        owner.writes += 1
        plain = orjson.loads(self.request.body)
        failed = owner.transact(plain["conditions"], plain["writes"])
        if failed:
            await self.answer({"keys": failed}, 409, "table")
            return
        await self.answer({"version": owner.version}, 200, "table")


class ReadHandler(FaultyHandler):
    """Reads of one row or of a prefix."""

    async def post(self) -> None:
        """Answer with the rows."""
        if not await self.before("table"):
            return
        owner: Platform = self.owner
        if not owner.read_limit.take():
            owner.limited += 1
            await self.answer({"error": "read limit"}, 429)
            return
        owner.reads += 1
        plain = orjson.loads(self.request.body)
        if "key" in plain:
            keys = [plain["key"]] if plain["key"] in owner.rows else []
        else:
            keys = sorted(key for key in owner.rows if key.startswith(plain["prefix"]))
        rows = [
            {"key": key, "value": owner.rows[key][0], "version": owner.rows[key][1]}
            for key in keys
        ]
        await self.answer(rows, 200, "table")


class ObjectHandler(FaultyHandler):
    """Objects by name."""

    async def put(self, name: str) -> None:
        """Keep one."""
        if await self.before("objects"):
            self.owner.objects[name] = self.request.body
            await self.answer({}, 200, "objects")

    async def get(self, name: str) -> None:
        """Give one."""
        if not await self.before("objects"):
            return
        if name not in self.owner.objects:
            await self.answer({}, 404)
            return
        self.finish(self.owner.objects[name])


class HostsHandler(FaultyHandler):
    """The list of hosts; stale while a fault says so."""

    async def get(self) -> None:
        """Answer with the list."""
        if not await self.before("hosts"):
            return
        owner: Platform = self.owner
        hosts = owner.hosts
        if self.faults.find(STALE, self.sender, "hosts"):
            owner.stale_hosts = owner.stale_hosts or dict(hosts)
            hosts = owner.stale_hosts
        await self.answer(
            [{"name": name, "state": state} for name, state in hosts.items()]
        )

    async def post(self) -> None:
        """Set the states of some hosts."""
        self.owner.hosts.update(orjson.loads(self.request.body))
        self.finish(b"{}")


def application(owner: Platform) -> Application:
    """Return the platform's surface."""
    settings = {"owner": owner}
    return Application(
        [
            (r"/transact", TransactHandler, settings),
            (r"/read", ReadHandler, settings),
            (r"/objects/([^/]+)", ObjectHandler, settings),
            (r"/hosts", HostsHandler, settings),
        ],
        log_function=lambda handler: None,
    )
