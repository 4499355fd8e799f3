"""Monotonic time as a dependency, so that tests can hold and move it."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of monotonic seconds.

    Readings of two processes are never compared.
    """

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds."""


class MonotonicClock(Clock):
    """The clock of this machine.

    ``CLOCK_BOOTTIME`` also counts while a virtual machine is suspended, which
    ``time.monotonic`` does not: a lease must lapse during a suspend.
    """

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that stands still until it is moved; for tests and benchmarks."""

    def __init__(self, now: float = 0.0):
        self._now = now

    def now(self) -> float:
        """Return the seconds set last."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move forward by ``seconds``."""
        self._now += seconds

    def set(self, now: float) -> None:
        """Move forward to ``now``; a smaller value is ignored."""
        self._now = max(self._now, now)
