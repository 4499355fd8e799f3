"""``make bench``: compares the product with baselines and targets.

The exit code is 1 if a target is missed.
"""

from __future__ import annotations

import sys
import time

from benchmarks import control, packing, routing, shares
from benchmarks.rows import Report


def main() -> int:
    """Run the sections named as arguments, or all."""
    sections = {
        "control": control.run,
        "packing": packing.run,
        "routing": routing.run,
        "shares": shares.run,
    }
    names = sys.argv[1:] or list(sections)
    report = Report()
    for name in names:
        started_s = time.monotonic()
        sections[name](report)
        print(f"{name}: {time.monotonic() - started_s:.0f} s")
    report.show()
    for name in report.missed():
        print(f"MISSED {name}")
    return 1 if report.missed() else 0


if __name__ == "__main__":
    sys.exit(main())
