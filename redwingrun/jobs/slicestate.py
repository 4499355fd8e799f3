"""The jobs, workers and runs of a slice, kept consistent with each other."""

from __future__ import annotations

import math

from attrs import define

from redwingrun.jobs.accountusage import AccountUsage
from redwingrun.jobs.evidence import EndedRun, Evidence
from redwingrun.jobs.job import Job, apply_run_loss
from redwingrun.jobs.placement import reserved_size
from redwingrun.jobs.policycache import StepPolicyCache
from redwingrun.jobs.spec import (
    RunId,
    StepId,
    TaskId,
)
from redwingrun.jobs.workerpool import (
    Run,
    RunPhase,
    StopOrder,
    Worker,
    WorkerInfo,
)


@define
class ReadyStep:
    """A step that has waiting tasks and whose predecessors are done.

    :ivar no_room_since_s: monotonic time since which no worker has had room for a task
        of it; ``None`` if one had, or if that was not looked for.
    :ivar lacks_room: whether the last plan left a task of it without room.
    """

    step_id: StepId
    job: Job
    no_room_since_s: float | None = None
    lacks_room: bool = False

    @property
    def order(self) -> tuple[int, float]:
        """Sort key: steps are scheduled by priority, then earliest due time first."""
        return self.job.queue.priority, self.job.due_s


