"""Registrations of minions, which are the workers of the jobs package."""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv4Address
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
# Visible ASCII characters: the id is sent in a header.
WORKER_ID_PATTERN = re.compile(r"[!-~]+")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535


def decode_capacity(data: dict[str, Any]) -> TaskSize:
    """Return the resources that a minion registers as its capacity."""
    return TaskSize(
        get_integer(data, "cpu"), get_integer(data, "memMb"), get_integer(data, "gpu")
    )


def decode_address(text: str) -> str:
    """Return an address that is an IPv4 address and a port.

    :raises BadFieldError: if it is anything else.
    """
    ip, _, port = text.rpartition(":")
    try:
        IPv4Address(ip)
    except AddressValueError as error:
        raise BadFieldError(f"the address has no IPv4 address: {error}") from error
    if not PORT_PATTERN.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        raise BadFieldError(f"the address has no port from 1 to {MAX_PORT}")
    return text


def decode_worker(row: Row) -> WorkerInfo:
    """Decode the registration of one minion.

    The first label is the minion's kind and the second one its rack.

    :raises ValueError: if the row is not a usable registration; other programs
        write rows under the same prefix.
    """
    worker_id = row.key.removeprefix(SERVERS_PREFIX)
    if not WORKER_ID_PATTERN.fullmatch(worker_id):
        raise BadFieldError("the registration's key can't be sent as a worker's id")
    data = orjson.loads(row.value)
    if not isinstance(data, dict):
        raise BadFieldError("the registration is not a JSON object")
    state = get_string(data, "state")
    if state not in STATES or "capacity" not in data:
        raise BadFieldError("the registration has an unknown state or no capacity")
    labels = [label for label in get_list(data, "labels") if isinstance(label, str)]
    return WorkerInfo(
        worker_id=worker_id,
        address=decode_address(get_string(data, "address")),
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
        worker_by_id = self._decode_workers(snapshot.rows)
        workers = tuple(info for info in worker_by_id.values() if info is not None)
        return WorkerChanges(workers, (), snapshot.version, is_snapshot=True)

    async def changes(self, after: int, wait_s: float) -> WorkerChanges:
        """Return the registrations that changed after a version.

        One that has become unusable is returned as deleted.

        :param wait_s: longest wait for a change, in seconds.
        """
        changes = await self._table.changes(SERVERS_PREFIX, after, wait_s)
        worker_by_id = self._decode_workers(changes.rows)
        workers = tuple(info for info in worker_by_id.values() if info is not None)
        unusable = [key for key, info in worker_by_id.items() if info is None]
        deleted = [key.removeprefix(SERVERS_PREFIX) for key in changes.deleted]
        return WorkerChanges(workers, (*deleted, *unusable), changes.version)

    def _decode_workers(self, rows: tuple[Row, ...]) -> dict[str, WorkerInfo | None]:
        """Return the newest registration of each worker, ``None`` if unusable."""
        worker_by_id: dict[str, WorkerInfo | None] = {}
        for row in rows:
            worker_id = row.key.removeprefix(SERVERS_PREFIX)
            try:
                worker_by_id[worker_id] = decode_worker(row)
            except ValueError as error:
                worker_by_id[worker_id] = None
                self._log.event("registration-passed-over", key=row.key, why=str(error))
        return worker_by_id
