"""Publishing a configuration and following it: forward only, by digest."""

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
    TableUnknown,
    Transaction,
    Write,
    confirm_write,
)

VERSION_KEY = "config/version"
AUDIT_PREFIX = "audit/"
AUDIT_DIGITS = 12
COMMIT_TRIES = 3


class ObjectStoreUnavailable(Exception):
    """The object store gave no answer; a put may have taken effect."""


class ObjectStore(ABC):
    """The platform's object store. Objects are named by their content's digest."""

    @abstractmethod
    async def put(self, name: str, content: bytes) -> None:
        """Keep an object.

        :raises ObjectStoreUnavailable: without an answer.
        """

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, ``None`` when there is none.

        :raises ObjectStoreUnavailable: without an answer.
        """


@frozen
class VersionRow:
    """The configuration in force.

    :param number: grows by one with each publication.
    :param digest: names the content in the object store.
    :param token: unique to one publication, to settle a lost answer.
    """

    number: int = 0
    digest: str = ""
    operator: str = ""
    reason: str = ""
    token: str = ""


@frozen
class AuditRow:
    """One change or operator action.

    :param at: wall clock of the operator's side, ISO 8601; for people only.
    :param token: unique to one publication: two operators may do the same thing
        for the same reason in the same millisecond.
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
    """The publication took effect as this version."""

    row: VersionRow


@frozen
class PublishConflict:
    """Another operator published first; nothing of ours took effect."""

    winner: VersionRow


def digest_of(content: bytes) -> str:
    """Return the name of a content."""
    return hashlib.sha256(content).hexdigest()


@define
class Publisher:
    """Publishes content with one compare-and-set of the version row."""

    table: Table
    store: ObjectStore

    async def current(self) -> tuple[VersionRow, Row | None]:
        """Return the version in force and its row."""
        stored = await self.table.read(VERSION_KEY)
        if stored is None:
            return VersionRow(), None
        return decode(VersionRow, stored.value), stored

    async def publish(
        self, content: bytes, based_on: int, audit: AuditRow, token: str
    ) -> Published | PublishConflict:
        """Publish on top of version ``based_on``.

        :raises TableUnavailable: it had no effect.
        :raises TableUnknown: it may have had one and reading back failed too.
        :raises ObjectStoreUnavailable: it had no effect on the configuration.
        """
        digest = digest_of(content)
        await self.store.put(digest, content)
        before, stored = await self.current()
        if before.number != based_on:
            return PublishConflict(before)
        row = VersionRow(based_on + 1, digest, audit.operator, audit.reason, token)
        audit = evolve(audit, to_version=row.number, digest=digest, token=token)
        result = await self._commit(row, stored, audit)
        if result:
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
        for _ in range(COMMIT_TRIES):
            try:
                result = await self.table.transact(change)
            except TableUnknown:
                # Not found says nothing: it may still take effect. Only a further
                # try of the same change tells.
                if await self._is_ours(row, audit):
                    return True
                continue
            return isinstance(result, Committed) or await self._is_ours(row, audit)
        raise TableUnknown("the table gave no answer about the publication")

    async def _is_ours(self, row: VersionRow, audit: AuditRow) -> bool:
        # The trail has our row for ever, also after a later publication.
        key = audit_key(row.number)
        return await confirm_write(self.table, key, encode(audit)) is not None


def audit_key(number: int) -> str:
    """Return the key of a publication's row in the audit trail."""
    return f"{AUDIT_PREFIX}version/{number:0{AUDIT_DIGITS}d}"


@define
class Follower:
    """What one process has in force: never an older version, never half of one."""

    active_version: VersionRow = field(factory=VersionRow)
    wanted: VersionRow = field(factory=VersionRow)

    def receive_version(self, row: VersionRow) -> bool:
        """Take news of a version; tell whether its content is to be fetched."""
        if row.number > self.wanted.number:
            self.wanted = row
        return self.wanted.number > self.active_version.number

    def accept(self, row: VersionRow, content: bytes) -> bool:
        """Take content; tell whether it is now the one in force.

        Content that does not match its digest, or is not newer, is refused.
        """
        if row.number <= self.active_version.number or digest_of(content) != row.digest:
            return False
        self.active_version = row
        return True
