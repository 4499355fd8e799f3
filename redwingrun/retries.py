"""The retry budget: retries are a bounded share of the requests."""

from __future__ import annotations

from attrs import define

MAX_SAVED_RETRIES = 20.0


@define
class RetryBudget:
    """Each request earns a share of a retry; each retry spends a whole one.

    The budget starts with what may be saved at most, so that a quiet process
    can retry at all.
    """

    share: float
    _saved: float = MAX_SAVED_RETRIES
    requests: int = 0
    retries: int = 0

    def earned(self) -> None:
        """Note a first attempt."""
        self.requests += 1
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget, if there is one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        self.retries += 1
        return True
