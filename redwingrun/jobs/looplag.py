"""Watches how late the event loop runs what is due."""

from __future__ import annotations

import asyncio

from redwingrun.coordination.clock import Clock
from redwingrun.logs import Log
from redwingrun.metrics import Metrics

CHECK_INTERVAL_S = 0.2
# A loop that is later than this delays the answers of workers that have arrived.
MIN_LOGGED_LAG_S = 0.3


async def watch_loop_lag(clock: Clock, log: Log, metrics: Metrics) -> None:
    """Record the lag of the event loop, and log a long one, until cancelled.

    A process that was stopped and continued shows as a lag, too.
    """
    while True:
        slept_from_s = clock.now()
        await asyncio.sleep(CHECK_INTERVAL_S)
        lag_s = clock.now() - slept_from_s - CHECK_INTERVAL_S
        metrics.seconds("loop_lag_s", max(0.0, lag_s))
        if lag_s > MIN_LOGGED_LAG_S:
            log.event("event-loop-late", late_s=round(lag_s, 3))
