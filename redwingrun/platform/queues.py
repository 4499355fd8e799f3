"""The operator's configuration as the product's queues."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import orjson

from redwingrun.coordination.table import Row, WatchableTable
from redwingrun.jobs.ports import QueueChange, QueueSource
from redwingrun.jobs.spec import Queue, QueueAddress, QueueSet, RequestLimits
from redwingrun.logs import Log
from redwingrun.platform.jsonfields import (
    BadFieldError,
    items,
    number,
    table,
    text,
    whole,
)

OPERATOR_PREFIX = "op//"
CONFIG_KEY = "op//config"


def decode_queues(value: str) -> QueueSet:
    """Read a configuration.

    :raises ValueError: when it is not one.
    """
    plain = orjson.loads(value)
    if not isinstance(plain, dict):
        raise BadFieldError("the configuration is not an object")
    queues = {}
    addresses: dict[str, list[QueueAddress]] = {}
    for route in items(plain, "routes"):
        queue = _queue(route)
        queues[queue.name] = queue
        host = text(route, "hostname")
        address = QueueAddress(host, text(route, "pathPrefix"), queue.name)
        addresses.setdefault(host, []).append(address)
    limits = table(plain, "limits")
    defaults = RequestLimits()
    return QueueSet(
        version=whole(plain, "version"),
        queue_by_name=queues,
        addresses_by_host={host: tuple(found) for host, found in addresses.items()},
        limits=RequestLimits(
            whole(limits, "maxBodyBytes", defaults.body_bytes),
            whole(limits, "maxHeaderBytes", defaults.header_bytes),
        ),
        enforces_capacity_by_pool={
            text(service, "name"): bool(service.get("enforcesCapacity"))
            for service in items(plain, "services")
        },
    )


def _queue(route: dict[str, Any]) -> Queue:
    advice = route.get("advice")
    gate = advice if isinstance(advice, dict) else {}
    return Queue(
        name=text(route, "name"),
        pool=text(route, "backend"),
        priority=whole(route, "priority"),
        attempts=max(1, whole(route, "attempts", 1)),
        stretch=number(route, "stretch", 1.0),
        slack_ms=number(route, "sloMs"),
        uses_policy=bool(gate),
        policy_call_ms=number(gate, "decideMs"),
        policy_per_worker_ms=number(gate, "eachMs"),
    )


class PlatformQueues(QueueSource):
    """Follows the operator's row."""

    def __init__(self, store: WatchableTable, log: Log):
        self._store = store
        self._log = log

    async def load(self) -> QueueChange:
        """Return the newest configuration."""
        snapshot = await self._store.snapshot(OPERATOR_PREFIX)
        return QueueChange(self._newest(snapshot.rows), snapshot.version)

    async def changes(self, after: int, wait_s: float) -> QueueChange:
        """Return the newest configuration if it changed after a position."""
        changes = await self._store.changes(OPERATOR_PREFIX, after, wait_s)
        return QueueChange(self._newest(changes.rows), changes.version)

    def _newest(self, rows: Iterable[Row]) -> QueueSet | None:
        newest = None
        for row in rows:
            if row.key != CONFIG_KEY:
                continue
            try:
                newest = decode_queues(row.value)
            except ValueError as error:
                self._log.fault("configuration-unreadable", why=str(error))
        return newest
