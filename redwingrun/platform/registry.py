"""Registrations of minions as the product's workers."""

from __future__ import annotations

from typing import Any

import orjson

from redwingrun.coordination.table import Row, WatchableTable
from redwingrun.jobs.ports import WorkerChanges, WorkerRegistry
from redwingrun.jobs.spec import TaskSize
from redwingrun.jobs.workerpool import WorkerInfo
from redwingrun.logs import Log
from redwingrun.platform.jsonfields import (
    BadFieldError,
    items,
    number,
    table,
    text,
    whole,
)

SERVERS_PREFIX = "servers//"
DRAINING = "draining"
STATES = frozenset({"ready", DRAINING})


def decode_capacity(plain: dict[str, Any]) -> TaskSize:
    """Read the room that a minion or machine says it has."""
    return TaskSize(whole(plain, "cpu"), whole(plain, "memMb"), whole(plain, "gpu"))


def decode_worker(row: Row) -> WorkerInfo:
    """Read a registration.

    :raises ValueError: when another writer made it.
    """
    plain = orjson.loads(row.value)
    if not isinstance(plain, dict):
        raise BadFieldError("the entry is not an object")
    state = text(plain, "state")
    address = text(plain, "address")
    if state not in STATES or ":" not in address or "capacity" not in plain:
        raise BadFieldError("the entry names no minion to use")
    labels = [label for label in items(plain, "labels") if isinstance(label, str)]
    return WorkerInfo(
        worker_id=row.key.removeprefix(SERVERS_PREFIX),
        address=address,
        pool=text(plain, "backend"),
        zone=text(plain, "zone"),
        kind=labels[0] if labels else "",
        rack=labels[1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        capacity=decode_capacity(table(plain, "capacity")),
        born_ms=whole(plain, "born"),
        draining=state == DRAINING,
        leaves_in_ms=number(plain, "remainingMs"),
    )


class PlatformRegistry(WorkerRegistry):
    """Follows the minions' rows; rows by other writers are passed over."""

    def __init__(self, store: WatchableTable, log: Log):
        self._store = store
        self._log = log

    async def load(self) -> WorkerChanges:
        """Return all registrations."""
        snapshot = await self._store.snapshot(SERVERS_PREFIX)
        workers = self._workers(snapshot.rows)
        return WorkerChanges(workers, (), snapshot.version, is_snapshot=True)

    async def changes(self, after: int, wait_s: float) -> WorkerChanges:
        """Return what changed after a version."""
        changes = await self._store.changes(SERVERS_PREFIX, after, wait_s)
        gone = tuple(key.removeprefix(SERVERS_PREFIX) for key in changes.deleted)
        return WorkerChanges(self._workers(changes.rows), gone, changes.version)

    def _workers(self, rows: tuple[Row, ...]) -> tuple[WorkerInfo, ...]:
        workers = []
        for row in rows:
            try:
                workers.append(decode_worker(row))
            except ValueError as error:
                self._log.event("registration-passed-over", key=row.key, why=str(error))
        return tuple(workers)
