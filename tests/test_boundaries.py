"""What speaks to the users' platform stays in one folder."""

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
    """Return all modules of the package."""
    return sorted(PACKAGE.glob("**/*.py"))


def test_no_name_of_the_platform_stands_outside_its_folder():
    """Names are decoded once, in the adapter."""
    found = [
        path.name
        for path in modules()
        if PLATFORM not in path.parents and WIRE_NAMES.search(path.read_text("utf-8"))
    ]
    assert found == []


def test_only_the_adapter_imports_the_adapter():
    """The product runs without it."""
    found = [
        path.name
        for path in modules()
        if PLATFORM not in path.parents
        and "redwingrun.platform" in path.read_text("utf-8")
    ]
    assert found == []


def test_the_engine_has_no_input_or_output():
    """Decisions can be tested without a network."""
    pure = (
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
    for name in pure:
        text = (PACKAGE / "jobs" / f"{name}.py").read_text("utf-8")
        assert not re.search(r"^(import|from) (asyncio|tornado|grpclib)", text, re.M)
        assert "await " not in text
