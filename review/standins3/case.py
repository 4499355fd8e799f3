"""Runs a case, and turns its outcome into the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins3.cell import CaseNotRun
from review.standins3.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Plays a case; returns the lines that say how the rule was broken.
Play = Callable[[Record, bool], Awaitable[list[str]]]


def main(play: Play, folder: Path) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if not, 2 if not run."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.note("case", "begins", trouble=with_trouble)
    try:
        broken = asyncio.run(_play_until_stopped(play, record, with_trouble))
    except CaseNotRun as error:
        record.note("case", "could not run", why=str(error))
        print(f"could not run: {error}")
        sys.exit(NOT_RUN)
    except asyncio.CancelledError:
        record.note("case", "could not run", why="it was stopped")
        sys.exit(NOT_RUN)
    except Exception:
        record.note("case", "could not run", why=traceback.format_exc())
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for line in broken:
        record.note("case", "rule broken", how=line)
        print(line)
    if not broken:
        record.note("case", "rule held")
        print("the rule held")
    record.close()
    sys.exit(BROKEN if broken else HELD)


async def _play_until_stopped(
    play: Play, record: Record, with_trouble: bool
) -> list[str]:
    """Play a case; SIGTERM and SIGINT cancel it, so that it ends its processes."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await play(record, with_trouble)
