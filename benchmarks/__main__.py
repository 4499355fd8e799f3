"""``make bench``: decisions beside baselines; exits 1 on a missed target."""

from __future__ import annotations

import sys
import time

from benchmarks import control, packing, routing
from benchmarks.rows import Report


def main() -> int:
    """Run the named sections, or all."""
    sections = {"control": control.run, "packing": packing.run, "routing": routing.run}
    wanted = sys.argv[1:] or list(sections)
    report = Report()
    for name in wanted:
        started_s = time.monotonic()
        sections[name](report)
        print(f"{name}: {time.monotonic() - started_s:.0f} s")
    report.show()
    for name in report.missed():
        print(f"MISSED {name}")
    return 1 if report.missed() else 0


if __name__ == "__main__":
    sys.exit(main())
