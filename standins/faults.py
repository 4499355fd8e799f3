"""Faults that a stand-in takes at run time, and the handler that acts them out."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import orjson
from attrs import define, field, frozen
from tornado.web import Application, RequestHandler

DOWN = "down"
SLOW = "slow"
NO_ANSWER = "effect_without_answer"
CUT = "cut"
FREEZE = "freeze"
STALE = "stale"
FAIL = "fail"
REFUSE = "refuse"
FREEZE_STEP_S = 0.02
CUT_HOLD_S = 3600.0


@frozen
class Fault:
    """One fault.

    :param seconds: of delay, for ``slow``.
    :param sender: start of the sender's name that meets it; empty for all.
    :param name: the minion or worker that has it; empty for all.
    :param share: of the calls that meet it.
    """

    mode: str
    seconds: float = 0.0
    sender: str = ""
    name: str = ""
    share: float = 1.0


@define
class Faults:
    """The faults of one stand-in process."""

    source: random.Random = field(factory=lambda: random.Random(1))
    active: list[Fault] = field(factory=list)

    def find(self, mode: str, sender: str = "", name: str = "") -> Fault | None:
        """Return the fault that a call meets, if any."""
        for fault in self.active:
            fits = fault.mode == mode and fault.name in ("", name)
            if (
                fits
                and sender.startswith(fault.sender)
                and self.source.random() < fault.share
            ):
                return fault
        return None


class FaultyHandler(RequestHandler):
    """A handler that acts out faults before and after the work.

    Subclasses call :meth:`before` first and :meth:`answer` last.
    """

    def initialize(self, owner: Any) -> None:
        """Take the stand-in that the handler serves."""
        self.owner = owner
        self.faults: Faults = owner.faults

    @property
    def sender(self) -> str:
        """Who calls."""
        return self.request.headers.get("X-From", "")

    async def before(self, name: str = "") -> bool:
        """Act out what comes before the work; false when there is to be none."""
        if self.faults.find(CUT, self.sender, name):
            # Nothing comes back, as on a cut link; the caller gives up.
            await asyncio.sleep(CUT_HOLD_S)
            return False
        while self.faults.find(FREEZE, self.sender, name):
            await asyncio.sleep(FREEZE_STEP_S)
        slow = self.faults.find(SLOW, self.sender, name)
        if slow:
            await asyncio.sleep(slow.seconds)
        if self.faults.find(DOWN, self.sender, name):
            self.set_status(503)
            self.finish(b"down")
            return False
        return True

    async def answer(self, plain: Any, status: int = 200, name: str = "") -> None:
        """Answer with JSON, unless the answer is to be lost."""
        if self.faults.find(NO_ANSWER, self.sender, name):
            self.request.connection.stream.close()
            return
        self.set_status(status)
        self.finish(orjson.dumps(plain))

    def log_exception(self, *exc_info: Any) -> None:
        """Stay quiet about callers that left."""


class FaultHandler(RequestHandler):
    """Sets the faults of the process."""

    def initialize(self, owner: Any) -> None:
        """Take the stand-in that the handler serves."""
        self.owner = owner

    def post(self) -> None:
        """Replace all faults by those in the body."""
        self.owner.faults.active = [
            Fault(**item) for item in orjson.loads(self.request.body)
        ]
        self.finish(b"{}")


class CountersHandler(RequestHandler):
    """Tells what the stand-in counted."""

    def initialize(self, owner: Any) -> None:
        """Take the stand-in that the handler serves."""
        self.owner = owner

    def get(self) -> None:
        """Answer with the counters."""
        self.finish(orjson.dumps(self.owner.counters()))


def control(owner: Any) -> Application:
    """Return the surface that sets faults and tells the counters."""
    return Application(
        [
            (r"/fault", FaultHandler, {"owner": owner}),
            (r"/counters", CountersHandler, {"owner": owner}),
        ],
        log_function=lambda handler: None,
    )
