"""Which machine puts a question to the placement policy.

The policy handles the questions of one calling machine one after the other, so long
questions are spread over the machines and kept off some of them.
"""

from __future__ import annotations

from attrs import define, field

from redwingrun.jobs.stepserver import LONG_QUESTION_S

# Machines kept for questions that are answered quickly.
QUICK_LANES = 2
# A machine whose question failed is passed over for so long.
AVOID_S = 3.0


@define
class Lane:
    """One machine that can ask.

    :param address: where to reach it; empty for this machine.
    :param busy_until_s: when its questions so far should be answered.
    """

    address: str
    busy_until_s: float = 0
    avoid_until_s: float = 0


@define
class Lanes:
    """All machines that can ask, this one first."""

    lanes: list[Lane] = field(factory=lambda: [Lane("")])

    def set_peers(self, addresses: list[str]) -> None:
        """Take the machines that there are now."""
        known = {lane.address: lane for lane in self.lanes}
        self.lanes = [known.get(name, Lane(name)) for name in ["", *sorted(addresses)]]

    def choose(self, decide_s: float, now_s: float) -> Lane:
        """Return the lane that answers first, and count the question on it."""
        healthy = [lane for lane in self.lanes if now_s >= lane.avoid_until_s]
        healthy = healthy or self.lanes[:1]
        if decide_s > LONG_QUESTION_S and len(healthy) > QUICK_LANES:
            healthy = healthy[QUICK_LANES:]
        lane = min(healthy, key=lambda item: max(item.busy_until_s, now_s))
        lane.busy_until_s = max(lane.busy_until_s, now_s) + decide_s
        return lane

    def failed(self, lane: Lane, now_s: float) -> None:
        """Pass a lane over for a while."""
        lane.avoid_until_s = now_s + AVOID_S
        lane.busy_until_s = now_s
