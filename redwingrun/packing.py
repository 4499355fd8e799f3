"""Packing policies: choose a worker among those that have room for a task."""

from __future__ import annotations

import statistics
from abc import ABC, abstractmethod

from attrs import define

from redwingrun.objects import Resources

# Tolerance for rounding errors in the sums of reserved resources.
EPSILON = 1e-9


@define
class WorkerResources:
    """A worker's capacity and the part of it that is not reserved.

    :param share_per_core: one core as a share of the capacity, 0 without cores;
        ``share_per_gb`` and ``share_per_accelerator`` accordingly.
    """

    name: str
    rack: str
    data_centre: str
    cores: float
    memory_gb: float
    accelerators: float
    free_cores: float
    free_memory_gb: float
    free_accelerators: float
    share_per_core: float = 0.0
    share_per_gb: float = 0.0
    share_per_accelerator: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._set_shares()

    def _set_shares(self) -> None:
        self.share_per_core = 1 / self.cores if self.cores else 0.0
        self.share_per_gb = 1 / self.memory_gb if self.memory_gb else 0.0
        self.share_per_accelerator = 1 / self.accelerators if self.accelerators else 0.0

    def fits_now(self, size: Resources) -> bool:
        """Return whether the free resources suffice for a task of this size."""
        return bool(fitting_workers(size, [self]))

    def could_fit(self, size: Resources) -> bool:
        """Return whether the whole capacity suffices for a task of this size."""
        capacity = Resources(
            cores=self.cores, memory_gb=self.memory_gb, accelerators=self.accelerators
        )
        return size.fits_in(capacity)

    def resize(self, capacity: Resources) -> None:
        """Set another capacity; what is reserved stays reserved."""
        self.free_cores += capacity.cores - self.cores
        self.free_memory_gb += capacity.memory_gb - self.memory_gb
        self.free_accelerators += capacity.accelerators - self.accelerators
        self.cores = capacity.cores
        self.memory_gb = capacity.memory_gb
        self.accelerators = capacity.accelerators
        self._set_shares()

    def reserve(self, size: Resources, times: int = 1) -> None:
        """Reserve a task's size ``times`` times; release it when negative."""
        self.free_cores -= times * size.cores
        self.free_memory_gb -= times * size.memory_gb
        self.free_accelerators -= times * size.accelerators


def fitting_workers(
    size: Resources, workers: list[WorkerResources]
) -> list[WorkerResources]:
    """Return the workers whose free resources suffice for a task of this size.

    Each decision runs this over all workers, so for speed it is one loop without
    calls.
    """
    cores = size.cores - EPSILON
    memory_gb = size.memory_gb - EPSILON
    accelerators = size.accelerators - EPSILON
    return [
        worker
        for worker in workers
        if cores <= worker.free_cores
        and memory_gb <= worker.free_memory_gb
        and accelerators <= worker.free_accelerators
    ]


class Packer(ABC):
    """Scores the workers that have room for a task; the highest score is chosen."""

    def choose(
        self, size: Resources, workers: list[WorkerResources]
    ) -> WorkerResources:
        """Return the best of several workers; there is at least one."""
        best = workers[0]
        best_score = self.score(size, best)
        for worker in workers[1:]:
            score = self.score(size, worker)
            if score > best_score:
                best, best_score = worker, score
        return best

    @abstractmethod
    def score(self, size: Resources, worker: WorkerResources) -> float:
        """Return the score of one worker; higher is better."""


class BestFit(Packer):
    """Chooses the worker with the least left over.

    What is left over is the sum over all dimensions, as shares of the capacity.
    """

    def choose(
        self, size: Resources, workers: list[WorkerResources]
    ) -> WorkerResources:
        """Return the worker with the least left over.

        The choice is the same as by :meth:`score`, in one loop without calls, which is
        faster.
        """
        cores, memory_gb, accelerators = size.cores, size.memory_gb, size.accelerators
        best = workers[0]
        least = float("inf")
        for worker in workers:
            left_over = (
                (worker.free_cores - cores) * worker.share_per_core
                + (worker.free_memory_gb - memory_gb) * worker.share_per_gb
                + (worker.free_accelerators - accelerators)
                * worker.share_per_accelerator
            )
            if left_over < least:
                best, least = worker, left_over
        return best

    def score(self, size: Resources, worker: WorkerResources) -> float:
        """Return the negative sum of what is left over, as shares of the capacity."""
        return -_left_over(size, worker)


class WorstFit(Packer):
    """Chooses the worker with the most left over.

    What is left over is the sum over all dimensions, as shares of the capacity.
    """

    def score(self, size: Resources, worker: WorkerResources) -> float:
        """Return the sum of what is left over, as shares of the capacity."""
        return _left_over(size, worker)


class DotProduct(Packer):
    """Chooses the worker whose free resources are most aligned with the task's size."""

    def score(self, size: Resources, worker: WorkerResources) -> float:
        """Return the dot product of size and free resources, as capacity shares."""
        total = 0.0
        if worker.cores:
            total += size.cores * worker.free_cores / (worker.cores * worker.cores)
        if worker.memory_gb:
            total += (
                size.memory_gb
                * worker.free_memory_gb
                / (worker.memory_gb * worker.memory_gb)
            )
        if worker.accelerators:
            total += (
                size.accelerators * worker.free_accelerators / worker.accelerators**2
            )
        return total


class ReferenceLevelPacker(Packer):
    """Chooses by the optimized reference level rule.

    The criteria are the shares of the capacity left over in each dimension.
    See :class:`redwingrun.choosers.ReferenceLevel` for its source.
    """

    def choose(
        self, size: Resources, workers: list[WorkerResources]
    ) -> WorkerResources:
        """Return the worker whose smallest distance to the worst is largest."""
        rows = [_left_over_shares(size, worker) for worker in workers]
        columns = list(zip(*rows, strict=True))
        deviations = [statistics.pstdev(column) for column in columns]
        worst = [max(column) for column in columns]
        # A dimension in which all workers are equal does not count.
        used = [index for index, deviation in enumerate(deviations) if deviation > 0]
        if not used:
            return workers[0]

        def smallest_distance(position: int) -> float:
            row = rows[position]
            return min(
                (worst[index] - row[index]) / deviations[index] for index in used
            )

        return workers[max(range(len(workers)), key=smallest_distance)]

    def score(self, size: Resources, worker: WorkerResources) -> float:
        """Return 0: the rule compares all workers together, in :meth:`choose`."""
        return 0.0


def _left_over_shares(
    size: Resources, worker: WorkerResources
) -> tuple[float, float, float]:
    cores = (worker.free_cores - size.cores) / worker.cores if worker.cores else 0.0
    memory = (
        (worker.free_memory_gb - size.memory_gb) / worker.memory_gb
        if worker.memory_gb
        else 0.0
    )
    accelerators = 0.0
    if worker.accelerators:
        accelerators = (
            worker.free_accelerators - size.accelerators
        ) / worker.accelerators
    return cores, memory, accelerators


def _left_over(size: Resources, worker: WorkerResources) -> float:
    cores, memory, accelerators = _left_over_shares(size, worker)
    return cores + memory + accelerators
