"""Runs a daemon of a cell: ``python -m lab.daemon entry|placer SETTINGS``.

The environment variable ``REDWINGRUN_LAB_MUTATION`` names a mutation to apply first.
"""

from __future__ import annotations

import os
import sys
from importlib import import_module

MUTATION_VARIABLE = "REDWINGRUN_LAB_MUTATION"

if __name__ == "__main__":
    # Import only the daemon that runs: the modules of the other would count towards
    # its memory, which benchmarks measure.
    daemon = import_module(f"redwingrun.{sys.argv.pop(1)}")
    mutation = os.environ.get(MUTATION_VARIABLE)
    if mutation:
        import_module("lab.mutations").MUTATIONS[mutation]()
    daemon.main()
