"""Publishing configuration versions and following them; versions only increase."""

from __future__ import annotations

import hashlib
from abc import ABC, abstractmethod

from attrs import define, evolve, field, frozen

from redwingrun.coordination.codec import decode, encode
from redwingrun.coordination.table import (
    Committed,
    Condition,
    Row,
    Table,
    TableUnavailable,
    TableUnknown,
    Transaction,
    Write,
    confirm_write,
)

VERSION_KEY = "config/version"
AUDIT_PREFIX = "audit/"
AUDIT_NUMBER_DIGITS = 12
MAX_COMMIT_ATTEMPTS = 3


class ObjectStoreUnavailable(Exception):
    """The object store is unavailable; a put may still have taken effect."""


class ObjectStore(ABC):
    """The platform's object store; each object is named by its content's digest."""

    @abstractmethod
    async def put(self, name: str, content: bytes) -> None:
        """Store an object.

        :raises ObjectStoreUnavailable: if the store does not reply, or replies with
            an error.
        """

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist.

        :raises ObjectStoreUnavailable: if the store does not reply, or replies with
            an error.
        """


@frozen
class VersionRow:
    """A published configuration version.

    :param number: increases by one with each publication.
    :param digest: name of the content in the object store.
    :param token: unique to one publication, to confirm it after a lost reply.
    """

    number: int = 0
    digest: str = ""
    operator: str = ""
    reason: str = ""
    token: str = ""


@frozen
class AuditRow:
    """One publication or operator action.

    :param at: wall-clock time on the operator's machine, ISO 8601; for people only.
    :param token: unique to one publication, because two operators may do the same
        thing for the same reason in the same millisecond.
    """

    action: str
    operator: str
    at: str
    subject: str = ""
    from_version: int = 0
    to_version: int = 0
    digest: str = ""
    reason: str = ""
    token: str = ""


@frozen
class Published:
    """The content was published as version ``row``."""

    row: VersionRow


@frozen
class PublishConflict:
    """Another operator published first; this publication had no effect.

    :param winner: the version that was published instead.
    """

    winner: VersionRow


def digest_of(content: bytes) -> str:
    """Return the SHA-256 hex digest that names the content in the object store."""
    return hashlib.sha256(content).hexdigest()


@define
class Publisher:
    """Publishes content with a single compare-and-set of the version row."""

    table: Table
    store: ObjectStore

    async def current(self) -> tuple[VersionRow, Row | None]:
        """Return the published version and its row; number 0 and ``None`` if none."""
        stored = await self.table.read(VERSION_KEY)
        if stored is None:
            return VersionRow(), None
        return decode(VersionRow, stored.value), stored

    async def publish(
        self, content: bytes, based_on: int, audit: AuditRow, token: str
    ) -> Published | PublishConflict:
        """Publish ``content`` as the successor of version ``based_on``.

        :raises TableUnavailable: if the table refused a call or was not reached.
            Nothing was published, and nothing will be.
        :raises TableUnknown: if it is not known whether the content was published.
        :raises ObjectStoreUnavailable: if the store did not confirm the content;
            nothing was published.
        """
        digest = digest_of(content)
        await self.store.put(digest, content)
        current, stored = await self.current()
        if current.number != based_on:
            return PublishConflict(current)
        row = VersionRow(based_on + 1, digest, audit.operator, audit.reason, token)
        audit = evolve(audit, to_version=row.number, digest=digest, token=token)
        committed = await self._commit(row, stored, audit)
        if committed:
            return Published(row)
        return PublishConflict((await self.current())[0])

    async def _commit(
        self, row: VersionRow, stored: Row | None, audit: AuditRow
    ) -> bool:
        if stored is None:
            condition = Condition.absent(VERSION_KEY)
        else:
            condition = Condition.at(VERSION_KEY, stored.version)
        writes = (
            Write(VERSION_KEY, encode(row)),
            Write(audit_key(row.number), encode(audit)),
        )
        change = Transaction((condition,), writes)
        is_uncertain = False
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                result = await self.table.transact(change)
            except TableUnknown:
                # An absent audit row proves nothing: the change may still take effect.
                # Only another attempt at the same change shows the outcome.
                is_uncertain = True
                if await self._is_ours(row, audit):
                    return True
                continue
            except TableUnavailable as error:
                if is_uncertain:
                    raise _uncertain(row) from error
                raise
            return isinstance(result, Committed) or await self._is_ours(row, audit)
        raise TableUnknown(
            f"the table neither confirmed nor refused version {row.number}"
            f" in {MAX_COMMIT_ATTEMPTS} attempts"
        )

    async def _is_ours(self, row: VersionRow, audit: AuditRow) -> bool:
        """Return whether an attempt that was made took effect.

        :raises TableUnknown: if the table does not say; the attempt may have run.
        """
        # The audit row stays, even after a later publication replaces the version row.
        key = audit_key(row.number)
        try:
            return await confirm_write(self.table, key, encode(audit)) is not None
        except TableUnavailable as error:
            raise _uncertain(row) from error


def _uncertain(row: VersionRow) -> TableUnknown:
    return TableUnknown(f"an earlier attempt may have published version {row.number}")


def audit_key(number: int) -> str:
    """Return the key of a publication's row in the audit trail."""
    return f"{AUDIT_PREFIX}version/{number:0{AUDIT_NUMBER_DIGITS}d}"


@define
class Follower:
    """The configuration version of one process.

    The version never decreases, and only content that matches its digest is
    accepted.

    :param active_version: the version whose content is in use.
    :param latest_version: the newest version that was received.
    """

    active_version: VersionRow = field(factory=VersionRow)
    latest_version: VersionRow = field(factory=VersionRow)

    def receive_version(self, row: VersionRow) -> bool:
        """Record a version and return whether the latest content must be fetched."""
        if row.number > self.latest_version.number:
            self.latest_version = row
        return self.latest_version.number > self.active_version.number

    def accept(self, row: VersionRow, content: bytes) -> bool:
        """Activate ``row`` if it is newer and the content matches its digest.

        :return: whether the version is now active.
        """
        if row.number <= self.active_version.number or digest_of(content) != row.digest:
            return False
        self.active_version = row
        return True
