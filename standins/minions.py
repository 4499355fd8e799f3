"""Stand-in minions with slots and fencing, which count violations by the scheduler."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections import Counter
from typing import Any

import orjson
from attrs import define, field
from tornado.web import Application

from standins.faults import FAIL, LOST_ANSWER, Faults, FaultyHandler

SLOTS = 8
MAX_TOMBSTONES = 10_000
STRAGGLER_FACTOR = 20.0
# The scheduler must stop sending work within this time after a minion leaves.
LEAVING_GRACE_S = 5.0


@define
class Minion:
    """The state and the counters of one minion.

    :param speed: relative to 1; a minion of speed 2 takes half the time.
    :param slots: how many requests it may run concurrently.
    :param epoch: the highest epoch received; calls with a lower one are refused.
    :param leaving: whether its answers carry the header ``X-Leaving``.
    :param running: start times in monotonic seconds by request id.
    :param tombstones: ids of requests to refuse if they arrive, oldest first.
    :param max_running: the most requests it ran concurrently.
    :param overcommitted: how many starts exceeded the slots.
    :param fenced: how many requests were refused by epoch or tombstone.
    :param after_leaving: how many requests started more than
        `LEAVING_GRACE_S` after it left.
    :param left_s: monotonic time at which it left; 0 while in service.
    """

    name: str
    speed: float = 1.0
    slots: int = SLOTS
    epoch: int = 0
    sends_leaving_header: bool = False
    running: dict[str, float] = field(factory=dict)
    tombstones: dict[str, None] = field(factory=dict)
    max_running: int = 0
    overcommitted: int = 0
    started: int = 0
    fenced: int = 0
    after_leaving: int = 0
    left_s: float = 0.0


@define
class MinionGroup:
    """All minions of one process, with their shared faults and counters.

    :param runs_by_nonce: how often each request ran, by the nonce in its body.
    :param straggler_share: share of requests that take `STRAGGLER_FACTOR` as long.
    """

    minions: dict[str, Minion]
    faults: Faults = field(factory=Faults)
    runs_by_nonce: Counter = field(factory=Counter)
    straggler_share: float = 0.0
    rng: random.Random = field(factory=lambda: random.Random(7))

    def counters(self) -> dict[str, Any]:
        """Return all counters as JSON values."""
        return {
            "minions": {
                name: {
                    "most": item.max_running,
                    "overcommitted": item.overcommitted,
                    "started": item.started,
                    "running": len(item.running),
                    "fenced": item.fenced,
                    "after_leaving": item.after_leaving,
                }
                for name, item in self.minions.items()
            },
            "runs_by_nonce": dict(self.runs_by_nonce),
        }


class MinionHandler(FaultyHandler):
    """Base of the handlers of one minion."""

    def initialize(self, standin: MinionGroup, minion: Minion) -> None:
        """Set the group and the minion."""
        super().initialize(standin)
        self.minion = minion

    def refuse(self, text: str, status: int = 409) -> None:
        """Refuse a call that has had no effect, with the verdict *not run*."""
        self.set_header("X-Verdict", "not run")
        self.set_status(status)
        self.finish(text.encode())


class RunHandler(MinionHandler):
    """Runs requests by sleeping for their ``work_s`` divided by the speed."""

    async def post(self) -> None:
        """Run one request, unless its epoch is old or its id has a tombstone."""
        if not await self.apply_faults(self.minion.name):
            return
        minion = self.minion
        request_id = self.request.headers["X-Request-Id"]
        epoch = int(self.request.headers["X-Epoch"])
        if epoch < minion.epoch or request_id in minion.tombstones:
            minion.fenced += 1
            self.refuse("fenced")
            return
        minion.epoch = epoch
        self._count_start(minion)
        minion.running[request_id] = time.monotonic()
        minion.max_running = max(minion.max_running, len(minion.running))
        if len(minion.running) > minion.slots:
            minion.overcommitted += 1
        try:
            await self._run(request_id)
        finally:
            minion.running.pop(request_id, None)

    def _count_start(self, minion: Minion) -> None:
        minion.started += 1
        if minion.left_s and time.monotonic() - minion.left_s > LEAVING_GRACE_S:
            minion.after_leaving += 1

    async def _run(self, request_id: str) -> None:
        body = self.request.body
        arguments = orjson.loads(body) if body.startswith(b"{") else {}
        group: MinionGroup = self.standin
        group.runs_by_nonce[arguments.get("nonce", "")] += 1
        if self.faults.find(FAIL, self.sender, self.minion.name):
            self.set_status(500)
            self.finish(b"failed")
            return
        work_s = arguments.get("work_s", 0.01) / self.minion.speed
        if group.straggler_share and group.rng.random() < group.straggler_share:
            work_s *= STRAGGLER_FACTOR
        await asyncio.sleep(work_s)
        result = orjson.dumps(
            {"nonce": arguments.get("nonce", ""), "by": self.minion.name}
        )
        self.set_header("X-Request-Id", request_id)
        self.set_header("X-Digest", hashlib.sha256(result).hexdigest())
        if self.minion.sends_leaving_header:
            self.set_header("X-Leaving", "1")
        if self.faults.find(LOST_ANSWER, self.sender, self.minion.name):
            self.request.connection.stream.close()
            return
        self.finish(result)


class SettleHandler(MinionHandler):
    """Lets a new owner of the minion find out which requests still run.

    From then on the minion refuses lower epochs, and those of the listed requests that
    it is not running: they may still arrive.
    """

    async def post(self) -> None:
        """Answer with the ids of the running requests."""
        if not await self.apply_faults(self.minion.name):
            return
        call = orjson.loads(self.request.body)
        if call["epoch"] < self.minion.epoch:
            self.refuse("fenced")
            return
        self.minion.epoch = call["epoch"]
        for request_id in call["request_ids"]:
            if request_id not in self.minion.running:
                self.minion.tombstones[request_id] = None
        while len(self.minion.tombstones) > MAX_TOMBSTONES:
            self.minion.tombstones.pop(next(iter(self.minion.tombstones)))
        await self.reply({"running": sorted(self.minion.running)})


class LeaveHandler(MinionHandler):
    """Takes the minion out of service, for tests."""

    def post(self) -> None:
        """Record that the minion leaves now.

        With ``header`` in the body, answers to requests carry ``X-Leaving`` too.
        """
        call = orjson.loads(self.request.body)
        self.minion.sends_leaving_header = call.get("header", False)
        self.minion.left_s = time.monotonic()
        self.finish(b"{}")


def application(standin: MinionGroup, minion: Minion) -> Application:
    """Return the HTTP application of one minion."""
    settings = {"standin": standin, "minion": minion}
    return Application(
        [
            (r"/run", RunHandler, settings),
            (r"/settle", SettleHandler, settings),
            (r"/leave", LeaveHandler, settings),
        ],
        log_function=lambda handler: None,
    )
