"""Stand-in minions: slots, speeds, fencing, and counts of what must not happen."""

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

from standins.faults import FAIL, Faults, FaultyHandler

SLOTS = 8
TOMBSTONES_KEPT = 10_000
STRAGGLER_FACTOR = 20.0


@define
class Minion:
    """One minion.

    :param speed: 2 takes half the time.
    :param most: most requests seen at once.
    """

    name: str
    speed: float = 1.0
    slots: int = SLOTS
    epoch: int = 0
    leaving: bool = False
    running: dict[str, float] = field(factory=dict)
    tombstones: dict[str, None] = field(factory=dict)
    most: int = 0
    overcommitted: int = 0
    started: int = 0
    fenced: int = 0
    after_leaving: int = 0
    left_s: float = 0.0


@define
class MinionGroup:
    """All minions of one process, and what they saw together."""

    minions: dict[str, Minion]
    faults: Faults = field(factory=Faults)
    runs_by_nonce: Counter = field(factory=Counter)
    stragglers: float = 0.0
    source: random.Random = field(factory=lambda: random.Random(7))

    def counters(self) -> dict[str, Any]:
        """Return what was counted."""
        return {
            "minions": {
                name: {
                    "most": item.most,
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
    """What the handlers of one minion share."""

    def initialize(self, owner: MinionGroup, minion: Minion) -> None:
        """Take the group and the minion."""
        super().initialize(owner)
        self.minion = minion

    def refuse(self, text: str, status: int = 409) -> None:
        """Refuse before anything ran."""
        self.set_header("X-Verdict", "not run")
        self.set_status(status)
        self.finish(text.encode())


class RunHandler(MinionHandler):
    """Runs requests: sleeps for the asked time over the speed."""

    async def post(self) -> None:
        """Run one."""
        if not await self.before(self.minion.name):
            return
        minion = self.minion
        request_id = self.request.headers["X-Request-Id"]
        epoch = int(self.request.headers["X-Epoch"])
        if epoch < minion.epoch or request_id in minion.tombstones:
            minion.fenced += 1
            self.refuse("fenced")
            return
        minion.epoch = epoch
        self._count(minion)
        minion.running[request_id] = time.monotonic()
        minion.most = max(minion.most, len(minion.running))
        if len(minion.running) > minion.slots:
            minion.overcommitted += 1
        try:
            await self._run(request_id)
        finally:
            minion.running.pop(request_id, None)

    def _count(self, minion: Minion) -> None:
        minion.started += 1
        if minion.left_s and time.monotonic() - minion.left_s > 5.0:
            minion.after_leaving += 1

    async def _run(self, request_id: str) -> None:
        body = self.request.body
        plain = orjson.loads(body) if body.startswith(b"{") else {}
        group: MinionGroup = self.owner
        group.runs_by_nonce[plain.get("nonce", "")] += 1
        if self.faults.find(FAIL, self.sender, self.minion.name):
            self.set_status(500)
            self.finish(b"failed")
            return
        work_s = plain.get("work_s", 0.01) / self.minion.speed
        if group.stragglers and group.source.random() < group.stragglers:
            work_s *= STRAGGLER_FACTOR
        await asyncio.sleep(work_s)
        result = orjson.dumps({"nonce": plain.get("nonce", ""), "by": self.minion.name})
        self.set_header("X-Request-Id", request_id)
        self.set_header("X-Digest", hashlib.sha256(result).hexdigest())
        if self.minion.leaving:
            self.set_header("X-Leaving", "1")
        if self.faults.find("effect_without_answer", self.sender, self.minion.name):
            self.request.connection.stream.close()
            return
        self.finish(result)


class SettleHandler(MinionHandler):
    """Tells what runs, and refuses what is older or given up."""

    async def post(self) -> None:
        """Answer with the running requests' ids."""
        if not await self.before(self.minion.name):
            return
        plain = orjson.loads(self.request.body)
        if plain["epoch"] < self.minion.epoch:
            self.refuse("fenced")
            return
        self.minion.epoch = plain["epoch"]
        for request_id in plain["request_ids"]:
            if request_id not in self.minion.running:
                self.minion.tombstones[request_id] = None
        while len(self.minion.tombstones) > TOMBSTONES_KEPT:
            self.minion.tombstones.pop(next(iter(self.minion.tombstones)))
        await self.answer({"running": sorted(self.minion.running)})


class LeaveHandler(MinionHandler):
    """Lets the minion say that it is leaving."""

    def post(self) -> None:
        """Start counting work that comes too late."""
        plain = orjson.loads(self.request.body)
        self.minion.leaving = plain.get("header", False)
        self.minion.left_s = time.monotonic()
        self.finish(b"{}")


def application(owner: MinionGroup, minion: Minion) -> Application:
    """Return one minion's surface."""
    settings = {"owner": owner, "minion": minion}
    return Application(
        [
            (r"/run", RunHandler, settings),
            (r"/settle", SettleHandler, settings),
            (r"/leave", LeaveHandler, settings),
        ],
        log_function=lambda handler: None,
    )
