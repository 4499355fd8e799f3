"""The rows of jobs with many tasks."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from redwingrun.jobs.progress import (
    JobProgress,
    JobState,
    TaskProgress,
    TaskState,
    encode_progress,
)
from redwingrun.jobs.progressrows import (
    MAX_JOB_ROW_BYTES,
    ProgressRowEncoder,
    decode_rows,
    job_of,
    newer_rows,
)
from redwingrun.jobs.spec import MAX_TASKS_PER_JOB
from tests.jobs.cluster import job, job_id, step

# The platform's limit of a row, of which its encoding takes a quarter.
MAX_ROW_BYTES = 49_152
JOB = job_id(1)


def placed(*counts: int) -> JobProgress:
    """Return the progress of a job with steps of so many tasks, all placed."""
    progress = JobProgress.fresh()
    progress.add_occurrence(0, job(*(step(count) for count in counts)))
    progress.state = JobState.RUNNING
    progress.stamp = (5, 1)
    for tasks in progress.tasks_by_occurrence[0]:
        for index, task in enumerate(tasks):
            task.state, task.run = TaskState.PLACED, 1
            task.worker = f"i-0123456789abcdef-{index % 24}"
            task.checkpoint = "00000bb87a21d94b"
    return progress


def largest(rows: dict[str, str]) -> int:
    """Return the size of the largest row in bytes."""
    return max(len(text.encode()) for text in rows.values())


# Guards against a job whose progress fits into no row: nothing of it could be stored,
# and neither could the progress of any other job.
@pytest.mark.parametrize("counts", [(10,), (1000,), (4000, 12), (MAX_TASKS_PER_JOB,)])
def test_no_row_of_a_job_is_larger_than_the_table_allows(counts: tuple[int, ...]):
    progress = placed(*counts)
    rows = ProgressRowEncoder().encode(JOB, progress)
    assert largest(rows) <= MAX_ROW_BYTES
    assert list(rows)[-1] == JOB
    assert decode_rows(rows) == {JOB: progress}


# Guards against rows of the version before, which hold all tasks of a job, that are
# read as another job or not at all, also if they are larger than any row now.
@pytest.mark.parametrize("tasks", [3, 4000])
def test_a_row_with_all_tasks_is_read(tasks: int):
    progress = placed(tasks)
    text = encode_progress(progress)
    assert (len(text) > MAX_JOB_ROW_BYTES) is (tasks > 3)
    assert decode_rows({JOB: text}) == {JOB: progress}


# Guards against a large job whose every change writes all its tasks.
def test_only_the_task_rows_that_changed_are_written():
    progress, encoder = placed(4000), ProgressRowEncoder()
    encoder.mark_stored(encoder.encode(JOB, progress))
    progress.tasks_by_occurrence[0][0][450].state = TaskState.DONE
    assert list(encoder.encode(JOB, progress)) == [f"{JOB}.0.0.2", JOB]


# Guards against a task row that counts as stored although its commit failed.
def test_task_rows_that_were_not_stored_are_written_again():
    progress, encoder = placed(1000), ProgressRowEncoder()
    first = encoder.encode(JOB, progress)
    assert encoder.encode(JOB, progress) == first


# Guards against task rows of a job that has ended, or has become small again, that
# bring back the tasks of earlier.
def test_task_rows_do_not_count_if_the_row_of_the_job_is_newer():
    progress, encoder = placed(1000), ProgressRowEncoder()
    rows = encoder.encode(JOB, progress)
    encoder.mark_stored(rows)
    for task in progress.tasks_by_occurrence[0][0]:
        task.state, task.worker, task.checkpoint = TaskState.DONE, "", ""
    rows.update(encoder.encode(JOB, progress))
    read = decode_rows(rows)[JOB]
    assert {task.state for task in read.tasks_by_occurrence[0][0]} == {TaskState.DONE}
    progress.state = JobState.COMPLETED
    rows.update(encoder.encode(JOB, progress))
    assert decode_rows(rows)[JOB].state is JobState.COMPLETED
    assert decode_rows(rows)[JOB].tasks_by_occurrence == {}


# Guards against a job that is read as new because its row was stored without the rows
# of its tasks: an incomplete commit must leave what was stored before it.
def test_an_incomplete_commit_changes_nothing_of_a_job_with_one_row():
    progress, encoder = placed(300), ProgressRowEncoder()
    for task in progress.tasks_by_occurrence[0][0]:
        task.worker, task.checkpoint = "i", ""
    before = encoder.encode(JOB, progress)
    assert list(before) == [JOB]
    expected = decode_rows(before)
    for task in progress.tasks_by_occurrence[0][0]:
        task.worker, task.checkpoint = "i" * 30, "c" * 30
    after = encoder.encode(JOB, progress)
    assert len(after) > 1
    for stored in range(len(after)):
        partly = dict(list(after.items())[:stored])
        assert decode_rows({**before, **partly}) == expected


# Guards against an old task row in a standby partition that replaces a newer one.
def test_of_two_task_rows_the_one_with_the_higher_stamp_counts():
    progress, encoder = placed(1000), ProgressRowEncoder()
    old = encoder.encode(JOB, progress)
    encoder.mark_stored(old)
    progress.stamp = (5, 2)
    progress.tasks_by_occurrence[0][0][0].state = TaskState.DONE
    new = encoder.encode(JOB, progress)
    assert newer_rows({**old, **new}, old) == {}
    assert newer_rows(old, new) == new


@given(
    counts=st.lists(st.integers(1, 700), min_size=1, max_size=4),
    changes=st.lists(st.tuples(st.integers(0, 3), st.integers(0, 699)), max_size=30),
)
@settings(max_examples=40, deadline=None, database=None, derandomize=True)
def test_rows_written_one_change_after_the_other_give_the_progress(counts, changes):
    progress, encoder, stored = placed(*counts), ProgressRowEncoder(), {}
    for number, (position, index) in enumerate(changes):
        tasks = progress.tasks_by_occurrence[0][position % len(counts)]
        tasks[index % len(tasks)] = TaskProgress(TaskState.DONE, number + 1)
        progress.stamp = (5, number + 2)
        rows = encoder.encode(JOB, progress)
        stored.update(rows)
        encoder.mark_stored(rows)
        assert decode_rows(stored) == {JOB: progress}


def test_a_row_is_named_after_its_job():
    rows = ProgressRowEncoder().encode(JOB, placed(1000))
    assert {job_of(name) for name in rows} == {JOB}
    assert all(orjson.loads(text)["at"] == [5, 1] for text in rows.values())
