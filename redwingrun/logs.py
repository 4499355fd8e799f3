"""Logs: JSON lines by eliot, with the request's id where there is one."""

from __future__ import annotations

import sys
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
    """

    def __init__(self, daemon: str, level_name: str):
        self._level = _LEVEL_BY_NAME[level_name]
        self._fields = {"daemon": daemon}

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
        if level <= self._level:
            eliot.log_message(message_type=message, **self._fields, **fields)
