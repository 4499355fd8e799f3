"""What a member knows of its peers: which of them answer, and which to leave alone."""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from attrs import define

from redwingrun.coordination.clock import Clock

# A peer that does not answer is not chosen for this time at first, for twice as long
# after each further failure in a row.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 15.0
# Ejections are made longer or shorter by up to this share, so that members do not all
# probe a peer at the same time.
EJECTION_JITTER = 0.25
# The same for a peer that answers, but can't do what it was called for.
REFUSAL_EJECTION_S = 3.0
# A peer that has answered within this time is taken to be there without a probe.
HEARD_LATELY_S = 3.0


@define
class PeerRecord:
    """What is known of one peer.

    :param known_since_s: monotonic time since which its row is known.
    :param answered_s: monotonic time of its last answer.
    :param failures: calls in a row that it did not serve.
    :param ejected_until_s: monotonic time until which it is not chosen.
    :param is_silent: whether its last call got no answer; then it is not chosen before
        it has answered a probe.
    """

    known_since_s: float
    answered_s: float = -math.inf
    failures: int = 0
    ejected_until_s: float = -math.inf
    is_silent: bool = False


class PeerHealth:
    """Records how calls to peers end, and tells which peers may be chosen.

    A row in the table says that a peer was there once, not that it is. So each call to
    a peer is recorded here, and each choice among peers asks here.

    :param name: the name of this member, from which the jitter is derived.
    """

    def __init__(self, name: str, clock: Clock):
        self._clock = clock
        self._random = Random(name)
        self._record_by_address: dict[str, PeerRecord] = {}

    def set_peers(self, addresses: Iterable[str]) -> None:
        """Replace the peers; those that stay keep what is known of them."""
        now_s = self._clock.now()
        known = self._record_by_address
        self._record_by_address = {
            address: known.get(address) or PeerRecord(now_s) for address in addresses
        }

    def is_known(self, address: str) -> bool:
        """Return whether there is a peer with this address."""
        return address in self._record_by_address

    def answered(self, address: str) -> None:
        """Record that a peer has answered, whatever its answer was."""
        record = self._record_by_address.get(address)
        if record is None:
            return
        record.answered_s = self._clock.now()
        if record.is_silent:
            self._restore(record)

    def served(self, address: str) -> None:
        """Record that a peer has done what it was called for."""
        self.answered(address)
        record = self._record_by_address.get(address)
        if record is not None:
            self._restore(record)

    def refused(self, address: str) -> None:
        """Record that a peer has answered that it can't do what it was called for."""
        self.answered(address)
        record = self._record_by_address.get(address)
        if record is not None:
            record.ejected_until_s = self._clock.now() + REFUSAL_EJECTION_S

    def failed(self, address: str) -> None:
        """Record that a peer has not answered a call.

        It is not chosen for a while, longer after each failure in a row. Of calls that
        fail during an ejection only the first one counts: they began before it.
        """
        record = self._record_by_address.get(address)
        now_s = self._clock.now()
        if record is None or (record.is_silent and now_s < record.ejected_until_s):
            return
        ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**record.failures)
        jitter = self._random.uniform(1 - EJECTION_JITTER, 1 + EJECTION_JITTER)
        record.failures += 1
        record.ejected_until_s = now_s + ejection_s * jitter
        record.is_silent = True

    def is_available(self, address: str) -> bool:
        """Return whether a peer may be chosen for a call."""
        record = self._record_by_address.get(address)
        if record is None or record.is_silent:
            return False
        return self._clock.now() >= record.ejected_until_s

    def is_silent(self, address: str) -> bool:
        """Return whether a peer has not answered its last call or probe."""
        record = self._record_by_address.get(address)
        return record is not None and record.is_silent

    def available(self) -> list[str]:
        """Return the addresses of the peers that may be chosen."""
        return [item for item in self._record_by_address if self.is_available(item)]

    def answered_s(self, address: str) -> float:
        """Return the monotonic time of a peer's last answer."""
        record = self._record_by_address.get(address)
        return record.answered_s if record else -math.inf

    def was_heard_lately(self, address: str) -> bool:
        """Return whether a peer has answered within ``HEARD_LATELY_S``."""
        return self._clock.now() - self.answered_s(address) <= HEARD_LATELY_S

    def probe_delay_s(self, address: str) -> float:
        """Return the seconds until a silent peer is to be probed."""
        record = self._record_by_address[address]
        return max(0.0, record.ejected_until_s - self._clock.now())

    def _restore(self, record: PeerRecord) -> None:
        record.failures = 0
        record.ejected_until_s = -math.inf
        record.is_silent = False
