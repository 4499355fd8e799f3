"""Which ends of runs a heartbeat to a worker may acknowledge."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Iterator

from redwingrun.jobs.workerlease import MAX_ORDER_DELAY_S
from redwingrun.jobs.workerpool import WorkerReport

# A worker does not crash, start again, and carry out and end a run within this time.
FRESH_REPORT_S = 0.1


class EndAcks:
    """Keeps the end numbers of one incarnation of a worker from reaching the next.

    A worker that restarts numbers its ends from 1 again, and forgets unread those up to
    a number that was meant for the former incarnation. So a number is acknowledged
    only if the last report lists an end up to it, and while no start can have had an
    end on a later incarnation since that report.

    :ivar last_sent: the last number that was sent to this incarnation, as far as it was
        known then; 0 for none.
    """

    def __init__(self) -> None:
        self.last_sent = 0
        self._listed_numbers: tuple[int, ...] = ()
        self._lists_all_ends = True
        self._report_sent_s = -math.inf
        self._doubted_s = -math.inf
        self._last_unanswered_s = -math.inf
        self._starts_in_flight = 0
        self._settled = asyncio.Event()
        self._settled.set()

    def record_report(self, report: WorkerReport, sent_s: float) -> None:
        """Record which ends the worker lists.

        :param sent_s: monotonic time at which the report was requested.
        """
        if sent_s < self._doubted_s:
            return
        self._listed_numbers = tuple(end.number for end in report.ends)
        self._lists_all_ends = report.lists_all_ends
        self._report_sent_s = sent_s

    def doubt_incarnation(self, now_s: float) -> None:
        """Acknowledge nothing before a report that is requested from now on."""
        self._listed_numbers = ()
        self._doubted_s = now_s

    @contextlib.contextmanager
    def start_in_flight(self) -> Iterator[None]:
        """Count a start as in flight until the block ends."""
        self._starts_in_flight += 1
        self._settled.clear()
        try:
            yield
        finally:
            self._starts_in_flight -= 1
            if not self._starts_in_flight:
                self._settled.set()

    def note_unanswered_start(self, now_s: float) -> None:
        """Record that a start got no answer; it may still be carried out."""
        self._last_unanswered_s = now_s

    async def wait_for_starts(self, timeout_s: float) -> None:
        """Wait until no start is in flight if there are ends to acknowledge."""
        if self._listed_numbers:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._settled.wait(), timeout_s)

    def must_hurry(self, now_s: float) -> bool:
        """Return whether the last report allows an acknowledgement only just now."""
        return self._may_start_late(now_s) and self._is_report_fresh(now_s)

    def number(self, durable_number: int, now_s: float) -> int:
        """Return up to which number a heartbeat may acknowledge ends; 0 for none.

        While a start without an answer may still be carried out, the last report must
        be fresh. A worker whose list is full is an exception: it could not list any
        more ends.

        :param durable_number: the number of the last end that is stored.
        """
        number = self._number(durable_number, now_s)
        self.last_sent = number or self.last_sent
        return number

    def _number(self, durable_number: int, now_s: float) -> int:
        if self._starts_in_flight:
            return 0
        if (
            self._lists_all_ends
            and self._may_start_late(now_s)
            and not self._is_report_fresh(now_s)
        ):
            return 0
        listed = [item for item in self._listed_numbers if item <= durable_number]
        return max(listed, default=0)

    def _may_start_late(self, now_s: float) -> bool:
        """Return whether a start without an answer may still be carried out."""
        return now_s < self._last_unanswered_s + MAX_ORDER_DELAY_S

    def _is_report_fresh(self, now_s: float) -> bool:
        return now_s - self._report_sent_s < FRESH_REPORT_S
