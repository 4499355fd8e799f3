"""Runs a member with a mutation: ``python -m lab.twice.member``.

The environment variable ``REDWINGRUN_LAB_MUTATION`` names the mutation.
"""

from __future__ import annotations

import os
import sys

from lab.daemon import MUTATION_VARIABLE
from lab.twice.mutations import MUTATIONS
from redwingrun.platform.__main__ import main

if __name__ == "__main__":
    MUTATIONS[os.environ[MUTATION_VARIABLE]]()
    sys.exit(main())
