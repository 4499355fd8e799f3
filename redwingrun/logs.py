"""Logs as JSON lines, written with eliot; lines about a request have its id."""

from __future__ import annotations

import sys
import time
from enum import IntEnum

import eliot


class Level(IntEnum):
    """Levels of detail; a log writes the lines up to its own level."""

    QUIET = 0
    NORMAL = 1
    ALL = 2


_LEVEL_BY_NAME = {"quiet": Level.QUIET, "normal": Level.NORMAL, "all": Level.ALL}


class Log:
    """The log of one daemon.

    :param daemon: name of the daemon, written in every line.
    :param level_name: ``quiet``, ``normal`` or ``all``.
    :param max_lines_per_s: most lines per second, 0 for no limit. Further lines are
        dropped and counted. Faults are always written.
    """

    def __init__(self, daemon: str, level_name: str, max_lines_per_s: int = 0):
        self._level = _LEVEL_BY_NAME[level_name]
        self._fields = {"daemon": daemon}
        self._max_lines_per_s = max_lines_per_s
        self._second = 0
        self._lines_in_second = 0
        self._dropped = 0

    def open(self, to_stdout: bool = False) -> None:
        """Start to write to standard error, or to standard output."""
        eliot.to_file(sys.stdout if to_stdout else sys.stderr)

    def fault(self, message: str, **fields: object) -> None:
        """Log a problem that an operator should examine."""
        self._write(Level.QUIET, message, fields)

    def event(self, message: str, **fields: object) -> None:
        """Log a state change, an accepted or refused request, or a handled failure."""
        self._write(Level.NORMAL, message, fields)

    def detail(self, message: str, **fields: object) -> None:
        """Log one step of a request, or a failed call that is repeated."""
        self._write(Level.ALL, message, fields)

    def _write(self, level: Level, message: str, fields: dict[str, object]) -> None:
        if level <= self._level and (level is Level.QUIET or self._is_within_limit()):
            eliot.log_message(message_type=message, **self._fields, **fields)

    def _is_within_limit(self) -> bool:
        """Count a line, and return whether it may be written in this second.

        If lines were dropped, the next second's first line is preceded by their number.
        """
        if not self._max_lines_per_s:
            return True
        second = int(time.monotonic())
        if second != self._second:
            dropped, self._dropped = self._dropped, 0
            self._second = second
            self._lines_in_second = 0
            if dropped:
                self._write(Level.QUIET, "lines-left-out", {"count": dropped})
        self._lines_in_second += 1
        if self._lines_in_second <= self._max_lines_per_s:
            return True
        self._dropped += 1
        return False
