"""At-most-once ledger: each idempotency key gets a row before its request is sent."""

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


class KeyState(Enum):
    """State of an idempotency key.

    STARTED: an attempt holds the key, or ended with an unknown outcome. DONE: the
    answer is stored. OPEN: the last attempt did not run, so the key is free again.
    """

    STARTED = "started"
    DONE = "done"
    OPEN = "open"


@frozen
class LedgerRow:
    """Table row of one idempotency key.

    :param digest: digest of the request body; a key is valid for one body only.
    :param token: unique to one attempt, to confirm a write after a lost reply.
    :param answer: base64 text of the answer body, once the state is *done*.
    """

    team: str
    idempotency_key: str
    digest: str
    token: str
    state: str = KeyState.STARTED.value
    answer: str = ""
    upstream: str = ""

    @property
    def key(self) -> str:
        """The table key of the row."""
        return f"{LEDGER_PREFIX}{self.team}/{self.idempotency_key}"

    def stored_answer(self) -> Answer | None:
        """Return the stored answer, or ``None`` if the request is not done."""
        if self.state != KeyState.DONE.value:
            return None
        return Answer(base64.b64decode(self.answer), self.upstream)


@frozen
class Attempt:
    """The right to send the request once; its token is in the *started* row."""

    row: LedgerRow
    version: int


@frozen
class BodyMismatch:
    """The key was already used with another request body."""


class Ledger:
    """Grants each key to one attempt at a time and stores its outcome.

    A key that another attempt has *started* is reported as *may have run* and is
    not granted again. Only the attempt that holds it can reopen it, by finishing
    with *not run*.

    :param table: read back to confirm writes after a lost reply.
    :param writer: commits the writes: the table itself or a group commit.
    """

    def __init__(self, table: Table, writer: Table | GroupCommit):
        self._table = table
        self._writer = writer

    async def begin(
        self, team: str, idempotency_key: str, digest: str, token: str
    ) -> Attempt | Answer | BodyMismatch | Failure:
        """Claim a key, or return what is known about its request."""
        claim = LedgerRow(team, idempotency_key, digest, token)
        try:
            return await self._begin(claim)
        except TableUnavailable as error:
            return not_run("ledger-unavailable", str(error))

    async def _begin(
        self, claim: LedgerRow
    ) -> Attempt | Answer | BodyMismatch | Failure:
        found = await self._write(claim, Condition.absent(claim.key))
        if isinstance(found, Attempt):
            return found
        stored = await self._read(claim.key)
        if stored is None:
            return not_run(
                "ledger-unsettled",
                "the claim of the key was not confirmed; send the request again",
            )
        return await self._resolve_existing(claim, stored)

    async def _resolve_existing(
        self, claim: LedgerRow, stored: Row
    ) -> Attempt | Answer | BodyMismatch | Failure:
        row = decode(LedgerRow, stored.value)
        if row.token == claim.token and row.state == KeyState.STARTED.value:
            # Our own write took effect, but its reply was lost.
            return Attempt(row, stored.version)
        if row.digest != claim.digest:
            return BodyMismatch()
        answer = row.stored_answer()
        if answer is not None:
            return answer
        if row.state == KeyState.STARTED.value:
            return may_have_run(
                "started-before", "the outcome of an earlier attempt is unknown"
            )
        found = await self._write(claim, Condition.at(claim.key, stored.version))
        if isinstance(found, Attempt):
            return found
        return not_run(
            "ledger-raced", "another attempt claimed the key; send the request again"
        )

    async def _write(self, row: LedgerRow, condition: Condition) -> Attempt | None:
        change = Transaction((condition,), (Write(row.key, encode(row)),))
        try:
            result = await self._writer.transact(change)
        except TableUnknown:
            result = await self._confirm(row)
        if isinstance(result, Committed):
            return Attempt(row, result.version)
        return None

    async def _confirm(self, row: LedgerRow) -> Committed | None:
        try:
            return await confirm_write(self._table, row.key, encode(row))
        except TableUnknown as error:
            # The request was not sent yet, so it did not run, regardless of the row.
            raise TableUnavailable(str(error)) from error

    async def _read(self, key: str) -> Row | None:
        try:
            return await self._table.read(key)
        except TableUnknown as error:
            raise TableUnavailable(str(error)) from error

    async def stored_outcome(self, team: str, idempotency_key: str) -> Answer | Failure:
        """Return the stored answer of a key, or why there is none.

        The key is not claimed.
        """
        lookup = LedgerRow(team, idempotency_key, "", "")
        try:
            stored = await self._read(lookup.key)
        except TableUnavailable as error:
            return not_run("ledger-unavailable", str(error))
        row = decode(LedgerRow, stored.value) if stored else None
        if row is None or row.state == KeyState.OPEN.value:
            return not_run("not-found", "no request has run with this key")
        unknown = may_have_run("started-before", "the outcome is not known yet")
        return row.stored_answer() or unknown

    async def finish(self, attempt: Attempt, outcome: Answer | Failure) -> bool:
        """Store the outcome of an attempt.

        After *may have run* the row stays *started*.

        :return: whether the row certainly holds the outcome.
        """
        row = _finished_row(attempt.row, outcome)
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
            return await self._confirm_finished(row)

    async def _confirm_finished(self, row: LedgerRow) -> bool:
        try:
            return await confirm_write(self._table, row.key, encode(row)) is not None
        except (TableUnavailable, TableUnknown):
            return False


def _finished_row(row: LedgerRow, outcome: Answer | Failure) -> LedgerRow | None:
    if isinstance(outcome, Answer):
        body = base64.b64encode(outcome.body).decode()
        return evolve(
            row, state=KeyState.DONE.value, answer=body, upstream=outcome.upstream
        )
    if outcome.verdict is Verdict.NOT_RUN:
        return evolve(row, state=KeyState.OPEN.value)
    return None
