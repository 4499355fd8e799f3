"""A timeout that adapts to the response times of a service."""

from __future__ import annotations

from attrs import define, field

# One lost reply of a fast service costs no more than this.
MIN_TIMEOUT_S = 0.3
MAX_TIMEOUT_S = 2.5
# The timeout as a multiple of the average response time.
RESPONSE_TIME_MULTIPLE = 8
# The same where a multiple of 8 would pass the upper bound.
MIN_RESPONSE_TIME_MULTIPLE = 2
# Weight of the newest response time in the moving average.
RESPONSE_TIME_WEIGHT = 0.2


@define
class AdaptiveTimeout:
    """The timeout for one kind of call to one service.

    :param max_timeout_s: upper bound of the timeout, unless replies usually take
        longer than half of it.
    :param max_backoff_s: upper bound while calls time out one after the other; by
        default ``max_timeout_s``.
    """

    max_timeout_s: float = MAX_TIMEOUT_S
    max_backoff_s: float = field()
    _average_response_s: float = 0.02
    _backoff: float = 1.0

    @max_backoff_s.default
    def _default_max_backoff_s(self) -> float:
        return self.max_timeout_s

    def current_s(self) -> float:
        """Return the timeout for the next call, in seconds."""
        first_s = max(
            min(self.max_timeout_s, self.unbounded_s()),
            self._average_response_s * MIN_RESPONSE_TIME_MULTIPLE,
        )
        return min(self.max_backoff_s, first_s * self._backoff)

    def unbounded_s(self) -> float:
        """Return the timeout by the response times alone, without the upper bounds."""
        return max(MIN_TIMEOUT_S, self._average_response_s * RESPONSE_TIME_MULTIPLE)

    def record_reply(self, took_s: float) -> None:
        """Record the response time of a call with a reply and reset the backoff."""
        self._average_response_s += RESPONSE_TIME_WEIGHT * (
            took_s - self._average_response_s
        )
        self.reset_backoff()

    def reset_backoff(self) -> None:
        """Record a reply whose response time says nothing about the service."""
        self._backoff = 1.0

    def record_timeout(self) -> None:
        """Double the timeout of the next call, up to the bound."""
        self._backoff = min(self._backoff * 2, self.max_backoff_s / MIN_TIMEOUT_S)
