"""Outlier ejection: failing minions get no requests until a probe succeeds."""

from __future__ import annotations

from collections import deque

from attrs import define, field

WINDOW_REQUESTS = 20
MIN_SAMPLES = 5
MAX_FAILURE_SHARE = 0.5
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 0.5


@define
class MinionHealth:
    """The recent outcomes of one minion.

    :param outcomes: whether each of the last requests succeeded.
    :param ejected_until_s: earliest time of the next probe, ``None`` when not ejected.
    :param ejection_s: length of the current ejection, or of the next one when not
        ejected.
    :param probing: whether a probe is in flight.
    """

    outcomes: deque[bool] = field(factory=lambda: deque(maxlen=WINDOW_REQUESTS))
    ejected_until_s: float | None = None
    ejection_s: float = FIRST_EJECTION_S
    probing: bool = False

    def failing(self) -> bool:
        """Return whether too many of the last requests failed."""
        failures = self.outcomes.count(False)
        return len(self.outcomes) >= MIN_SAMPLES and failures > MAX_FAILURE_SHARE * len(
            self.outcomes
        )


@define
class Ejector:
    """Ejects failing minions, at most ``MAX_EJECTED_SHARE`` of them at a time.

    After the ejection time the minion gets one request as a probe. If the probe
    succeeds, the ejection ends; if it fails, the minion is ejected again for twice as
    long, up to ``MAX_EJECTION_S``.
    """

    _health_by_minion: dict[str, MinionHealth] = field(factory=dict)

    def set_minions(self, names: set[str]) -> None:
        """Set the minions to watch; those that were watched keep their state."""
        self._health_by_minion = {
            name: self._health_by_minion.get(name, MinionHealth()) for name in names
        }

    def record(self, name: str, ok: bool, now_s: float) -> None:
        """Record the outcome of one request."""
        health = self._health_by_minion.setdefault(name, MinionHealth())
        if health.ejected_until_s is not None:
            self._record_probe(health, ok, now_s)
            return
        health.outcomes.append(ok)
        if health.failing() and self._may_eject():
            health.ejected_until_s = now_s + health.ejection_s

    def _record_probe(self, health: MinionHealth, ok: bool, now_s: float) -> None:
        if not health.probing:
            # The request was sent before the ejection; it is no probe.
            return
        health.probing = False
        if ok:
            health.ejected_until_s = None
            health.outcomes.clear()
            health.ejection_s = FIRST_EJECTION_S
            return
        health.ejection_s = min(2 * health.ejection_s, MAX_EJECTION_S)
        health.ejected_until_s = now_s + health.ejection_s

    def _may_eject(self) -> bool:
        ejected = sum(
            1
            for item in self._health_by_minion.values()
            if item.ejected_until_s is not None
        )
        return ejected + 1 <= MAX_EJECTED_SHARE * len(self._health_by_minion)

    def usable(self, name: str, now_s: float) -> bool:
        """Return whether a minion may get a request now.

        An ejected one may get only the probe, once the ejection time is over.
        """
        health = self._health_by_minion.get(name)
        if health is None or health.ejected_until_s is None:
            return True
        return now_s >= health.ejected_until_s and not health.probing

    def record_sent(self, name: str) -> None:
        """Record a request sent to a minion; to an ejected one it is the probe."""
        health = self._health_by_minion.get(name)
        if health is not None and health.ejected_until_s is not None:
            health.probing = True

    def ejected(self) -> list[str]:
        """Return the names of the ejected minions, sorted."""
        items = self._health_by_minion.items()
        return sorted(name for name, item in items if item.ejected_until_s is not None)
