"""The limit on log lines per second: lines above it are dropped, except faults."""

from __future__ import annotations

import eliot
import pytest

from redwingrun import logs
from redwingrun.logs import Log


@pytest.fixture
def lines(monkeypatch):
    """Return the list of logged messages; the clock stands still at 1 s."""
    messages: list[str] = []
    monkeypatch.setattr(
        eliot, "log_message", lambda message_type, **_: messages.append(message_type)
    )
    monkeypatch.setattr(logs.time, "monotonic", lambda: 1.0)
    return messages


def test_lines_above_the_limit_are_counted(lines, monkeypatch):
    """Their number is logged in the next second."""
    log = Log("member", "normal", max_lines_per_s=2)
    for _ in range(5):
        log.event("step")
    log.fault("broken")
    assert lines == ["step", "step", "broken"]
    monkeypatch.setattr(logs.time, "monotonic", lambda: 2.0)
    log.event("next")
    assert lines[3:] == ["lines-left-out", "next"]


def test_without_a_limit_every_line_is_written(lines):
    """Daemons that set no limit drop no lines."""
    log = Log("entry", "normal")
    for _ in range(500):
        log.event("step")
    assert len(lines) == 500
