"""Logs: JSON lines by eliot, with the request's id where there is one."""

from __future__ import annotations

import sys
import time
from enum import IntEnum

import eliot


class Level(IntEnum):
    """How much is logged."""

    QUIET = 0
    NORMAL = 1
    ALL = 2


_LEVEL_BY_NAME = {"quiet": Level.QUIET, "normal": Level.NORMAL, "all": Level.ALL}


class Log:
    """The log of one daemon.

    :param daemon: told in every line.
    :param level_name: ``quiet``, ``normal`` or ``all``.
    :param most_a_second: most lines a second; what is over it is left out and
        counted. Faults are always written. 0 for no bound.
    """

    def __init__(self, daemon: str, level_name: str, most_a_second: int = 0):
        self._level = _LEVEL_BY_NAME[level_name]
        self._fields = {"daemon": daemon}
        self._most_a_second = most_a_second
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def open(self, to_output: bool = False) -> None:
        """Write to standard error, or to standard output, from now on."""
        eliot.to_file(sys.stdout if to_output else sys.stderr)

    def fault(self, message: str, **fields: object) -> None:
        """Log what an operator should look at."""
        self._write(Level.QUIET, message, fields)

    def event(self, message: str, **fields: object) -> None:
        """Log a change of state."""
        self._write(Level.NORMAL, message, fields)

    def detail(self, message: str, **fields: object) -> None:
        """Log one step of one request."""
        self._write(Level.ALL, message, fields)

    def _write(self, level: Level, message: str, fields: dict[str, object]) -> None:
        if level <= self._level and (level is Level.QUIET or self._has_room()):
            eliot.log_message(message_type=message, **self._fields, **fields)

    def _has_room(self) -> bool:
        """Count a line, and tell whether this second has room for it."""
        if not self._most_a_second:
            return True
        second = int(time.monotonic())
        if second != self._second:
            left_out, self._left_out = self._left_out, 0
            self._second = second
            self._lines = 0
            if left_out:
                self._write(Level.QUIET, "lines-left-out", {"count": left_out})
        self._lines += 1
        if self._lines <= self._most_a_second:
            return True
        self._left_out += 1
        return False
