"""The memory that unfinished jobs need on the owner, and whether one more is accepted.

A submission of a few bytes may name thousands of tasks, each of which the owner keeps
until the job has ended.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, frozen

from redwingrun.bodylimits import BYTES_PER_MB, PROCESS_MB
from redwingrun.jobs.spec import JobSpec

BYTES_PER_JOB = 4_096
BYTES_PER_STEP = 1_024
BYTES_PER_TASK = 192
# Part of the owner's memory beside the process that unfinished jobs may use, and the
# least that they may: several of the largest jobs.
BACKLOG_MEMORY_SHARE = 0.25
MIN_BACKLOG_BYTES = 16 * BYTES_PER_MB
# A job may need this part of the room that is left. So large jobs leave room for small
# ones, which are many.
MAX_SHARE_OF_ROOM = 0.25
BACKLOG_FULL = "backlog-full"
# While no owner has reported its room, what was accepted before the last two of these
# intervals no longer counts.
UNKNOWN_OWNER_REPORT_S = 10.0


def max_backlog_bytes(memory_mb: float) -> int:
    """Return how much memory unfinished jobs may need on a host.

    :param memory_mb: memory of the host, in MiB.
    """
    room_bytes = max(0.0, memory_mb - PROCESS_MB) * BYTES_PER_MB
    return max(MIN_BACKLOG_BYTES, int(room_bytes * BACKLOG_MEMORY_SHARE))


def description_bytes(spec: JobSpec) -> int:
    """Return the memory of a job without its tasks."""
    text_bytes = len(spec.payload)
    for step in spec.steps:
        text_bytes += len(step.required_label) + len(step.data_rack) + len(step.image)
    return BYTES_PER_JOB + BYTES_PER_STEP * len(spec.steps) + text_bytes


def occurrence_bytes(spec: JobSpec) -> int:
    """Return the memory of the tasks of one occurrence of a job."""
    return BYTES_PER_TASK * sum(step.tasks for step in spec.steps)


def submission_bytes(spec: JobSpec) -> int:
    """Return the memory of a job with its first occurrence."""
    return description_bytes(spec) + occurrence_bytes(spec)


@frozen
class BacklogReport:
    """What is known of the owner's room for jobs.

    :param room_bytes: memory that is left for jobs; ``None`` if that is not limited.
    :param number: changes with each report; 0 if this member is the owner, whose room
        is known at any time.
    """

    room_bytes: int | None = None
    number: float = 0.0


class BacklogSource(ABC):
    """Where the room for jobs is known from."""

    @abstractmethod
    def backlog_report(self) -> BacklogReport:
        """Return the newest report."""


@define
class BacklogGate:
    """Decides at a member whether a job is accepted; does no I/O.

    What was accepted since a report counts until the second report after it: the first
    may have been written before the owner knew of the job.
    """

    _source: BacklogSource
    _reserved_bytes: int = 0
    _accepted_bytes: int = 0
    _accepted_before_bytes: int = 0
    _report_number: float = 0.0

    def has_room(self, needed_bytes: int) -> bool:
        """Return whether a job may be accepted now.

        :param needed_bytes: memory that the owner will need for it.
        """
        report = self._source.backlog_report()
        if report.room_bytes is None:
            return True
        if report.number != self._report_number:
            self._report_number = report.number
            self._accepted_before_bytes = self._accepted_bytes
            self._accepted_bytes = 0
        left_bytes = report.room_bytes - self._reserved_bytes
        if report.number:
            left_bytes -= self._accepted_bytes + self._accepted_before_bytes
        return needed_bytes <= left_bytes * MAX_SHARE_OF_ROOM

    @contextmanager
    def reserve(self, needed_bytes: int) -> Iterator[None]:
        """Count a job while it is being stored, and as accepted afterwards."""
        self._reserved_bytes += needed_bytes
        try:
            yield
        finally:
            self._reserved_bytes -= needed_bytes
            self._accepted_bytes += needed_bytes
