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
from redwingrun.coordination.verdict import Failure, Verdict, may_have_run, not_run
from redwingrun.jobs.partitionhealth import PartitionHealth
from redwingrun.jobs.progress import JobState, decode_state
from redwingrun.jobs.rowkeys import (
    cancel_keys,
    job_keys,
    progress_key,
    standby_partitions,
)

RETRY_S = 0.06
# A call that may have taken effect is tried again until this is left of its time.
SETTLE_MARGIN_S = 0.25
# Why a request is not served when the table does not answer.
TABLE_AWAY = "table-away"
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


class JobStore:
    """What clients ask of a slice.

    :param table: the rows of the slice.
    :param table_is_away: tells whether the table answers nothing at all.
    """

    def __init__(
        self,
        table: Table,
        slice_name: str,
        clock: Clock,
        table_is_away: Callable[[], bool],
    ):
        self._table = table
        self._slice = slice_name
        self._clock = clock
        self._table_is_away = table_is_away
        self._health = PartitionHealth(clock)
        self._known = _Recent()
        self._final = _Recent()

    async def submit(
        self, job_id: str, submission: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Store a submission; the same id again is the same job.

        A part that does not answer is passed over: the job may then stand in two
        parts, and still is one.

        :return: whether it is new. A failure that is *not run* is final: the
            submission will never be stored.
        """
        transactions = {
            key: Transaction((Condition.absent(key),), (Write(key, submission),))
            for key in job_keys(self._slice, job_id)
        }
        result = await self._write(transactions, timeout_s)
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
        transactions = {
            key: Transaction((), (Write(key, "{}"),))
            for key in cancel_keys(self._slice, job_id)
        }
        result = await self._write(transactions, until_s - self._clock.now())
        return result.map(lambda _: True)

    async def state(
        self, job_id: str, timeout_s: float
    ) -> Result[JobState | None, Failure]:
        """Return a job's state, ``None`` when the table holds no such job."""
        if job_id in self._final:
            return Ok(self._final[job_id])
        until_s = self._clock.now() + timeout_s
        row = await self._progress(job_id, until_s)
        if row.is_error():
            return row
        if row.ok is not None:
            state = decode_state(row.ok.value)
            if state.is_final:
                self._final.note(job_id, state)
            return Ok(state)
        known = await self._is_known(job_id, until_s)
        return known.map(lambda there: JobState.QUEUED if there else None)

    async def _progress(self, job_id: str, until_s: float) -> Result:
        """Read a job's progress, from a standby part while the primary is silent.

        What a standby part says of a job that goes on may be old: it counts only
        if the job has ended.
        """
        usual = progress_key(self._slice, job_id)
        failure = Error(not_run(TABLE_AWAY, "the owner's part is silent"))
        if not self._health.is_doubtful(usual):
            row = await self._read_once(usual, until_s)
            if row.is_ok():
                return row
            failure = row
        for part in standby_partitions(self._slice):
            standby = progress_key(part, job_id)
            if self._health.is_doubtful(standby):
                continue
            row = await self._read_once(standby, until_s)
            if row.is_ok() and row.ok and decode_state(row.ok.value).is_final:
                return row
        row = await self._read_once(usual, until_s)
        return row if row.is_ok() else failure

    async def _is_known(self, job_id: str, until_s: float) -> Result[bool, Failure]:
        """Tell whether a job was submitted; it is not if both parts say so."""
        if job_id in self._known:
            return Ok(True)
        failure = None
        for key in self._health.ordered(job_keys(self._slice, job_id)):
            row = await self._read(key, until_s)
            if row.is_error():
                failure = row
            elif row.ok is not None:
                self._known.note(job_id, True)
                return Ok(True)
        return failure or Ok(False)

    async def _read(self, key: str, until_s: float) -> Result:
        while True:
            row = await self._read_once(key, until_s)
            if row.is_ok() or self._clock.now() + SETTLE_MARGIN_S > until_s:
                return row
            if self._table_is_away():
                return row
            await asyncio.sleep(RETRY_S)

    async def _read_once(self, key: str, until_s: float) -> Result:
        left_s = max(0.0, until_s - self._clock.now())
        try:
            row = await asyncio.wait_for(self._table.read(key), left_s)
        except TimeoutError:
            return Error(not_run(TABLE_AWAY, "no answer in time"))
        except (TableUnavailable, TableUnknown) as error:
            self._health.failed(key)
            return Error(not_run(TABLE_AWAY, str(error)))
        self._health.answered(key)
        return Ok(row)

    async def _write(
        self, transactions: dict[str, Transaction], timeout_s: float
    ) -> Result[bool, Failure]:
        """Store one of some transactions, the first whose part answers."""
        until_s = self._clock.now() + timeout_s - SETTLE_MARGIN_S
        tries = 0
        last: Failure | None = None
        while True:
            tries += 1
            for key in self._health.ordered(transactions):
                result = await self._write_once(key, transactions[key], until_s)
                if result.is_ok():
                    return result
                last = _worse(last, result.error)
            unsure = last.verdict is Verdict.MAY_HAVE_RUN
            away = self._table_is_away()
            if away or (not unsure and tries >= QUICK_TRIES):
                return Error(last)
            if self._clock.now() > until_s:
                return Error(last)
            await asyncio.sleep(RETRY_S)

    async def _write_once(
        self, key: str, transaction: Transaction, until_s: float
    ) -> Result[bool, Failure]:
        left_s = max(0.0, until_s + SETTLE_MARGIN_S - self._clock.now())
        if not left_s:
            return Error(not_run(TABLE_AWAY, "no time left"))
        try:
            work = self._table.transact(transaction)
            outcome = await asyncio.wait_for(work, left_s)
        except TimeoutError:
            return Error(may_have_run(TABLE_AWAY, "no answer in time"))
        except TableUnavailable as error:
            self._health.failed(key)
            return Error(not_run(TABLE_AWAY, str(error)))
        except TableUnknown as error:
            self._health.failed(key)
            return Error(may_have_run(TABLE_AWAY, str(error)))
        self._health.answered(key)
        return Ok(isinstance(outcome, Committed))


def _worse(first: Failure | None, second: Failure) -> Failure:
    """Return the failure that says less about whether it ran."""
    if first is not None and first.verdict is Verdict.MAY_HAVE_RUN:
        return first
    return second
