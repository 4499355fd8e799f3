"""How long ago the configuration in force was certainly the newest one."""

from __future__ import annotations

import math

from redwingrun.coordination.clock import Clock
from redwingrun.jobs.workerpool import MIN_CLOCK_RATE
from redwingrun.logs import Log

# Kept from the time limit for what lies between the arrival of a request and the
# decision on it.
DECISION_MARGIN_S = 0.1


class ConfigFreshness:
    """Records when the configuration in force was confirmed, and limits its age.

    A revoked key must stop working on every member within a time limit, also on one
    that can't read the table. So a member accepts keys only while it knows that its
    configuration was the newest one a short while ago.

    :param revocation_timeout_s: time within which a revocation must take effect, in
        seconds; ``None`` if there is no such limit.
    """

    def __init__(self, clock: Clock, log: Log, revocation_timeout_s: float | None):
        self._clock = clock
        self._log = log
        self._max_age_s = math.inf
        if revocation_timeout_s is not None:
            # The clock may run slow, so that more time has passed than it shows.
            self._max_age_s = revocation_timeout_s * MIN_CLOCK_RATE - DECISION_MARGIN_S
        self._confirmed_s = -math.inf
        self._source = ""
        self._was_fresh = True

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit on the configuration's age."""
        return math.isfinite(self._max_age_s)

    def confirm(self, asked_s: float, source: str) -> None:
        """Record that no version newer than the one in force existed at a time.

        :param asked_s: monotonic time at which the question was sent. Its answer may
            have been under way while a newer version was published.
        :param source: who answered, for the log.
        """
        if asked_s > self._confirmed_s:
            self._confirmed_s = asked_s
            self._source = source

    def age_s(self) -> float:
        """Return the seconds since the last confirmed moment, infinite before one."""
        return self._clock.now() - self._confirmed_s

    def is_fresh(self) -> bool:
        """Return whether keys may be accepted by the configuration in force."""
        age_s = self.age_s()
        is_fresh = age_s <= self._max_age_s
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            self._log.event(
                "queues-fresh" if is_fresh else "queues-too-old",
                age_s=round(age_s, 3) if math.isfinite(age_s) else None,
                source=self._source,
            )
        return is_fresh
