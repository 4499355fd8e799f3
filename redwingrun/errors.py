"""Errors that a user can correct, reported without a traceback."""

from __future__ import annotations

from attrs import frozen


@frozen
class Fault:
    """One error in a file that a user wrote.

    :param line: counted from 1; 0 if the fault has no line.
    :param subject: the object or key, such as ``workload grade-check``; may be empty.
    :param remedy: how to correct the fault; may be empty.
    """

    file: str
    line: int
    subject: str
    problem: str
    remedy: str = ""

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        text = (
            f"{location}: {self.subject}: {self.problem}"
            if self.subject
            else (f"{location}: {self.problem}")
        )
        return f"{text}; {self.remedy}" if self.remedy else text


class RedwingrunError(Exception):
    """Base of the errors that are reported to the user without a traceback."""


class InvalidInput(RedwingrunError):
    """Files that are not valid; the message names every fault in them."""

    def __init__(self, faults: list[Fault]):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class NotReachable(RedwingrunError):
    """The entry did not reply, or a version was not active everywhere in time."""


class Refused(RedwingrunError):
    """The entry replied with an error; the message says if the request may have run."""
