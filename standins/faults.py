"""Faults that tests inject into a stand-in at run time, and handlers that apply them.

``POST /fault`` replaces all faults of a stand-in process; ``GET /counters`` returns
what the process counted.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import orjson
from attrs import define, field, frozen
from tornado.web import Application, RequestHandler

# Modes of a fault; the comment above each one says what it does.

# The call gets status 503 and has no effect.
DOWN = "down"
# The call is delayed by `Fault.seconds`.
SLOW = "slow"
# The call takes effect, then the connection is closed without an answer.
LOST_ANSWER = "effect_without_answer"
# The call has no effect and gets no answer, as on a partitioned network.
CUT = "cut"
# Calls wait until the fault is removed, and workers end no members meanwhile.
FREEZE = "freeze"
# The list of hosts no longer changes.
STALE = "stale"
# Requests to minions fail with status 500. Members started on workers end immediately,
# and members that complete end as failed.
FAIL = "fail"
# A worker refuses every start with status 503 and the verdict *not run*.
REFUSE = "refuse"

FREEZE_POLL_S = 0.02
# Longer than the timeout of any caller.
CUT_HOLD_S = 3600.0


@frozen
class Fault:
    """One fault, with the fields that ``POST /fault`` takes.

    :param seconds: the delay of the mode ``slow``.
    :param sender: prefix of the header ``X-From`` of affected calls; empty for all.
    :param name: the affected minion, worker or platform service; empty for all.
    :param share: the share of matching calls that are affected, 0 to 1.
    """

    mode: str
    seconds: float = 0.0
    sender: str = ""
    name: str = ""
    share: float = 1.0


@define
class Faults:
    """The active faults of one stand-in process."""

    rng: random.Random = field(factory=lambda: random.Random(1))
    active: list[Fault] = field(factory=list)

    def find(self, mode: str, sender: str = "", name: str = "") -> Fault | None:
        """Return the first active fault of a mode that affects a call, or None."""
        for fault in self.active:
            matches = fault.mode == mode and fault.name in ("", name)
            if (
                matches
                and sender.startswith(fault.sender)
                and self.rng.random() < fault.share
            ):
                return fault
        return None


class FaultyHandler(RequestHandler):
    """A handler that applies the active faults to each call.

    Subclasses call :meth:`apply_faults` before the work and :meth:`reply` after it.
    """

    def initialize(self, standin: Any) -> None:
        """Set the state that the handler works on.

        :param owner: the state of the stand-in process, including its faults.
        """
        self.standin = standin
        self.faults: Faults = standin.faults

    @property
    def sender(self) -> str:
        """The name of the calling process."""
        return self.request.headers.get("X-From", "")

    async def apply_faults(self, name: str = "") -> bool:
        """Apply the faults that precede the work; return whether to do the work."""
        if self.faults.find(CUT, self.sender, name):
            await asyncio.sleep(CUT_HOLD_S)
            return False
        while self.faults.find(FREEZE, self.sender, name):
            await asyncio.sleep(FREEZE_POLL_S)
        slow = self.faults.find(SLOW, self.sender, name)
        if slow:
            await asyncio.sleep(slow.seconds)
        if self.faults.find(DOWN, self.sender, name):
            self.set_status(503)
            self.finish(b"down")
            return False
        return True

    async def reply(self, content: Any, status: int = 200, name: str = "") -> None:
        """Answer with JSON, or close the connection if a fault drops the answer."""
        if self.faults.find(LOST_ANSWER, self.sender, name):
            self.request.connection.stream.close()
            return
        self.set_status(status)
        self.finish(orjson.dumps(content))

    def log_exception(self, *exc_info: Any) -> None:
        """Log nothing: callers disconnect on purpose in many tests."""


class FaultHandler(RequestHandler):
    """Sets the faults of the process."""

    def initialize(self, standin: Any) -> None:
        """Set the state of the stand-in process."""
        self.standin = standin

    def post(self) -> None:
        """Replace all faults by the list in the body."""
        self.standin.faults.active = [
            Fault(**item) for item in orjson.loads(self.request.body)
        ]
        self.finish(b"{}")


class CountersHandler(RequestHandler):
    """Returns the counters of the process."""

    def initialize(self, standin: Any) -> None:
        """Set the state of the stand-in process."""
        self.standin = standin

    def get(self) -> None:
        """Answer with all counters."""
        self.finish(orjson.dumps(self.standin.counters()))


def control_application(standin: Any) -> Application:
    """Return the HTTP application that sets faults and returns counters."""
    return Application(
        [
            (r"/fault", FaultHandler, {"standin": standin}),
            (r"/counters", CountersHandler, {"standin": standin}),
        ],
        log_function=lambda handler: None,
    )
