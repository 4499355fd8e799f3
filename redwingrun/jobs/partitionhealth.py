"""Which parts of the table have answered lately, as one process sees them."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

from redwingrun.coordination.clock import Clock

# A part that did not answer is asked after the others for so long.
AVOID_S = 1.0


def part_of(key: str) -> str:
    """Return the part that a key lies in."""
    return key.split("/", 2)[1]


@define
class PartitionHealth:
    """Notes answers and failures by part."""

    clock: Clock
    _failed_s: dict[str, float] = field(factory=dict)

    def answered(self, key: str) -> None:
        """Note that the part of a key answers."""
        self._failed_s.pop(part_of(key), None)

    def failed(self, key: str) -> None:
        """Note that the part of a key did not answer or refused."""
        self._failed_s[part_of(key)] = self.clock.now()

    def is_doubtful(self, key: str) -> bool:
        """Tell whether the part of a key has failed within the last second."""
        failed_s = self._failed_s.get(part_of(key))
        return failed_s is not None and self.clock.now() - failed_s < AVOID_S

    def ordered(self, keys: Iterable[str]) -> list[str]:
        """Return keys, those in doubtful parts last."""
        return sorted(keys, key=self.is_doubtful)
