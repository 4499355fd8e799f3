"""Runs the tests; passes over the failures in KNOWN-RED.txt, and prints them."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


class KnownRed:
    """Notes failures during a run, and sorts the known from the new."""

    def __init__(self, known: set[str]):
        self._known = known
        self.new: list[str] = []
        self.red: list[str] = []
        self.passed = 0

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Take one report of pytest."""
        if report.failed:
            target = self.red if report.nodeid in self._known else self.new
            target.append(report.nodeid)
        elif report.when == "call" and report.passed:
            self.passed += 1


def known_ids() -> set[str]:
    """Return the test ids that the list names, the first word of each entry."""
    if not LIST.exists():
        return set()
    lines = LIST.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests/")}


def main() -> int:
    """Run the tests and return the exit code."""
    plugin = KnownRed(known_ids())
    code = pytest.main(sys.argv[1:], plugins=[plugin])
    for name in plugin.red:
        print(f"KNOWN RED, passed over: {name}")
    print(f"{plugin.passed} passed, {len(plugin.new)} failed")
    if plugin.new or not plugin.passed:
        return 1
    return (
        0 if code in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED) else int(code)
    )


if __name__ == "__main__":
    sys.exit(main())
