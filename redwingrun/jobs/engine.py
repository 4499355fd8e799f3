"""The decisions of a pool slice's owner: events come in, orders go out.

Nothing here waits, sends or stores. The owner passes in what it has seen, asks for
a :class:`Plan`, stores the jobs that changed, and only then sends the starts.
"""

from __future__ import annotations

from attrs import evolve, frozen

from redwingrun.jobs.candidates import Candidates
from redwingrun.jobs.job import Job
from redwingrun.jobs.placement import Placer
from redwingrun.jobs.policycache import Ticket
from redwingrun.jobs.progress import JobProgress, JobState
from redwingrun.jobs.slicestate import SliceState
from redwingrun.jobs.spec import (
    Queue,
    QueueSet,
    RunId,
    Submission,
)
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.stepscheduler import StepScheduler
from redwingrun.jobs.workerpool import (
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
# How long a worker is left alone after it refused a start, by reason.
AVOID_S_BY_REFUSAL = {
    Refusal.NO_ROOM: 0.3,
    Refusal.UNHEALTHY: 2.0,
    Refusal.LEASE_EXPIRED: 0.3,
    Refusal.BAD_ORDER: 1.0,
    Refusal.OTHER_INCARNATION: 1.0,
    Refusal.NOT_SENT: 0.5,
}


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
    policy_queries: tuple[PolicyQuery, ...]
    changed_jobs: frozenset[str]


class Engine:
    """All jobs and workers of one slice.

    :param settings: figures of the deployment.
    """

    def __init__(self, settings: EngineSettings):
        speed_model = SpeedModel()
        self.state = SliceState()
        self._queues = QueueSet(0)
        self._finished: set[str] = set()
        # Cancellations that were heard of before their jobs.
        self._cancelled_early: set[str] = set()
        self._reports = ReportProcessor(self.state, speed_model)
        self._steps = StepScheduler(
            self.state, Placer(speed_model), settings.far_factor
        )

    @property
    def job_by_id(self) -> dict[str, Job]:
        """The jobs that are not finished, and those finished under this owner."""
        return self.state.job_by_id

    @property
    def worker_by_id(self) -> dict[str, Worker]:
        """The workers that are registered or may still run something."""
        return self.state.worker_by_id

    def set_time(self, unix_ms: int) -> None:
        """Take the time of day."""
        self.state.unix_ms = unix_ms

    def set_inherited_lease_expiry(self, lease_expiry_s: float) -> None:
        """Take the steady time at which a former owner's runs have lapsed."""
        self.state.inherited_lease_expiry_s = lease_expiry_s

    def set_policy_proxy_count(self, count: int) -> None:
        """Take how many machines can put questions to the policy."""
        self._steps.policy_proxy_count = count

    def process_report(
        self, worker_id: str, report: WorkerReport, sent_s: float, now_s: float
    ) -> None:
        """Take a worker's lists.

        :param sent_s: steady time at which they were asked for.
        """
        self._reports.process_report(worker_id, report, sent_s, now_s)

    def worker_restarted(
        self, worker_id: str, report: WorkerReport, sent_s: float
    ) -> None:
        """Note that a worker has begun anew.

        :param sent_s: steady time at which the new life's lists were asked for.
        """
        self._reports.worker_restarted(worker_id, report, sent_s)

    def policy_query_ended(self, order: PolicyQuery) -> None:
        """Note that a question takes no machine any more."""
        self._steps.policy_query_ended(order)

    def set_queues(self, queues: QueueSet) -> None:
        """Take a newer configuration."""
        self._queues = queues
        for job in self.state.job_by_id.values():
            job.queue = queues.queue_by_name.get(job.queue.name, job.queue)

    def add_job(
        self,
        job_id: str,
        submission: Submission,
        progress: JobProgress | None,
        now_s: float,
    ) -> None:
        """Take a job, new or as a former owner left it."""
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
        if job.is_final:
            return
        for task_id, task in job.placed_tasks():
            self.state.restore_run(job, RunId(task_id, task.run), task.worker, now_s)
        if submission.spec.is_scheduled:
            self.state.scheduled.add(job_id)
        elif not job.progress.tasks_by_occurrence:
            job.progress.add_occurrence(0, submission.spec)
        for occurrence in job.progress.tasks_by_occurrence:
            self.state.add_ready_steps(job, occurrence)
        if job_id in self._cancelled_early:
            self._cancelled_early.discard(job_id)
            self.cancel_job(job_id)

    def mark_finished(self, job_id: str) -> None:
        """Take a job that a former owner finished; its row may be read again."""
        self._finished.add(job_id)

    def cancel_job(self, job_id: str) -> None:
        """End a job at its client's wish; a finished one stays as it is."""
        job = self.state.job_by_id.get(job_id)
        if job is None and job_id not in self._finished:
            self._cancelled_early.add(job_id)
        if job is None or job.is_final:
            return
        job.progress.state = JobState.CANCELLED
        self.state.finish(job)

    def remove_job(self, job_id: str) -> None:
        """Drop a finished job whose rows are gone."""
        self.state.job_by_id.pop(job_id, None)
        self._finished.discard(job_id)

    def register_worker(self, info: WorkerInfo) -> None:
        """Take a worker's registration."""
        worker = self.state.worker_by_id.get(info.worker_id)
        if worker is None:
            worker = Worker(info, lease_expiry_s=self.state.inherited_lease_expiry_s)
            self.state.worker_by_id[info.worker_id] = worker
            return
        if worker.info.born_ms:
            # A new life is settled by whoever hears it first from the worker itself.
            info = evolve(info, born_ms=worker.info.born_ms)
        worker.info = info
        worker.is_registered = True
        if info.draining:
            self._reports.evacuate(worker)

    def unregister_worker(self, worker_id: str) -> None:
        """Note that a worker's registration is gone."""
        worker = self.state.worker_by_id.get(worker_id)
        if worker is None:
            return
        worker.is_registered = False
        if not worker.run_by_id:
            del self.state.worker_by_id[worker_id]

    def worker_lost(self, worker_id: str) -> None:
        """Note that nothing runs on a worker any more: it died or all lapsed."""
        worker = self.state.worker_by_id.get(worker_id)
        if worker is None:
            return
        self.state.lose_all_runs(worker)
        if not worker.is_registered:
            del self.state.worker_by_id[worker_id]

    def start_accepted(self, order: StartOrder, now_s: float) -> None:
        """Note that a worker has a run."""
        run = self.state.run(order.worker_id, order.run_id)
        if run is None:
            return
        run.answered_s = now_s
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.ALIVE

    def start_refused(self, order: StartOrder, refusal: Refusal, now_s: float) -> None:
        """Note that a worker did nothing and never will for this order."""
        worker = self.state.worker_by_id.get(order.worker_id)
        if worker is None:
            return
        step_id = order.run_id.task.step_id
        if refusal is Refusal.TICKET and step_id in self.state.policy_cache_by_step:
            self.state.policy_cache_by_step[step_id].drop_ticket(order.worker_id)
        pause_s = AVOID_S_BY_REFUSAL.get(refusal, 0)
        worker.avoid_until_s = max(worker.avoid_until_s, now_s + pause_s)
        self.state.lose_run(worker, order.run_id)

    def stop_acknowledged(self, order: StopOrder, now_s: float) -> None:
        """Note that a worker has taken a stop."""
        run = self.state.run(order.worker_id, order.run_id)
        if run is not None:
            run.answered_s = now_s

    def pace_acknowledged(self, order: PaceOrder) -> None:
        """Note that a worker has taken a pace."""
        run = self.state.run(order.worker_id, order.run_id)
        if run is not None:
            run.pace_percent = order.percent

    def should_send_start(self, order: StartOrder) -> bool:
        """Tell whether a start should still be sent."""
        run = self.state.run(order.worker_id, order.run_id)
        job = self.state.job_by_id.get(order.run_id.task.job)
        wanted = run is not None and run.phase is RunPhase.ORDERED
        return wanted and job is not None and not job.is_final

    def has_run(self, order: StartOrder) -> bool:
        """Tell whether the run still takes room on its worker."""
        return self.state.run(order.worker_id, order.run_id) is not None

    def withdraw_start(self, order: StartOrder) -> None:
        """Take back a start that was never sent."""
        worker = self.state.worker_by_id.get(order.worker_id)
        if worker is not None:
            self.state.lose_run(worker, order.run_id)

    def policy_answered(
        self, order: PolicyQuery, ticket_by_worker: dict[str, Ticket]
    ) -> None:
        """Take the placement policy's answer."""
        policy_cache = self.state.policy_cache_by_step.get(order.step_id)
        if policy_cache is not None:
            policy_cache.record_answer(order.worker_ids, ticket_by_worker)

    def policy_failed(self, order: PolicyQuery, retry_s: float) -> None:
        """Note that the policy did not answer; it is asked again from then on."""
        policy_cache = self.state.policy_cache_by_step.get(order.step_id)
        if policy_cache is not None:
            policy_cache.record_failure(retry_s)

    def plan(self, now_s: float) -> Plan:
        """Decide what to do now."""
        self.state.add_due_occurrences()
        self._reports.check_progress(now_s)
        starts: list[StartOrder] = []
        policy_queries: list[PolicyQuery] = []
        candidates = Candidates(self.state.worker_by_id, now_s)
        for step in sorted(self.state.ready_step_by_id.values(), key=lambda s: s.order):
            self._steps.schedule(step, candidates, now_s, starts, policy_queries)
        stops, self.state.stops = self.state.stops, []
        paces = self._reports.pop_pace_orders()
        changed, self.state.changed = frozenset(self.state.changed), set()
        return Plan(tuple(starts), tuple(stops), paces, tuple(policy_queries), changed)

    def last_end_by_worker(self) -> dict[str, int]:
        """Return by worker the last end that was taken in."""
        return {
            key: worker.last_end_number
            for key, worker in self.state.worker_by_id.items()
        }

    def waiting_by_queue(self) -> dict[str, int]:
        """Count the jobs of each queue for which nothing has started."""
        counts: dict[str, int] = {}
        for job in self.state.job_by_id.values():
            if job.progress.state is JobState.QUEUED:
                counts[job.queue.name] = counts.get(job.queue.name, 0) + 1
        return counts

    def _due_s(self, submission: Submission, queue: Queue, now_s: float) -> float:
        chain_ms = [0.0] * len(submission.spec.steps)
        for position, step in enumerate(submission.spec.steps):
            before = max((chain_ms[other] for other in step.after), default=0)
            chain_ms[position] = before + step.estimate_ms
        age_ms = max(0, self.state.unix_ms - submission.accepted_ms)
        allowed_ms = queue.stretch * max(chain_ms) + queue.slack_ms
        return now_s + (allowed_ms - age_ms) / MS_PER_S
