"""Serving the open steps: questions to the policy, and places for waiting tasks."""

from __future__ import annotations

from collections.abc import Mapping

from redwingrun.jobs.candidates import Candidates
from redwingrun.jobs.exclusions import barred_by_index
from redwingrun.jobs.job import Job
from redwingrun.jobs.placement import (
    Placement,
    Placer,
    StepView,
    reserved_size,
    suits,
)
from redwingrun.jobs.policycache import StepPolicyCache
from redwingrun.jobs.progress import JobState, TaskState
from redwingrun.jobs.slicestate import OpenStep, SliceState
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
MAX_NAMED = 30
# A question that takes longer than this keeps a machine from urgent questions.
LONG_QUESTION_S = 0.2


class StepServer:
    """Places the tasks of open steps.

    :param far_factor: how much longer a task takes away from its data.
    :ivar ask_lanes: machines that can put questions to the policy.
    """

    def __init__(self, state: SliceState, placer: Placer, far_factor: float):
        self._state = state
        self._placer = placer
        self._far_factor = far_factor
        self._long_questions = 0
        self.ask_lanes = 1

    def serve(
        self,
        open_step: OpenStep,
        candidates: Candidates,
        now_s: float,
        starts: list[StartOrder],
        policy_queries: list[PolicyQuery],
    ) -> None:
        """Place what can be placed of a step, and ask about the rest."""
        job, step_id = open_step.job, open_step.step_id
        gate = self._state.gate_by_step.get(step_id)
        if gate is not None and gate.holds_up(now_s):
            return
        waiting = [
            index
            for index in job.waiting(step_id)
            if step_id.task(index) not in self._state.live_runs
        ]
        if not waiting:
            if not job.waiting(step_id):
                self._state.open_step_by_id.pop(step_id, None)
            return
        if job.step(step_id).gang and len(waiting) < len(job.tasks(step_id)):
            return
        workers = candidates.of_pool(job.queue.pool)
        view = self._view(job, step_id, waiting, workers)
        placements = self._placer.place(view, waiting, workers, now_s)
        for placement in placements:
            starts.append(self._place(job, step_id, placement, now_s))
        if view.gate is not None and len(placements) < len(waiting):
            self._ask(view, job, waiting, workers, now_s, policy_queries)

    def _view(
        self,
        job: Job,
        step_id: StepId,
        waiting: list[int],
        workers: Mapping[str, Worker],
    ) -> StepView:
        step = job.step(step_id)
        gate = None
        if job.queue.uses_policy:
            gate = self._state.gate_by_step.setdefault(step_id, StepPolicyCache())
        elsewhere = []
        if job.failed_workers:
            elsewhere = [
                worker for worker in workers.values() if _may_run(step, gate, worker)
            ]
        return StepView(
            step_id,
            step,
            urgent=job.queue.priority == URGENT_PRIORITY,
            gate=gate,
            far_factor=self._far_factor,
            barred_by_index=barred_by_index(job, step_id, waiting, elsewhere),
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

    def _ask(
        self,
        view: StepView,
        job: Job,
        waiting: list[int],
        workers: Mapping[str, Worker],
        now_s: float,
        policy_queries: list[PolicyQuery],
    ) -> None:
        gate = view.gate
        if gate.asking or now_s < gate.retry_s:
            return
        queue = job.queue
        named = self._to_name(view, waiting, workers, now_s)
        if not named:
            return
        expected_answer_s = (
            queue.policy_call_ms + queue.policy_per_worker_ms * len(named)
        ) / MS_PER_S
        if expected_answer_s > LONG_QUESTION_S and not self._lane_is_free(
            expected_answer_s
        ):
            return
        gate.asking = True
        gate.asked_s = now_s
        self._long_questions += expected_answer_s > LONG_QUESTION_S
        policy_queries.append(PolicyQuery(view.step_id, named, expected_answer_s))

    def _lane_is_free(self, expected_answer_s: float) -> bool:
        return self._long_questions < max(1, self.ask_lanes - 2)

    def policy_query_ended(self, order: PolicyQuery) -> None:
        """Note that a question takes no machine any more."""
        self._long_questions -= order.expected_answer_s > LONG_QUESTION_S

    def _to_name(
        self,
        view: StepView,
        waiting: list[int],
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> tuple[str, ...]:
        """Return the workers to ask about: with room, not refused, best first."""
        gate = view.gate
        size = reserved_size(view.step)
        barred = frozenset.intersection(*(view.barred(index) for index in waiting))
        candidates = [
            worker
            for worker in workers.values()
            if _may_run(view.step, gate, worker)
            and worker.worker_id not in barred
            and worker.fits(size)
            and gate.ticket(worker.worker_id, worker.info.born_ms, now_s) is None
        ]
        ranked = self._placer.ranked(view, candidates, now_s)
        return tuple(worker.worker_id for worker in ranked[:MAX_NAMED])


def _may_run(step: StepSpec, gate: StepPolicyCache | None, worker: Worker) -> bool:
    """Tell whether a task of the step may go to the worker once that has room."""
    if not suits(step, worker):
        return False
    return gate is None or gate.may_allow(worker.worker_id)
