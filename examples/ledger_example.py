"""Runs a payment at most once, with only the coordination package and a small table."""

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
    """A table in memory; put your own store behind the same three methods."""

    def __init__(self) -> None:
        self._by_key: dict[str, Row] = {}
        self._version = 0

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction."""
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
        """Return one row."""
        return self._by_key.get(key)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows under a prefix."""
        return tuple(
            row for key, row in sorted(self._by_key.items()) if key.startswith(prefix)
        )


async def pay(ledger: Ledger, key: str, token: str) -> bytes:
    """Pay once for a key, or return the first payment's answer."""
    found = await ledger.begin("shop", key, "digest-of-the-body", token)
    if isinstance(found, Attempt):
        answer = Answer(f"paid by attempt {token}".encode())
        await ledger.finish(found, answer)
        return answer.body
    if isinstance(found, Answer):
        return found.body
    raise RuntimeError(f"not paid: {found}")


async def main() -> None:
    """Pay twice under one key."""
    table = MemoryTable()
    ledger = Ledger(table, table)
    print((await pay(ledger, "order-7", "one")).decode())
    print((await pay(ledger, "order-7", "two")).decode())


if __name__ == "__main__":
    asyncio.run(main())
