"""Load-balancing policies: choose a minion among those with a free slot."""

from __future__ import annotations

import random
import statistics
from abc import ABC, abstractmethod

from attrs import define, frozen


@frozen
class Candidate:
    """A minion that has a free slot.

    :param busy: number of busy slots.
    :param slots: number of all slots.
    :param speed: relative to the expected run time; 2 is twice as fast.
    """

    name: str
    busy: int
    slots: int
    speed: float

    @property
    def busy_share(self) -> float:
        """Busy slots as a share of all slots."""
        return self.busy / self.slots


class Chooser(ABC):
    """Chooses one of several candidates."""

    @abstractmethod
    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return one of the candidates; there is at least one."""


class FastestFree(Chooser):
    """Chooses the minion with the highest speed, then the lowest busy share."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the fastest candidate."""
        return max(
            candidates, key=lambda item: (item.speed, -item.busy_share, item.name)
        )


@define
class RandomChoice(Chooser):
    """Chooses any minion, with equal probability."""

    rng: random.Random

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return a random candidate."""
        return self.rng.choice(candidates)


@define
class RoundRobin(Chooser):
    """Chooses each minion in turn."""

    _last_name: str = ""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the candidate that follows the last chosen one by name."""
        ordered = sorted(candidates, key=lambda item: item.name)
        chosen = next(
            (item for item in ordered if item.name > self._last_name), ordered[0]
        )
        self._last_name = chosen.name
        return chosen


class LeastConnections(Chooser):
    """Chooses the minion with the fewest busy slots."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the candidate with the fewest busy slots."""
        return min(candidates, key=lambda item: (item.busy, item.name))


@define
class TwoChoices(Chooser):
    """Chooses the one with fewer busy slots of two minions drawn at random."""

    rng: random.Random

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the less busy one of two random candidates."""
        drawn = self.rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda item: item.busy)


class ReferenceLevel(Chooser):
    """Chooses by the optimized reference level rule, over slowness and busy share.

    From "Optimized decision algorithm for Information Centric Networks" (Mongay
    Batalla, Beben, Chen, 2015), formulas 8 and 9: each criterion is scored by the
    distance to its worst value, in standard deviations; the minion whose smallest
    distance is largest is chosen. Formula 9 as printed takes the largest distance of
    each minion; the text around it and formula 6 take the smallest, as is done here.
    """

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the candidate whose smallest distance to the worst is largest."""
        rows = [(1 / item.speed, item.busy_share) for item in candidates]
        columns = list(zip(*rows, strict=True))
        deviations = [statistics.pstdev(column) for column in columns]
        worst = [max(column) for column in columns]
        # A criterion in which all candidates are equal does not count.
        used = [index for index, deviation in enumerate(deviations) if deviation > 0]
        if not used:
            return candidates[0]

        def smallest_distance(position: int) -> float:
            row = rows[position]
            return min(
                (worst[index] - row[index]) / deviations[index] for index in used
            )

        return candidates[max(range(len(candidates)), key=smallest_distance)]
