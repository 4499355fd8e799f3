"""The counters and the log of refused connections."""

from __future__ import annotations

from typing import Any

from redwingrun.clientconnection import Refusal
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.refusals import LOG_INTERVAL_S, RefusalCounter


class _RecordingLog(Log):
    """Keeps the lines."""

    def __init__(self) -> None:
        super().__init__("test", "normal")
        self.lines: list[dict[str, Any]] = []

    def event(self, message: str, **fields: object) -> None:
        self.lines.append({"message": message, **fields})


def test_each_kind_is_logged_once_a_second_and_always_counted(monkeypatch):
    """Thousands of refusals a second must not use up the lines of the log."""
    now_s = 100.0
    monkeypatch.setattr("redwingrun.refusals.time.monotonic", lambda: now_s)
    log, metrics = _RecordingLog(), Metrics()
    refusals = RefusalCounter(log, metrics)
    for _ in range(500):
        refusals.count(Refusal.NO_BUDGET, "10.0.0.1")
    refusals.count(Refusal.TOO_LARGE, "10.0.0.2")
    assert [line["count"] for line in log.lines] == [1, 1]
    now_s += LOG_INTERVAL_S
    refusals.count(Refusal.NO_BUDGET, "10.0.0.3")
    assert log.lines[-1]["count"] == 500
    assert log.lines[-1]["address"] == "10.0.0.3"
    assert metrics.counter_total("connection_refusals_total") == 502
