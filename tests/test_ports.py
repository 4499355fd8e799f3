"""Tests of the ports that the lab picks for the daemons of a cell."""

from __future__ import annotations

import subprocess
import sys

from lab.cell import PORTS_PER_BLOCK, free_ports

PRINT_PORTS = """
import sys
from lab.cell import free_ports
print(*free_ports(int(sys.argv[1])), flush=True)
sys.stdin.read()
"""


def test_two_processes_never_pick_the_same_port():
    """Neither listens yet when the other picks: two runs of the tests used to clash."""
    count = 3 * PORTS_PER_BLOCK
    with subprocess.Popen(
        [sys.executable, "-c", PRINT_PORTS, str(count)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        others = {int(word) for word in other.stdout.readline().split()}
        own = set(free_ports(count))
        other.stdin.close()
    assert len(others) == len(own) == count
    assert not own & others
