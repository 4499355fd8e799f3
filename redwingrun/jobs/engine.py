"""The scheduling engine of a slice: turns events into a plan of orders.

The engine does no I/O and never blocks. The slice's owner passes in events, requests a
:class:`Plan`, stores the jobs that changed, and only then sends the start orders.
"""

from __future__ import annotations

from attrs import evolve, frozen

from redwingrun.jobs.candidates import Candidates
from redwingrun.jobs.crashes import CrashRecorder, CrashReport
from redwingrun.jobs.evidence import (
    EndedRun,
    Evidence,
    NotCarriedOut,
    OtherWorkerAtAddress,
)
from redwingrun.jobs.interference import FixedInterference, LearnedInterference
from redwingrun.jobs.interferencemeter import InterferenceMeter
from redwingrun.jobs.job import Job
from redwingrun.jobs.placement import Placer
from redwingrun.jobs.policycache import Ticket
from redwingrun.jobs.policyqueries import PolicyQueryPlanner
from redwingrun.jobs.preemption import Preemptor
from redwingrun.jobs.progress import JobProgress, JobState
from redwingrun.jobs.runtimemodel import RunTimeModel
from redwingrun.jobs.shareorder import RateChange, ShareOrder
from redwingrun.jobs.slicestate import ReadyStep, SliceState
from redwingrun.jobs.spec import (
    Queue,
    QueueSet,
    RunId,
    StepSpec,
    Submission,
    TaskId,
)
from redwingrun.jobs.speedmeter import SpeedMeter
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.stepscheduler import StepScheduler
from redwingrun.jobs.watchedstarts import start_answered
from redwingrun.jobs.workerpool import (
    LastEnd,
    PaceOrder,
    PolicyQuery,
    Refusal,
    RunPhase,
    StartOrder,
    StopOrder,
    Worker,
    WorkerInfo,
    WorkerReport,
)
from redwingrun.jobs.workerreports import ReportProcessor

MS_PER_S = 1000
# More tasks than a slice ever places at once.
MAX_STARTS = 1_000_000
# How long a worker gets no new runs after it refused a start, by reason.
AVOID_S_BY_REFUSAL = {
    Refusal.NO_ROOM: 0.3,
    Refusal.UNHEALTHY: 2.0,
    Refusal.LEASE_EXPIRED: 0.3,
    Refusal.BAD_ORDER: 1.0,
    Refusal.OTHER_INCARNATION: 1.0,
    Refusal.NOT_SENT: 0.5,
}


# While jobs are counted with less of what they may need, those that have ended are not
# taken out of the sum.
LITTLE_BACKLOG_SHARE = 0.25


@frozen
class EngineSettings:
    """Settings of a deployment.

    :param far_factor: run time of a task outside its data's rack, as a multiple of the
        run time in it.
    :param early_s: how many seconds before its due time an occurrence may start. Not
        used: occurrences start at their due time.
    :param max_lease_s: a worker shortens a longer lease to this.
    :param learns_run_times: whether learned run times replace the clients' estimates in
        due times and in the detection of slow workers.
    :param learns_interference: whether the engine learns which images slow each other
        down on a worker, and keeps their tasks apart where there is room.
    :param preempts: whether runs that can resume from a checkpoint are stopped for
        urgent steps that find no room.
    :param stop_timeout_s: how long the stop of a run takes at most.
    :param max_backlog_bytes: memory that unfinished jobs may need; ``None`` for no
        limit.
    """

    far_factor: float = 2.0
    early_s: float = 0.0
    max_lease_s: float = 10.0
    learns_run_times: bool = False
    learns_interference: bool = False
    preempts: bool = False
    stop_timeout_s: float = 0.9
    max_backlog_bytes: int | None = None


@frozen
class Plan:
    """What the owner does next.

    The changed jobs must be stored before the starts are sent: otherwise another owner
    could start the same tasks again after a takeover.

    :param capped_accounts: the client accounts whose work waits for their cap.
    :param rate_changes: those that began or ceased to exceed their rate.
    """

    starts: tuple[StartOrder, ...]
    stops: tuple[StopOrder, ...]
    paces: tuple[PaceOrder, ...]
    policy_queries: tuple[PolicyQuery, ...]
    changed_jobs: frozenset[str]
    capped_accounts: frozenset[str] = frozenset()
    rate_changes: tuple[RateChange, ...] = ()


