"""The audit trail: every publication and every action of an operator."""

from __future__ import annotations

import secrets
from datetime import UTC, datetime

from redwingrun.coordination.codec import decode, encode
from redwingrun.coordination.follower import AUDIT_PREFIX, AuditRow
from redwingrun.coordination.table import Condition, Table, Transaction, Write

ACTIONS_PREFIX = f"{AUDIT_PREFIX}action/"
TOKEN_BYTES = 6


def timestamp() -> str:
    """Return the wall clock for people to read; nothing is decided by it."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")


def action_write(row: AuditRow) -> tuple[Condition, Write]:
    """Return what adds an action to a transaction."""
    key = f"{ACTIONS_PREFIX}{row.at}-{secrets.token_hex(TOKEN_BYTES)}"
    return Condition.absent(key), Write(key, encode(row))


class AuditTrail:
    """Writes and reads the trail in the table."""

    def __init__(self, table: Table):
        self._table = table

    async def action(
        self, action: str, operator: str, subject: str, reason: str = ""
    ) -> None:
        """Add an action that has no other row to go with.

        :raises TableUnavailable: it was not kept.
        :raises TableUnknown: it may not have been kept.
        """
        row = AuditRow(action, operator, timestamp(), subject, reason=reason)
        condition, write = action_write(row)
        await self._table.transact(Transaction((condition,), (write,)))

    async def rows(self) -> list[AuditRow]:
        """Return the whole trail, oldest first."""
        stored = await self._table.scan(AUDIT_PREFIX)
        return sorted(
            (decode(AuditRow, row.value) for row in stored), key=lambda row: row.at
        )
