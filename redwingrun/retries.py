"""A retry budget: limits retries to a share of the requests."""

from __future__ import annotations

from attrs import define

MAX_AVAILABLE_RETRIES = 20.0


@define
class RetryBudget:
    """A token bucket: each request adds a fraction of a retry, each retry takes one.

    The bucket is full at the start, so that a process with little traffic can
    retry at all.

    :param share: fraction of a retry that each request adds.
    :param requests: first attempts since the start.
    :param retries: retries since the start.
    """

    share: float
    _available: float = MAX_AVAILABLE_RETRIES
    requests: int = 0
    retries: int = 0

    def record_request(self) -> None:
        """Add a request's share of a retry to the budget."""
        self.requests += 1
        self._available = min(MAX_AVAILABLE_RETRIES, self._available + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._available < 1:
            return False
        self._available -= 1
        self.retries += 1
        return True
