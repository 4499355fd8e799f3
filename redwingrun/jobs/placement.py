"""Chooses a worker for each waiting task of a step."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from attrs import field, frozen

from redwingrun.jobs.interference import INTERFERENCE_COST, Interference
from redwingrun.jobs.policycache import StepPolicyCache
from redwingrun.jobs.spec import StepId, StepSpec, TaskSize
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.workerpool import Worker

# Costs are in multiples of a task's average run time. An empty worker costs this much
# less than a full one.
FREE_SHARE_WEIGHT = 0.3


@frozen
class Placement:
    """The worker chosen for one task.

    :param index: the task's index in its step.
    :param ticket: the policy's ticket; empty without a policy.
    """

    index: int
    worker: Worker
    ticket: str


def reserved_size(step: StepSpec) -> TaskSize:
    """Return the resources to reserve for a task; fillers reserve no processor."""
    if not step.filler:
        return step.size
    return TaskSize(0, step.size.memory_mb, step.size.gpus)


def has_required_label(step: StepSpec, worker: Worker) -> bool:
    """Return whether the worker has the label that the step requires, if any."""
    label = step.required_label
    return not label or label in worker.info.labels


def may_run(
    step: StepSpec, policy_cache: StepPolicyCache | None, worker: Worker
) -> bool:
    """Return whether the worker is eligible for the step, apart from its capacity."""
    if not has_required_label(step, worker):
        return False
    return policy_cache is None or policy_cache.may_allow(worker.worker_id)


def _no_share(worker: Worker) -> float:
    return 0.0


@frozen
class StepView:
    """A step as the placer sees it.

    :param priority: the priority of its queue.
    :param urgent: whether its tasks should get the fastest workers.
    :param is_large: whether a task of it needs a large part of a worker.
    :param policy_cache: ``None`` when no placement policy applies.
    :param far_factor: run time of a task outside its data's rack, as a multiple of the
        run time in it.
    :param excluded_by_index: by task index, the ids of workers that must not run it.
    :param reclaimable: full workers on which room could be made for the step if the
        policy allows them, with the number of tasks; see preemption.py.
    """

    step_id: StepId
    step: StepSpec
    priority: int
    urgent: bool
    is_large: bool
    policy_cache: StepPolicyCache | None
    far_factor: float
    excluded_by_index: Mapping[int, frozenset[str]] = field(factory=dict)
    reclaimable: Mapping[str, int] = field(factory=dict)

    def excluded(self, index: int) -> frozenset[str]:
        """Return the ids of the workers that must not run a task."""
        return self.excluded_by_index.get(index, frozenset())


class Placer:
    """Chooses workers for the waiting tasks of one step.

    :param speed_model: read only.
    :param interference: read only.
    """

    def __init__(self, speed_model: SpeedModel, interference: Interference):
        self._speed_model = speed_model
        self._interference = interference

    def place(
        self,
        view: StepView,
        indexes: Sequence[int],
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> list[Placement]:
        """Choose workers for as many of the waiting tasks as fit.

        A gang is placed completely or not at all.

        :param indexes: indexes of the waiting tasks.
        :param workers: the workers that may be given new runs, by id.
        """
        size = reserved_size(view.step)
        available_workers = self._available_workers(view, size, workers, now_s)
        ranked = self.rank(view, available_workers, now_s)
        if view.step.same_rack:
            return self._place_in_one_rack(view, indexes, ranked, now_s)
        chosen = self._assign(view, indexes, ranked, now_s)
        if view.step.gang and len(chosen) < len(indexes):
            return []
        return chosen

    def rank(
        self,
        view: StepView,
        workers: Iterable[Worker],
        now_s: float,
        pledged_share: Callable[[Worker], float] = _no_share,
    ) -> list[Worker]:
        """Return the workers in ascending order of cost.

        :param pledged_share: returns the share of a worker that counts as used although
            it is free.
        """
        return sorted(
            workers,
            key=lambda worker: (
                self._cost(view, worker, now_s)
                + FREE_SHARE_WEIGHT * pledged_share(worker)
            ),
        )

    def _cost(self, view: StepView, worker: Worker, now_s: float) -> float:
        """Return the relative run time expected on a worker, with penalties added."""
        info = worker.info
        cost = self._speed_model.slowness(info.worker_id, info.kind)
        if view.step.data_rack and view.step.data_rack != info.rack:
            cost *= view.far_factor
        if not view.urgent:
            # For a task that is not urgent a fast worker costs no less than an average
            # one, so that fast workers are left to urgent tasks. Without a data rack
            # all workers start from the same cost.
            cost = max(cost, 1.0) if view.step.data_rack else 1.0
        cost *= worker.recent_slow_factor(now_s)
        cost += self._interference.cost(view.step, worker)
        return cost - FREE_SHARE_WEIGHT * worker.free_share

    def _available_workers(
        self,
        view: StepView,
        size: TaskSize,
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> list[Worker]:
        """Return the workers that could start a task of the step now."""
        policy_cache = view.policy_cache
        allowed: Iterable[Worker] = workers.values()
        if policy_cache is not None:
            allowed = _with_ticket(policy_cache, workers, now_s)
        return [
            worker
            for worker in allowed
            if has_required_label(view.step, worker)
            and worker.fits(size)
            and not worker.is_held_from(view.step_id.job, now_s)
            and not worker.is_room_held_from(view.step_id.job, view.priority, now_s)
        ]

    def _place_in_one_rack(
        self,
        view: StepView,
        indexes: Sequence[int],
        ranked: list[Worker],
        now_s: float,
    ) -> list[Placement]:
        """Place the tasks in a single rack, unless more of them fit across racks."""
        best: list[Placement] = []
        by_rack: dict[str, list[Worker]] = {}
        for worker in ranked:
            by_rack.setdefault(worker.info.rack, []).append(worker)
        for workers in by_rack.values():
            chosen = self._assign(view, indexes, workers, now_s)
            if len(chosen) > len(best):
                best = chosen
        if len(best) < len(indexes):
            any_rack = self._assign(view, indexes, ranked, now_s)
            best = any_rack if len(any_rack) > len(best) else best
        if view.step.gang and len(best) < len(indexes):
            return []
        return best

    def _assign(
        self,
        view: StepView,
        indexes: Sequence[int],
        ranked: list[Worker],
        now_s: float,
    ) -> list[Placement]:
        """Assign the tasks one after the other, as far as they fit.

        Urgent tasks fill the best worker first. Other and lasting tasks are spread,
        first over the workers without runs that they are known to interfere with.

        :param ranked: the workers, best first.
        """
        capacities = [_Capacity(worker, view) for worker in ranked]
        chosen: list[Placement] = []
        spread = view.step.lasting or not view.urgent
        if spread and self._interference.is_learned:
            for item in capacities:
                item.interference_cost = self._interference.known_cost(
                    view.step, item.worker
                )
        for index in indexes:
            best = _next_fitting(capacities, spread, view.excluded(index))
            if best is None:
                if view.excluded_by_index:
                    continue
                break
            best.reserve()
            policy_cache = view.policy_cache
            info = best.worker.info
            ticket = (
                policy_cache.valid_ticket(info.worker_id, info.born_ms, now_s)
                if policy_cache
                else None
            )
            chosen.append(Placement(index, best.worker, ticket.text if ticket else ""))
        return chosen


def _with_ticket(
    policy_cache: StepPolicyCache, workers: Mapping[str, Worker], now_s: float
) -> Iterator[Worker]:
    """Yield the workers for which the policy has given a valid ticket."""
    for worker_id in policy_cache.ticket_by_worker:
        worker = workers.get(worker_id)
        if worker and policy_cache.valid_ticket(worker_id, worker.info.born_ms, now_s):
            yield worker


def _next_fitting(
    capacities: list[_Capacity], spread: bool, excluded: frozenset[str]
) -> _Capacity | None:
    """Return the capacity of the worker that gets the next task; ``None`` for none.

    :param spread: whether to take the least used worker instead of the first.
    """
    fitting = (
        item
        for item in capacities
        if item.fits() and item.worker.worker_id not in excluded
    )
    if spread:
        return min(fitting, key=lambda item: item.spread_cost, default=None)
    return next(fitting, None)


class _Capacity:
    """The capacity of a worker, less the tasks of the step assigned to it so far.

    :ivar interference_cost: known cost of a task of the step beside its runs.
    """

    def __init__(self, worker: Worker, view: StepView):
        self.worker = worker
        self._size = reserved_size(view.step)
        self._limit = view.step.max_per_worker
        self._running = worker.tasks_by_step.get(view.step_id, 0)
        self._reserved = 0
        self.interference_cost = 0.0

    @property
    def spread_cost(self) -> float:
        """The used share; a known bad pair outweighs any share."""
        return self.used_share + self.interference_cost / INTERFERENCE_COST

    @property
    def used_share(self) -> float:
        """Used fraction of processor or memory, whichever is scarcer."""
        worker = self.worker
        capacity = worker.info.capacity
        cpu = worker.cpu_used + self._reserved * self._size.cpu_milli
        memory = worker.memory_used + self._reserved * self._size.memory_mb
        return max(
            cpu / max(1, capacity.cpu_milli), memory / max(1, capacity.memory_mb)
        )

    def fits(self) -> bool:
        """Return whether one more task fits."""
        if self._limit and self._running + self._reserved >= self._limit:
            return False
        count = self._reserved + 1
        size = self._size
        return self.worker.fits(
            TaskSize(size.cpu_milli * count, size.memory_mb * count, size.gpus * count)
        )

    def reserve(self) -> None:
        """Reserve the resources of one task."""
        self._reserved += 1
