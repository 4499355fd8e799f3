"""Tests of the watch on the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import time

from redwingrun.coordination.clock import MonotonicClock
from redwingrun.jobs.looplag import CHECK_INTERVAL_S, MIN_LOGGED_LAG_S, watch_loop_lag
from redwingrun.logs import Log
from redwingrun.metrics import Metrics

BLOCKED_S = 2 * MIN_LOGGED_LAG_S


class CollectingLog(Log):
    """A log that keeps its lines."""

    def __init__(self) -> None:
        super().__init__("member", "normal")
        self.lines: list[tuple[str, dict]] = []

    def event(self, message: str, **fields: object) -> None:
        """Keep a line."""
        self.lines.append((message, fields))


# Guards against decisions of a process that was stopped, or too busy, which nobody can
# tell from its logs.
def test_a_blocked_event_loop_is_logged():
    log = CollectingLog()

    async def block() -> None:
        watch = asyncio.create_task(watch_loop_lag(MonotonicClock(), log, Metrics()))
        await asyncio.sleep(CHECK_INTERVAL_S / 2)
        time.sleep(CHECK_INTERVAL_S + BLOCKED_S)  # noqa: ASYNC251
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch

    asyncio.run(block())
    assert log.lines
    assert log.lines[0][0] == "event-loop-late"
    assert log.lines[0][1]["late_s"] > MIN_LOGGED_LAG_S
