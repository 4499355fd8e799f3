"""The decisions of a pool slice's owner: events come in, orders go out.

Nothing here waits, sends or stores. The owner passes in what it has seen, asks for
a :class:`Plan`, stores the jobs that changed, and only then sends the starts.
"""

from __future__ import annotations

import math

from attrs import define, evolve, frozen

from redwingrun.jobs.gate import StepGate, Ticket
from redwingrun.jobs.jobbook import Job, apply_end, apply_loss, note_completion
from redwingrun.jobs.pacing import pace_orders
from redwingrun.jobs.placement import (
    Placement,
    Placer,
    StepView,
    reserved_size,
    suits,
    usable,
)
from redwingrun.jobs.progress import JobProgress, JobState, TaskState
from redwingrun.jobs.spec import (
    Queue,
    QueueSet,
    RunId,
    StepId,
    Submission,
    TaskId,
)
from redwingrun.jobs.speeds import Speeds
from redwingrun.jobs.workerpool import (
    AskOrder,
    EndKind,
    PaceOrder,
    Refusal,
    Run,
    RunEnd,
    RunPhase,
    StartOrder,
    StopOrder,
    Worker,
    WorkerInfo,
    WorkerReport,
)

MS_PER_S = 1000
URGENT_PRIORITY = 0
# The policy is asked about at most so many workers at once.
MAX_NAMED = 30
# A question that takes longer than this keeps a machine from urgent questions.
LONG_QUESTION_S = 0.2
# How long a worker is left alone after it refused a start, by reason.
AVOID_S_BY_REFUSAL = {
    Refusal.NO_ROOM: 0.3,
    Refusal.UNHEALTHY: 2.0,
    Refusal.LATE: 0.3,
    Refusal.BAD: 1.0,
    Refusal.OTHER_LIFE: 1.0,
    Refusal.NOT_SENT: 0.5,
}
# A worker on which the runs of so many jobs failed in a row is left alone.
SUSPECT_JOBS = 3
SUSPECT_S = 6.0
# A task whose progress stands still for so long, and this share of its estimate.
STUCK_S = 2.2
STUCK_SHARE = 0.15
LOOK_EVERY_S = 0.4


@frozen
class EngineSettings:
    """What the deployment says.

    :param far_factor: how much longer a task takes away from its data.
    :param early_s: how early a scheduled occurrence may start.
    """

    far_factor: float = 2.0
    early_s: float = 0.0


@frozen
class Plan:
    """What the owner should do next; starts only after the jobs are stored."""

    starts: tuple[StartOrder, ...]
    stops: tuple[StopOrder, ...]
    paces: tuple[PaceOrder, ...]
    asks: tuple[AskOrder, ...]
    changed_jobs: frozenset[str]


@define
class _OpenStep:
    """A step with waiting tasks."""

    step_id: StepId
    job: Job

    @property
    def order(self) -> tuple[int, float]:
        """Steps are served by priority, then by the time left."""
        return self.job.queue.priority, self.job.due_s


