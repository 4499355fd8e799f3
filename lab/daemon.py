"""Runs one daemon of the lab: ``python -m lab.daemon entry|placer SETTINGS``."""

from __future__ import annotations

import sys

from redwingrun import entry, placer

if __name__ == "__main__":
    daemon = sys.argv.pop(1)
    {"entry": entry.main, "placer": placer.main}[daemon]()
