"""A job with its progress, and the effects of ended and lost runs on it."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import Factory, define, field

from redwingrun.jobs.backlog import description_bytes, occurrence_bytes
from redwingrun.jobs.progress import JobProgress, JobState, TaskProgress, TaskState
from redwingrun.jobs.spec import (
    JobSpec,
    Queue,
    StepId,
    StepSpec,
    Submission,
    TaskId,
)
from redwingrun.jobs.workerpool import EndKind, RunEnd


@define
class Job:
    """A job with its progress.

    :param due_s: monotonic time by which it should be done.
    :param failed_run_by_gang: number of the last run of each gang that was counted
        as failed, so that a failure of several of its tasks counts once.
    :param failed_s_by_worker_by_task: the workers on which runs of a task have failed,
        with the monotonic time of the last failure there.
    :param has_suspects: whether workers may have crashed because of a task.
    :param suspects_wait_since_s: monotonic time since which suspected tasks wait for a
        worker that can be held for them; ``None`` if none waits.
    :param is_beyond_rate: whether it exceeds the rate of its client account.
    :ivar occurrence_bytes: the memory of the tasks of one occurrence.
    :param moved_tasks: tasks that were moved off a slow worker; none is moved twice.
    """

    job_id: str
    submission: Submission
    queue: Queue
    progress: JobProgress
    due_s: float
    failed_run_by_gang: dict[StepId, int] = field(factory=dict)
    failed_s_by_worker_by_task: dict[TaskId, dict[str, float]] = field(factory=dict)
    moved_tasks: set[TaskId] = field(factory=set)
    has_suspects: bool = False
    is_beyond_rate: bool = False
    suspects_wait_since_s: float | None = None
    _description_bytes: int = field(
        init=False,
        default=Factory(lambda self: description_bytes(self.spec), takes_self=True),
    )
    occurrence_bytes: int = field(
        init=False,
        default=Factory(lambda self: occurrence_bytes(self.spec), takes_self=True),
    )

    @property
    def held_bytes(self) -> int:
        """The memory that the job needs until it has ended."""
        occurrences = len(self.progress.tasks_by_occurrence)
        return self._description_bytes + occurrences * self.occurrence_bytes

    @property
    def spec(self) -> JobSpec:
        """The client's description of the job."""
        return self.submission.spec

    @property
    def is_final(self) -> bool:
        """Whether the job is completed, failed or cancelled."""
        return self.progress.state.is_final

    def step(self, step_id: StepId) -> StepSpec:
        """Return the description of a step."""
        return self.spec.steps[step_id.step]

    def tasks(self, step_id: StepId) -> list[TaskProgress]:
        """Return the tasks of a step, by index."""
        return self.progress.tasks_by_occurrence[step_id.occurrence][step_id.step]

    def task_ids(self, step_id: StepId) -> Iterator[TaskId]:
        """Yield the ids of a step's tasks."""
        for index in range(len(self.tasks(step_id))):
            yield step_id.task(index)

    def task(self, task_id: TaskId) -> TaskProgress | None:
        """Return a task; ``None`` if its occurrence is not in progress."""
        steps = self.progress.tasks_by_occurrence.get(task_id.occurrence)
        if steps is None or task_id.step >= len(steps):
            return None
        tasks = steps[task_id.step]
        return tasks[task_id.index] if task_id.index < len(tasks) else None

    def placed_tasks(self) -> Iterator[tuple[TaskId, TaskProgress]]:
        """Yield the tasks that may have a run on a worker."""
        for occurrence, steps in self.progress.tasks_by_occurrence.items():
            for position, tasks in enumerate(steps):
                for index, task in enumerate(tasks):
                    if task.state is TaskState.PLACED:
                        yield TaskId(self.job_id, occurrence, position, index), task

    def complete_done_gangs(self) -> None:
        """Mark all tasks of a gang as done if one of them is.

        They end together, but the rows that hold them may not all have been stored.
        """
        for steps in self.progress.tasks_by_occurrence.values():
            for spec, tasks in zip(self.spec.steps, steps, strict=False):
                if spec.gang and any(item.state is TaskState.DONE for item in tasks):
                    for task in tasks:
                        task.state = TaskState.DONE

    def ready_steps(self, occurrence: int) -> Iterator[StepId]:
        """Yield the steps that are not done but whose predecessors are all done."""
        steps = self.progress.tasks_by_occurrence[occurrence]
        for position, spec in enumerate(self.spec.steps):
            ready = all(_is_done(steps[other]) for other in spec.after)
            if ready and not _is_done(steps[position]):
                yield StepId(self.job_id, occurrence, position)

    def waiting_indexes(self, step_id: StepId) -> list[int]:
        """Return the indexes of a step's tasks that wait for a run.

        A gang is started as a whole: while one of its tasks is not waiting, none is
        returned.
        """
        tasks = self.tasks(step_id)
        waiting = [
            index for index, task in enumerate(tasks) if task.state is TaskState.WAITING
        ]
        if self.step(step_id).gang and len(waiting) < len(tasks):
            return []
        return waiting

    def suspect_indexes(self, step_id: StepId, indexes: list[int]) -> list[int]:
        """Return those of some tasks whose start is to be watched.

        A gang starts as a whole, so all its tasks are if one is.
        """
        if not self.has_suspects:
            return []
        tasks = self.tasks(step_id)
        suspects = [index for index in indexes if tasks[index].is_suspect]
        return indexes if suspects and self.step(step_id).gang else suspects

    def next_run(self, step_id: StepId, index: int) -> int:
        """Return the number of a task's next run, above all that were used.

        The tasks of a gang share one number.
        """
        tasks = self.tasks(step_id)
        if self.step(step_id).gang:
            return 1 + max(task.run for task in tasks)
        task = tasks[index]
        return 1 + max([task.run, *task.copy_worker_by_run])


