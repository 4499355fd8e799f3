"""The operator's configuration of queues, read from the platform's store."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import orjson

from redwingrun.coordination.table import Row, WatchableTable
from redwingrun.jobs.accounts import AccountDirectory, ClientAccount, key_digest
from redwingrun.jobs.ports import QueueChange, QueueSource
from redwingrun.jobs.spec import Queue, QueueAddress, QueueSet, RequestLimits
from redwingrun.jobs.tasksize import TaskSize
from redwingrun.logs import Log
from redwingrun.platform.jsonfields import (
    BadFieldError,
    checked_string,
    get_boolean,
    get_integer,
    get_list,
    get_number,
    get_object,
    get_objects,
    get_string,
)

CONFIG_KEY = "op//config"


def decode_queues(value: str) -> QueueSet:
    """Decode a configuration.

    :raises ValueError: if the value is not JSON or a field has the wrong type.
    """
    data = orjson.loads(value)
    if not isinstance(data, dict):
        raise BadFieldError("the configuration is not a JSON object")
    has_accounts = "tenants" in data
    queue_by_name = {}
    addresses_by_host: dict[str, list[QueueAddress]] = {}
    for route in get_objects(data, "routes"):
        queue = _decode_queue(route, has_accounts)
        queue_by_name[queue.name] = queue
        host = get_string(route, "hostname")
        address = QueueAddress(host, get_string(route, "pathPrefix"), queue.name)
        addresses_by_host.setdefault(host, []).append(address)
    limits = get_object(data, "limits")
    defaults = RequestLimits()
    return QueueSet(
        version=get_integer(data, "version"),
        queue_by_name=queue_by_name,
        addresses_by_host={
            host: tuple(addresses) for host, addresses in addresses_by_host.items()
        },
        limits=RequestLimits(
            get_integer(limits, "maxBodyBytes", defaults.body_bytes),
            get_integer(limits, "maxHeaderBytes", defaults.header_bytes),
        ),
        enforces_capacity_by_pool={
            get_string(service, "name"): bool(service.get("enforcesCapacity"))
            for service in get_objects(data, "services")
        },
        accounts=AccountDirectory(
            _decode_account(tenant) for tenant in get_objects(data, "tenants")
        ),
    )


def _decode_account(tenant: dict[str, Any]) -> ClientAccount:
    cap = get_object(tenant, "cap")
    keys = [checked_string(key, "apiKeys") for key in get_list(tenant, "apiKeys")]
    return ClientAccount(
        name=get_string(tenant, "name"),
        weight=get_number(tenant, "weight", 1.0),
        cap=TaskSize(
            get_integer(cap, "cpu"), get_integer(cap, "memMb"), get_integer(cap, "gpu")
        ),
        key_digests=frozenset(key_digest(key) for key in keys if key),
    )


def _decode_queue(route: dict[str, Any], has_accounts: bool) -> Queue:
    """Decode a queue.

    :param has_accounts: whether the configuration has client accounts. Without them no
        queue requires a key, and the field that makes one public is missing.
    """
    advice = route.get("advice")
    policy = advice if isinstance(advice, dict) else {}
    return Queue(
        name=get_string(route, "name"),
        pool=get_string(route, "backend"),
        priority=get_integer(route, "priority"),
        attempts=max(1, get_integer(route, "attempts", 1)),
        stretch=get_number(route, "stretch", 1.0),
        slack_ms=get_number(route, "sloMs"),
        uses_policy=bool(policy),
        policy_call_ms=get_number(policy, "decideMs"),
        policy_per_worker_ms=get_number(policy, "eachMs"),
        requires_key=has_accounts and not get_boolean(route, "public"),
    )


class PlatformQueues(QueueSource):
    """Follows the row that holds the operator's configuration.

    :param table: holds the row.
    """

    def __init__(self, table: WatchableTable, log: Log):
        self._table = table
        self._log = log

    def decode(self, encoded: str) -> QueueSet | None:
        """Decode a configuration that a peer holds; ``None`` if it is damaged."""
        try:
            return decode_queues(encoded)
        except ValueError as error:
            self._log.fault("configuration-unreadable", why=str(error))
            return None

    async def load(self) -> QueueChange:
        """Return the newest configuration."""
        snapshot = await self._table.snapshot_row(CONFIG_KEY)
        return self._newest(snapshot.rows, snapshot.version)

    async def changes(self, after: int, wait_s: float) -> QueueChange:
        """Return the newest configuration if it changed after a version.

        :param wait_s: longest wait for a change, in seconds.
        """
        changes = await self._table.changes(CONFIG_KEY, after, wait_s)
        return self._newest(changes.rows, changes.version)

    def _newest(self, rows: Iterable[Row], table_version: int) -> QueueChange:
        """Return the last readable configuration of the rows, if any."""
        values = [row.value for row in rows if row.key == CONFIG_KEY]
        size = sum(len(value) for value in values)
        for value in reversed(values):
            queues = self.decode(value)
            if queues is not None:
                return QueueChange(
                    queues,
                    table_version,
                    len(values),
                    size,
                    value,
                    is_newest=value is values[-1],
                )
        return QueueChange(None, table_version, len(values), size, is_newest=not values)
