"""What a publisher says when the table's answers are lost."""

from __future__ import annotations

import asyncio

import pytest

from redwingrun.coordination.follower import AuditRow, Publisher
from redwingrun.coordination.table import (
    Committed,
    Conflict,
    TableUnavailable,
    TableUnknown,
    Transaction,
)
from tests.helpers import (
    LOST_ANSWER,
    FakeObjectStore,
    FakeProcess,
    FakeTable,
    Rows,
    VirtualLoop,
    close_loop,
)

AUDIT = AuditRow("publish", "lan", "2026-12-05T00:00:00+00:00")


class _TableGoingAway(FakeTable):
    """Loses the answer to the first transaction, and refuses all calls after it."""

    _is_away = False

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        self._refuse_if_away()
        self._process.table_mode = LOST_ANSWER
        self._is_away = True
        return await super().transact(transaction)

    async def scan(self, prefix: str) -> tuple:
        self._refuse_if_away()
        return await super().scan(prefix)

    def _refuse_if_away(self) -> None:
        if self._is_away:
            raise TableUnavailable("away")


# Guards against telling an operator that a version was not published which every
# process then follows.
def test_publication_with_an_unanswered_attempt_is_never_reported_as_not_run():
    """The table applies the change, does not answer, and is away after that."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    process = FakeProcess("host")
    rows = Rows()
    publisher = Publisher(_TableGoingAway(rows, process), FakeObjectStore({}, process))
    try:
        with pytest.raises(TableUnknown):
            loop.run_until_complete(publisher.publish(b"{}", 0, AUDIT, "token"))
    finally:
        close_loop(loop)
    assert rows.by_key, "the change was applied"
