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
    may_run,
    reserved_size,
)
from redwingrun.jobs.policycache import StepPolicyCache
from redwingrun.jobs.policyqueries import PolicyQueryPlanner
from redwingrun.jobs.preemption import Preemptor
from redwingrun.jobs.progress import JobState, TaskState
from redwingrun.jobs.roomholds import hold_room, needs_large_part
from redwingrun.jobs.slicestate import ReadyStep, SliceState
from redwingrun.jobs.spec import (
    RunId,
    StepId,
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

URGENT_PRIORITY = 0


class StepScheduler:
    """Places the tasks of ready steps.

    :param query_planner: plans the queries to the placement policy.
    :param far_factor: run time of a task outside its data's rack, as a multiple of the
        run time in it.
    :param preemptor: makes room for urgent steps; ``None`` if no run is preempted.
    """

    def __init__(
        self,
        state: SliceState,
        placer: Placer,
        query_planner: PolicyQueryPlanner,
        far_factor: float,
        preemptor: Preemptor | None = None,
    ):
        self._state = state
        self._placer = placer
        self._query_planner = query_planner
        self._far_factor = far_factor
        self._preemptor = preemptor

    def schedule(
        self,
        ready_step: ReadyStep,
        candidates: Candidates,
        now_s: float,
        starts: list[StartOrder],
        policy_queries: list[PolicyQuery],
        max_starts: int,
    ) -> None:
        """Place as many tasks of a step as possible, and query the policy for the rest.

        Tasks with a run that may still be alive are not placed. A gang is placed only
        if all its tasks are waiting and none has such a run.

        :param starts: receives the start orders.
        :param policy_queries: receives the queries.
        :param max_starts: how many start orders there may be; a gang may exceed it.
        """
        job, step_id = ready_step.job, ready_step.step_id
        policy_cache = self._state.policy_cache_by_step.get(step_id)
        if policy_cache is not None and policy_cache.must_wait(now_s):
            return
        if self._is_at_cap(job, step_id):
            return
        if self._is_without_room(job, step_id, candidates):
            ready_step.lacks_room = True
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
        is_gang = job.step(step_id).gang
        if is_gang and len(waiting) < len(job.tasks(step_id)):
            return
        waiting = self._within_cap(job, step_id, waiting)
        if not waiting:
            return
        if not is_gang:
            waiting = waiting[: max_starts - len(starts)]
        workers = candidates.in_pool(job.queue.pool)
        is_large = needs_large_part(
            reserved_size(job.step(step_id)),
            candidates.largest_capacity(job.queue.pool),
        )
        view = self._view(job, step_id, waiting, workers, is_large, now_s)
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
        missing = len(waiting) - (len(starts) - started)
        if missing and view.urgent and self._preemptor is not None:
            unplaced = [
                index
                for index in waiting
                if job.tasks(step_id)[index].state is TaskState.WAITING
            ]
            view = self._preemptor.make_room(view, job, unplaced, candidates, now_s)
        # Without an answer of the policy nothing is known about room.
        ready_step.lacks_room = missing > 0 and (
            policy_cache is None or bool(policy_cache.allowed)
        )
        if missing and not job.is_beyond_rate:
            hold_room(ready_step, view, workers, missing, now_s)
        if missing and view.policy_cache is not None:
            policy_queries += self._query_planner.plan(
                view, job, waiting, workers, now_s
            )

    def _is_at_cap(self, job: Job, step_id: StepId) -> bool:
        """Return whether a step waits because its account's cap has no room for a task.

        Not all of its tasks are looked at: an account at its cap may have thousands.
        """
        account, size = job.submission.account, job.step(step_id).size
        if self._state.account_usage.room_for(account, size) >= 1:
            return False
        is_waiting = any(task.state is TaskState.WAITING for task in job.tasks(step_id))
        if is_waiting:
            self._state.account_usage.note_capped(account)
        return is_waiting

    def _within_cap(self, job: Job, step_id: StepId, waiting: list[int]) -> list[int]:
        """Return the waiting tasks that the cap of the job's account has room for.

        A gang is started as a whole: of one that does not fit none is returned.
        """
        step = job.step(step_id)
        usage = self._state.account_usage
        room = usage.room_for(job.submission.account, step.size)
        if room >= len(waiting):
            return waiting
        usage.note_capped(job.submission.account)
        return [] if step.gang else waiting[: int(room)]

    def _is_without_room(
        self, job: Job, step_id: StepId, candidates: Candidates
    ) -> bool:
        """Return whether a step of an account has no room, and none is held for it.

        There is nothing else to do for it then, so that the steps that wait in a surge
        cost the owner little time.
        """
        account, pool = job.submission.account, job.queue.pool
        if not account or job.has_suspects:
            return False
        if self._preemptor is not None and job.queue.priority == URGENT_PRIORITY:
            # Room may be made for it.
            return False
        step = job.step(step_id)
        size = reserved_size(step)
        is_large = needs_large_part(size, candidates.largest_capacity(pool))
        if (is_large and not job.is_beyond_rate) or candidates.has_room(pool, size):
            return False
        # Work that waits for its account's cap is reported as that.
        room = self._state.account_usage.room_for(account, step.size)
        return 0 < len(job.waiting_indexes(step_id)) <= room

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
            if may_run(view.step, view.policy_cache, worker) and worker.fits(size)
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
        is_large: bool,
        now_s: float,
    ) -> StepView:
        """Return the step as the placer needs it."""
        step = job.step(step_id)
        policy_cache = None
        if job.queue.uses_policy:
            policy_cache = self._state.policy_cache_by_step.setdefault(
                step_id, StepPolicyCache()
            )
        eligible = []
        if job.failed_s_by_worker_by_task:
            eligible = [
                worker
                for worker in workers.values()
                if may_run(step, policy_cache, worker)
            ]
        return StepView(
            step_id,
            step,
            job.queue.priority,
            urgent=job.queue.priority == URGENT_PRIORITY,
            is_large=is_large,
            policy_cache=policy_cache,
            far_factor=self._far_factor,
            excluded_by_index=excluded_by_index(job, step_id, waiting, eligible, now_s),
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
        run = self._state.add_run(job, run_id, placement.worker, now_s)
        run.is_resumed = bool(task.checkpoint)
        if self._preemptor is not None:
            self._preemptor.task_placed(step_id, placement.worker)
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
