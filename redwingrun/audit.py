"""The audit trail: a row for each published configuration and operator action."""

from __future__ import annotations

import secrets
from datetime import UTC, datetime

from redwingrun.coordination.codec import decode, encode
from redwingrun.coordination.follower import AUDIT_PREFIX, AuditRow
from redwingrun.coordination.table import Condition, Table, Transaction, Write

ACTIONS_PREFIX = f"{AUDIT_PREFIX}action/"
TOKEN_BYTES = 6


def timestamp() -> str:
    """Return the wall-clock time for people to read; no decision depends on it."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")


def action_write(row: AuditRow) -> tuple[Condition, Write]:
    """Return the condition and the write that add an action to a transaction."""
    key = f"{ACTIONS_PREFIX}{row.at}-{secrets.token_hex(TOKEN_BYTES)}"
    return Condition.absent(key), Write(key, encode(row))


class AuditTrail:
    """Writes and reads the audit trail in the table."""

    def __init__(self, table: Table):
        self._table = table

    async def record_action(
        self, action: str, operator: str, subject: str, reason: str = ""
    ) -> None:
        """Store an action that changes no other row, in a transaction of its own.

        :raises TableUnavailable: if it was not stored.
        :raises TableUnknown: if it may not have been stored.
        """
        row = AuditRow(action, operator, timestamp(), subject, reason=reason)
        condition, write = action_write(row)
        await self._table.transact(Transaction((condition,), (write,)))

    async def rows(self) -> list[AuditRow]:
        """Return the whole trail, oldest first."""
        stored_rows = await self._table.scan(AUDIT_PREFIX)
        return sorted(
            (decode(AuditRow, row.value) for row in stored_rows), key=lambda row: row.at
        )
