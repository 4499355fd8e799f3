"""The record of a case: what was sent, answered and run, with times."""

from __future__ import annotations

import json
import time
from pathlib import Path


class Record:
    """Lines of text in ``record.txt``; times are seconds since the start.

    :param path: the file, which is written anew.
    """

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def note(self, who: str, what: str, **fields: object) -> None:
        """Write a line."""
        parts = [f"{name}={json.dumps(value)}" for name, value in fields.items()]
        line = " ".join([f"{self.now_s():8.3f}", who, what, *parts])
        print(line, file=self._file, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