class Engine:
    """Schedules the jobs of one slice on the slice's workers.

    :ivar learned_interference: ``None`` unless the settings enable it.
    """

    def __init__(self, settings: EngineSettings):
        self._max_backlog_bytes = settings.max_backlog_bytes
        self._backlog_bytes = 0
        speed_model = SpeedModel()
        self.state = SliceState()
        self._queues = QueueSet(0)
        self._finished: set[str] = set()
        # Cancellations that arrived before their jobs.
        self._cancelled_early: set[str] = set()
        self._crashes = CrashRecorder(self.state)
        self._run_times = RunTimeModel() if settings.learns_run_times else None
        self.learned_interference: LearnedInterference | None = None
        interference_meter = None
        if settings.learns_interference:
            self.state.counts_images = True
            self.learned_interference = LearnedInterference()
            interference_meter = InterferenceMeter(
                self.state, self.learned_interference, speed_model
            )
        self._reports = ReportProcessor(
            self.state,
            SpeedMeter(speed_model),
            speed_model,
            self._crashes,
            self._run_times,
            interference_meter,
        )
        self._share_order = ShareOrder(self.state)
        placer = Placer(speed_model, self.learned_interference or FixedInterference())
        self._query_planner = PolicyQueryPlanner(placer)
        preemptor = None
        if settings.preempts:
            preemptor = Preemptor(self.state, speed_model, settings.stop_timeout_s)
        self._steps = StepScheduler(
            self.state, placer, self._query_planner, settings.far_factor, preemptor
        )

    @property
    def job_by_id(self) -> dict[str, Job]:
        """The unfinished jobs, and those that finished under this owner, by id."""
        return self.state.job_by_id

    @property
    def worker_by_id(self) -> dict[str, Worker]:
        """The workers that are registered or may still run a task, by id."""
        return self.state.worker_by_id

    def set_time(self, unix_ms: int) -> None:
        """Set the current Unix time in ms."""
        self.state.unix_ms = unix_ms

    def set_inherited_lease_expiry(self, lease_expiry_s: float) -> None:
        """Set the monotonic time by which all leases of a former owner have expired."""
        self.state.inherited_lease_expiry_s = lease_expiry_s

    def set_policy_proxy_count(self, count: int) -> None:
        """Set the number of members that can send policy queries."""
        self._query_planner.proxy_count = count

    def process_report(
        self, worker_id: str, report: WorkerReport, sent_s: float, now_s: float
    ) -> CrashReport:
        """Apply a worker's report.

        :param sent_s: monotonic time at which the heartbeat was sent.
        :return: the tasks that are suspected or given up because of a crash that the
            report shows.
        """
        return self._reports.process_report(worker_id, report, sent_s, now_s)

    def worker_restarted(
        self, worker_id: str, report: WorkerReport, sent_s: float, now_s: float
    ) -> CrashReport:
        """Record that a worker process has restarted.

        :param report: the first report of the new incarnation.
        :param sent_s: monotonic time at which the heartbeat for it was sent.
        :return: the tasks that are suspected or given up because of it.
        """
        return self._reports.worker_restarted(worker_id, report, sent_s, now_s)

    def policy_query_ended(self, query: PolicyQuery) -> None:
        """Record that a policy query no longer occupies a proxy."""
        self._query_planner.query_ended(query)

    def set_queues(self, queues: QueueSet) -> None:
        """Apply a newer configuration; a job of a removed queue keeps its old queue."""
        self._queues = queues
        self.state.account_usage.set_accounts(queues.accounts)
        self._share_order.set_accounts(queues.accounts)
        for job in self.state.job_by_id.values():
            job.queue = queues.queue_by_name.get(job.queue.name, job.queue)

    def add_job(
        self,
        job_id: str,
        submission: Submission,
        progress: JobProgress | None,
        now_s: float,
    ) -> None:
        """Add a job; one that is known or finished already is ignored.

        :param progress: the stored progress; ``None`` for a new job.
        """
        if job_id in self.state.job_by_id or job_id in self._finished:
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
        self.state.job_by_id[job_id] = job
        self._share_order.add_job(job)
        if job.is_final:
            return
        job.complete_done_gangs()
        job.has_suspects = job.progress.has_suspects
        for task_id, task in job.placed_tasks():
            self.state.restore_run(job, RunId(task_id, task.run), task.worker, now_s)
        if submission.spec.is_scheduled:
            self.state.scheduled.add(job_id)
        elif not job.progress.tasks_by_occurrence:
            job.progress.add_occurrence(0, submission.spec)
        for occurrence in job.progress.tasks_by_occurrence:
            self.state.add_ready_steps(job, occurrence)
        self._backlog_bytes += job.held_bytes
        if job_id in self._cancelled_early:
            self._cancelled_early.discard(job_id)
            self.cancel_job(job_id)

    def mark_finished(self, job_id: str) -> None:
        """Record that a former owner finished a job.

        Its submission may be read again, and must not be added as a new job then.
        """
        self._finished.add(job_id)

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job unless it has finished.

        For an unknown job the cancellation is kept until the job is added.
        """
        job = self.state.job_by_id.get(job_id)
        if job is None and job_id not in self._finished:
            self._cancelled_early.add(job_id)
        if job is None or job.is_final:
            return
        job.progress.state = JobState.CANCELLED
        self.state.finish(job)

    def give_up_job(self, job_id: str) -> None:
        """Fail a job that can't go on, unless it has finished."""
        job = self.state.job_by_id.get(job_id)
        if job is not None and not job.is_final:
            job.progress.state = JobState.FAILED
            self.state.finish(job)

    def remove_job(self, job_id: str) -> None:
        """Remove a finished job whose rows were deleted."""
        self.state.job_by_id.pop(job_id, None)
        self._finished.discard(job_id)

    def register_worker(self, info: WorkerInfo) -> None:
        """Add a worker or update its registration."""
        worker = self.state.worker_by_id.get(info.worker_id)
        if worker is None:
            worker = Worker(info, lease_expiry_s=self.state.inherited_lease_expiry_s)
            self.state.worker_by_id[info.worker_id] = worker
            return
        worker.registered_born_ms = info.born_ms
        if worker.info.born_ms:
            # Only the worker's own report announces a restart, not its registration.
            info = evolve(info, born_ms=worker.info.born_ms)
        worker.info = info
        worker.is_registered = True
        if info.draining:
            self._reports.evacuate(worker)

    def unregister_worker(self, worker_id: str) -> None:
        """Record that a worker left the registry; it is kept while it has runs."""
        worker = self.state.worker_by_id.get(worker_id)
        if worker is None:
            return
        worker.is_registered = False
        if not worker.run_by_id:
            del self.state.worker_by_id[worker_id]

    def worker_unreachable(self, worker_id: str) -> None:
        """Place no new runs on a worker until it reports again; its runs may go on."""
        worker = self.state.worker_by_id.get(worker_id)
        if worker is not None:
            worker.is_reachable = False

    def worker_lost(self, worker_id: str, evidence: Evidence) -> CrashReport:
        """Treat all runs of a worker as lost.

        :param evidence: that it has restarted, or that their lease has expired.
        :return: the tasks that are suspected or given up because of it.
        """
        worker = self.state.worker_by_id.get(worker_id)
        if worker is None:
            return CrashReport()
        runs = worker.run_by_id.values()
        has_crashed = isinstance(evidence, OtherWorkerAtAddress)
        crash = self._crashes.record_crash(worker, runs, has_crashed)
        self.state.lose_all_runs(worker, evidence)
        self._crashes.give_up(crash)
        if not worker.is_registered and not worker.run_by_id:
            del self.state.worker_by_id[worker_id]
        return crash

    def start_accepted(self, order: StartOrder, now_s: float) -> None:
        """Record that a worker has accepted a start."""
        run = self.state.run(order.worker_id, order.run_id)
        if run is None:
            return
        worker = self.state.worker_by_id[order.worker_id]
        worker.confirm_start(run, now_s, now_s)
        if not order.checkpoint and not run.percent:
            run.measured_from_s = now_s
        self._start_answered(worker, order, now_s)

    def start_unanswered(self, order: StartOrder, now_s: float) -> None:
        """Record that an attempt to start a run got no answer."""
        run = self.state.run(order.worker_id, order.run_id)
        if run is not None:
            run.unanswered_s = now_s

    def start_refused(self, order: StartOrder, refusal: Refusal, now_s: float) -> None:
        """Treat a run as lost because its start had no effect and can't have one later.

        The worker gets no new runs for the time in ``AVOID_S_BY_REFUSAL``. A refused
        ticket is dropped.
        """
        worker = self.state.worker_by_id.get(order.worker_id)
        if worker is None:
            return
        step_id = order.run_id.task.step_id
        if refusal is Refusal.TICKET and step_id in self.state.policy_cache_by_step:
            self.state.policy_cache_by_step[step_id].drop_ticket(order.worker_id)
        avoid_s = AVOID_S_BY_REFUSAL.get(refusal, 0)
        worker.avoid_until_s = max(worker.avoid_until_s, now_s + avoid_s)
        self._start_answered(worker, order, now_s)
        evidence = NotCarriedOut(now_s, refusal.value)
        self.state.lose_run(worker, order.run_id, evidence)

    def _start_answered(self, worker: Worker, order: StartOrder, now_s: float) -> None:
        """Hold the worker of a watched start for no longer than needed."""
        job = self.state.job_by_id.get(order.run_id.task.job)
        if job is not None:
            start_answered(worker, job, order.run_id.task, now_s)

    def stop_acknowledged(self, order: StopOrder, now_s: float) -> None:
        """Record that a worker has accepted a stop."""
        run = self.state.run(order.worker_id, order.run_id)
        if run is not None:
            run.answered_s = now_s

    def pace_acknowledged(self, order: PaceOrder) -> None:
        """Record that a worker has applied a pace."""
        run = self.state.run(order.worker_id, order.run_id)
        if run is not None:
            run.pace_percent = order.percent

    def should_send_start(self, order: StartOrder) -> bool:
        """Return whether a start is still pending and its job unfinished.

        The worker may have shrunk since the start was planned.
        """
        run = self.state.run(order.worker_id, order.run_id)
        job = self.state.job_by_id.get(order.run_id.task.job)
        is_pending = run is not None and run.phase is RunPhase.ORDERED
        if not is_pending or job is None or job.is_final:
            return False
        return not self.state.worker_by_id[order.worker_id].is_over_capacity

    def is_start_settled(self, order: StartOrder) -> bool:
        """Return whether a start needs no other attempt.

        A report may have listed the run, although the answer to its start was lost.
        """
        run = self.state.run(order.worker_id, order.run_id)
        return run is None or run.phase is RunPhase.ALIVE

    def withdraw_start(self, order: StartOrder, now_s: float) -> None:
        """Treat a run as lost whose start was never sent."""
        worker = self.state.worker_by_id.get(order.worker_id)
        if worker is not None:
            evidence = NotCarriedOut(now_s, "never-sent")
            self.state.lose_run(worker, order.run_id, evidence)

    def pop_ended_run(self, task_id: TaskId) -> EndedRun | None:
        """Return and forget the run of a task that ended before its latest start."""
        return self.state.ended_run_by_task.pop(task_id, None)

    def policy_answered(
        self, query: PolicyQuery, ticket_by_worker: dict[str, Ticket]
    ) -> None:
        """Record the placement policy's answer to a query."""
        policy_cache = self.state.policy_cache_by_step.get(query.step_id)
        if policy_cache is not None:
            policy_cache.record_answer(query.worker_ids, ticket_by_worker)
        job = self.state.job_by_id.get(query.step_id.job)
        if job is not None:
            self._query_planner.record_answer(
                job.queue.name, len(query.worker_ids), len(ticket_by_worker)
            )

    def policy_failed(self, query: PolicyQuery, retry_at_s: float) -> None:
        """Record that a policy query got no answer.

        :param retry_at_s: monotonic time from which the policy may be queried again.
        """
        policy_cache = self.state.policy_cache_by_step.get(query.step_id)
        if policy_cache is not None:
            policy_cache.record_failure(query.worker_ids, retry_at_s)

    def plan(self, now_s: float, max_starts: int = MAX_STARTS) -> Plan:
        """Place waiting tasks and return all orders issued since the last plan.

        :param max_starts: how many tasks to place at most, but for a gang, which is
            placed as a whole.
        """
        if self.state.scheduled:
            self._backlog_bytes += self.state.add_due_occurrences(
                self.backlog_room_bytes()
            )
        self._reports.check_progress(now_s)
        self.state.find_ready_steps()
        starts: list[StartOrder] = []
        policy_queries: list[PolicyQuery] = []
        candidates = Candidates(self.state.worker_by_id, now_s)
        for step in self._sorted_steps(now_s):
            limit = self._share_order.max_starts(step, max_starts)
            if len(starts) >= limit:
                break
            self._steps.schedule(step, candidates, now_s, starts, policy_queries, limit)
        stops, self.state.stops = self.state.stops, []
        paces = self._reports.pop_pace_orders()
        changed, self.state.changed = frozenset(self.state.changed), set()
        return Plan(
            tuple(starts),
            tuple(stops),
            paces,
            tuple(policy_queries),
            changed,
            self.state.account_usage.pop_capped(),
            self._share_order.pop_rate_changes(),
        )

    def _sorted_steps(self, now_s: float) -> list[ReadyStep]:
        """Return the ready steps in the order in which they are scheduled."""
        steps = self.state.ready_step_by_id.values()
        if self._share_order.is_needed:
            return self._share_order.sort(steps, now_s)
        return sorted(steps, key=lambda step: step.order)

    def last_end_by_worker(self) -> dict[str, LastEnd]:
        """Return the last processed run end, by worker."""
        return {
            key: LastEnd(worker.info.born_ms, worker.last_end_number)
            for key, worker in self.state.worker_by_id.items()
        }

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the number of jobs of which no task has started, by queue."""
        counts: dict[str, int] = {}
        for job in self.state.job_by_id.values():
            if job.progress.state is JobState.QUEUED:
                counts[job.queue.name] = counts.get(job.queue.name, 0) + 1
        return counts

    def measure_backlog(self) -> None:
        """Add up the memory that unfinished jobs need, unless it is little.

        In between, only jobs that come are added to the sum.
        """
        if self._max_backlog_bytes is None:
            return
        if self._backlog_bytes <= self._max_backlog_bytes * LITTLE_BACKLOG_SHARE:
            return
        jobs = self.state.job_by_id.values()
        self._backlog_bytes = sum(job.held_bytes for job in jobs if not job.is_final)

    def backlog_room_bytes(self) -> int | None:
        """Return the memory that is left for jobs; ``None`` if it is not limited."""
        if self._max_backlog_bytes is None:
            return None
        return max(0, self._max_backlog_bytes - self._backlog_bytes)

    def _due_s(self, submission: Submission, queue: Queue, now_s: float) -> float:
        """Return the monotonic time at which a job is due by its queue's objective.

        The objective is relative to the expected length of the job's critical path.
        """
        path_ms = [0.0] * len(submission.spec.steps)
        for position, step in enumerate(submission.spec.steps):
            before = max((path_ms[other] for other in step.after), default=0)
            path_ms[position] = before + self._expected_ms(queue, step)
        age_ms = max(0, self.state.unix_ms - submission.accepted_ms)
        allowed_ms = queue.stretch * max(path_ms) + queue.slack_ms
        return now_s + (allowed_ms - age_ms) / MS_PER_S

    def _expected_ms(self, queue: Queue, step: StepSpec) -> float:
        """Return the learned run time of a step's tasks, or the client's estimate."""
        if self._run_times is None:
            return step.estimate_ms
        return self._run_times.expected_ms(queue.name, step)
