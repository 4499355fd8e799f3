"""Runs a payment at most once per idempotency key.

The example needs only the package ``redwingrun.coordination`` and a table.
"""

from __future__ import annotations

import asyncio

from redwingrun.coordination.ledger import Attempt, Ledger
from redwingrun.coordination.table import (
    Committed,
    Conflict,
    Row,
    Table,
    Transaction,
)
from redwingrun.coordination.verdict import Answer


class MemoryTable(Table):
    """A table in memory; a real store implements the same three methods."""

    def __init__(self) -> None:
        self._by_key: dict[str, Row] = {}
        self._version = 0

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction if all of its conditions are met."""
        conditions = transaction.conditions
        failed = [
            item.key
            for item in conditions
            if not item.is_met_by(self._by_key.get(item.key))
        ]
        if failed:
            return Conflict(tuple(failed))
        self._version += 1
        for write in transaction.writes:
            self._by_key[write.key] = Row(write.key, write.value or "", self._version)
        return Committed(self._version)

    async def read(self, key: str) -> Row | None:
        """Return the row of a key, or None."""
        return self._by_key.get(key)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows under a prefix, sorted by key."""
        return tuple(
            row for key, row in sorted(self._by_key.items()) if key.startswith(prefix)
        )


async def pay(ledger: Ledger, key: str, token: str) -> bytes:
    """Pay once for a key, or return the answer of the payment made before.

    :param token: unique to this attempt.
    :raises RuntimeError: if no payment is confirmed; the message says why.
    """
    claim = await ledger.begin("shop", key, "digest-of-the-body", token)
    if isinstance(claim, Attempt):
        answer = Answer(f"paid by attempt {token}".encode())
        await ledger.finish(claim, answer)
        return answer.body
    if isinstance(claim, Answer):
        return claim.body
    raise RuntimeError(f"payment not confirmed: {claim}")


async def main() -> None:
    """Pay twice with the same key; the second call returns the first answer."""
    table = MemoryTable()
    ledger = Ledger(table, table)
    print((await pay(ledger, "order-7", "one")).decode())
    print((await pay(ledger, "order-7", "two")).decode())


if __name__ == "__main__":
    asyncio.run(main())
