"""The rows that hold a job's progress: one, or several for a job with many tasks.

The table limits the size of a row. The tasks of a large job are stored in rows of their
own, ``TASKS_PER_ROW`` of a step in each, and the job's row counts them. Only those that
changed are written, before the job's row.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator, Mapping

import orjson

from redwingrun.jobs.progress import (
    JobProgress,
    TaskProgress,
    decode_progress,
    decode_stamp,
    decode_tasks,
    encode_progress,
    encode_tasks,
    encode_without_tasks,
    has_task_rows,
)

# A job whose progress needs more has rows for its tasks.
MAX_JOB_ROW_BYTES = 16_384
# Part of the format of rows: the name of a row says which tasks of the step it holds.
# The platform's limit leaves 245 bytes for each of them.
TASKS_PER_ROW = 200
# Separates a job's id from what names its task rows.
NAME_SEPARATOR = "."


class ProgressRowEncoder:
    """Encodes the progress of jobs, and leaves out task rows that have not changed.

    :ivar _stored_digest_by_name: digest of the tasks that each task row holds.
    :ivar _encoded_digest_by_name: the same for the rows that were last encoded.
    """

    def __init__(self) -> None:
        self._stored_digest_by_name: dict[str, bytes] = {}
        self._encoded_digest_by_name: dict[str, bytes] = {}

    def encode(self, job_id: str, progress: JobProgress) -> dict[str, str]:
        """Return the rows to write, by name, in the order in which to write them.

        The job's row is the last one: until it is stored, the rows before it belong to
        a commit that is not complete.
        """
        if progress.state.is_final:
            self._forget(job_id)
        text = encode_progress(progress)
        if len(text) <= MAX_JOB_ROW_BYTES:
            return {job_id: text}
        rows = {}
        for name, tasks in _task_rows(job_id, progress):
            digest = hashlib.sha256(tasks).digest()
            if self._stored_digest_by_name.get(name) != digest:
                self._encoded_digest_by_name[name] = digest
                rows[name] = _task_row(progress.stamp, tasks)
        rows[job_id] = encode_without_tasks(progress)
        return rows

    def mark_stored(self, names: Iterable[str]) -> None:
        """Record that rows are stored as they were last encoded."""
        for name in names:
            if name in self._encoded_digest_by_name:
                digest = self._encoded_digest_by_name.pop(name)
                self._stored_digest_by_name[name] = digest

    def _forget(self, job_id: str) -> None:
        names = [key for key in self._stored_digest_by_name if job_of(key) == job_id]
        for name in names:
            del self._stored_digest_by_name[name]


def job_of(name: str) -> str:
    """Return the id of the job that a row belongs to."""
    return name.partition(NAME_SEPARATOR)[0]


def decode_rows(text_by_name: Mapping[str, str]) -> dict[str, JobProgress]:
    """Return the progress of each job from all rows.

    Task rows count only while the job's row has no tasks itself: a job may have been
    small again, or have ended, when its own row was written.
    """
    progress_by_job = {}
    for name, text in text_by_name.items():
        if job_of(name) != name:
            continue
        progress = decode_progress(text)
        if has_task_rows(text):
            _fill_in_tasks(name, progress, text_by_name)
        progress_by_job[name] = progress
    return progress_by_job


def newer_rows(
    text_by_name: Mapping[str, str], other_by_name: Mapping[str, str]
) -> dict[str, str]:
    """Return those of some other rows that are newer, or that the first ones lack."""
    return {
        name: text
        for name, text in other_by_name.items()
        if name not in text_by_name
        or decode_stamp(text_by_name[name]) < decode_stamp(text)
    }


def _fill_in_tasks(
    job_id: str, progress: JobProgress, text_by_name: Mapping[str, str]
) -> None:
    """Replace the waiting tasks of a job by those that its task rows hold."""
    for name, tasks, start, end in _slices(job_id, progress):
        text = text_by_name.get(name)
        if text is not None:
            tasks[start:end] = decode_tasks(orjson.loads(text)["tasks"])


def _task_rows(job_id: str, progress: JobProgress) -> Iterator[tuple[str, bytes]]:
    """Yield the name and the encoded tasks of each task row."""
    for name, tasks, start, end in _slices(job_id, progress):
        yield name, orjson.dumps(encode_tasks(tasks[start:end]))


def _slices(
    job_id: str, progress: JobProgress
) -> Iterator[tuple[str, list[TaskProgress], int, int]]:
    """Yield each task row's name, the step's tasks, and where among them it is."""
    for occurrence, steps in progress.tasks_by_occurrence.items():
        for position, tasks in enumerate(steps):
            for start in range(0, len(tasks), TASKS_PER_ROW):
                parts = job_id, occurrence, position, start // TASKS_PER_ROW
                name = NAME_SEPARATOR.join(map(str, parts))
                yield name, tasks, start, start + TASKS_PER_ROW


def _task_row(stamp: tuple[int, int], tasks: bytes) -> str:
    """Return the value of a task row."""
    return orjson.dumps({"at": stamp, "tasks": orjson.Fragment(tasks)}).decode()
