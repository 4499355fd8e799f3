"""The errors a user can act on."""

from __future__ import annotations

from attrs import frozen


@frozen
class Fault:
    """One thing wrong with a file.

    :param line: first line is 1; 0 when the fault has no line.
    :param subject: the object or key, such as ``workload grade-check``.
    :param remedy: what to do about it.
    """

    file: str
    line: int
    subject: str
    problem: str
    remedy: str = ""

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        text = (
            f"{place}: {self.subject}: {self.problem}"
            if self.subject
            else (f"{place}: {self.problem}")
        )
        return f"{text}; {self.remedy}" if self.remedy else text


class RedwingrunError(Exception):
    """Base of all errors that are told to the user without a traceback."""


class InvalidInput(RedwingrunError):
    """Files that can't be taken; names every fault."""

    def __init__(self, faults: list[Fault]):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class NotReachable(RedwingrunError):
    """A service that a command needs gives no answer."""


class Refused(RedwingrunError):
    """A service answered, and said no."""
