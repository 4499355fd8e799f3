"""Ways to choose a minion among those with a free slot."""

from __future__ import annotations

import random
import statistics
from abc import ABC, abstractmethod

from attrs import define, frozen


@frozen
class Candidate:
    """A minion that has a free slot.

    :param busy_share: busy slots as a share of all.
    :param speed: against the expected run time; more is faster.
    """

    name: str
    busy: int
    slots: int
    speed: float

    @property
    def busy_share(self) -> float:
        """Busy slots as a share of all."""
        return self.busy / self.slots


class Chooser(ABC):
    """Chooses one of several candidates."""

    @abstractmethod
    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return one of the candidates; there is at least one."""


class FastestFree(Chooser):
    """The fastest minion, by learned speed; the emptier of two equals."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the fastest."""
        return max(
            candidates, key=lambda item: (item.speed, -item.busy_share, item.name)
        )


@define
class RandomChoice(Chooser):
    """Any minion with equal chance."""

    source: random.Random

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return any."""
        return self.source.choice(candidates)


@define
class RoundRobin(Chooser):
    """Each minion in turn."""

    _last: str = ""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the next by name after the last one chosen."""
        ordered = sorted(candidates, key=lambda item: item.name)
        chosen = next((item for item in ordered if item.name > self._last), ordered[0])
        self._last = chosen.name
        return chosen


class LeastConnections(Chooser):
    """The minion with the fewest busy slots."""

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the emptiest."""
        return min(candidates, key=lambda item: (item.busy, item.name))


@define
class TwoChoices(Chooser):
    """The emptier of two minions drawn at random."""

    source: random.Random

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the emptier of two."""
        drawn = self.source.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda item: item.busy)


class ReferenceLevel(Chooser):
    """The optimized reference level rule, over slowness and busy share.

    From "Optimized decision algorithm for Information Centric Networks" (Mongay
    Batalla, Beben, Chen, 2015), formulas 8 and 9: the gap to the worst value in
    units of the standard deviation, the best minion being the one whose
    smallest gap is largest. Formula 9 as printed takes the largest gap of each;
    the text around it and formula 6 take the smallest, as is done here.
    """

    def choose(self, candidates: list[Candidate]) -> Candidate:
        """Return the candidate with the largest smallest gap."""
        rows = [(1 / item.speed, item.busy_share) for item in candidates]
        columns = list(zip(*rows, strict=True))
        spreads = [statistics.pstdev(column) for column in columns]
        worst = [max(column) for column in columns]
        used = [index for index, spread in enumerate(spreads) if spread > 0]
        if not used:
            return candidates[0]

        def smallest_gap(position: int) -> float:
            row = rows[position]
            return min((worst[index] - row[index]) / spreads[index] for index in used)

        return candidates[max(range(len(candidates)), key=smallest_gap)]
