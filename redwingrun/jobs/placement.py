"""Which worker takes which waiting task of a step."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence

from attrs import field, frozen

from redwingrun.jobs.policycache import StepPolicyCache
from redwingrun.jobs.spec import StepId, StepSpec, TaskSize
from redwingrun.jobs.speeds import Speeds
from redwingrun.jobs.workerpool import Worker

# Costs are in average run times: what an empty worker is worth, and what a worker
# costs where fillers and tasks that serve would run side by side.
FREE_WEIGHT = 0.3
DISTURBED_COST = 0.6


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


def suits(step: StepSpec, worker: Worker) -> bool:
    """Tell whether the worker could ever run a task of the step."""
    label = step.required_label
    return not label or label in worker.info.labels


def _disturbs(step: StepSpec, worker: Worker) -> bool:
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
    :param barred_by_index: workers that single tasks must not go to.
    """

    step_id: StepId
    step: StepSpec
    urgent: bool
    gate: StepPolicyCache | None
    far_factor: float
    barred_by_index: Mapping[int, frozenset[str]] = field(factory=dict)

    def barred(self, index: int) -> frozenset[str]:
        """Return the workers that a task must not go to."""
        return self.barred_by_index.get(index, frozenset())


class Placer:
    """Chooses workers for the waiting tasks of one step.

    :param speeds: learned speeds; read only.
    """

    def __init__(self, speeds: Speeds):
        self._speeds = speeds

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
        open_workers = self._open_workers(view, size, workers, now_s)
        ranked = self.ranked(view, open_workers, now_s)
        if view.step.same_rack:
            return self._in_one_rack(view, indexes, ranked, now_s)
        chosen = self._fill(view, indexes, ranked, now_s)
        if view.step.gang and len(chosen) < len(indexes):
            return []
        return chosen

    def ranked(
        self, view: StepView, workers: Iterable[Worker], now_s: float
    ) -> list[Worker]:
        """Return workers, best first."""
        return sorted(workers, key=lambda worker: self._cost(view, worker, now_s))

    def _cost(self, view: StepView, worker: Worker, now_s: float) -> float:
        info = worker.info
        cost = self._speeds.slowness(info.worker_id, info.kind)
        if view.step.data_rack and view.step.data_rack != info.rack:
            cost *= view.far_factor
        if not view.urgent:
            # Work that can wait leaves the fast workers to work that can't.
            cost = max(cost, 1.0) if view.step.data_rack else 1.0
        cost *= worker.slowdown(now_s)
        if _disturbs(view.step, worker):
            cost += DISTURBED_COST
        return cost - FREE_WEIGHT * worker.free_share

    def _open_workers(
        self,
        view: StepView,
        size: TaskSize,
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> list[Worker]:
        gate = view.gate
        allowed: Iterable[Worker] = workers.values()
        if gate is not None:
            allowed = _with_ticket(gate, workers, now_s)
        return [
            worker
            for worker in allowed
            if suits(view.step, worker) and worker.fits(size)
        ]

    def _in_one_rack(
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
            chosen = self._fill(view, indexes, workers, now_s)
            if len(chosen) > len(best):
                best = chosen
        if len(best) < len(indexes):
            everywhere = self._fill(view, indexes, ranked, now_s)
            best = everywhere if len(everywhere) > len(best) else best
        if view.step.gang and len(best) < len(indexes):
            return []
        return best

    def _fill(
        self,
        view: StepView,
        indexes: Sequence[int],
        ranked: list[Worker],
        now_s: float,
    ) -> list[Placement]:
        room = [_Room(worker, view) for worker in ranked]
        chosen: list[Placement] = []
        spread = view.step.lasting or not view.urgent
        for index in indexes:
            best = _next_room(room, spread, view.barred(index))
            if best is None:
                if view.barred_by_index:
                    continue
                break
            best.take()
            gate = view.gate
            info = best.worker.info
            ticket = gate.ticket(info.worker_id, info.born_ms, now_s) if gate else None
            chosen.append(Placement(index, best.worker, ticket.text if ticket else ""))
        return chosen


def _with_ticket(
    gate: StepPolicyCache, workers: Mapping[str, Worker], now_s: float
) -> Iterator[Worker]:
    """Return the workers that the policy allows now."""
    for worker_id in gate.ticket_by_worker:
        worker = workers.get(worker_id)
        if worker and gate.ticket(worker_id, worker.info.born_ms, now_s):
            yield worker


def _next_room(room: list[_Room], spread: bool, barred: frozenset[str]) -> _Room | None:
    """Return the room for the next task: the emptiest, or the first that fits."""
    fitting = (
        item for item in room if item.fits() and item.worker.worker_id not in barred
    )
    if spread:
        return min(fitting, key=lambda item: item.taken_share, default=None)
    return next(fitting, None)


class _Room:
    """The room of a worker while a step is being placed."""

    def __init__(self, worker: Worker, view: StepView):
        self.worker = worker
        self._size = reserved_size(view.step)
        self._limit = view.step.max_per_worker
        self._here = worker.tasks_by_step.get(view.step_id, 0)
        self._taken = 0

    @property
    def taken_share(self) -> float:
        """Share of the worker that is in use, with what was chosen so far."""
        worker = self.worker
        capacity = worker.info.capacity
        cpu = worker.cpu_used + self._taken * self._size.cpu_milli
        memory = worker.memory_used + self._taken * self._size.memory_mb
        return max(
            cpu / max(1, capacity.cpu_milli), memory / max(1, capacity.memory_mb)
        )

    def fits(self) -> bool:
        """Tell whether one more task fits."""
        if self._limit and self._here + self._taken >= self._limit:
            return False
        count = self._taken + 1
        size = self._size
        return self.worker.fits(
            TaskSize(size.cpu_milli * count, size.memory_mb * count, size.gpus * count)
        )

    def take(self) -> None:
        """Reserve the room of one task."""
        self._taken += 1
