"""The progress of a job, and its encoding in the progress row."""

from __future__ import annotations

from enum import IntEnum

import orjson
from attrs import define, field

from redwingrun.jobs.spec import JobSpec

# After so many crashes under a task, its worker is held for longer at its next start:
# it may crash workers some time after its start.
MIN_ISOLATION_CRASHES = 3


class JobState(IntEnum):
    """The state of a job as clients see it."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self >= JobState.COMPLETED


class TaskState(IntEnum):
    """The state of a task as it is stored.

    ``PLACED`` means that its current run may be alive on a worker.
    """

    WAITING = 0
    PLACED = 1
    DONE = 2


@define
class TaskProgress:
    """The progress of one task.

    :param run: number of the last run that was placed; 0 for none.
    :param worker: id of the worker on which it was placed.
    :param failures: number of runs that have failed.
    :param checkpoint: newest checkpoint; empty for none.
    :param copy_worker_by_run: speculative copies: by run number, the worker's id.
    :param crashes: number of workers that certainly crashed under runs of it that had
        certainly started.
    :param suspected: number of crashes of which it was suspected, including those where
        the worker may only have been cut off or the run may not have started.
    :param sole_suspect: number of certain crashes of which no other job's task was
        suspected.
    """

    state: TaskState = TaskState.WAITING
    run: int = 0
    worker: str = ""
    failures: int = 0
    checkpoint: str = ""
    copy_worker_by_run: dict[int, str] = field(factory=dict)
    crashes: int = 0
    suspected: int = 0
    sole_suspect: int = 0

    @property
    def is_suspect(self) -> bool:
        """Whether its next start is to be watched."""
        return self.suspected > 0 or self.is_isolated

    @property
    def is_isolated(self) -> bool:
        """Whether its worker is to be held for longer."""
        return self.crashes >= MIN_ISOLATION_CRASHES


@define
class JobProgress:
    """The progress of a job.

    :param tasks_by_occurrence: for each occurrence in progress, the tasks of each step.
    :param finished_occurrences: number of occurrences that are done.
    :param finished_ms: Unix time at which the job finished; 0 before.
    :param stamp: fencing token and sequence number of the write that stored it. Of two
        rows of a job, the one with the higher stamp is newer.
    """

    state: JobState = JobState.QUEUED
    tasks_by_occurrence: dict[int, list[list[TaskProgress]]] = field(factory=dict)
    finished_occurrences: int = 0
    finished_ms: int = 0
    stamp: tuple[int, int] = (0, 0)

    @property
    def has_suspects(self) -> bool:
        """Whether workers may have crashed because of a task of the job."""
        return any(
            task.is_suspect
            for steps in self.tasks_by_occurrence.values()
            for tasks in steps
            for task in tasks
        )

    @classmethod
    def fresh(cls) -> JobProgress:
        """Return the progress of a new job."""
        return cls()

    def add_occurrence(self, number: int, spec: JobSpec) -> None:
        """Start an occurrence, with all tasks waiting."""
        self.tasks_by_occurrence[number] = [
            [TaskProgress() for _ in range(step.tasks)] for step in spec.steps
        ]


def encode_progress(progress: JobProgress) -> str:
    """Return the value of a progress row; finished jobs are stored without tasks."""
    encoded = _encode_job(progress)
    if not progress.state.is_final:
        encoded["tasks"] = {
            str(number): [encode_tasks(step) for step in steps]
            for number, steps in progress.tasks_by_occurrence.items()
        }
    return orjson.dumps(encoded).decode()


def encode_without_tasks(progress: JobProgress) -> str:
    """Return the value of a progress row whose tasks are stored in rows of their own.

    It holds the number of tasks in each step instead.
    """
    encoded = _encode_job(progress)
    encoded["task_counts"] = {
        str(number): [len(step) for step in steps]
        for number, steps in progress.tasks_by_occurrence.items()
    }
    return orjson.dumps(encoded).decode()


def encode_tasks(tasks: list[TaskProgress]) -> list[list[object]]:
    """Return some tasks of a step in the form in which rows hold them."""
    return [_encode_task(task) for task in tasks]


def decode_tasks(encoded: list[list]) -> list[TaskProgress]:
    """Parse tasks in the form in which rows hold them."""
    return [_decode_task(item) for item in encoded]


def decode_progress(text: str) -> JobProgress:
    """Parse a value written by :func:`encode_progress`.

    A row without tasks gives as many waiting tasks as it counts.
    """
    encoded = orjson.loads(text)
    tasks = {
        int(number): [decode_tasks(step) for step in steps]
        for number, steps in encoded.get("tasks", {}).items()
    }
    for number, counts in encoded.get("task_counts", {}).items():
        tasks[int(number)] = [[TaskProgress() for _ in range(n)] for n in counts]
    return JobProgress(
        JobState(encoded["state"]),
        tasks,
        encoded.get("finished", 0),
        encoded.get("finished_ms", 0),
        decode_stamp(text),
    )


def decode_stamp(text: str) -> tuple[int, int]:
    """Parse only the stamp of a progress row, or of a row of some of its tasks."""
    return tuple(orjson.loads(text).get("at", (0, 0)))


def has_task_rows(text: str) -> bool:
    """Return whether a progress row has its tasks in rows of their own."""
    return "task_counts" in orjson.loads(text)


def decode_state(text: str) -> JobState:
    """Parse only the state of a value written by :func:`encode_progress`."""
    return JobState(orjson.loads(text)["state"])


def _encode_job(progress: JobProgress) -> dict[str, object]:
    """Return the fields of a progress row that do not grow with the job."""
    encoded: dict[str, object] = {"state": int(progress.state), "at": progress.stamp}
    if progress.finished_occurrences:
        encoded["finished"] = progress.finished_occurrences
    if progress.finished_ms:
        encoded["finished_ms"] = progress.finished_ms
    return encoded


def _encode_task(task: TaskProgress) -> list[object]:
    if task.state is TaskState.DONE:
        return [int(task.state), task.run]
    if not task.run:
        return []
    encoded: list[object] = [
        int(task.state),
        task.run,
        task.worker,
        task.failures,
        task.checkpoint,
    ]
    has_crashes = task.crashes or task.suspected
    if task.copy_worker_by_run or has_crashes:
        encoded.append([[run, at] for run, at in task.copy_worker_by_run.items()])
    if has_crashes:
        encoded += [task.crashes, task.suspected, task.sole_suspect]
    return encoded


def _decode_task(encoded: list) -> TaskProgress:
    if not encoded:
        return TaskProgress()
    if len(encoded) == 2:
        return TaskProgress(TaskState(encoded[0]), encoded[1])
    state, run, worker, failures, checkpoint = encoded[:5]
    copies = dict(encoded[5]) if len(encoded) > 5 else {}
    crashes, suspected, sole_suspect = encoded[6:9] or (0, 0, 0)
    return TaskProgress(
        TaskState(state),
        run,
        worker,
        failures,
        checkpoint,
        copies,
        crashes,
        suspected,
        sole_suspect,
    )
