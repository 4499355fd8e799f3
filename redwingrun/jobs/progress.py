"""How far a job has come: what its progress row holds."""

from __future__ import annotations

from enum import IntEnum

import orjson
from attrs import define, field

from redwingrun.jobs.spec import JobSpec


class JobState(IntEnum):
    """The state that callers are told."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Whether nothing follows the state."""
        return self >= JobState.COMPLETED


class TaskState(IntEnum):
    """The state of a task between two commits.

    ``PLACED`` covers every run that may be alive on a worker.
    """

    WAITING = 0
    PLACED = 1
    DONE = 2


@define
class TaskProgress:
    """One task.

    :param run: the highest run that was ever placed; 0 for none.
    :param worker: where the run was placed.
    :param failures: runs that ended as failed.
    :param checkpoint: newest checkpoint; empty for none.
    """

    state: TaskState = TaskState.WAITING
    run: int = 0
    worker: str = ""
    failures: int = 0
    checkpoint: str = ""
    # Copies of the task that run beside the first one, by their runs.
    copy_worker_by_run: dict[int, str] = field(factory=dict)


@define
class JobProgress:
    """All tasks of a job, by occurrence, step and index.

    :ivar stamp: fence and number of the owner's write that stored it; of two rows of
        a job the one with the higher stamp is the newer one.
    """

    state: JobState = JobState.QUEUED
    tasks_by_occurrence: dict[int, list[list[TaskProgress]]] = field(factory=dict)
    finished_occurrences: int = 0
    finished_ms: int = 0
    stamp: tuple[int, int] = (0, 0)

    @classmethod
    def fresh(cls) -> JobProgress:
        """Return the progress of a job that nobody has worked on."""
        return cls()

    def add_occurrence(self, number: int, spec: JobSpec) -> None:
        """Make the tasks of an occurrence, all waiting."""
        self.tasks_by_occurrence[number] = [
            [TaskProgress() for _ in range(step.tasks)] for step in spec.steps
        ]


def encode_progress(progress: JobProgress) -> str:
    """Return a progress as its row holds it."""
    encoded: dict[str, object] = {"state": int(progress.state), "at": progress.stamp}
    if progress.finished_occurrences:
        encoded["finished"] = progress.finished_occurrences
    if progress.finished_ms:
        encoded["finished_ms"] = progress.finished_ms
    if not progress.state.is_final:
        encoded["tasks"] = {
            str(number): [[_encode_task(task) for task in step] for step in steps]
            for number, steps in progress.tasks_by_occurrence.items()
        }
    return orjson.dumps(encoded).decode()


def decode_progress(text: str) -> JobProgress:
    """Read a row written by :func:`encode_progress`."""
    encoded = orjson.loads(text)
    tasks = {
        int(number): [[_decode_task(item) for item in step] for step in steps]
        for number, steps in encoded.get("tasks", {}).items()
    }
    return JobProgress(
        JobState(encoded["state"]),
        tasks,
        encoded.get("finished", 0),
        encoded.get("finished_ms", 0),
        tuple(encoded.get("at", (0, 0))),
    )


def decode_state(text: str) -> JobState:
    """Read only the state of a row written by :func:`encode_progress`."""
    return JobState(orjson.loads(text)["state"])


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
    if task.copy_worker_by_run:
        encoded.append([[run, at] for run, at in task.copy_worker_by_run.items()])
    return encoded


def _decode_task(encoded: list) -> TaskProgress:
    if not encoded:
        return TaskProgress()
    if len(encoded) == 2:
        return TaskProgress(TaskState(encoded[0]), encoded[1])
    state, run, worker, failures, checkpoint = encoded[:5]
    copies = dict(encoded[5]) if len(encoded) > 5 else {}
    return TaskProgress(TaskState(state), run, worker, failures, checkpoint, copies)
