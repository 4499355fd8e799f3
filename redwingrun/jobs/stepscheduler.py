"""Serving the open steps: questions to the policy, and places for waiting tasks."""

from __future__ import annotations

from collections.abc import Mapping

from redwingrun.jobs.candidates import Candidates
from redwingrun.jobs.exclusions import excluded_by_index
from redwingrun.jobs.job import Job
from redwingrun.jobs.placement import (
    Placement,
    Placer,
    StepView,
    has_required_label,
    reserved_size,
)
from redwingrun.jobs.policycache import StepPolicyCache
from redwingrun.jobs.progress import JobState, TaskState
from redwingrun.jobs.slicestate import ReadyStep, SliceState
from redwingrun.jobs.spec import (
    RunId,
    StepId,
    StepSpec,
)
from redwingrun.jobs.workerpool import (
    PolicyQuery,
    StartOrder,
    Worker,
)

MS_PER_S = 1000
URGENT_PRIORITY = 0
# The policy is asked about at most so many workers at once.
MAX_WORKERS_PER_QUERY = 30
# A question that takes longer than this keeps a machine from urgent questions.
LONG_QUERY_S = 0.2


class StepScheduler:
    """Places the tasks of open steps.

    :param far_factor: how much longer a task takes away from its data.
    :ivar policy_proxy_count: machines that can put questions to the policy.
    """

    def __init__(self, state: SliceState, placer: Placer, far_factor: float):
        self._state = state
        self._placer = placer
        self._far_factor = far_factor
        self._long_queries = 0
        self.policy_proxy_count = 1

    def schedule(
        self,
        ready_step: ReadyStep,
        candidates: Candidates,
        now_s: float,
        starts: list[StartOrder],
        policy_queries: list[PolicyQuery],
    ) -> None:
        """Place what can be placed of a step, and ask about the rest."""
        job, step_id = ready_step.job, ready_step.step_id
        policy_cache = self._state.policy_cache_by_step.get(step_id)
        if policy_cache is not None and policy_cache.must_wait(now_s):
            return
        waiting = [
            index
            for index in job.waiting_indexes(step_id)
            if step_id.task(index) not in self._state.live_runs
        ]
        if not waiting:
            if not job.waiting_indexes(step_id):
                self._state.ready_step_by_id.pop(step_id, None)
            return
        if job.step(step_id).gang and len(waiting) < len(job.tasks(step_id)):
            return
        workers = candidates.in_pool(job.queue.pool)
        view = self._view(job, step_id, waiting, workers)
        placements = self._placer.place(view, waiting, workers, now_s)
        for placement in placements:
            starts.append(self._place(job, step_id, placement, now_s))
        if view.policy_cache is not None and len(placements) < len(waiting):
            self._query_policy(view, job, waiting, workers, now_s, policy_queries)

    def _view(
        self,
        job: Job,
        step_id: StepId,
        waiting: list[int],
        workers: Mapping[str, Worker],
    ) -> StepView:
        step = job.step(step_id)
        policy_cache = None
        if job.queue.uses_policy:
            policy_cache = self._state.policy_cache_by_step.setdefault(
                step_id, StepPolicyCache()
            )
        elsewhere = []
        if job.failed_workers_by_task:
            elsewhere = [
                worker
                for worker in workers.values()
                if _may_run(step, policy_cache, worker)
            ]
        return StepView(
            step_id,
            step,
            urgent=job.queue.priority == URGENT_PRIORITY,
            policy_cache=policy_cache,
            far_factor=self._far_factor,
            excluded_by_index=excluded_by_index(job, step_id, waiting, elsewhere),
        )

    def _place(
        self, job: Job, step_id: StepId, placement: Placement, now_s: float
    ) -> StartOrder:
        task_id = step_id.task(placement.index)
        task = job.task(task_id)
        gang = job.step(step_id).gang
        task.run = (
            self._gang_run(job, step_id)
            if gang
            else job.next_run(step_id, placement.index)
        )
        task.state = TaskState.PLACED
        task.worker = placement.worker.worker_id
        if job.progress.state is JobState.QUEUED:
            job.progress.state = JobState.RUNNING
        self._state.changed.add(job.job_id)
        run_id = RunId(task_id, task.run)
        self._state.add_run(job, run_id, placement.worker, now_s)
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

    def _query_policy(
        self,
        view: StepView,
        job: Job,
        waiting: list[int],
        workers: Mapping[str, Worker],
        now_s: float,
        policy_queries: list[PolicyQuery],
    ) -> None:
        policy_cache = view.policy_cache
        if policy_cache.query_pending or now_s < policy_cache.retry_s:
            return
        queue = job.queue
        named = self._workers_to_query(view, waiting, workers, now_s)
        if not named:
            return
        expected_answer_s = (
            queue.policy_call_ms + queue.policy_per_worker_ms * len(named)
        ) / MS_PER_S
        if expected_answer_s > LONG_QUERY_S and not self._may_send_long_query(
            expected_answer_s
        ):
            return
        policy_cache.query_pending = True
        policy_cache.queried_s = now_s
        self._long_queries += expected_answer_s > LONG_QUERY_S
        policy_queries.append(PolicyQuery(view.step_id, named, expected_answer_s))

    def _may_send_long_query(self, expected_answer_s: float) -> bool:
        return self._long_queries < max(1, self.policy_proxy_count - 2)

    def policy_query_ended(self, order: PolicyQuery) -> None:
        """Note that a question takes no machine any more."""
        self._long_queries -= order.expected_answer_s > LONG_QUERY_S

    def _workers_to_query(
        self,
        view: StepView,
        waiting: list[int],
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> tuple[str, ...]:
        """Return the workers to ask about: with room, not refused, best first."""
        policy_cache = view.policy_cache
        size = reserved_size(view.step)
        excluded = frozenset.intersection(*(view.excluded(index) for index in waiting))
        candidates = [
            worker
            for worker in workers.values()
            if _may_run(view.step, policy_cache, worker)
            and worker.worker_id not in excluded
            and worker.fits(size)
            and policy_cache.valid_ticket(worker.worker_id, worker.info.born_ms, now_s)
            is None
        ]
        ranked = self._placer.rank(view, candidates, now_s)
        return tuple(worker.worker_id for worker in ranked[:MAX_WORKERS_PER_QUERY])


def _may_run(
    step: StepSpec, policy_cache: StepPolicyCache | None, worker: Worker
) -> bool:
    """Tell whether a task of the step may go to the worker once that has room."""
    if not has_required_label(step, worker):
        return False
    return policy_cache is None or policy_cache.may_allow(worker.worker_id)
