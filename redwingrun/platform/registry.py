"""Registrations of minions, which are the workers of the jobs package."""

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
    get_integer,
    get_list,
    get_number,
    get_object,
    get_string,
)

SERVERS_PREFIX = "servers//"
DRAINING = "draining"
STATES = frozenset({"ready", DRAINING})


def decode_capacity(data: dict[str, Any]) -> TaskSize:
    """Return the resources that a minion registers as its capacity."""
    return TaskSize(
        get_integer(data, "cpu"), get_integer(data, "memMb"), get_integer(data, "gpu")
    )


def decode_worker(row: Row) -> WorkerInfo:
    """Decode the registration of one minion.

    The first label is the minion's kind and the second one its rack.

    :raises ValueError: if the row is not a usable registration; other programs
        write rows under the same prefix.
    """
    data = orjson.loads(row.value)
    if not isinstance(data, dict):
        raise BadFieldError("the registration is not a JSON object")
    state = get_string(data, "state")
    address = get_string(data, "address")
    if state not in STATES or ":" not in address or "capacity" not in data:
        raise BadFieldError(
            "the registration has an unknown state, no address with a port,"
            " or no capacity"
        )
    labels = [label for label in get_list(data, "labels") if isinstance(label, str)]
    return WorkerInfo(
        worker_id=row.key.removeprefix(SERVERS_PREFIX),
        address=address,
        pool=get_string(data, "backend"),
        zone=get_string(data, "zone"),
        kind=labels[0] if labels else "",
        rack=labels[1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        capacity=decode_capacity(get_object(data, "capacity")),
        born_ms=get_integer(data, "born"),
        draining=state == DRAINING,
        leaves_in_ms=get_number(data, "remainingMs"),
    )


class PlatformRegistry(WorkerRegistry):
    """Follows the registrations of minions and skips rows of other programs.

    :param table: holds the registrations.
    """

    def __init__(self, table: WatchableTable, log: Log):
        self._table = table
        self._log = log

    async def load(self) -> WorkerChanges:
        """Return all registrations."""
        snapshot = await self._table.snapshot(SERVERS_PREFIX)
        workers = self._decode_workers(snapshot.rows)
        return WorkerChanges(workers, (), snapshot.version, is_snapshot=True)

    async def changes(self, after: int, wait_s: float) -> WorkerChanges:
        """Return the registrations that changed after a version.

        :param wait_s: longest wait for a change, in seconds.
        """
        changes = await self._table.changes(SERVERS_PREFIX, after, wait_s)
        deleted = tuple(key.removeprefix(SERVERS_PREFIX) for key in changes.deleted)
        return WorkerChanges(
            self._decode_workers(changes.rows), deleted, changes.version
        )

    def _decode_workers(self, rows: tuple[Row, ...]) -> tuple[WorkerInfo, ...]:
        workers = []
        for row in rows:
            try:
                workers.append(decode_worker(row))
            except ValueError as error:
                self._log.event("registration-passed-over", key=row.key, why=str(error))
        return tuple(workers)
