"""Schedules ready steps: places their waiting tasks and queries the policy."""

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
from redwingrun.jobs.watchedstarts import (
    MAX_WAIT_S,
    hold_for_start,
    hold_until_quiet,
    quiet_workers,
)
from redwingrun.jobs.workerpool import (
    PolicyQuery,
    StartOrder,
    Worker,
)

MS_PER_S = 1000
URGENT_PRIORITY = 0
MAX_WORKERS_PER_QUERY = 30
# The policy handles the queries of one proxy one after the other: a query that takes
# longer than this would delay short queries behind it.
LONG_QUERY_S = 0.2


class StepScheduler:
    """Places the tasks of ready steps.

    :param far_factor: run time of a task outside its data's rack, as a multiple of the
        run time in it.
    :ivar policy_proxy_count: number of members that can send policy queries.
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
        """Place as many tasks of a step as possible, and query the policy for the rest.

        Tasks with a run that may still be alive are not placed. A gang is placed only
        if all its tasks are waiting and none has such a run.

        :param starts: receives the start orders.
        :param policy_queries: receives the query, if there is one.
        """
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
        suspects = job.suspect_indexes(step_id, waiting)
        started = len(starts)
        others = waiting
        if suspects and not self._has_waited_too_long(job, now_s):
            others = [index for index in waiting if index not in suspects]
            # Placed first, so that their resources are reserved for the next call.
            for placement in self._place_suspects(view, job, suspects, workers, now_s):
                starts.append(self._place(job, step_id, placement, now_s))
        if others:
            for placement in self._placer.place(view, others, workers, now_s):
                starts.append(self._place(job, step_id, placement, now_s))
                if placement.index in suspects:
                    # The next start is watched again.
                    job.suspects_wait_since_s = None
        if view.policy_cache is not None and len(starts) - started < len(waiting):
            self._query_policy(view, job, waiting, workers, now_s, policy_queries)

    def _has_waited_too_long(self, job: Job, now_s: float) -> bool:
        """Return whether suspected tasks have waited too long for a held worker."""
        since_s = job.suspects_wait_since_s
        return since_s is not None and now_s - since_s > MAX_WAIT_S

    def _place_suspects(
        self,
        view: StepView,
        job: Job,
        suspects: list[int],
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> list[Placement]:
        """Place suspected tasks on workers where no other job's task starts now.

        For the tasks that have none, workers are held until they are free of young
        runs.
        """
        job_id = job.job_id
        quiet = quiet_workers(job_id, workers, now_s)
        placements = self._placer.place(view, suspects, quiet, now_s)
        for placement in placements:
            hold_for_start(placement.worker, job_id, now_s)
        missing = len(suspects) - len(placements)
        size, gang = reserved_size(view.step), view.step.gang
        with_room = [
            worker
            for worker in workers.values()
            if _may_run(view.step, view.policy_cache, worker) and worker.fits(size)
        ]
        if not missing or not with_room:
            # A task that waits for room does not wait for a quiet worker.
            job.suspects_wait_since_s = None
            return placements
        hold_until_quiet(job_id, missing, with_room, now_s, gang)
        if job.suspects_wait_since_s is None:
            job.suspects_wait_since_s = now_s
        return placements

    def _view(
        self,
        job: Job,
        step_id: StepId,
        waiting: list[int],
        workers: Mapping[str, Worker],
    ) -> StepView:
        """Return the step as the placer needs it."""
        step = job.step(step_id)
        policy_cache = None
        if job.queue.uses_policy:
            policy_cache = self._state.policy_cache_by_step.setdefault(
                step_id, StepPolicyCache()
            )
        eligible = []
        if job.failed_workers_by_task:
            eligible = [
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
            excluded_by_index=excluded_by_index(job, step_id, waiting, eligible),
        )

    def _place(
        self, job: Job, step_id: StepId, placement: Placement, now_s: float
    ) -> StartOrder:
        """Record a placement and return its start order."""
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
        """Return the run number that all tasks of a gang get in this placement."""
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
        """Add a query about workers that could run the step, if there are any.

        None is added while one is pending, before ``retry_at_s``, or if it is long and
        all proxies for long queries are busy.
        """
        policy_cache = view.policy_cache
        if policy_cache.query_pending or now_s < policy_cache.retry_at_s:
            return
        queue = job.queue
        worker_ids = self._workers_to_query(view, waiting, workers, now_s)
        if not worker_ids:
            return
        expected_answer_s = (
            queue.policy_call_ms + queue.policy_per_worker_ms * len(worker_ids)
        ) / MS_PER_S
        if expected_answer_s > LONG_QUERY_S and not self._may_send_long_query(
            expected_answer_s
        ):
            return
        policy_cache.query_pending = True
        policy_cache.queried_s = now_s
        self._long_queries += expected_answer_s > LONG_QUERY_S
        policy_queries.append(PolicyQuery(view.step_id, worker_ids, expected_answer_s))

    def _may_send_long_query(self, expected_answer_s: float) -> bool:
        # Two proxies stay free for short queries; see policyproxies.py.
        return self._long_queries < max(1, self.policy_proxy_count - 2)

    def policy_query_ended(self, query: PolicyQuery) -> None:
        """Record that a query no longer occupies a proxy."""
        self._long_queries -= query.expected_answer_s > LONG_QUERY_S

    def _workers_to_query(
        self,
        view: StepView,
        waiting: list[int],
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> tuple[str, ...]:
        """Return the ids of the workers to query the policy about, best first.

        They could take a task now but have no valid ticket; a refused worker is not
        queried again. At most ``MAX_WORKERS_PER_QUERY`` are returned.
        """
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
    """Return whether the worker is eligible for the step, apart from its capacity."""
    if not has_required_label(step, worker):
        return False
    return policy_cache is None or policy_cache.may_allow(worker.worker_id)
