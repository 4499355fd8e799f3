"""In which order the members of a slice claim it when its owner is gone."""

from __future__ import annotations

import zlib

from redwingrun.jobs.peerlist import PeerList

# Members claim one after the other, by a hash of their names.
STAGGER_STEPS = 8
STAGGER_S = 0.06
# Those on hosts that are clearly slower than others follow a step after these, and
# look so much later whether an owner's process is gone.
FAST_STEPS = STAGGER_STEPS // 2
SLOW_HOST_S = 0.25


class ClaimOrder:
    """A member's place among its peers.

    :param name: of the member.
    """

    def __init__(self, name: str, peers: PeerList):
        self._digest = zlib.crc32(name.encode())
        self._peers = peers

    def stagger_s(self) -> float:
        """Return how long others may claim first."""
        return STAGGER_S * self._step()

    def look_later_s(self) -> float:
        """Return how much later than others to look for the owner's process."""
        return SLOW_HOST_S if self._peers.faster() else 0.0

    def _step(self) -> int:
        if self._peers.faster():
            return FAST_STEPS + 1 + self._digest % FAST_STEPS
        if self._peers.has_slower():
            return self._digest % FAST_STEPS
        return self._digest % STAGGER_STEPS
