"""Shared test helpers: virtual time, and fakes of table, object store and peers."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any

from attrs import define, field
from expression import Error, Ok, Result
from hypothesis import seed, settings
from hypothesis.stateful import run_state_machine_as_test

from redwingrun.config import Settings
from redwingrun.coordination.clock import Clock
from redwingrun.coordination.follower import ObjectStore, ObjectStoreUnavailable
from redwingrun.coordination.table import (
    Committed,
    Conflict,
    Row,
    Table,
    TableRejected,
    TableUnavailable,
    TableUnknown,
    Transaction,
)
from redwingrun.coordination.verdict import Failure, may_have_run, not_run

# How a call to the fake table ends. The transaction is applied before the call times
# out with `LOST_ANSWER`, after it with `LATE`, and not at all with `LOST_REQUEST`.
OK = "ok"
DOWN = "down"
LOST_REQUEST = "lost request"
LOST_ANSWER = "lost answer"
LATE = "late"
TABLE_MODES = (OK, DOWN, LOST_REQUEST, LOST_ANSWER, LATE)
CALL_TIMEOUT_S = 0.5
MAX_VALUE_BYTES = 65_536
SEARCH_SEED = 20261204


def run_state_machine(machine: type, test_settings: settings) -> None:
    """Run a state machine test with a fixed seed, so that each run is the same.

    It tries the same examples each time, also after changes elsewhere in the code.
    """
    run_state_machine_as_test(seed(SEARCH_SEED)(machine), settings=test_settings)


class _NoWaitSelector(selectors.DefaultSelector):
    """Advances virtual time instead of waiting."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list:
        """Advance virtual time by the timeout and poll without waiting."""
        if timeout:
            self.loop.virtual_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only to the next timer."""

    def __init__(self) -> None:
        self.virtual_s = 1000.0
        selector = _NoWaitSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_s


def close_loop(loop: VirtualLoop) -> None:
    """Cancel all tasks of a loop and close it."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.close()


class LoopClock(Clock):
    """The clock of one process: a loop's time with a rate and an offset."""

    def __init__(self, loop: VirtualLoop, rate: float = 1.0, offset_s: float = 0.0):
        self._loop = loop
        self._rate = rate
        self._offset_s = offset_s

    def now(self) -> float:
        """Return the clock's time in seconds."""
        return self._loop.time() * self._rate + self._offset_s


