"""Interface to the platform's table service: rows, conditions and transactions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen


class TableUnavailable(Exception):
    """The table refused the call or was not reached; the call had no effect."""


class TableRejected(TableUnavailable):
    """The table will never carry out the call, for example because a row is too large.

    The call had no effect, and neither has the same call later.
    """


class TableUnknown(Exception):
    """The outcome is unknown: the call may have had an effect.

    Read the row back to find out; see :func:`confirm_write`.
    """


class Expect(Enum):
    """What a condition requires of a row."""

    VERSION = "version"
    ABSENT = "absent"
    PRESENT = "present"


@frozen
class Row:
    """One stored row.

    :param version: version of the commit that last wrote the row. It increases
        with every commit in the table and is never reused, even if the row is
        deleted and created again.
    """

    key: str
    value: str
    version: int


@frozen
class Condition:
    """A requirement on one row.

    Build it with :meth:`at`, :meth:`absent` or :meth:`present`.
    """

    key: str
    expect: Expect
    version: int = 0

    @classmethod
    def at(cls, key: str, version: int) -> Condition:
        """Require that the row has exactly this version."""
        return cls(key, Expect.VERSION, version)

    @classmethod
    def absent(cls, key: str) -> Condition:
        """Require that the row does not exist."""
        return cls(key, Expect.ABSENT)

    @classmethod
    def present(cls, key: str) -> Condition:
        """Require that the row exists, at any version."""
        return cls(key, Expect.PRESENT)

    def is_met_by(self, row: Row | None) -> bool:
        """Return whether the stored row, or its absence, meets the condition."""
        if self.expect is Expect.ABSENT:
            return row is None
        if self.expect is Expect.PRESENT:
            return row is not None
        return row is not None and row.version == self.version


@frozen
class Write:
    """A change to one row: its new value, or ``None`` to delete it."""

    key: str
    value: str | None


@frozen
class Transaction:
    """Writes that are applied atomically if all conditions are met."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@frozen
class Committed:
    """The transaction was applied; every row it wrote has this version."""

    version: int


@frozen
class Conflict:
    """The transaction had no effect: these keys did not meet their conditions."""

    keys: tuple[str, ...]


class Table(ABC):
    """The platform's table service.

    Every method raises :exc:`TableUnavailable` if the call certainly had no
    effect, and :exc:`TableUnknown` if it may have had one.
    """

    @abstractmethod
    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction, or report which keys conflict."""

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""

    @abstractmethod
    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows whose key starts with ``prefix``, sorted by key."""


async def confirm_write(table: Table, key: str, value: str) -> Committed | None:
    """Read a row back to find out whether a write of unknown outcome took effect.

    The value must contain a token that no other write uses.

    :return: the commit, or ``None`` if the row holds another value. ``None`` does
        not rule out that the write takes effect later.
    """
    row = await table.read(key)
    if row is not None and row.value == value:
        return Committed(row.version)
    return None


class HistoryTruncated(Exception):
    """The requested changes are no longer retained; take a new snapshot."""


@frozen
class Snapshot:
    """All rows under a prefix at one version of the table."""

    rows: tuple[Row, ...]
    version: int


@frozen
class Changes:
    """Changes under a prefix, in commit order.

    :param deleted: keys of rows that were deleted.
    :param version: version from which to request the next changes.
    """

    rows: tuple[Row, ...]
    deleted: tuple[str, ...]
    version: int


class WatchableTable(Table):
    """A table whose changes can be followed."""

    @abstractmethod
    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all rows under a prefix, with the version to follow changes from."""

    @abstractmethod
    async def snapshot_row(self, key: str) -> Snapshot:
        """Return one row, if there is one, with the version to follow changes from."""

    @abstractmethod
    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after version ``after``.

        Wait up to ``wait_s`` seconds for the first change.

        :raises HistoryTruncated: if these changes are no longer retained.
        """
