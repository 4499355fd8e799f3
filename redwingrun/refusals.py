"""Counts refused connections and requests, and logs them at a bounded rate."""

from __future__ import annotations

import time
from collections import Counter

from redwingrun.clientconnection import Refusal
from redwingrun.logs import Log
from redwingrun.metrics import Metrics

LOG_INTERVAL_S = 1.0


class RefusalCounter:
    """The refusals of one process: a counter of each kind, and a line a second."""

    def __init__(self, log: Log, metrics: Metrics):
        self._log = log
        self._metrics = metrics
        self._logged_s: dict[Refusal, float] = {}
        self._unlogged: Counter[Refusal] = Counter()

    def count(self, reason: Refusal, address: str) -> None:
        """Count a refusal, and log it unless its kind was logged within the second.

        :param address: address of the client; the line has that of the last one.
        """
        self._metrics.count("connection_refusals_total", reason=reason.value)
        self._unlogged[reason] += 1
        now_s = time.monotonic()
        if now_s - self._logged_s.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s[reason] = now_s
        self._log.event(
            "connections-refused",
            reason=reason.value,
            address=address,
            count=self._unlogged.pop(reason),
        )
