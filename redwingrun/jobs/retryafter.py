"""When a client that was refused should come again, by the age of an outage."""

from __future__ import annotations

import random

# While an outage is younger than this, it may be a short one.
SHORT_OUTAGE_S = 2.5
SHORT_WAIT_S = 1
# Drawn at random, so that clients that were refused together come again at different
# times.
LONG_WAITS_S = (2, 3)


class RetryAfter:
    """Computes the seconds that refused clients are told to wait.

    A client gives up after four retries, so that with waits of 1 s it does not outlast
    an outage of 5 s. One that waits for as long as the outage has lasted is served late
    in most cases, although the table is back: most work is urgent, and of use only
    within a few seconds. So waits grow once, and stay short: four retries outlast an
    outage of 5 s, and each client comes again within 3 s after its end.

    :param rng: draws the waits.
    """

    def __init__(self, rng: random.Random | None = None):
        self._rng = rng or random.Random()

    def seconds(self, outage_s: float) -> int:
        """Return the wait in whole seconds.

        :param outage_s: seconds since the table's last answer; 0 while it answers.
        """
        if outage_s < SHORT_OUTAGE_S:
            return SHORT_WAIT_S
        return self._rng.choice(LONG_WAITS_S)
