"""The at-most-once ledger: a row for an idempotency key before anything is sent."""

from __future__ import annotations

import base64
from enum import Enum

from attrs import evolve, frozen

from redwingrun.coordination.codec import decode, encode
from redwingrun.coordination.groupcommit import GroupCommit
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
from redwingrun.coordination.verdict import (
    Answer,
    Failure,
    Verdict,
    may_have_run,
    not_run,
)

LEDGER_PREFIX = "ledger/"


class EntryState(Enum):
    """How far a key has come."""

    STARTED = "started"
    DONE = "done"
    OPEN = "open"


@frozen
class LedgerRow:
    """What the table keeps of one idempotency key.

    :param token: unique to one attempt, to settle a lost answer.
    :param digest: of the request's body; a key means one body.
    :param answer: base64 text of the answer's body, once done.
    """

    team: str
    idempotency_key: str
    digest: str
    token: str
    state: str = EntryState.STARTED.value
    answer: str = ""
    upstream: str = ""

    @property
    def key(self) -> str:
        """The key of the row."""
        return f"{LEDGER_PREFIX}{self.team}/{self.idempotency_key}"

    def kept_answer(self) -> Answer | None:
        """Return the answer that the row keeps, if the work is done."""
        if self.state != EntryState.DONE.value:
            return None
        return Answer(base64.b64decode(self.answer), self.upstream)


@frozen
class Attempt:
    """The right to send once: the row stands as started under our token."""

    row: LedgerRow
    version: int


@frozen
class BodyMismatch:
    """The key was used before with another body."""


class Ledger:
    """Gives each key to one attempt at a time and keeps its outcome.

    A row found started by somebody else is *may have run* and is never given
    out again; only the attempt that holds it can reopen it, with a *not run*.

    :param table: read to settle lost answers.
    :param writer: what commits: the table itself, or a group commit before it.
    """

    def __init__(self, table: Table, writer: Table | GroupCommit):
        self._table = table
        self._writer = writer

    async def begin(
        self, team: str, idempotency_key: str, digest: str, token: str
    ) -> Attempt | Answer | BodyMismatch | Failure:
        """Claim a key, or return what is known of it."""
        wanted = LedgerRow(team, idempotency_key, digest, token)
        try:
            return await self._begin(wanted)
        except TableUnavailable as error:
            return not_run("ledger-unavailable", str(error))

    async def _begin(
        self, wanted: LedgerRow
    ) -> Attempt | Answer | BodyMismatch | Failure:
        found = await self._put(wanted, Condition.absent(wanted.key))
        if isinstance(found, Attempt):
            return found
        stored = await self._read(wanted.key)
        if stored is None:
            return not_run(
                "ledger-unsettled", "the table lost sight of the key; send again"
            )
        return await self._found(wanted, stored)

    async def _found(
        self, wanted: LedgerRow, stored: Row
    ) -> Attempt | Answer | BodyMismatch | Failure:
        row = decode(LedgerRow, stored.value)
        if row.token == wanted.token and row.state == EntryState.STARTED.value:
            # Our own write, whose answer was lost on the way back.
            return Attempt(row, stored.version)
        if row.digest != wanted.digest:
            return BodyMismatch()
        answer = row.kept_answer()
        if answer is not None:
            return answer
        if row.state == EntryState.STARTED.value:
            return may_have_run(
                "started-before", "an earlier attempt has no known outcome"
            )
        found = await self._put(wanted, Condition.at(wanted.key, stored.version))
        if isinstance(found, Attempt):
            return found
        return not_run("ledger-raced", "another attempt took the key; send again")

    async def _put(self, row: LedgerRow, condition: Condition) -> Attempt | None:
        change = Transaction((condition,), (Write(row.key, encode(row)),))
        try:
            result = await self._writer.transact(change)
        except TableUnknown:
            result = await self._settle(row)
        if isinstance(result, Committed):
            return Attempt(row, result.version)
        return None

    async def _settle(self, row: LedgerRow) -> Committed | None:
        try:
            return await confirm_write(self._table, row.key, encode(row))
        except TableUnknown as error:
            # Nothing was sent yet, so this attempt did not run whatever the row says.
            raise TableUnavailable(str(error)) from error

    async def _read(self, key: str) -> Row | None:
        try:
            return await self._table.read(key)
        except TableUnknown as error:
            raise TableUnavailable(str(error)) from error

    async def stored_outcome(self, team: str, idempotency_key: str) -> Answer | Failure:
        """Return the answer kept for a key, without claiming it."""
        wanted = LedgerRow(team, idempotency_key, "", "")
        try:
            stored = await self._read(wanted.key)
        except TableUnavailable as error:
            return not_run("ledger-unavailable", str(error))
        row = decode(LedgerRow, stored.value) if stored else None
        if row is None or row.state == EntryState.OPEN.value:
            return not_run("not-found", "nothing has run under this key")
        unknown = may_have_run("started-before", "there is no known outcome yet")
        return row.kept_answer() or unknown

    async def finish(self, attempt: Attempt, outcome: Answer | Failure) -> bool:
        """Keep the outcome of an attempt.

        :return: whether the row certainly holds it; *may have run* stays started.
        """
        row = _finished(attempt.row, outcome)
        if row is None:
            return True
        change = Transaction(
            (Condition.at(row.key, attempt.version),), (Write(row.key, encode(row)),)
        )
        try:
            return isinstance(await self._writer.transact(change), Committed)
        except TableUnavailable:
            return False
        except TableUnknown:
            return await self._finished_after_all(row)

    async def _finished_after_all(self, row: LedgerRow) -> bool:
        try:
            return await confirm_write(self._table, row.key, encode(row)) is not None
        except (TableUnavailable, TableUnknown):
            return False


def _finished(row: LedgerRow, outcome: Answer | Failure) -> LedgerRow | None:
    if isinstance(outcome, Answer):
        body = base64.b64encode(outcome.body).decode()
        return evolve(
            row, state=EntryState.DONE.value, answer=body, upstream=outcome.upstream
        )
    if outcome.verdict is Verdict.NOT_RUN:
        return evolve(row, state=EntryState.OPEN.value)
    return None