class SliceState:
    """The state that the components of the engine share.

    :ivar ready_step_by_id: steps with waiting tasks that may be placed.
    :ivar policy_cache_by_step: answers of the placement policy.
    :ivar live_runs: by task and run number, the worker of each run that may be alive.
    :ivar ended_run_by_task: of each task that waits for another run, the one before.
    :ivar account_usage: what the runs in ``live_runs`` use, by client account.
    :ivar counts_images: whether workers count their runs by image.
    :ivar stops: stop orders that no plan has returned yet.
    :ivar changed: ids of the jobs whose progress must be stored.
    :ivar scheduled: ids of the jobs with occurrences that have not begun.
    :ivar unix_ms: current Unix time.
    :ivar inherited_lease_expiry_s: monotonic time at which a former owner's lease has
        certainly expired on every worker, also on one that can't be reached.
    """

    def __init__(self) -> None:
        self.job_by_id: dict[str, Job] = {}
        self.worker_by_id: dict[str, Worker] = {}
        self.ready_step_by_id: dict[StepId, ReadyStep] = {}
        self.policy_cache_by_step: dict[StepId, StepPolicyCache] = {}
        self.live_runs: dict[TaskId, dict[int, str]] = {}
        self.account_usage = AccountUsage()
        self.counts_images = False
        self.stops: list[StopOrder] = []
        self.changed: set[str] = set()
        self.scheduled: set[str] = set()
        self._unchecked_occurrences: dict[tuple[str, int], Job] = {}
        self.ended_run_by_task: dict[TaskId, EndedRun] = {}
        self.unix_ms = 0
        self.inherited_lease_expiry_s = 0.0

    def run(self, worker_id: str, run_id: RunId) -> Run | None:
        """Return a run that has resources reserved on a worker."""
        worker = self.worker_by_id.get(worker_id)
        return worker.run_by_id.get(run_id) if worker else None

    def restore_run(
        self, job: Job, run_id: RunId, worker_id: str, now_s: float
    ) -> None:
        """Record a run that a former owner stored as placed."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            # An unregistered worker has no known address: its runs end with its lease.
            worker = Worker(
                WorkerInfo(worker_id, "", job.queue.pool), is_registered=False
            )
            worker.lease_expiry_s = self.inherited_lease_expiry_s
            self.worker_by_id[worker_id] = worker
        # Once the worker has seen this owner's fencing token it refuses orders of the
        # former owner, so a run that its first report does not list is lost.
        self.add_run(job, run_id, worker, now_s).answered_s = -math.inf

    def add_run(self, job: Job, run_id: RunId, worker: Worker, now_s: float) -> Run:
        """Add a run to a worker, reserve its resources and record it as live."""
        step = job.step(run_id.task.step_id)
        run = Run(
            run_id,
            worker.worker_id,
            reserved_size(step),
            now_s,
            percent_changed_s=now_s,
            is_filler=step.filler,
            target_ms=step.target_ms,
            account=job.submission.account,
            account_size=step.size,
            image=step.image if self.counts_images else None,
        )
        if worker.add(run):
            self.account_usage.add(run.account, run.account_size)
        self.live_runs.setdefault(run_id.task, {})[run_id.run] = worker.worker_id
        return run

    def remove_run(self, worker: Worker, run_id: RunId) -> Run | None:
        """Remove a run that has certainly ended and release its resources."""
        live = self.live_runs.get(run_id.task)
        if live is not None:
            live.pop(run_id.run, None)
            if not live:
                del self.live_runs[run_id.task]
        run = worker.remove(run_id)
        if run is not None:
            self.account_usage.remove(run.account, run.account_size)
        return run

    def lose_run(self, worker: Worker, run_id: RunId, evidence: Evidence) -> bool:
        """Remove a run that ended without a report, if there is evidence of its end.

        Its task waits again. The rest of its gang is stopped.

        :return: whether the run has ended.
        """
        run = worker.run_by_id.get(run_id)
        if run is None or not evidence.proves_end(run, worker):
            return False
        self.remove_run(worker, run_id)
        job = self.job_by_id.get(run_id.task.job)
        if job is not None and apply_run_loss(job, run_id.task, run_id.run):
            self.record_ended_run(worker, run_id, evidence)
            self.changed.add(job.job_id)
            self.add_ready_steps(job, run_id.task.occurrence)
            self.stop_gang(job, run_id.task)
        return True

    def lose_all_runs(self, worker: Worker, evidence: Evidence) -> None:
        """Treat all runs of a worker as lost; its next report makes it usable again."""
        worker.is_reachable = False
        worker.last_end_number = 0
        for run_id in list(worker.run_by_id):
            self.lose_run(worker, run_id, evidence)

    def record_ended_run(
        self, worker: Worker, run_id: RunId, evidence: Evidence
    ) -> None:
        """Record why a task waits for another run, for the log of its next start."""
        lease_left_s = worker.lease_expiry_s - evidence.seen_s
        self.ended_run_by_task[run_id.task] = EndedRun(
            run_id, worker.worker_id, evidence, lease_left_s
        )

    def stop(self, run_id: RunId, worker: Worker, why: str, for_job: str = "") -> None:
        """Issue a stop order for a run, unless one was issued before.

        :param why: the reason, for the log.
        :param for_job: the job that the run's room is for; empty for none.
        """
        run = worker.run_by_id.get(run_id)
        if run is None or run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        self.stops.append(StopOrder(run_id, worker.worker_id, why, for_job))

    def stop_gang(self, job: Job, task_id: TaskId) -> None:
        """Stop the runs of a gang after one of them has ended or is lost."""
        if job.is_final or not job.step(task_id.step_id).gang:
            return
        for gang_task_id in job.task_ids(task_id.step_id):
            self.stop_task(gang_task_id, "gang-lost-a-member")

    def stop_task(self, task_id: TaskId, why: str) -> None:
        """Stop all live runs of a task."""
        for run, worker_id in list(self.live_runs.get(task_id, {}).items()):
            worker = self.worker_by_id.get(worker_id)
            if worker is not None:
                self.stop(RunId(task_id, run), worker, why)

    def finish(self, job: Job) -> None:
        """Stop the runs of a job that has reached a final state.

        Its ready steps and cached policy answers are removed.
        """
        self.changed.add(job.job_id)
        self.scheduled.discard(job.job_id)
        job.progress.finished_ms = job.progress.finished_ms or self.unix_ms
        for step_id in [key for key in self.ready_step_by_id if key.job == job.job_id]:
            del self.ready_step_by_id[step_id]
        for step_id in [
            key for key in self.policy_cache_by_step if key.job == job.job_id
        ]:
            del self.policy_cache_by_step[step_id]
        why = f"job-{job.progress.state.name.lower()}"
        for occurrence, steps in job.progress.tasks_by_occurrence.items():
            for position, tasks in enumerate(steps):
                for index in range(len(tasks)):
                    task_id = TaskId(job.job_id, occurrence, position, index)
                    self.ended_run_by_task.pop(task_id, None)
                    self.stop_task(task_id, why)

    def add_ready_steps(self, job: Job, occurrence: int) -> None:
        """Have the next plan look for steps of an occurrence that have tasks to place.

        Ends and losses come in large numbers, so that not each of them looks at all
        tasks.
        """
        self._unchecked_occurrences[job.job_id, occurrence] = job

    def find_ready_steps(self) -> None:
        """Record the steps that may have become ready since the last call."""
        unchecked, self._unchecked_occurrences = self._unchecked_occurrences, {}
        for (_, occurrence), job in unchecked.items():
            if job.is_final or occurrence not in job.progress.tasks_by_occurrence:
                continue
            for step_id in job.ready_steps(occurrence):
                if job.waiting_indexes(step_id):
                    self.ready_step_by_id.setdefault(step_id, ReadyStep(step_id, job))

    def add_due_occurrences(self, room_bytes: int | None) -> int:
        """Start the occurrences of scheduled jobs that are due.

        :param room_bytes: memory that is left for them; those for which there is none
            start later. ``None`` if it is not limited.
        :return: the memory that they need.
        """
        added_bytes = 0
        for job_id in list(self.scheduled):
            job = self.job_by_id[job_id]
            spec = job.spec
            started = job.progress.finished_occurrences + len(
                job.progress.tasks_by_occurrence
            )
            if started >= spec.occurrences:
                self.scheduled.discard(job_id)
                continue
            needed_bytes = added_bytes + job.occurrence_bytes
            if room_bytes is not None and needed_bytes > room_bytes:
                continue
            due_ms = spec.first_due_ms + started * spec.period_ms
            if self.unix_ms >= due_ms:
                added_bytes = needed_bytes
                job.progress.add_occurrence(started, spec)
                self.add_ready_steps(job, started)
        return added_bytes
