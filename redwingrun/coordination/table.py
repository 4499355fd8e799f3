"""What the coordination parts ask of the platform's table service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen


class TableUnavailable(Exception):
    """The table refused the call; it had no effect."""


class TableUnknown(Exception):
    """No answer came: the call may have taken effect, read back to settle."""


class Expect(Enum):
    """What a transaction expects of a row."""

    VERSION = "version"
    ABSENT = "absent"
    PRESENT = "present"


@frozen
class Row:
    """One stored row.

    :param version: grows with every commit in the table and is never reused,
        also when a row is deleted and made again.
    """

    key: str
    value: str
    version: int


@frozen
class Condition:
    """One expectation of a transaction; build it with the helpers below."""

    key: str
    expect: Expect
    version: int = 0

    @classmethod
    def at(cls, key: str, version: int) -> Condition:
        """Expect the row at exactly this version."""
        return cls(key, Expect.VERSION, version)

    @classmethod
    def absent(cls, key: str) -> Condition:
        """Expect that there is no such row."""
        return cls(key, Expect.ABSENT)

    @classmethod
    def present(cls, key: str) -> Condition:
        """Expect that there is such a row, whatever its version."""
        return cls(key, Expect.PRESENT)

    def is_met_by(self, row: Row | None) -> bool:
        """Tell whether the row as stored meets this expectation."""
        if self.expect is Expect.ABSENT:
            return row is None
        if self.expect is Expect.PRESENT:
            return row is not None
        return row is not None and row.version == self.version


@frozen
class Write:
    """One change: the new value, or ``None`` to delete the row."""

    key: str
    value: str | None


@frozen
class Transaction:
    """Conditions and writes that take effect together or not at all."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@frozen
class Committed:
    """The transaction took effect; every written row has this version."""

    version: int


@frozen
class Conflict:
    """The transaction had no effect; these keys did not meet it."""

    keys: tuple[str, ...]


class Table(ABC):
    """The platform's table: rows, conditions, transactions.

    Each method raises :exc:`TableUnavailable` when the call certainly had no
    effect and :exc:`TableUnknown` when it may have had one.
    """

    @abstractmethod
    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction."""

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return one row."""

    @abstractmethod
    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows whose key starts with ``prefix``, by key."""


async def confirm_write(table: Table, key: str, value: str) -> Committed | None:
    """Tell whether a write of unknown outcome took effect.

    The value must hold a token that no other writer uses.

    :return: the commit, or ``None`` when the row holds something else.
    """
    row = await table.read(key)
    if row is not None and row.value == value:
        return Committed(row.version)
    return None


class HistoryTruncated(Exception):
    """The table no longer holds the changes asked for: read everything again."""


@frozen
class Snapshot:
    """All rows under a prefix as of one version of the table."""

    rows: tuple[Row, ...]
    version: int


@frozen
class Changes:
    """What changed under a prefix, in order.

    :param deleted: keys of rows that are gone.
    :param version: go on from here.
    """

    rows: tuple[Row, ...]
    deleted: tuple[str, ...]
    version: int


class WatchableTable(Table):
    """A table that also tells what changes."""

    @abstractmethod
    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix, with the version to watch from."""

    @abstractmethod
    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version, waiting for the first one.

        :raises HistoryTruncated: when they are no longer held.
        """
