"""Which worker takes which waiting task of a step."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence

from attrs import field, frozen

from redwingrun.jobs.policycache import StepPolicyCache
from redwingrun.jobs.spec import StepId, StepSpec, TaskSize
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.workerpool import Worker

# Costs are in average run times: what an empty worker is worth, and what a worker
# costs where fillers and tasks that serve would run side by side.
FREE_SHARE_WEIGHT = 0.3
INTERFERENCE_COST = 0.6


@frozen
class Placement:
    """One choice."""

    index: int
    worker: Worker
    ticket: str


def reserved_size(step: StepSpec) -> TaskSize:
    """Return the room that a task of the step takes; fillers take no processor."""
    if not step.filler:
        return step.size
    return TaskSize(0, step.size.memory_mb, step.size.gpus)


def has_required_label(step: StepSpec, worker: Worker) -> bool:
    """Tell whether the worker could ever run a task of the step."""
    label = step.required_label
    return not label or label in worker.info.labels


def _interferes(step: StepSpec, worker: Worker) -> bool:
    """Tell whether the step would put a filler beside a task that serves."""
    runs = worker.run_by_id.values()
    if step.filler:
        return any(run.target_ms for run in runs)
    return bool(step.target_ms) and any(run.is_filler for run in runs)


@frozen
class StepView:
    """What placing a step needs to know of it.

    :param urgent: whether its tasks should get the fastest workers.
    :param far_factor: how much longer a task takes away from its data.
    :param excluded_by_index: workers that single tasks must not go to.
    """

    step_id: StepId
    step: StepSpec
    urgent: bool
    policy_cache: StepPolicyCache | None
    far_factor: float
    excluded_by_index: Mapping[int, frozenset[str]] = field(factory=dict)

    def excluded(self, index: int) -> frozenset[str]:
        """Return the workers that a task must not go to."""
        return self.excluded_by_index.get(index, frozenset())


class Placer:
    """Chooses workers for the waiting tasks of one step.

    :param speeds: learned speeds; read only.
    """

    def __init__(self, speed_model: SpeedModel):
        self._speed_model = speed_model

    def place(
        self,
        view: StepView,
        indexes: Sequence[int],
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> list[Placement]:
        """Choose workers for as many of the waiting tasks as fit.

        A gang gets a worker for every member or none.

        :param workers: by name, those on which something new may start.
        """
        size = reserved_size(view.step)
        usable_workers = self._usable_workers(view, size, workers, now_s)
        ranked = self.rank(view, usable_workers, now_s)
        if view.step.same_rack:
            return self._place_in_one_rack(view, indexes, ranked, now_s)
        chosen = self._assign(view, indexes, ranked, now_s)
        if view.step.gang and len(chosen) < len(indexes):
            return []
        return chosen

    def rank(
        self, view: StepView, workers: Iterable[Worker], now_s: float
    ) -> list[Worker]:
        """Return workers, best first."""
        return sorted(workers, key=lambda worker: self._cost(view, worker, now_s))

    def _cost(self, view: StepView, worker: Worker, now_s: float) -> float:
        info = worker.info
        cost = self._speed_model.slowness(info.worker_id, info.kind)
        if view.step.data_rack and view.step.data_rack != info.rack:
            cost *= view.far_factor
        if not view.urgent:
            # Work that can wait leaves the fast workers to work that can't.
            cost = max(cost, 1.0) if view.step.data_rack else 1.0
        cost *= worker.slowdown(now_s)
        if _interferes(view.step, worker):
            cost += INTERFERENCE_COST
        return cost - FREE_SHARE_WEIGHT * worker.free_share

    def _usable_workers(
        self,
        view: StepView,
        size: TaskSize,
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> list[Worker]:
        policy_cache = view.policy_cache
        allowed: Iterable[Worker] = workers.values()
        if policy_cache is not None:
            allowed = _with_ticket(policy_cache, workers, now_s)
        return [
            worker
            for worker in allowed
            if has_required_label(view.step, worker) and worker.fits(size)
        ]

    def _place_in_one_rack(
        self,
        view: StepView,
        indexes: Sequence[int],
        ranked: list[Worker],
        now_s: float,
    ) -> list[Placement]:
        best: list[Placement] = []
        by_rack: dict[str, list[Worker]] = {}
        for worker in ranked:
            by_rack.setdefault(worker.info.rack, []).append(worker)
        for workers in by_rack.values():
            chosen = self._assign(view, indexes, workers, now_s)
            if len(chosen) > len(best):
                best = chosen
        if len(best) < len(indexes):
            everywhere = self._assign(view, indexes, ranked, now_s)
            best = everywhere if len(everywhere) > len(best) else best
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
        room = [_Capacity(worker, view) for worker in ranked]
        chosen: list[Placement] = []
        spread = view.step.lasting or not view.urgent
        for index in indexes:
            best = _next_fitting(room, spread, view.excluded(index))
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
    """Return the workers that the policy allows now."""
    for worker_id in policy_cache.ticket_by_worker:
        worker = workers.get(worker_id)
        if worker and policy_cache.valid_ticket(worker_id, worker.info.born_ms, now_s):
            yield worker


def _next_fitting(
    room: list[_Capacity], spread: bool, excluded: frozenset[str]
) -> _Capacity | None:
    """Return the room for the next task: the emptiest, or the first that fits."""
    fitting = (
        item for item in room if item.fits() and item.worker.worker_id not in excluded
    )
    if spread:
        return min(fitting, key=lambda item: item.used_share, default=None)
    return next(fitting, None)


class _Capacity:
    """The room of a worker while a step is being placed."""

    def __init__(self, worker: Worker, view: StepView):
        self.worker = worker
        self._size = reserved_size(view.step)
        self._limit = view.step.max_per_worker
        self._running = worker.tasks_by_step.get(view.step_id, 0)
        self._reserved = 0

    @property
    def used_share(self) -> float:
        """Share of the worker that is in use, with what was chosen so far."""
        worker = self.worker
        capacity = worker.info.capacity
        cpu = worker.cpu_used + self._reserved * self._size.cpu_milli
        memory = worker.memory_used + self._reserved * self._size.memory_mb
        return max(
            cpu / max(1, capacity.cpu_milli), memory / max(1, capacity.memory_mb)
        )

    def fits(self) -> bool:
        """Tell whether one more task fits."""
        if self._limit and self._running + self._reserved >= self._limit:
            return False
        count = self._reserved + 1
        size = self._size
        return self.worker.fits(
            TaskSize(size.cpu_milli * count, size.memory_mb * count, size.gpus * count)
        )

    def reserve(self) -> None:
        """Reserve the room of one task."""
        self._reserved += 1
