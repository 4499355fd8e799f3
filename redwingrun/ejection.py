"""Minions that fail: when one is taken out, and when it is tried again."""

from __future__ import annotations

from collections import deque

from attrs import define, field

WINDOW = 20
MIN_SAMPLES = 5
MAX_FAILURE_SHARE = 0.5
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0
MAX_EJECTED_SHARE = 0.5


@define
class Health:
    """The recent outcomes of one minion."""

    outcomes: deque[bool] = field(factory=lambda: deque(maxlen=WINDOW))
    ejected_until_s: float | None = None
    pause_s: float = FIRST_PAUSE_S
    probing: bool = False

    def failing(self) -> bool:
        """Tell whether the failures are too many."""
        failures = self.outcomes.count(False)
        return len(self.outcomes) >= MIN_SAMPLES and failures > MAX_FAILURE_SHARE * len(
            self.outcomes
        )


@define
class Ejector:
    """Takes failing minions out, at most a share of them at once.

    An ejected minion gets one request as a probe after a pause; a failed probe
    doubles the pause.
    """

    _by_minion: dict[str, Health] = field(factory=dict)

    def keep_only(self, names: set[str]) -> None:
        """Forget minions that are no longer ours, and meet new ones."""
        self._by_minion = {name: self._by_minion.get(name, Health()) for name in names}

    def record(self, name: str, ok: bool, now_s: float) -> None:
        """Take the outcome of one request."""
        health = self._by_minion.setdefault(name, Health())
        if health.ejected_until_s is not None:
            self._probed(health, ok, now_s)
            return
        health.outcomes.append(ok)
        if health.failing() and self._may_eject():
            health.ejected_until_s = now_s + health.pause_s

    def _probed(self, health: Health, ok: bool, now_s: float) -> None:
        if not health.probing:
            # An answer from before the ejection says nothing new.
            return
        health.probing = False
        if ok:
            health.ejected_until_s = None
            health.outcomes.clear()
            health.pause_s = FIRST_PAUSE_S
            return
        health.pause_s = min(2 * health.pause_s, LONGEST_PAUSE_S)
        health.ejected_until_s = now_s + health.pause_s

    def _may_eject(self) -> bool:
        out = sum(
            1 for item in self._by_minion.values() if item.ejected_until_s is not None
        )
        return out + 1 <= MAX_EJECTED_SHARE * len(self._by_minion)

    def usable(self, name: str, now_s: float) -> bool:
        """Tell whether a minion may get a request; the probe counts as one."""
        health = self._by_minion.get(name)
        if health is None or health.ejected_until_s is None:
            return True
        return now_s >= health.ejected_until_s and not health.probing

    def sent(self, name: str) -> None:
        """Note a request sent to a minion; it is the probe when it was ejected."""
        health = self._by_minion.get(name)
        if health is not None and health.ejected_until_s is not None:
            health.probing = True

    def ejected(self) -> list[str]:
        """Return the minions that are out."""
        items = self._by_minion.items()
        return sorted(name for name, item in items if item.ejected_until_s is not None)
