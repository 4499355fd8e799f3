"""Group commit: callers get the same outcomes as without it, in fewer commits."""

from __future__ import annotations

import asyncio

from redwingrun.coordination.groupcommit import GroupCommit, GroupCommitSettings
from redwingrun.coordination.table import (
    Committed,
    Condition,
    Conflict,
    TableUnknown,
    Transaction,
    Write,
)
from tests.helpers import LOST_ANSWER, FakeProcess, FakeTable, Rows


def put(key: str, value: str, *conditions: Condition) -> Transaction:
    return Transaction(conditions, (Write(key, value),))


def run_scenario(scenario) -> None:
    rows, process = Rows(), FakeProcess("host")
    group = GroupCommit(FakeTable(rows, process), GroupCommitSettings())
    asyncio.run(scenario(rows, process, group))


def test_concurrent_transactions_share_one_commit():
    async def scenario(rows, process, group):
        results = await asyncio.gather(
            *[group.transact(put(f"k{n}", "v")) for n in range(50)]
        )
        assert all(isinstance(result, Committed) for result in results)
        assert rows.commits == 1

    run_scenario(scenario)


def test_only_the_conflicting_caller_gets_the_conflict():
    async def scenario(rows, process, group):
        conflicting = put("bad", "v", Condition.present("none"))
        results = await asyncio.gather(
            group.transact(put("a", "v")), group.transact(conflicting)
        )
        assert isinstance(results[0], Committed)
        assert results[1] == Conflict(("none",))
        assert "bad" not in rows.by_key

    run_scenario(scenario)


def test_writes_to_one_row_keep_their_order():
    async def scenario(rows, process, group):
        await asyncio.gather(
            *[group.transact(put("k", str(number))) for number in range(5)]
        )
        assert rows.by_key["k"].value == "4"

    run_scenario(scenario)


def test_cancelled_caller_does_not_cancel_the_group():
    async def scenario(rows, process, group):
        first = asyncio.create_task(group.transact(put("a", "v")))
        second = asyncio.create_task(group.transact(put("b", "v")))
        await asyncio.sleep(0.001)
        first.cancel()
        assert isinstance(await second, Committed)

    run_scenario(scenario)


def test_unknown_outcome_is_reported_to_all_callers():
    async def scenario(rows, process, group):
        process.table_mode = LOST_ANSWER
        calls = [group.transact(put(f"k{number}", "v")) for number in range(3)]
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert all(isinstance(result, TableUnknown) for result in results)
        assert len(rows.by_key) == 3

    run_scenario(scenario)
