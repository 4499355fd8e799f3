"""Counts crashes of workers under tasks, and gives up tasks that cause them."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import frozen

from redwingrun.jobs.progress import (
    MIN_ISOLATION_CRASHES,
    JobState,
    TaskProgress,
    TaskState,
)
from redwingrun.jobs.slicestate import SliceState
from redwingrun.jobs.spec import TaskId
from redwingrun.jobs.workerpool import SUSPECT_AGE_S, Run, Worker

# No task is given up before so many workers have certainly crashed under it, unless it
# was suspected UNCONFIRMED_LIMIT times: all its starts may have gone unanswered.
MIN_CRASHES = 2
UNCONFIRMED_LIMIT = 5
# A task is given up after this many crashes of which no other job's task was suspected:
# the first crash may leave several suspects, the starts after it are watched.
SOLE_SUSPECT_LIMIT = 2
# It is given up after this many suspicions in any case, ...
SUSPECT_LIMIT = 5
# ... and after this many crashes under it, if the last one came while no other job's
# task could start on the worker.
CRASH_LIMIT = MIN_ISOLATION_CRASHES + 1
# A run that has lasted for this long shows that its task does not crash workers.
SOUND_AGE_S = 10.0


@frozen
class GivenUpTask:
    """A task that is not started again because workers crash under it.

    :param crashes: certain crashes of workers under runs that had certainly started.
    :param suspected: times that it was suspected, of uncertain crashes too.
    :param alone: whether no other job was suspected of the last one.
    """

    task_id: TaskId
    crashes: int
    suspected: int
    alone: bool


@frozen
class CrashReport:
    """What follows from the crash of a worker.

    :param suspects: the tasks that are suspected of it.
    :param given_up: the tasks that are not started again, one for each job.
    """

    suspects: tuple[TaskId, ...] = ()
    given_up: tuple[GivenUpTask, ...] = ()


class CrashRecorder:
    """Decides which task has crashed a worker.

    A task crashes its worker soon after its start, so the youngest runs are suspected.
    The next start of a suspected task is watched: no other job's task starts on that
    worker at the same time. If workers crash again then, the task is given up. A task
    that crashes workers later is found by its number of crashes; its worker is then
    held for longer. The counts are part of the job's progress, so the next owner has
    them too.
    """

    def __init__(self, state: SliceState):
        self._state = state

    def record_crash(
        self, worker: Worker, runs: Iterable[Run], is_certain: bool
    ) -> CrashReport:
        """Count the end of a worker under some runs.

        A worker that shuts down ends its runs without a crash.

        :param runs: the runs that ended with the worker. Those that had ended with an
            earlier incarnation do not count.
        :param is_certain: whether the worker has crashed; it may also have been cut
            off, and then no task is given up.
        :return: call :meth:`give_up` with it once the runs are lost.
        """
        if worker.info.draining:
            return CrashReport()
        lost = [run for run in runs if not run.may_start_late]
        suspects = {run.run_id for run in lost if _is_young(run, worker.last_contact_s)}
        alone = len({run_id.task.job for run_id in suspects}) == 1
        given_up: dict[str, GivenUpTask] = {}
        for run in lost:
            task_id = run.run_id.task
            job = self._state.job_by_id.get(task_id.job)
            task = job.task(task_id) if job else None
            if task is None or job.is_final or task.state is TaskState.DONE:
                continue
            is_suspect = run.run_id in suspects
            is_sole = alone and is_suspect
            _count(task, run, is_suspect, is_certain, worker.last_contact_s)
            task.sole_suspect += is_sole and is_certain and run.started_s is not None
            job.has_suspects = job.has_suspects or task.is_suspect
            self._state.changed.add(job.job_id)
            is_isolated = worker.was_held_for(job.job_id)
            if is_certain and _is_given_up(task, is_isolated):
                counts = task.crashes, task.suspected
                given_up.setdefault(job.job_id, GivenUpTask(task_id, *counts, is_sole))
        suspected = tuple(run.run_id.task for run in lost if run.run_id in suspects)
        return CrashReport(suspected, tuple(given_up.values()))

    def give_up(self, report: CrashReport) -> None:
        """Fail the jobs of the tasks that are given up."""
        for given_up in report.given_up:
            job = self._state.job_by_id.get(given_up.task_id.job)
            if job is not None and not job.is_final:
                job.progress.state = JobState.FAILED
                self._state.finish(job)


def _is_young(run: Run, last_contact_s: float) -> bool:
    """Return whether a run had just started when its worker was last heard of.

    A start without an answer may have been the last thing that the worker did.
    """
    return run.started_s is None or run.started_s >= last_contact_s - SUSPECT_AGE_S


def _count(
    task: TaskProgress,
    run: Run,
    is_suspect: bool,
    is_certain: bool,
    last_contact_s: float,
) -> None:
    if _is_sound(run, last_contact_s):
        task.crashes = task.suspected = task.sole_suspect = 0
        return
    task.crashes += is_certain and run.started_s is not None
    task.suspected += is_suspect


def _is_sound(run: Run, last_contact_s: float) -> bool:
    """Return whether a run is known to have lasted long enough to clear its task.

    After the worker's last contact nothing is known of it.
    """
    if run.started_s is None or math.isinf(run.started_s):
        return False
    return last_contact_s - run.started_s > SOUND_AGE_S


def _is_given_up(task: TaskProgress, is_isolated: bool) -> bool:
    if task.crashes < MIN_CRASHES:
        return task.suspected >= UNCONFIRMED_LIMIT
    return (
        task.sole_suspect >= SOLE_SUSPECT_LIMIT
        or task.suspected >= SUSPECT_LIMIT
        or (is_isolated and task.crashes >= CRASH_LIMIT)
    )
