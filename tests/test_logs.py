"""The log's bound: what is over it is left out and counted, faults never are."""

from __future__ import annotations

import eliot
import pytest

from redwingrun import logs
from redwingrun.logs import Log


@pytest.fixture
def lines(monkeypatch):
    """Catch the lines, and hold the clock at one second."""
    caught: list[str] = []
    monkeypatch.setattr(
        eliot, "log_message", lambda message_type, **_: caught.append(message_type)
    )
    monkeypatch.setattr(logs.time, "monotonic", lambda: 1.0)
    return caught


def test_lines_over_the_bound_are_counted(lines, monkeypatch):
    """The count comes with the next second."""
    log = Log("member", "normal", most_a_second=2)
    for _ in range(5):
        log.event("step")
    log.fault("broken")
    assert lines == ["step", "step", "broken"]
    monkeypatch.setattr(logs.time, "monotonic", lambda: 2.0)
    log.event("next")
    assert lines[3:] == ["lines-left-out", "next"]


def test_without_a_bound_every_line_is_written(lines):
    """The daemons that set none write as before."""
    log = Log("entry", "normal")
    for _ in range(500):
        log.event("step")
    assert len(lines) == 500
