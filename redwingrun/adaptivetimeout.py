"""A timeout that adapts to the response times of a service."""

from __future__ import annotations

from attrs import define

# One lost reply of a fast service costs no more than this.
MIN_TIMEOUT_S = 0.3
MAX_TIMEOUT_S = 2.5
# The timeout as a multiple of the average response time.
RESPONSE_TIME_MULTIPLE = 8
# Weight of the newest response time in the moving average.
RESPONSE_TIME_WEIGHT = 0.2


@define
class AdaptiveTimeout:
    """The timeout for one kind of call to one service.

    :param max_timeout_s: upper bound of the timeout.
    """

    max_timeout_s: float = MAX_TIMEOUT_S
    _average_response_s: float = 0.02
    _backoff: float = 1.0

    def current_s(self) -> float:
        """Return the timeout for the next call, in seconds."""
        timeout_s = (
            max(MIN_TIMEOUT_S, self._average_response_s * RESPONSE_TIME_MULTIPLE)
            * self._backoff
        )
        return min(self.max_timeout_s, timeout_s)

    def record_reply(self, took_s: float) -> None:
        """Record the response time of a call with a reply and reset the backoff."""
        self._average_response_s += RESPONSE_TIME_WEIGHT * (
            took_s - self._average_response_s
        )
        self._backoff = 1.0

    def record_timeout(self) -> None:
        """Double the timeout of the next call, up to the bound."""
        self._backoff = min(self._backoff * 2, self.max_timeout_s / MIN_TIMEOUT_S)
