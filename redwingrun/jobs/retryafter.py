"""When a client that was refused should come again, by the age of an outage."""

from __future__ import annotations

import math
import random

MIN_S = 1
MAX_S = 8
# The wait is drawn between 1 and this multiple of the outage's age.
MAX_AGE_MULTIPLE = 1.5


class RetryAfter:
    """Computes the seconds that refused clients are told to wait.

    A client gives up after four retries, so its waits must grow for it to outlast an
    outage. One that waits for much longer than the outage lasts is served late. An
    outage that has lasted for a time will probably last about as long again, so the
    wait lies between 1 and ``MAX_AGE_MULTIPLE`` times that age, rounded up to whole
    seconds:

    - A client that is refused as the outage begins waits at least 1, 2, 4 and 6 s, and
      comes again for the last time when the outage is at least 13 s old.
    - A client's first retry after an outage comes no later than ``MAX_AGE_MULTIPLE``
      times the length of the outage, plus 1 s, after its end.

    The wait is drawn at random, so that clients that were refused together come again
    at different times. For the same reason ``MAX_S`` bounds the range that it is drawn
    from, and not the drawn wait.

    :param rng: draws the waits.
    """

    def __init__(self, rng: random.Random | None = None):
        self._rng = rng or random.Random()

    def seconds(self, outage_s: float) -> int:
        """Return the wait in whole seconds, ``MIN_S`` to ``MAX_S``.

        :param outage_s: seconds since the table's last answer; 0 while it answers.
        """
        longest_s = min(MAX_S, MAX_AGE_MULTIPLE * outage_s)
        wait_s = self._rng.uniform(longest_s / MAX_AGE_MULTIPLE, longest_s)
        return max(MIN_S, math.ceil(wait_s))
