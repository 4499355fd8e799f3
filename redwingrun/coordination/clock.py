"""Sources of monotonic time, injected so that tests can control it."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of monotonic seconds.

    Readings of different processes must not be compared.
    """

    @abstractmethod
    def now(self) -> float:
        """Return the current monotonic time in seconds."""


class MonotonicClock(Clock):
    """The clock of this machine.

    Reads ``CLOCK_BOOTTIME`` because it keeps counting while a virtual machine is
    suspended, which ``time.monotonic`` does not: a lease must expire during a
    suspend.
    """

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that advances only by explicit calls, for tests and benchmarks."""

    def __init__(self, now: float = 0.0):
        self._now = now

    def now(self) -> float:
        """Return the time set last, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        self._now += seconds

    def set(self, now: float) -> None:
        """Advance the clock to ``now``; ignore an earlier time."""
        self._now = max(self._now, now)
