"""Stand-in for the platform: its table, object store and list of hosts."""

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
class _LeakyBucket:
    """A rate limiter that admits bursts of up to `BURST_S` of its rate.

    :param level: how many calls the bucket holds.
    :param updated_s: monotonic time of the last update of the level.
    """

    rate_per_s: float
    level: float = 0.0
    updated_s: float = field(factory=time.monotonic)

    def admit(self) -> bool:
        """Count a call and return True, or return False above the limit."""
        now_s = time.monotonic()
        self.level = max(0.0, self.level - (now_s - self.updated_s) * self.rate_per_s)
        self.updated_s = now_s
        if self.level + 1 > self.rate_per_s * BURST_S:
            return False
        self.level += 1
        return True


@define
class Platform:
    """The state and the counters of the platform, in memory.

    :param rows: value and version by key.
    :param version: the version of the last transaction that was committed.
    :param objects: the object store's contents by name.
    :param hosts: state by name of each host.
    :param stale_hosts: the list that calls get under the fault ``stale``; None until
        the first such call.
    :param writes: how many transactions passed the rate limit.
    :param reads: how many reads passed the rate limit.
    :param row_writes: how many rows were written or deleted.
    :param rate_limited: how many calls were refused by a rate limit.
    """

    faults: Faults = field(factory=Faults)
    rows: dict[str, tuple[str, int]] = field(factory=dict)
    version: int = 0
    objects: dict[str, bytes] = field(factory=dict)
    hosts: dict[str, str] = field(factory=dict)
    stale_hosts: dict[str, str] | None = None
    writes: int = 0
    reads: int = 0
    row_writes: int = 0
    rate_limited: int = 0
    write_limit: _LeakyBucket = field(factory=lambda: _LeakyBucket(WRITES_PER_S))
    read_limit: _LeakyBucket = field(factory=lambda: _LeakyBucket(READS_PER_S))

    def transact(self, conditions: list[dict], writes: list[dict]) -> list[str]:
        """Apply a transaction, or return the keys whose conditions are not met."""
        failed = [item["key"] for item in conditions if not self._is_met(item)]
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

    def _is_met(self, condition: dict) -> bool:
        row = self.rows.get(condition["key"])
        if condition["expect"] == "absent":
            return row is None
        if condition["expect"] == "present":
            return row is not None
        return row is not None and row[1] == condition["version"]

    def counters(self) -> dict[str, Any]:
        """Return all counters as JSON values."""
        return {
            "writes": self.writes,
            "reads": self.reads,
            "row_writes": self.row_writes,
            "limited": self.rate_limited,
            "rows": len(self.rows),
        }


class TransactHandler(FaultyHandler):
    """Transactions."""

    async def post(self) -> None:
        """Apply a transaction, or answer 409 with the keys of failed conditions."""
        if not await self.apply_faults("table"):
            return
        platform: Platform = self.standin
        if not platform.write_limit.admit():
            platform.rate_limited += 1
            await self.reply({"error": "write limit"}, 429)
            return
        platform.writes += 1
        call = orjson.loads(self.request.body)
        failed = platform.transact(call["conditions"], call["writes"])
        if failed:
            await self.reply({"keys": failed}, 409, "table")
            return
        await self.reply({"version": platform.version}, 200, "table")


class ReadHandler(FaultyHandler):
    """Reads one row, or all rows under a prefix."""

    async def post(self) -> None:
        """Answer with the row of the key, or the rows of the prefix by key."""
        if not await self.apply_faults("table"):
            return
        platform: Platform = self.standin
        if not platform.read_limit.admit():
            platform.rate_limited += 1
            await self.reply({"error": "read limit"}, 429)
            return
        platform.reads += 1
        call = orjson.loads(self.request.body)
        if "key" in call:
            keys = [call["key"]] if call["key"] in platform.rows else []
        else:
            keys = sorted(
                key for key in platform.rows if key.startswith(call["prefix"])
            )
        rows = [
            {
                "key": key,
                "value": platform.rows[key][0],
                "version": platform.rows[key][1],
            }
            for key in keys
        ]
        await self.reply(rows, 200, "table")


class ObjectHandler(FaultyHandler):
    """Stores and returns objects by name."""

    async def put(self, name: str) -> None:
        """Store the body under a name."""
        if await self.apply_faults("objects"):
            self.standin.objects[name] = self.request.body
            await self.reply({}, 200, "objects")

    async def get(self, name: str) -> None:
        """Answer with the object of a name, or 404."""
        if not await self.apply_faults("objects"):
            return
        if name not in self.standin.objects:
            await self.reply({}, 404)
            return
        self.finish(self.standin.objects[name])


class HostsHandler(FaultyHandler):
    """Lists hosts and their states.

    A call under a stale fault gets the list as it was at the first such call.
    """

    async def get(self) -> None:
        """Answer with the name and state of each host."""
        if not await self.apply_faults("hosts"):
            return
        platform: Platform = self.standin
        hosts = platform.hosts
        if self.faults.find(STALE, self.sender, "hosts"):
            platform.stale_hosts = platform.stale_hosts or dict(hosts)
            hosts = platform.stale_hosts
        await self.reply(
            [{"name": name, "state": state} for name, state in hosts.items()]
        )

    async def post(self) -> None:
        """Set the states of the hosts in the body."""
        self.standin.hosts.update(orjson.loads(self.request.body))
        self.finish(b"{}")


def application(standin: Platform) -> Application:
    """Return the HTTP application of the platform."""
    settings = {"standin": standin}
    return Application(
        [
            (r"/transact", TransactHandler, settings),
            (r"/read", ReadHandler, settings),
            (r"/objects/([^/]+)", ObjectHandler, settings),
            (r"/hosts", HostsHandler, settings),
        ],
        log_function=lambda handler: None,
    )
