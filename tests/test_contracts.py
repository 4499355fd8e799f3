"""Contract tests for implementations of external interfaces.

Add new implementations here.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest

from lab.cell import Cell, Layout
from redwingrun.coordination.follower import ObjectStore
from redwingrun.coordination.table import (
    Committed,
    Condition,
    Conflict,
    Table,
    TableUnavailable,
    TableUnknown,
    Transaction,
    Write,
)
from redwingrun.coordination.verdict import Verdict
from redwingrun.httpclient import HttpClient
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.minions import HttpMinionClient, MinionCall, MinionClient
from redwingrun.objects import Resources
from redwingrun.serviceclients import (
    HostState,
    HttpHostList,
    HttpObjectStore,
    HttpTable,
)
from redwingrun.tasks import MemberKey
from redwingrun.workers import (
    Grant,
    HttpWorkerClient,
    StartCall,
    SyncCall,
    WorkerClient,
)
from tests.helpers import FakeProcess, FakeTable, Rows

ROOT = Path(__file__).resolve().parent.parent


class StandInCell(Cell):
    """The stand-in services without daemons."""

    async def __aenter__(self) -> StandInCell:
        self._start_standins()
        await self.wait_until(self._standins_are_ready, 20, "the stand-ins listen")
        return self

    @property
    def platform_url(self) -> str:
        return f"http://127.0.0.1:{self._platform_port}"


async def with_standins(check) -> None:
    async with StandInCell(Layout(weights=(), norte=False)) as cell:
        client = HttpClient("contract")
        try:
            await check(cell, client)
        finally:
            client.close()


def change(*conditions: Condition, **values: str | None) -> Transaction:
    writes = tuple(Write(key, value) for key, value in values.items())
    return Transaction(conditions, writes)


async def check_table(table: Table) -> None:
    assert await table.read("a") is None
    first = await table.transact(change(Condition.absent("a"), a="1", ab="2"))
    assert isinstance(first, Committed)
    assert await table.transact(
        change(Condition.absent("a"), a="x", b="x")
    ) == Conflict(("a",))
    assert await table.read("b") is None
    row = await table.read("a")
    assert (row.value, row.version) == ("1", first.version)
    second = await table.transact(change(Condition.at("a", first.version), a="3"))
    assert second.version > first.version
    assert await table.transact(
        change(Condition.at("a", first.version), a="4")
    ) == Conflict(("a",))
    assert [found.key for found in await table.scan("a")] == ["a", "ab"]
    await table.transact(change(Condition.present("a"), a=None))
    again = await table.transact(change(Condition.absent("a"), a="5"))
    assert again.version > second.version, "a version was reused"


async def http_table(cell: StandInCell, client: HttpClient) -> None:
    await check_table(HttpTable(client, cell.platform_url, 1.0, Metrics()))


async def table_faults(cell: StandInCell, client: HttpClient) -> None:
    """`TableUnavailable` means that the transaction had no effect.

    `TableUnknown` means that it may have had one.
    """
    table = HttpTable(client, cell.platform_url, 0.3, Metrics())
    for mode, error in (
        ("down", TableUnavailable),
        ("cut", TableUnknown),
        ("effect_without_answer", TableUnknown),
    ):
        await cell.set_faults("platform", {"mode": mode, "name": "table"})
        with pytest.raises(error):
            await table.transact(change(**{mode: "1"}))
    await cell.set_faults("platform")
    assert await table.read("down") is None
    assert (await table.read("effect_without_answer")).value == "1"


async def object_store(cell: StandInCell, client: HttpClient) -> None:
    store: ObjectStore = HttpObjectStore(client, cell.platform_url, 1.0, Metrics())
    assert await store.get("name") is None
    await store.put("name", b"\x00content")
    assert await store.get("name") == b"\x00content"


async def host_list(cell: StandInCell, client: HttpClient) -> None:
    await cell.set_hosts({"routeboard-m0": "leaving"})
    hosts = await HttpHostList(
        client, cell.platform_url, 1.0, Log("test", "quiet")
    ).hosts()
    assert hosts["routeboard-m0"].state is HostState.LEAVING
    assert hosts["routeboard-m1"].state is HostState.LIVE


def minion_call(
    cell: StandInCell, request_id: str, epoch: int, body: bytes = b"{}"
) -> MinionCall:
    address = f"http://127.0.0.1:{cell.port_by_upstream['routeboard-m1']}"
    return MinionCall(address, request_id, "check", body, epoch, 1.0)


async def minion(cell: StandInCell, client: HttpClient) -> None:
    """After a settle call the minion refuses older epochs and some of the listed ids.

    These are the ids of requests that it was not running: a former owner may still send
    them.
    """
    minions: MinionClient = HttpMinionClient(client, 0.5)
    assert (await minions.run(minion_call(cell, "one", 5))).is_ok()
    address = minion_call(cell, "", 0).address
    slow = asyncio.create_task(
        minions.run(minion_call(cell, "slow", 5, b'{"nonce": "s", "work_s": 0.5}'))
    )
    await asyncio.sleep(0.2)
    running = await minions.settle(address, 6, ["given-up"], 1.0)
    assert running.ok == frozenset({"slow"})
    for request_id, epoch in (("late", 5), ("given-up", 6)):
        refused = await minions.run(minion_call(cell, request_id, epoch))
        assert refused.error.verdict is Verdict.NOT_RUN
    assert (await slow).is_ok()


def start_call(cell: StandInCell, grant: Grant, index: int = 0) -> StartCall:
    address = f"http://127.0.0.1:{cell.port_by_upstream['walls-w0']}"
    member = MemberKey("task", 1, index)
    return StartCall(
        address, grant, member, "plan", Resources(cores=1), 60.0, False, ""
    )


async def worker(cell: StandInCell, client: HttpClient) -> None:
    """The worker starts a member once, and ends it when its lease expires.

    It refuses the starts listed in ``refusals``.
    """
    workers: WorkerClient = HttpWorkerClient(client)
    address = start_call(cell, Grant("", 0, 0)).address
    first_report = (await workers.sync(SyncCall(address, Grant("", 3, 0)), 1.0)).ok
    grant = Grant(first_report.incarnation, 3, first_report.clock_s + 2.0)
    for _ in range(2):
        started = (await workers.start(start_call(cell, grant), 1.0)).ok
        assert list(started.members) == [MemberKey("task", 1, 0)]
    unknown = SyncCall(address, grant, keep=[MemberKey("task", 1, 1)])
    await workers.sync(unknown, 1.0)
    refusals = {
        "a member that a sync listed before its start": start_call(cell, grant, 1),
        "an older epoch": start_call(
            cell, Grant(first_report.incarnation, 2, grant.not_after_s), 2
        ),
        "another incarnation": start_call(
            cell, Grant("other", 3, grant.not_after_s), 2
        ),
        "an expired grant": start_call(
            cell, Grant(first_report.incarnation, 3, 0.0), 2
        ),
    }
    for name, call in refusals.items():
        refused = await workers.start(call, 1.0)
        assert refused.error.verdict is Verdict.NOT_RUN, name
    await asyncio.sleep(2.5)
    report = (await workers.sync(SyncCall(address, grant), 1.0)).ok
    assert report.members[MemberKey("task", 1, 0)].ended == "lapsed"


CONTRACTS = [http_table, table_faults, object_store, host_list, minion, worker]


@pytest.mark.parametrize("contract", CONTRACTS, ids=lambda item: item.__name__)
def test_http_implementation_meets_contract(contract):
    """The HTTP clients and the stand-ins meet the contracts of their interfaces."""
    asyncio.run(with_standins(contract))


def test_fake_table_meets_contract():
    """Guards against a fake table that behaves unlike the table that it replaces."""
    asyncio.run(check_table(FakeTable(Rows(), FakeProcess("fake"))))


def test_embedding_example_runs_once_per_key():
    """The example pays twice with one key, and prints the first answer twice."""
    command = [sys.executable, str(ROOT / "examples" / "ledger_example.py")]
    result = subprocess.run(
        command, capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert result.stdout.splitlines() == ["paid by attempt one"] * 2
