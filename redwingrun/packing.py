"""Ways to choose a worker among those that a task fits on."""

from __future__ import annotations

import statistics
from abc import ABC, abstractmethod

from attrs import define

from redwingrun.objects import Resources

EPSILON = 1e-9


@define
class Room:
    """A worker's capacity and what of it is not reserved.

    :param per_core: share of the capacity that one core is, 0 without any; the
        others alike.
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
    per_core: float = 0.0
    per_gb: float = 0.0
    per_accelerator: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._set_shares()

    def _set_shares(self) -> None:
        self.per_core = 1 / self.cores if self.cores else 0.0
        self.per_gb = 1 / self.memory_gb if self.memory_gb else 0.0
        self.per_accelerator = 1 / self.accelerators if self.accelerators else 0.0

    def holds(self, size: Resources) -> bool:
        """Tell whether a task of this size fits now."""
        return bool(fitting(size, [self]))

    def could_hold(self, size: Resources) -> bool:
        """Tell whether a task of this size fits when nothing else is here."""
        capacity = Resources(
            cores=self.cores, memory_gb=self.memory_gb, accelerators=self.accelerators
        )
        return size.fits(capacity)

    def resize(self, capacity: Resources) -> None:
        """Take another capacity; what is reserved stays reserved."""
        self.free_cores += capacity.cores - self.cores
        self.free_memory_gb += capacity.memory_gb - self.memory_gb
        self.free_accelerators += capacity.accelerators - self.accelerators
        self.cores = capacity.cores
        self.memory_gb = capacity.memory_gb
        self.accelerators = capacity.accelerators
        self._set_shares()

    def take(self, size: Resources, times: int = 1) -> None:
        """Reserve, or with a negative count give back, a task's size."""
        self.free_cores -= times * size.cores
        self.free_memory_gb -= times * size.memory_gb
        self.free_accelerators -= times * size.accelerators


def fitting(size: Resources, rooms: list[Room]) -> list[Room]:
    """Return the rooms that a task of this size fits into now.

    One loop without calls: it runs over all workers in each decision.
    """
    cores = size.cores - EPSILON
    memory_gb = size.memory_gb - EPSILON
    accelerators = size.accelerators - EPSILON
    return [
        room
        for room in rooms
        if cores <= room.free_cores
        and memory_gb <= room.free_memory_gb
        and accelerators <= room.free_accelerators
    ]


class Packer(ABC):
    """Rates the workers that a task fits on; the highest is taken."""

    def choose(self, size: Resources, rooms: list[Room]) -> Room:
        """Return the best of several rooms; there is at least one."""
        best = rooms[0]
        best_score = self.score(size, best)
        for room in rooms[1:]:
            score = self.score(size, room)
            if score > best_score:
                best, best_score = room, score
        return best

    @abstractmethod
    def score(self, size: Resources, room: Room) -> float:
        """Rate one room; higher is better."""


class BestFit(Packer):
    """Least room left, over all dimensions."""

    def choose(self, size: Resources, rooms: list[Room]) -> Room:
        """Return the room with the least left; one loop without calls."""
        cores, memory_gb, accelerators = size.cores, size.memory_gb, size.accelerators
        best = rooms[0]
        least = float("inf")
        for room in rooms:
            left = (
                (room.free_cores - cores) * room.per_core
                + (room.free_memory_gb - memory_gb) * room.per_gb
                + (room.free_accelerators - accelerators) * room.per_accelerator
            )
            if left < least:
                best, least = room, left
        return best

    def score(self, size: Resources, room: Room) -> float:
        """Rate by what would be left, as shares of the capacity."""
        return -_left(size, room)


class WorstFit(Packer):
    """Most room left."""

    def score(self, size: Resources, room: Room) -> float:
        """Rate by what would be left, as shares of the capacity."""
        return _left(size, room)


class DotProduct(Packer):
    """Alignment of what is asked for with what is free."""

    def score(self, size: Resources, room: Room) -> float:
        """Rate by the dot product of demand and room, as shares of the capacity."""
        total = 0.0
        if room.cores:
            total += size.cores * room.free_cores / (room.cores * room.cores)
        if room.memory_gb:
            total += (
                size.memory_gb * room.free_memory_gb / (room.memory_gb * room.memory_gb)
            )
        if room.accelerators:
            total += size.accelerators * room.free_accelerators / room.accelerators**2
        return total


class ReferenceLevelPacker(Packer):
    """The optimized reference level rule over what would be left in each dimension.

    See :class:`redwingrun.choosers.ReferenceLevel` for its source.
    """

    def choose(self, size: Resources, rooms: list[Room]) -> Room:
        """Return the room whose smallest gap to the worst is largest."""
        rows = [_left_shares(size, room) for room in rooms]
        columns = list(zip(*rows, strict=True))
        spreads = [statistics.pstdev(column) for column in columns]
        worst = [max(column) for column in columns]
        used = [index for index, spread in enumerate(spreads) if spread > 0]
        if not used:
            return rooms[0]

        def smallest_gap(position: int) -> float:
            row = rows[position]
            return min((worst[index] - row[index]) / spreads[index] for index in used)

        return rooms[max(range(len(rooms)), key=smallest_gap)]

    def score(self, size: Resources, room: Room) -> float:
        """Unused: the rule compares all rooms at once."""
        return 0.0


def _left_shares(size: Resources, room: Room) -> tuple[float, float, float]:
    cores = (room.free_cores - size.cores) / room.cores if room.cores else 0.0
    memory = (
        (room.free_memory_gb - size.memory_gb) / room.memory_gb
        if room.memory_gb
        else 0.0
    )
    accelerators = 0.0
    if room.accelerators:
        accelerators = (room.free_accelerators - size.accelerators) / room.accelerators
    return cores, memory, accelerators


def _left(size: Resources, room: Room) -> float:
    cores, memory, accelerators = _left_shares(size, room)
    return cores + memory + accelerators