@define
class Rows:
    """The rows of a table, shared by the processes of a test.

    :ivar deleted_version_by_key: version of the commit that deleted each missing row.
    :ivar version: version of the last commit.
    :ivar commits: number of commits.
    :ivar max_value_bytes: size above which the table rejects a row.
    :ivar rejected_keys: keys of the rows that it has rejected.
    """

    by_key: dict[str, Row] = field(factory=dict)
    deleted_version_by_key: dict[str, int] = field(factory=dict)
    version: int = 0
    commits: int = 0
    max_value_bytes: int = MAX_VALUE_BYTES
    rejected_keys: list[str] = field(factory=list)

    def check_sizes(self, transaction: Transaction) -> None:
        """Reject a transaction with a row that is too large."""
        too_large = [
            write.key
            for write in transaction.writes
            if len((write.value or "").encode()) > self.max_value_bytes
        ]
        self.rejected_keys += too_large
        if too_large:
            raise TableRejected(f"too large: {too_large}")

    def apply(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction without delay or failure."""
        failed = [
            item.key
            for item in transaction.conditions
            if not item.is_met_by(self.by_key.get(item.key))
        ]
        if failed:
            return Conflict(tuple(failed))
        self.version += 1
        self.commits += 1
        for write in transaction.writes:
            if write.value is None:
                self.by_key.pop(write.key, None)
                self.deleted_version_by_key[write.key] = self.version
            else:
                self.by_key[write.key] = Row(write.key, write.value, self.version)
                self.deleted_version_by_key.pop(write.key, None)
        return Committed(self.version)


@define
class FakeProcess:
    """The simulated faults of one process.

    :ivar table_mode: one of `TABLE_MODES`; `DOWN` also applies to the object store.
    :ivar resumed: event that is set while the process runs, and cleared while it is
        paused.
    :ivar late_s: delay of a commit in mode `LATE`, in seconds.
    """

    name: str
    table_mode: str = OK
    resumed: asyncio.Event = field(factory=asyncio.Event)
    late_s: float = 3.0

    def __attrs_post_init__(self) -> None:
        self.resumed.set()

    async def wait_until_resumed(self) -> None:
        """Wait while the process is paused: it neither sends nor receives."""
        await self.resumed.wait()


class FakeTable(Table):
    """Access of one process to shared rows, with its simulated faults."""

    def __init__(self, rows: Rows, process: FakeProcess):
        self._rows = rows
        self._process = process

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction: immediately, late or not at all."""
        await self._process.wait_until_resumed()
        mode = self._process.table_mode
        await self._simulate_request(mode)
        self._rows.check_sizes(transaction)
        if mode == LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(self._process.late_s, self._rows.apply, transaction)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise TableUnknown(mode)
        result = self._rows.apply(transaction)
        await self._simulate_response(mode)
        return result

    async def read(self, key: str) -> Row | None:
        """Return one row."""
        found = await self.scan(key)
        return next((row for row in found if row.key == key), None)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return rows under a prefix."""
        await self._process.wait_until_resumed()
        mode = self._process.table_mode
        await self._simulate_request(mode)
        keys = sorted(self._rows.by_key)
        found = tuple(self._rows.by_key[key] for key in keys if key.startswith(prefix))
        await self._simulate_response(OK)
        return found

    async def _simulate_request(self, mode: str) -> None:
        """Simulate the delay or loss of a request."""
        await asyncio.sleep(0.01)
        if mode == DOWN:
            raise TableUnavailable(mode)
        if mode == LOST_REQUEST:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise TableUnknown(mode)

    async def _simulate_response(self, mode: str) -> None:
        """Simulate the delay or loss of a response."""
        if mode == LOST_ANSWER:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise TableUnknown(mode)
        await asyncio.sleep(0.01)
        await self._process.wait_until_resumed()


class FakeObjectStore(ObjectStore):
    """Access of one process to shared objects, with its simulated faults."""

    def __init__(self, objects: dict[str, bytes], process: FakeProcess):
        self._objects = objects
        self._process = process

    async def put(self, name: str, content: bytes) -> None:
        """Store an object."""
        await self._simulate_call()
        self._objects[name] = content

    async def get(self, name: str) -> bytes | None:
        """Return an object."""
        await self._simulate_call()
        return self._objects.get(name)

    async def _simulate_call(self) -> None:
        await self._process.wait_until_resumed()
        await asyncio.sleep(0.01)
        if self._process.table_mode == DOWN:
            raise ObjectStoreUnavailable(self._process.table_mode)


@define
class FakeNetwork:
    """The processes by address, and the links that are cut.

    :ivar cut: cut links as (sender, receiver); a link is cut in one direction.
    """

    handler_by_address: dict[str, Callable[[str, Any], Any]] = field(factory=dict)
    process_by_address: dict[str, FakeProcess] = field(factory=dict)
    cut: set[tuple[str, str]] = field(factory=set)


class FakePeers:
    """Calls of one process to its peers, with simulated faults."""

    def __init__(self, network: FakeNetwork, process: FakeProcess, address: str):
        self._network = network
        self._process = process
        self._address = address

    async def call(
        self, address: str, method: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Call a peer; a cut link loses the request or the reply."""
        await self._process.wait_until_resumed()
        await asyncio.sleep(0.01)
        handler = self._network.handler_by_address.get(address)
        if handler is None:
            return Error(not_run("not-connected", address))
        if (self._address, address) in self._network.cut:
            await asyncio.sleep(timeout_s)
            return Error(may_have_run("timeout", address))
        try:
            async with asyncio.timeout(timeout_s):
                await self._network.process_by_address[address].wait_until_resumed()
                handler = self._network.handler_by_address.get(address)
                reply = handler(method, message) if handler else None
                await asyncio.sleep(0.01)
                await self._process.wait_until_resumed()
        except TimeoutError:
            return Error(may_have_run("timeout", address))
        if reply is None:
            return Error(not_run("not-connected", address))
        if (address, self._address) in self._network.cut:
            await asyncio.sleep(timeout_s)
            return Error(may_have_run("timeout", address))
        return Ok(reply)


def settings_for(host: str = "host", **changes: Any) -> Settings:
    """Return the settings of a daemon without any files."""
    values = {
        "host": host,
        "data_centre": "hoan-kiem",
        "listen_ip": "127.0.0.1",
        "http_port": 1,
        "peer_port": 2,
        "table_url": "http://127.0.0.1:1",
        "object_store_url": "http://127.0.0.1:1",
        "host_list_url": "http://127.0.0.1:1",
        "token_file": "tokens",
        "peer_secret_file": "secret",
        "log_level": "quiet",
    }
    return Settings(**{**values, **changes})
