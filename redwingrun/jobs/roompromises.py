"""Records which room on workers is expected to come free for which urgent step."""

from __future__ import annotations

from attrs import define

from redwingrun.jobs.spec import StepId
from redwingrun.jobs.tasksize import TaskSize


@define
class RoomPromise:
    """Room on a worker for some tasks of a step that waits.

    :param size: resources of one task.
    :param tasks: number of tasks.
    :param until_s: monotonic time at which the promise ends.
    """

    step_id: StepId
    worker_id: str
    size: TaskSize
    tasks: int
    until_s: float


class RoomPromises:
    """The promises of all steps.

    Each step counts the room that is promised to others as taken. Otherwise several
    steps would wait for the same room, or the same step would cause more stops in each
    plan until the first ones have taken effect.
    """

    def __init__(self) -> None:
        self._by_step: dict[StepId, dict[str, RoomPromise]] = {}
        self._by_worker: dict[str, dict[StepId, RoomPromise]] = {}

    def step_ids(self) -> list[StepId]:
        """Return the ids of the steps that have promises."""
        return list(self._by_step)

    def of_step(self, step_id: StepId) -> list[RoomPromise]:
        """Return the promises of a step."""
        return list(self._by_step.get(step_id, {}).values())

    def tasks_of(self, step_id: StepId) -> int:
        """Return for how many tasks of a step room is promised."""
        return sum(promise.tasks for promise in self.of_step(step_id))

    def find(self, step_id: StepId, worker_id: str) -> RoomPromise | None:
        """Return the promise of a step on a worker."""
        return self._by_step.get(step_id, {}).get(worker_id)

    def tasks_on(self, step_id: StepId, worker_id: str) -> int:
        """Return for how many tasks of a step room is promised on a worker."""
        promise = self.find(step_id, worker_id)
        return promise.tasks if promise else 0

    def is_promised(self, worker_id: str) -> bool:
        """Return whether room on a worker is promised to a step."""
        return worker_id in self._by_worker

    def promised_to_others(self, worker_id: str, step_id: StepId) -> TaskSize:
        """Return the room on a worker that is promised to other steps."""
        cpu_milli = memory_mb = gpus = 0
        for promise in self._by_worker.get(worker_id, {}).values():
            if promise.step_id != step_id:
                cpu_milli += promise.tasks * promise.size.cpu_milli
                memory_mb += promise.tasks * promise.size.memory_mb
                gpus += promise.tasks * promise.size.gpus
        return TaskSize(cpu_milli, memory_mb, gpus)

    def add(self, promise: RoomPromise) -> None:
        """Add a promise, to one that the step already has on the worker if any."""
        known = self.find(promise.step_id, promise.worker_id)
        if known is not None:
            known.tasks += promise.tasks
            known.until_s = max(known.until_s, promise.until_s)
            return
        self._by_step.setdefault(promise.step_id, {})[promise.worker_id] = promise
        self._by_worker.setdefault(promise.worker_id, {})[promise.step_id] = promise

    def reduce(self, promise: RoomPromise, tasks: int) -> None:
        """Lower a promise to a number of tasks; remove it at 0."""
        promise.tasks = min(promise.tasks, tasks)
        if promise.tasks > 0:
            return
        for promises, key, inner in (
            (self._by_step, promise.step_id, promise.worker_id),
            (self._by_worker, promise.worker_id, promise.step_id),
        ):
            promises[key].pop(inner, None)
            if not promises[key]:
                del promises[key]
