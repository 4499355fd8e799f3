"""Runs one daemon of the lab: ``python -m lab.daemon entry|placer SETTINGS``."""

from __future__ import annotations

import sys
from importlib import import_module

if __name__ == "__main__":
    # Only the one that runs: the other's modules would count as its memory.
    import_module(f"redwingrun.{sys.argv.pop(1)}").main()
