"""Acceptance, state and cancellation of jobs, at any member, from the table alone."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from expression import Error, Ok, Result

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.table import (
    Committed,
    Condition,
    Table,
    TableUnavailable,
    TableUnknown,
    Transaction,
    Write,
)
from redwingrun.coordination.verdict import Failure, may_have_run, not_run
from redwingrun.jobs.progress import JobState, decode_state
from redwingrun.jobs.rows import cancel_key, job_key, progress_key

RETRY_S = 0.06
# A call that may have taken effect is tried again until this is left of its time.
SETTLE_MARGIN_S = 0.25
# Tries of a call that certainly had no effect, before it is refused.
QUICK_TRIES = 2
REMEMBERED_JOBS = 20_000


class _Recent(OrderedDict):
    """The newest jobs that this member knows something final of."""

    def note(self, job_id: str, value: object) -> None:
        """Remember, and forget the oldest beyond the bound."""
        self[job_id] = value
        self.move_to_end(job_id)
        if len(self) > REMEMBERED_JOBS:
            self.popitem(last=False)


class Intake:
    """What clients ask of a slice.

    :param table: the rows of the slice.
    """

    def __init__(self, table: Table, slice_name: str, clock: Clock):
        self._table = table
        self._slice = slice_name
        self._clock = clock
        self._known = _Recent()
        self._final = _Recent()

    async def submit(
        self, job_id: str, submission: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Store a submission; the same id again is the same job.

        :return: whether it is new. A failure that is *not run* is final: the
            submission will never be stored.
        """
        key = job_key(self._slice, job_id)
        transaction = Transaction((Condition.absent(key),), (Write(key, submission),))
        result = await self._write(transaction, timeout_s)
        if result.is_ok():
            self._known.note(job_id, True)
        return result

    async def cancel(self, job_id: str, timeout_s: float) -> Result[bool, Failure]:
        """Store the wish to end a job.

        :return: whether there is such a job.
        """
        until_s = self._clock.now() + timeout_s
        known = await self._is_known(job_id, until_s)
        if known.is_error() or not known.ok:
            return known
        transaction = Transaction((), (Write(cancel_key(self._slice, job_id), "{}"),))
        result = await self._write(transaction, until_s - self._clock.now())
        return result.map(lambda _: True)

    async def state(
        self, job_id: str, timeout_s: float
    ) -> Result[JobState | None, Failure]:
        """Return a job's state, ``None`` when the table holds no such job."""
        if job_id in self._final:
            return Ok(self._final[job_id])
        until_s = self._clock.now() + timeout_s
        row = await self._read(progress_key(self._slice, job_id), until_s)
        if row.is_error():
            return row
        if row.ok is not None:
            state = decode_state(row.ok.value)
            if state.is_final:
                self._final.note(job_id, state)
            return Ok(state)
        known = await self._is_known(job_id, until_s)
        return known.map(lambda there: JobState.QUEUED if there else None)

    async def _is_known(self, job_id: str, until_s: float) -> Result[bool, Failure]:
        if job_id in self._known:
            return Ok(True)
        row = await self._read(job_key(self._slice, job_id), until_s)
        if row.is_ok() and row.ok is not None:
            self._known.note(job_id, True)
        return row.map(lambda found: found is not None)

    async def _read(self, key: str, until_s: float) -> Result:
        while True:
            try:
                left_s = max(0.0, until_s - self._clock.now())
                return Ok(await asyncio.wait_for(self._table.read(key), left_s))
            except TimeoutError:
                return Error(not_run("table-away", "no answer in time"))
            except (TableUnavailable, TableUnknown) as error:
                if self._clock.now() + SETTLE_MARGIN_S > until_s:
                    return Error(not_run("table-away", str(error)))
            await asyncio.sleep(RETRY_S)

    async def _write(
        self, transaction: Transaction, timeout_s: float
    ) -> Result[bool, Failure]:
        until_s = self._clock.now() + timeout_s - SETTLE_MARGIN_S
        tries = 0
        unsure = False
        while True:
            tries += 1
            try:
                left_s = max(0.0, until_s + SETTLE_MARGIN_S - self._clock.now())
                work = self._table.transact(transaction)
                outcome = await asyncio.wait_for(work, left_s)
                return Ok(isinstance(outcome, Committed))
            except TimeoutError:
                return Error(may_have_run("table-away", "no answer in time"))
            except TableUnavailable as error:
                why = str(error)
            except TableUnknown as error:
                why = str(error)
                unsure = True
            if not unsure and tries >= QUICK_TRIES:
                return Error(not_run("table-away", why))
            if self._clock.now() > until_s:
                make: Callable[..., Failure] = may_have_run if unsure else not_run
                return Error(make("table-away", why))
            await asyncio.sleep(RETRY_S)