class Engine:
    """All jobs and workers of one slice.

    :param settings: figures of the deployment.
    """

    def __init__(self, settings: EngineSettings):
        self._settings = settings
        self._speeds = Speeds()
        self._placer = Placer(self._speeds)
        self._queues = QueueSet(0)
        self._open_step_by_id: dict[StepId, _OpenStep] = {}
        self._gate_by_step: dict[StepId, StepGate] = {}
        self._live_runs: dict[TaskId, dict[int, str]] = {}
        self._failed_jobs_by_worker: dict[str, set[str]] = {}
        self._stops: list[StopOrder] = []
        self._paces: list[PaceOrder] = []
        self._changed: set[str] = set()
        self._scheduled: set[str] = set()
        self._finished: set[str] = set()
        self.job_by_id: dict[str, Job] = {}
        self.worker_by_id: dict[str, Worker] = {}
        self._long_questions = 0
        self._looked_s = 0.0
        self.ask_lanes = 1
        self.unix_ms = 0
        # Steady time at which all that a former owner started has lapsed.
        self.inherited_lapse_s = 0.0

    # What the owner tells the engine.

    def set_queues(self, queues: QueueSet) -> None:
        """Take a newer configuration."""
        self._queues = queues
        for job in self.job_by_id.values():
            job.queue = queues.queue_by_name.get(job.queue.name, job.queue)

    def add_job(
        self,
        job_id: str,
        submission: Submission,
        progress: JobProgress | None,
        now_s: float,
    ) -> None:
        """Take a job, new or as a former owner left it."""
        if job_id in self.job_by_id or job_id in self._finished:
            return
        fallback = Queue(submission.queue, pool="")
        queue = self._queues.queue_by_name.get(submission.queue, fallback)
        job = Job(
            job_id,
            submission,
            queue,
            progress or JobProgress.fresh(),
            due_s=self._due_s(submission, queue, now_s),
        )
        self.job_by_id[job_id] = job
        if job.is_final:
            return
        for task_id, task in job.placed():
            self._adopt_run(job, RunId(task_id, task.run), task.worker, now_s)
        if submission.spec.is_scheduled:
            self._scheduled.add(job_id)
        elif not job.progress.tasks_by_occurrence:
            job.progress.open_occurrence(0, submission.spec)
        for occurrence in job.progress.tasks_by_occurrence:
            self._open(job, occurrence)

    def note_finished(self, job_id: str) -> None:
        """Take a job that a former owner finished; its row may be read again."""
        self._finished.add(job_id)

    def cancel_job(self, job_id: str) -> None:
        """End a job at its client's wish; a finished one stays as it is."""
        job = self.job_by_id.get(job_id)
        if job is None or job.is_final:
            return
        job.progress.state = JobState.CANCELLED
        self._finish(job)

    def forget_job(self, job_id: str) -> None:
        """Drop a finished job whose rows are gone."""
        self.job_by_id.pop(job_id, None)
        self._finished.discard(job_id)

    def see_worker(self, info: WorkerInfo) -> None:
        """Take a worker's registration."""
        worker = self.worker_by_id.get(info.worker_id)
        if worker is None:
            worker = Worker(info, lapse_s=self.inherited_lapse_s)
            self.worker_by_id[info.worker_id] = worker
            return
        if worker.info.born_ms:
            # A new life is settled by whoever hears it first from the worker itself.
            info = evolve(info, born_ms=worker.info.born_ms)
        worker.info = info
        worker.listed = True
        if info.draining:
            self._evacuate(worker)

    def unlist_worker(self, worker_id: str) -> None:
        """Note that a worker's registration is gone."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        worker.listed = False
        if not worker.run_by_id:
            del self.worker_by_id[worker_id]

    def lose_worker(self, worker_id: str) -> None:
        """Note that nothing runs on a worker any more: it died or all lapsed."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        self._end_life(worker)
        if not worker.listed:
            del self.worker_by_id[worker_id]

    def start_new_life(
        self, worker_id: str, report: WorkerReport, sent_s: float
    ) -> None:
        """Note that a worker has begun anew.

        What ran in its former life is gone. An order that was under way may have
        reached the new one: it is stopped, unless the worker has answered it since.

        :param sent_s: steady time at which the new life's lists were asked for.
        """
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        worker.seen_end = 0
        worker.info = evolve(worker.info, born_ms=report.born_ms)
        running = {sighting.run_id for sighting in report.running}
        for run_id, run in list(worker.run_by_id.items()):
            if run.settled_s is None:
                self._stop(run_id, worker, "ordered-before-new-life")
            elif run_id not in running and run.settled_s < sent_s:
                self._lose_run(worker, run_id)

    def take_report(
        self, worker_id: str, report: WorkerReport, sent_s: float, now_s: float
    ) -> None:
        """Take a worker's lists.

        :param sent_s: steady time at which they were asked for.
        """
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        if report.born_ms:
            worker.info = evolve(worker.info, born_ms=report.born_ms)
        worker.adopted = True
        worker.heard_s = now_s
        if worker.info.draining:
            self._evacuate(worker)
        ended = {end.run_id for end in report.ends}
        for end in report.ends:
            if end.number > worker.seen_end:
                worker.seen_end = end.number
                self._take_end(worker, end, now_s)
        self._take_running(worker, report, now_s)
        self._take_missing(worker, report, ended, sent_s)

    def start_accepted(self, order: StartOrder, now_s: float) -> None:
        """Note that a worker has a run."""
        run = self._run(order.worker_id, order.run_id)
        if run is None:
            return
        run.settled_s = now_s
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.ALIVE

    def start_refused(self, order: StartOrder, refusal: Refusal, now_s: float) -> None:
        """Note that a worker did nothing and never will for this order."""
        worker = self.worker_by_id.get(order.worker_id)
        if worker is None:
            return
        step_id = order.run_id.task.step_id
        if refusal is Refusal.TICKET and step_id in self._gate_by_step:
            self._gate_by_step[step_id].forget(order.worker_id)
        pause_s = AVOID_S_BY_REFUSAL.get(refusal, 0)
        worker.avoid_until_s = max(worker.avoid_until_s, now_s + pause_s)
        self._lose_run(worker, order.run_id)

    def stop_answered(self, order: StopOrder, now_s: float) -> None:
        """Note that a worker has taken a stop."""
        run = self._run(order.worker_id, order.run_id)
        if run is not None:
            run.settled_s = now_s

    def pace_answered(self, order: PaceOrder) -> None:
        """Note that a worker has taken a pace."""
        run = self._run(order.worker_id, order.run_id)
        if run is not None:
            run.pace = order.percent

    def is_wanted(self, order: StartOrder) -> bool:
        """Tell whether a start should still be sent."""
        run = self._run(order.worker_id, order.run_id)
        job = self.job_by_id.get(order.run_id.task.job)
        wanted = run is not None and run.phase is RunPhase.ORDERED
        return wanted and job is not None and not job.is_final

    def has_run(self, order: StartOrder) -> bool:
        """Tell whether the run still takes room on its worker."""
        return self._run(order.worker_id, order.run_id) is not None

    def withdraw(self, order: StartOrder) -> None:
        """Take back a start that was never sent."""
        worker = self.worker_by_id.get(order.worker_id)
        if worker is not None:
            self._lose_run(worker, order.run_id)

    def policy_answered(
        self, order: AskOrder, ticket_by_worker: dict[str, Ticket]
    ) -> None:
        """Take the placement policy's answer."""
        gate = self._gate_by_step.get(order.step_id)
        if gate is not None:
            gate.answered(order.worker_ids, ticket_by_worker)

    def policy_failed(self, order: AskOrder, retry_s: float) -> None:
        """Note that the policy did not answer; it is asked again from then on."""
        gate = self._gate_by_step.get(order.step_id)
        if gate is not None:
            gate.failed(retry_s)

    # What the owner asks of the engine.

    def plan(self, now_s: float) -> Plan:
        """Decide what to do now."""
        self._open_due()
        if now_s - self._looked_s > LOOK_EVERY_S:
            self._looked_s = now_s
            self._stop_stuck(now_s)
        starts: list[StartOrder] = []
        asks: list[AskOrder] = []
        for step in sorted(self._open_step_by_id.values(), key=lambda s: s.order):
            self._serve(step, now_s, starts, asks)
        stops, self._stops = self._stops, []
        paces, self._paces = self._paces, []
        changed, self._changed = frozenset(self._changed), set()
        return Plan(tuple(starts), tuple(stops), tuple(paces), tuple(asks), changed)

    def end_numbers(self) -> dict[str, int]:
        """Return by worker the last end that was taken in."""
        return {key: worker.seen_end for key, worker in self.worker_by_id.items()}

    def waiting_by_queue(self) -> dict[str, int]:
        """Count the jobs of each queue for which nothing has started."""
        counts: dict[str, int] = {}
        for job in self.job_by_id.values():
            if job.progress.state is JobState.QUEUED:
                counts[job.queue.name] = counts.get(job.queue.name, 0) + 1
        return counts

    # Helpers.

    def _due_s(self, submission: Submission, queue: Queue, now_s: float) -> float:
        chain_ms = [0.0] * len(submission.spec.steps)
        for position, step in enumerate(submission.spec.steps):
            before = max((chain_ms[other] for other in step.after), default=0)
            chain_ms[position] = before + step.estimate_ms
        age_ms = max(0, self.unix_ms - submission.accepted_ms)
        allowed_ms = queue.stretch * max(chain_ms) + queue.slack_ms
        return now_s + (allowed_ms - age_ms) / MS_PER_S

    def _run(self, worker_id: str, run_id: RunId) -> Run | None:
        worker = self.worker_by_id.get(worker_id)
        return worker.run_by_id.get(run_id) if worker else None

    def _adopt_run(self, job: Job, run_id: RunId, worker_id: str, now_s: float) -> None:
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            # Not registered, so not asked: what ran there ends with its lease.
            worker = Worker(WorkerInfo(worker_id, "", job.queue.pool), listed=False)
            worker.lapse_s = self.inherited_lapse_s
            self.worker_by_id[worker_id] = worker
        # The worker refuses the former owner's orders once it has seen our fence,
        # so the first list that it gives us is the truth.
        self._add_run(job, run_id, worker, now_s).settled_s = -math.inf

    def _add_run(self, job: Job, run_id: RunId, worker: Worker, now_s: float) -> Run:
        step = job.step(run_id.task.step_id)
        run = Run(
            run_id,
            worker.worker_id,
            reserved_size(step),
            now_s,
            percent_changed_s=now_s,
            is_filler=step.filler,
            target_ms=step.target_ms,
        )
        worker.add(run)
        self._live_runs.setdefault(run_id.task, {})[run_id.run] = worker.worker_id
        return run

    def _drop_run(self, worker: Worker, run_id: RunId) -> Run | None:
        live = self._live_runs.get(run_id.task)
        if live is not None:
            live.pop(run_id.run, None)
            if not live:
                del self._live_runs[run_id.task]
        return worker.drop(run_id)

    def _lose_run(self, worker: Worker, run_id: RunId) -> None:
        self._drop_run(worker, run_id)
        job = self.job_by_id.get(run_id.task.job)
        if job is not None and apply_loss(job, run_id.task, run_id.run):
            self._changed.add(job.job_id)
            self._open(job, run_id.task.occurrence)
            self._stop_gang(job, run_id.task)

    def _end_life(self, worker: Worker) -> None:
        worker.adopted = False
        worker.seen_end = 0
        for run_id in list(worker.run_by_id):
            self._lose_run(worker, run_id)

    def _evacuate(self, worker: Worker) -> None:
        """Move what can resume or must last off a worker that will leave."""
        for run_id in list(worker.run_by_id):
            job = self.job_by_id.get(run_id.task.job)
            if job is None or job.is_final:
                continue
            step = job.step(run_id.task.step_id)
            if step.lasting or step.checkpointed:
                self._stop(run_id, worker, "worker-leaves")

    def _stop_stuck(self, now_s: float) -> None:
        """Stop tasks that stand still; the next run goes elsewhere."""
        for worker in self.worker_by_id.values():
            for run_id, run in list(worker.run_by_id.items()):
                still_s = worker.heard_s - run.percent_changed_s
                if run.phase is RunPhase.ALIVE and self._is_stuck(run, still_s):
                    worker.avoid_until_s = now_s + SUSPECT_S
                    why = f"stuck at {run.percent:g} % for {still_s:.1f} s"
                    self._stop(run_id, worker, why)

    def _is_stuck(self, run: Run, still_s: float) -> bool:
        """Tell whether a run stands still.

        :param still_s: for how long the worker's reports have told the same; what
            it does while it is not heard says nothing.
        """
        job = self.job_by_id.get(run.run_id.task.job)
        if job is None or job.is_final or run.is_filler:
            return False
        step = job.step(run.run_id.task.step_id)
        if step.lasting or (step.gang and not run.percent):
            return False
        patience_s = STUCK_S + STUCK_SHARE * step.estimate_ms / MS_PER_S
        return still_s > patience_s

    def _take_end(self, worker: Worker, end: RunEnd, now_s: float) -> None:
        run = self._drop_run(worker, end.run_id)
        job = self.job_by_id.get(end.run_id.task.job)
        if job is None:
            return
        resumed = bool(self._checkpoint(job, end.run_id.task))
        if not apply_end(job, end, worker.worker_id):
            return
        self._changed.add(job.job_id)
        self._judge(worker, job, end, now_s)
        step_id = end.run_id.task.step_id
        if end.kind is EndKind.DONE and run is not None and not resumed:
            step = job.step(step_id)
            self._speeds.learn(
                job.queue.name,
                worker.worker_id,
                worker.info.kind,
                now_s - run.ordered_s,
                step.estimate_ms / MS_PER_S,
            )
        if end.kind is not EndKind.DONE:
            self._stop_gang(job, end.run_id.task)
        if note_completion(job, self.unix_ms) and not job.is_final:
            return
        if job.is_final:
            self._finish(job)
        else:
            self._open(job, step_id.occurrence)

    def _checkpoint(self, job: Job, task_id: TaskId) -> str:
        task = job.task(task_id)
        return task.checkpoint if task else ""

    def _judge(self, worker: Worker, job: Job, end: RunEnd, now_s: float) -> None:
        """Leave a worker alone on which the work of several jobs fails."""
        failed = self._failed_jobs_by_worker.setdefault(worker.worker_id, set())
        if end.kind is EndKind.DONE:
            failed.clear()
        if end.kind is EndKind.FAILED:
            failed.add(job.job_id)
        if len(failed) >= SUSPECT_JOBS:
            failed.clear()
            worker.avoid_until_s = now_s + SUSPECT_S

    def _take_running(self, worker: Worker, report: WorkerReport, now_s: float) -> None:
        for sighting in report.running:
            run = worker.run_by_id.get(sighting.run_id)
            job = self.job_by_id.get(sighting.run_id.task.job)
            if run is None:
                self._take_stray(worker, job, sighting.run_id, now_s)
                continue
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.ALIVE
                run.settled_s = now_s
            if sighting.percent != run.percent:
                run.percent = sighting.percent
                run.percent_changed_s = now_s
            run.figure = sighting.figure
            task = job.task(sighting.run_id.task) if job else None
            if task is not None and sighting.checkpoint:
                task.checkpoint = sighting.checkpoint
        self._paces += pace_orders(worker, now_s)

    def _take_stray(
        self, worker: Worker, job: Job | None, run_id: RunId, now_s: float
    ) -> None:
        """Stop a run that nobody wants; until it has ended it takes its room."""
        known = job is not None and run_id.task.step < len(job.spec.steps)
        if known:
            self._add_run(job, run_id, worker, now_s)
        else:
            worker.add(Run(run_id, worker.worker_id, worker.info.capacity, now_s))
        self._stop(run_id, worker, "not-ours")

    def _take_missing(
        self,
        worker: Worker,
        report: WorkerReport,
        ended: set[RunId],
        sent_s: float,
    ) -> None:
        running = {sighting.run_id for sighting in report.running}
        for run_id, run in list(worker.run_by_id.items()):
            if run_id in running or run_id in ended:
                continue
            if run.settled_s is not None and run.settled_s < sent_s:
                self._lose_run(worker, run_id)

    def _stop(self, run_id: RunId, worker: Worker, why: str) -> None:
        run = worker.run_by_id.get(run_id)
        if run is None or run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        self._stops.append(StopOrder(run_id, worker.worker_id, why))

    def _stop_gang(self, job: Job, task_id: TaskId) -> None:
        """Stop the other members of a gang that lost one."""
        if job.is_final or not job.step(task_id.step_id).gang:
            return
        for index in range(len(job.tasks(task_id.step_id))):
            member = evolve(task_id, index=index)
            self._stop_task(member, "gang-lost-a-member")

    def _stop_task(self, task_id: TaskId, why: str) -> None:
        for run, worker_id in list(self._live_runs.get(task_id, {}).items()):
            worker = self.worker_by_id.get(worker_id)
            if worker is not None:
                self._stop(RunId(task_id, run), worker, why)

    def _finish(self, job: Job) -> None:
        self._changed.add(job.job_id)
        self._scheduled.discard(job.job_id)
        job.progress.finished_ms = job.progress.finished_ms or self.unix_ms
        for step_id in [key for key in self._open_step_by_id if key.job == job.job_id]:
            del self._open_step_by_id[step_id]
        for step_id in [key for key in self._gate_by_step if key.job == job.job_id]:
            del self._gate_by_step[step_id]
        why = f"job-{job.progress.state.name.lower()}"
        for occurrence, steps in job.progress.tasks_by_occurrence.items():
            for position, tasks in enumerate(steps):
                for index in range(len(tasks)):
                    task_id = TaskId(job.job_id, occurrence, position, index)
                    self._stop_task(task_id, why)

    def _open(self, job: Job, occurrence: int) -> None:
        if occurrence not in job.progress.tasks_by_occurrence:
            return
        for step_id in job.open_steps(occurrence):
            if job.waiting(step_id):
                self._open_step_by_id[step_id] = _OpenStep(step_id, job)

    def _open_due(self) -> None:
        for job_id in list(self._scheduled):
            job = self.job_by_id[job_id]
            spec = job.spec
            opened = job.progress.finished_occurrences + len(
                job.progress.tasks_by_occurrence
            )
            if opened >= spec.occurrences:
                self._scheduled.discard(job_id)
                continue
            due_ms = spec.first_due_ms + opened * spec.period_ms
            if self.unix_ms >= due_ms:
                job.progress.open_occurrence(opened, spec)
                self._open(job, opened)

    def _serve(
        self,
        open_step: _OpenStep,
        now_s: float,
        starts: list[StartOrder],
        asks: list[AskOrder],
    ) -> None:
        job, step_id = open_step.job, open_step.step_id
        waiting = [
            index
            for index in job.waiting(step_id)
            if TaskId(step_id.job, step_id.occurrence, step_id.step, index)
            not in self._live_runs
        ]
        if not waiting:
            if not job.waiting(step_id):
                self._open_step_by_id.pop(step_id, None)
            return
        if job.step(step_id).gang and len(waiting) < len(job.tasks(step_id)):
            return
        view = self._view(job, step_id)
        workers = self._workers(job)
        placements = self._placer.place(view, waiting, workers, now_s)
        for placement in placements:
            starts.append(self._place(job, step_id, placement, now_s))
        if view.gate is not None and len(placements) < len(waiting):
            self._ask(view, job, workers, now_s, asks)

    def _view(self, job: Job, step_id: StepId) -> StepView:
        gate = None
        if job.queue.gated:
            gate = self._gate_by_step.setdefault(step_id, StepGate())
        return StepView(
            step_id,
            job.step(step_id),
            urgent=job.queue.priority == URGENT_PRIORITY,
            gate=gate,
            far_factor=self._settings.far_factor,
        )

    def _workers(self, job: Job) -> list[Worker]:
        pool = job.queue.pool
        return [
            worker
            for worker in self.worker_by_id.values()
            if worker.listed and worker.info.pool == pool
        ]

    def _place(
        self, job: Job, step_id: StepId, placement: Placement, now_s: float
    ) -> StartOrder:
        task_id = TaskId(step_id.job, step_id.occurrence, step_id.step, placement.index)
        task = job.task(task_id)
        task.run = job.next_run(step_id, placement.index)
        if job.step(step_id).gang:
            task.run = self._gang_run(job, step_id)
        task.state = TaskState.PLACED
        task.worker = placement.worker.worker_id
        if job.progress.state is JobState.QUEUED:
            job.progress.state = JobState.RUNNING
        self._changed.add(job.job_id)
        run_id = RunId(task_id, task.run)
        self._add_run(job, run_id, placement.worker, now_s)
        return StartOrder(
            run_id,
            task.worker,
            job.spec.payload,
            task.checkpoint,
            placement.ticket,
        )

    def _gang_run(self, job: Job, step_id: StepId) -> int:
        """Return the run that the members placed in this round share."""
        tasks = job.tasks(step_id)
        placed = [task.run for task in tasks if task.state is TaskState.PLACED]
        return placed[0] if placed else job.next_run(step_id, 0)

    def _ask(
        self,
        view: StepView,
        job: Job,
        workers: list[Worker],
        now_s: float,
        asks: list[AskOrder],
    ) -> None:
        gate = view.gate
        if gate.asking or now_s < gate.retry_s:
            return
        queue = job.queue
        named = self._to_name(view, workers, now_s)
        if not named:
            return
        decide_s = (queue.decide_ms + queue.decide_each_ms * len(named)) / MS_PER_S
        if decide_s > LONG_QUESTION_S and not self._lane_is_free(decide_s):
            return
        gate.asking = True
        gate.asked_s = now_s
        self._long_questions += decide_s > LONG_QUESTION_S
        asks.append(AskOrder(view.step_id, named, decide_s))

    def _lane_is_free(self, decide_s: float) -> bool:
        return self._long_questions < max(1, self.ask_lanes - 2)

    def question_ended(self, order: AskOrder) -> None:
        """Note that a question takes no machine any more."""
        self._long_questions -= order.decide_s > LONG_QUESTION_S

    def _to_name(
        self, view: StepView, workers: list[Worker], now_s: float
    ) -> tuple[str, ...]:
        """Return the workers to ask about: with room, not refused, best first."""
        gate = view.gate
        size = reserved_size(view.step)
        candidates = [
            worker
            for worker in workers
            if usable(worker, now_s)
            and suits(view.step, worker)
            and gate.may_allow(worker.worker_id)
            and worker.fits(size)
            and gate.ticket(worker.worker_id, worker.info.born_ms, now_s) is None
        ]
        ranked = self._placer.ranked(view, candidates)
        return tuple(worker.worker_id for worker in ranked[:MAX_NAMED])
