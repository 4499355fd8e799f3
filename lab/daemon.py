"""Runs one daemon of the lab: ``python -m lab.daemon entry|placer SETTINGS``."""

from __future__ import annotations

import os
import sys
from importlib import import_module

MUTATION_VARIABLE = "REDWINGRUN_LAB_MUTATION"

if __name__ == "__main__":
    # Only the one that runs: the other's modules would count as its memory.
    daemon = import_module(f"redwingrun.{sys.argv.pop(1)}")
    mutation = os.environ.get(MUTATION_VARIABLE)
    if mutation:
        import_module("lab.mutations").MUTATIONS[mutation]()
    daemon.main()
