"""Submission, state and cancellation of jobs through the table, at any member."""

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
    TableRejected,
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

RETRY_INTERVAL_S = 0.06
# A call that may have taken effect is retried until this much of its timeout is left.
RETRY_CUTOFF_S = 0.25
# Reason of a failure when the table does not answer.
TABLE_UNAVAILABLE = "table-away"
# Reason of a failure when the table will never store the submission.
TABLE_REJECTS = "too-large"
# Attempts at a write that certainly had no effect, before the request is refused.
NOT_RUN_ATTEMPTS = 2
MAX_CACHED_JOBS = 20_000


class _RecentJobs(OrderedDict):
    """A bounded cache, by job id, of facts that no longer change."""

    def put(self, job_id: str, value: object) -> None:
        """Store a value; evict the oldest above ``MAX_CACHED_JOBS``."""
        self[job_id] = value
        self.move_to_end(job_id)
        if len(self) > MAX_CACHED_JOBS:
            self.popitem(last=False)


class JobStore:
    """Stores and reads the jobs of a slice.

    A job's submission is kept in one of two partitions of the table, so that a job can
    be accepted while one of them does not answer.

    :param table: the rows of the slice.
    :param table_is_unavailable: returns whether the table's last answer to this member
        is too old; then calls are not retried.
    """

    def __init__(
        self,
        table: Table,
        slice_name: str,
        clock: Clock,
        table_is_unavailable: Callable[[], bool],
    ):
        self._table = table
        self._slice_name = slice_name
        self._clock = clock
        self._table_is_unavailable = table_is_unavailable
        self._health = PartitionHealth(clock)
        self._existing_jobs = _RecentJobs()
        self._final_state_by_job = _RecentJobs()

    async def submit(
        self, job_id: str, submission: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Store a submission; a second one with the same id is the same job.

        A partition that does not answer is skipped. The submission may then be stored
        in both partitions, and is still one job.

        :return: whether the job is new. After a failure that is *not run* the
            submission is not stored, and never will be.
        """
        transactions = {
            key: Transaction((Condition.absent(key),), (Write(key, submission),))
            for key in job_keys(self._slice_name, job_id)
        }
        result = await self._write_first_available(transactions, timeout_s)
        if result.is_ok():
            self._existing_jobs.put(job_id, True)
        return result

    async def cancel(self, job_id: str, timeout_s: float) -> Result[bool, Failure]:
        """Store the cancellation of a job.

        :return: whether there is such a job.
        """
        deadline_s = self._clock.now() + timeout_s
        exists = await self._job_exists(job_id, deadline_s)
        if exists.is_error() or not exists.ok:
            return exists
        transactions = {
            key: Transaction((), (Write(key, "{}"),))
            for key in cancel_keys(self._slice_name, job_id)
        }
        result = await self._write_first_available(
            transactions, deadline_s - self._clock.now()
        )
        return result.map(lambda _: True)

    async def state(
        self, job_id: str, timeout_s: float
    ) -> Result[JobState | None, Failure]:
        """Return a job's state; ``None`` if there is no such job."""
        if job_id in self._final_state_by_job:
            return Ok(self._final_state_by_job[job_id])
        deadline_s = self._clock.now() + timeout_s
        row = await self._read_progress(job_id, deadline_s)
        if row.is_error():
            return row
        if row.ok is not None:
            state = decode_state(row.ok.value)
            if state.is_final:
                self._final_state_by_job.put(job_id, state)
            return Ok(state)
        exists = await self._job_exists(job_id, deadline_s)
        return exists.map(lambda found: JobState.QUEUED if found else None)

    async def _read_progress(self, job_id: str, deadline_s: float) -> Result:
        """Read a job's progress row, from a standby partition if the primary fails.

        The row in a standby partition may be out of date. It is returned only if it
        says that the job has ended, because that can't change.
        """
        primary_key = progress_key(self._slice_name, job_id)
        failure = Error(
            not_run(TABLE_UNAVAILABLE, "the primary partition failed recently")
        )
        if not self._health.is_suspect(primary_key):
            row = await self._read_once(primary_key, deadline_s)
            if row.is_ok():
                return row
            failure = row
        for partition in standby_partitions(self._slice_name):
            standby_key = progress_key(partition, job_id)
            if self._health.is_suspect(standby_key):
                continue
            row = await self._read_once(standby_key, deadline_s)
            if row.is_ok() and row.ok and decode_state(row.ok.value).is_final:
                return row
        row = await self._read_once(primary_key, deadline_s)
        return row if row.is_ok() else failure

    async def exists(self, job_id: str, timeout_s: float) -> Result[bool, Failure]:
        """Return whether a job was submitted."""
        return await self._job_exists(job_id, self._clock.now() + timeout_s)

    async def _job_exists(
        self, job_id: str, deadline_s: float
    ) -> Result[bool, Failure]:
        """Return whether a job was submitted.

        :return: ``False`` only if both partitions of the job have answered that they
            hold no submission; a failure if one of them did not answer.
        """
        if job_id in self._existing_jobs:
            return Ok(True)
        failure = None
        for key in self._health.healthy_first(job_keys(self._slice_name, job_id)):
            row = await self._read_with_retries(key, deadline_s)
            if row.is_error():
                failure = row
            elif row.ok is not None:
                self._existing_jobs.put(job_id, True)
                return Ok(True)
        return failure or Ok(False)

    async def _read_with_retries(self, key: str, deadline_s: float) -> Result:
        """Read a row; retry until shortly before the deadline."""
        while True:
            row = await self._read_once(key, deadline_s)
            if row.is_ok() or self._clock.now() + RETRY_CUTOFF_S > deadline_s:
                return row
            if self._table_is_unavailable():
                return row
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _read_once(self, key: str, deadline_s: float) -> Result:
        left_s = max(0.0, deadline_s - self._clock.now())
        try:
            row = await asyncio.wait_for(self._table.read(key), left_s)
        except TimeoutError:
            return Error(not_run(TABLE_UNAVAILABLE, "no answer before the deadline"))
        except (TableUnavailable, TableUnknown) as error:
            self._health.record_failure(key)
            return Error(not_run(TABLE_UNAVAILABLE, str(error)))
        self._health.record_answer(key)
        return Ok(row)

    async def _write_first_available(
        self, transactions: dict[str, Transaction], timeout_s: float
    ) -> Result[bool, Failure]:
        """Apply one of several transactions: the first whose partition answers.

        :param transactions: alternatives by the key that they write.
        :return: ``True`` if the transaction was committed, ``False`` on a conflict; a
            failure with the reason ``TABLE_REJECTS`` if it never will be.
        """
        last_retry_s = self._clock.now() + timeout_s - RETRY_CUTOFF_S
        attempts = 0
        failure: Failure | None = None
        while True:
            attempts += 1
            for key in self._health.healthy_first(transactions):
                result = await self._write_once(key, transactions[key], last_retry_s)
                if result.is_ok() or result.error.reason == TABLE_REJECTS:
                    return result
                failure = _less_certain(failure, result.error)
            is_uncertain = failure.verdict is Verdict.MAY_HAVE_RUN
            is_unavailable = self._table_is_unavailable()
            if is_unavailable or (not is_uncertain and attempts >= NOT_RUN_ATTEMPTS):
                return Error(failure)
            if self._clock.now() > last_retry_s:
                return Error(failure)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _write_once(
        self, key: str, transaction: Transaction, last_retry_s: float
    ) -> Result[bool, Failure]:
        left_s = max(0.0, last_retry_s + RETRY_CUTOFF_S - self._clock.now())
        if not left_s:
            return Error(not_run(TABLE_UNAVAILABLE, "the deadline has passed"))
        try:
            work = self._table.transact(transaction)
            outcome = await asyncio.wait_for(work, left_s)
        except TimeoutError:
            return Error(
                may_have_run(TABLE_UNAVAILABLE, "no answer before the deadline")
            )
        except TableRejected as error:
            return Error(not_run(TABLE_REJECTS, str(error)))
        except TableUnavailable as error:
            self._health.record_failure(key)
            return Error(not_run(TABLE_UNAVAILABLE, str(error)))
        except TableUnknown as error:
            self._health.record_failure(key)
            return Error(may_have_run(TABLE_UNAVAILABLE, str(error)))
        self._health.record_answer(key)
        return Ok(isinstance(outcome, Committed))


def _less_certain(first: Failure | None, second: Failure) -> Failure:
    """Return the failure that says less about whether the request ran."""
    if first is not None and first.verdict is Verdict.MAY_HAVE_RUN:
        return first
    return second