def _is_done(tasks: list[TaskProgress]) -> bool:
    return all(task.state is TaskState.DONE for task in tasks)


def apply_run_end(job: Job, end: RunEnd, worker_id: str, now_s: float) -> bool:
    """Apply the end of a run to its job.

    :return: whether the job changed; the end of an earlier run changes nothing.
    """
    task_id = end.run_id.task
    task = job.task(task_id)
    if task is None or job.is_final or task.state is not TaskState.PLACED:
        return False
    if end.run_id.run != task.run:
        return False
    step = job.step(task_id.step_id)
    if end.kind is EndKind.DONE:
        _mark_done(job, task_id, task, step)
        return True
    task.state = TaskState.WAITING
    task.checkpoint = end.checkpoint or task.checkpoint
    if step.gang:
        _share_checkpoint(job, task_id.step_id, task.checkpoint)
    if end.kind is EndKind.FAILED:
        failed_s_by_worker = job.failed_s_by_worker_by_task.setdefault(task_id, {})
        failed_s_by_worker[worker_id] = now_s
        _count_failure(job, task_id, end, step)
    return True


def _mark_done(job: Job, task_id: TaskId, task: TaskProgress, step: StepSpec) -> None:
    """Mark a task and its gang as done; a lasting task waits for its next run."""
    if step.lasting:
        task.state = TaskState.WAITING
        return
    tasks = job.tasks(task_id.step_id) if step.gang else [task]
    for done_task in tasks:
        done_task.state = TaskState.DONE


def _count_failure(job: Job, task_id: TaskId, end: RunEnd, step: StepSpec) -> None:
    """Count a failed run, and fail the job at the limit.

    A gang's failures are counted at its first task, those of lasting tasks not at all.
    """
    if step.lasting:
        return
    step_id = task_id.step_id
    counted = job.tasks(step_id)[0] if step.gang else job.task(task_id)
    if step.gang:
        if job.failed_run_by_gang.get(step_id, 0) >= end.run_id.run:
            return
        job.failed_run_by_gang[step_id] = end.run_id.run
    counted.failures += 1
    if counted.failures >= job.queue.attempts:
        job.progress.state = JobState.FAILED


def _share_checkpoint(job: Job, step_id: StepId, checkpoint: str) -> None:
    """Give all tasks of a gang the newest checkpoint, if there is one."""
    if not checkpoint:
        return
    for gang_task in job.tasks(step_id):
        gang_task.checkpoint = checkpoint


def apply_run_loss(job: Job, task_id: TaskId, run: int) -> bool:
    """Apply the loss of a run, which ended without a report, to its job.

    :return: whether the task waits again because of it.
    """
    task = job.task(task_id)
    if task is None or job.is_final or task.state is not TaskState.PLACED:
        return False
    if task.run != run:
        return False
    task.state = TaskState.WAITING
    return True


def remove_done_occurrences(job: Job, unix_ms: int) -> bool:
    """Remove the occurrences that are done; complete the job after the last.

    :return: whether an occurrence was removed.
    """
    by_number = job.progress.tasks_by_occurrence
    done = [
        number
        for number, steps in by_number.items()
        if all(_is_done(tasks) for tasks in steps)
    ]
    for number in done:
        del by_number[number]
        job.progress.finished_occurrences += 1
    occurrences = max(1, job.spec.occurrences)
    if done and job.progress.finished_occurrences >= occurrences:
        job.progress.state = JobState.COMPLETED
        job.progress.finished_ms = unix_ms
    return bool(done)
