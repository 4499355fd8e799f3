"""A time-out that follows the answers: short while they are quick."""

from __future__ import annotations

from attrs import define

# A quick service is given up on after this; one lost answer costs no more.
SHORTEST_S = 0.3
LONGEST_S = 2.5
# Times the usual answer.
PATIENCE = 8
# Weight of a new answer in the usual one.
ANSWER_WEIGHT = 0.2


@define
class AdaptiveTimeout:
    """The time-out for one kind of call of one service.

    :param longest_s: never more than this.
    """

    longest_s: float = LONGEST_S
    _usual_s: float = 0.02
    _stretched: float = 1.0

    def current_s(self) -> float:
        """Return the time to wait for the next answer, in seconds."""
        wanted = max(SHORTEST_S, self._usual_s * PATIENCE) * self._stretched
        return min(self.longest_s, wanted)

    def record_answer(self, took_s: float) -> None:
        """Take the time of an answer."""
        self._usual_s += ANSWER_WEIGHT * (took_s - self._usual_s)
        self._stretched = 1.0

    def record_timeout(self) -> None:
        """Wait longer for the next answer."""
        self._stretched = min(self._stretched * 2, self.longest_s / SHORTEST_S)
