"""Boundaries between modules: platform adapters, and logic without input or output."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "redwingrun"
PLATFORM = PACKAGE / "platform"
WIRE_NAMES = re.compile(
    r"rows-tx|rows-get|rows-feed|run-start|run-stop|machine-upkeep|expectedRev"
    r"|schemaVer|resourcePool|taskCount|memMb|lastSeen|waitMs|deadlineMs"
)


def modules():
    """Return the paths of all modules of the package."""
    return sorted(PACKAGE.glob("**/*.py"))


def test_only_the_platform_adapter_uses_names_of_the_platform():
    """The names of the platform's interfaces are decoded in one place."""
    found = [
        path.name
        for path in modules()
        if PLATFORM not in path.parents and WIRE_NAMES.search(path.read_text("utf-8"))
    ]
    assert found == []


def test_no_module_outside_the_platform_adapter_imports_it():
    """The product must run without the adapter."""
    found = [
        path.name
        for path in modules()
        if PLATFORM not in path.parents
        and "redwingrun.platform" in path.read_text("utf-8")
    ]
    assert found == []


def test_decision_logic_has_no_input_or_output():
    """These modules must be testable without a network or an event loop."""
    names = (
        "engine",
        "slicestate",
        "workerreports",
        "stepscheduler",
        "job",
        "placement",
        "policycache",
        "pacing",
        "speeds",
        "workerpool",
    )
    for name in names:
        text = (PACKAGE / "jobs" / f"{name}.py").read_text("utf-8")
        assert not re.search(r"^(import|from) (asyncio|tornado|grpclib)", text, re.M)
        assert "await " not in text
