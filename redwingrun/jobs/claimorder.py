"""The order in which members claim a slice whose owner has failed."""

from __future__ import annotations

import zlib

from redwingrun.jobs.peerhealth import PeerHealth
from redwingrun.jobs.peerlist import PeerList

# Members claim one after the other, at positions given by a hash of their names.
CLAIM_POSITIONS = 8
CLAIM_INTERVAL_S = 0.06
# Members on clearly slower hosts claim after those on faster hosts, and probe a
# possibly failed owner later, so that a fast host gets the slice.
FAST_HOST_POSITIONS = CLAIM_POSITIONS // 2
SLOW_HOST_PROBE_DELAY_S = 0.25


class ClaimOrder:
    """When a member claims and probes, compared with its peers.

    :param name: the member's name.
    :param health: tells which peers are known to be silent; they claim nothing.
    """

    def __init__(self, name: str, peers: PeerList, health: PeerHealth):
        self._name_hash = zlib.crc32(name.encode())
        self._peers = peers
        self._health = health

    def claim_delay_s(self) -> float:
        """Return the time during which other members may claim first."""
        return CLAIM_INTERVAL_S * self._claim_position()

    def probe_delay_s(self) -> float:
        """Return how much later than members on fast hosts to probe the owner."""
        return SLOW_HOST_PROBE_DELAY_S if self._has_faster() else 0.0

    def _claim_position(self) -> int:
        """Return the member's position; members claim in ascending order."""
        if self._has_faster():
            return FAST_HOST_POSITIONS + 1 + self._name_hash % FAST_HOST_POSITIONS
        if self._peers.has_slower():
            return self._name_hash % FAST_HOST_POSITIONS
        return self._name_hash % CLAIM_POSITIONS

    def _has_faster(self) -> bool:
        """Return whether a peer on a clearly faster host may claim first."""
        return any(
            self._health.is_available(row.address) for row in self._peers.faster()
        )
