"""Stand-in workers: room, leases, fencing, and counts of what must not happen."""

from __future__ import annotations

import asyncio
import base64
import secrets
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import orjson
from attrs import define, field
from tornado.web import Application

from standins.faults import FAIL, FREEZE, REFUSE, Faults, FaultyHandler

LAPSE_STEP_S = 0.05
USAGE_LAG_S = 1.0
DIMENSIONS = ("cores", "memory_gb", "accelerators")
TINY = 1e-6
CONFLICT = 409
GONE = 410

Key = tuple[str, int, int]


@define
class Member:
    """One member of one attempt of a task, on one worker.

    :param not_after_s: on the worker's clock, when it must have stopped.
    """

    key: Key
    size: dict[str, float]
    not_after_s: float
    ends_s: float
    body: dict[str, Any]
    usage: dict[str, float]
    ended: str = ""
    result: str = ""
    checkpoint: str = ""
    throttled: bool = False
    started_s: float = 0.0


@define
class Worker:
    """One worker of the stand-in."""

    name: str
    capacity: dict[str, float]
    now: Callable[[], float] = time.monotonic
    incarnation: str = field(factory=lambda: secrets.token_hex(4))
    born_s: float = 0.0
    epoch: int = 0
    members: dict[Key, Member] = field(factory=dict)
    refused: set[Key] = field(factory=set)
    overcommitted: int = 0
    started: int = 0
    after_leaving: int = 0
    left_s: float = 0.0

    def clock_s(self) -> float:
        """Return this worker's clock; it starts anew with each run."""
        return self.now() - self.born_s

    def live(self) -> list[Member]:
        """Return the members that run."""
        return [member for member in self.members.values() if not member.ended]

    def end(self, key: Key, how: str) -> None:
        """End a member that runs."""
        member = self.members.get(key)
        if member is not None and not member.ended:
            member.ended = how

    def take_checkpoint(self, key: Key) -> None:
        """Keep how far a member came, and stop it."""
        member = self.members.get(key)
        if member is not None and not member.ended:
            member.checkpoint = str(self.clock_s() - member.started_s)
            member.ended = "stopped"

    def reported_usage(self, member: Member) -> dict[str, float]:
        """Return what a member uses, as late as usage is reported."""
        if self.clock_s() - member.started_s < USAGE_LAG_S:
            return {}
        held = member.throttled and not member.body.get("stubborn")
        return dict(member.size) if held else member.usage

    def restart(self) -> None:
        """Lose everything, as a host does that is replaced."""
        self.incarnation = secrets.token_hex(4)
        self.born_s = self.now()
        self.members = {}
        self.refused = set()
        self.epoch = 0


@define
class WorkerGroup:
    """All workers of one process, and what they saw together."""

    workers: dict[str, Worker]
    faults: Faults = field(factory=Faults)
    doubled: int = 0
    starts_by_task: Counter = field(factory=Counter)
    done_by_task: Counter = field(factory=Counter)
    first_start_s: dict[str, float] = field(factory=dict)

    def counters(self) -> dict[str, Any]:
        """Return what was counted."""
        return {
            "doubled": self.doubled,
            "starts_by_task": dict(self.starts_by_task),
            "done_by_task": dict(self.done_by_task),
            "overcommitted": sum(item.overcommitted for item in self.workers.values()),
            "after_leaving": sum(item.after_leaving for item in self.workers.values()),
            "workers": {
                name: {
                    "started": item.started,
                    "running": sorted(member.key[0] for member in item.live()),
                }
                for name, item in self.workers.items()
            },
        }

    def note_start(self, worker: Worker, member: Member) -> None:
        """Count a start, and whether the same member runs elsewhere now."""
        task, _, index = member.key
        for other in self.workers.values():
            same = [
                item
                for item in other.live()
                if (item.key[0], item.key[2]) == (task, index)
            ]
            self.doubled += sum(1 for item in same if item is not member)
        self.starts_by_task[task] += 1
        worker.started += 1
        if worker.left_s and worker.now() - worker.left_s > 5.0:
            worker.after_leaving += 1
        for name in DIMENSIONS:
            total = sum(item.size.get(name, 0) for item in worker.live())
            if total > worker.capacity.get(name, 0) + TINY:
                worker.overcommitted += 1

    async def run(self) -> None:
        """End members whose time or lease is over, for ever."""
        while True:
            for worker in self.workers.values():
                if not self.faults.find(FREEZE, name=worker.name):
                    self.step(worker)
            await asyncio.sleep(LAPSE_STEP_S)

    def step(self, worker: Worker) -> None:
        """End what is over on one worker."""
        now_s = worker.clock_s()
        for member in worker.live():
            if now_s >= member.not_after_s:
                member.ended = "lapsed"
            elif now_s >= member.ends_s:
                self._complete(worker, member)

    def _complete(self, worker: Worker, member: Member) -> None:
        failing = self.faults.find(FAIL, name=worker.name) or member.body.get("fails")
        member.ended = "failed" if failing else "ok"
        if member.ended == "ok":
            self.done_by_task[member.key[0]] += 1
            result = {"nonce": member.body.get("nonce", ""), "by": worker.name}
            member.result = base64.b64encode(orjson.dumps(result)).decode()

    # Calls

    def refusal(self, worker: Worker, plain: dict[str, Any]) -> int:
        """Return the status that refuses a call, 0 when it is admitted."""
        # Whatever lapsed during a freeze is over before anything else happens.
        self.step(worker)
        grant = plain["grant"]
        if grant["incarnation"] and grant["incarnation"] != worker.incarnation:
            return GONE
        if grant["epoch"] < worker.epoch:
            return CONFLICT
        worker.epoch = grant["epoch"]
        return 0

    def start(self, worker: Worker, plain: dict[str, Any]) -> int:
        """Start a member; return the status that refuses it, 0 when it runs."""
        status = self.refusal(worker, plain)
        key = _key(plain["member"])
        not_after_s = plain["grant"]["not_after_s"]
        if status or key in worker.members:
            return status
        if key in worker.refused or worker.clock_s() >= not_after_s:
            return CONFLICT
        body = orjson.loads(base64.b64decode(plain["body"]) or b"{}")
        now_s = worker.clock_s()
        run_s = float("inf") if plain["service"] else body.get("work_s", plain["run_s"])
        if self.faults.find(FAIL, name=worker.name):
            run_s = 0.0
        done_s = float(plain["checkpoint"] or 0)
        size = plain["size"]
        worker.members[key] = Member(
            key=key,
            size=size,
            not_after_s=not_after_s,
            ends_s=now_s + run_s - done_s,
            body=body,
            usage={
                name: value * body.get("usage", 1.0) for name, value in size.items()
            },
            started_s=now_s - done_s,
        )
        self.note_start(worker, worker.members[key])
        return 0

    def sync(self, worker: Worker, plain: dict[str, Any]) -> int:
        """Renew, stop and forget members; return the status that refuses it."""
        status = self.refusal(worker, plain)
        if status:
            return status
        renews = bool(plain["grant"]["incarnation"])
        for key in map(_key, plain["keep"]):
            member = worker.members.get(key)
            if member is None:
                worker.refused.add(key)
            elif renews and not member.ended:
                member.not_after_s = max(
                    member.not_after_s, plain["grant"]["not_after_s"]
                )
        for key in map(_key, plain["stop"]):
            worker.end(key, "stopped")
        for key in map(_key, plain["checkpoint"]):
            worker.take_checkpoint(key)
        for key in map(_key, plain["throttle"]):
            if key in worker.members:
                worker.members[key].throttled = True
        for key in map(_key, plain["forget"]):
            member = worker.members.get(key)
            if member is not None and member.ended:
                del worker.members[key]
                worker.refused.add(key)
        return 0


def report(worker: Worker) -> dict[str, Any]:
    """Return what a worker answers: its clock and all its members."""
    members = [
        {
            "member": {
                "task_id": item.key[0],
                "attempt": item.key[1],
                "index": item.key[2],
            },
            "ended": item.ended,
            "result": item.result,
            "checkpoint": item.checkpoint,
            "usage": worker.reported_usage(item),
        }
        for item in worker.members.values()
    ]
    return {
        "incarnation": worker.incarnation,
        "clock_s": worker.clock_s(),
        "members": members,
        "leaving": False,
    }


class WorkerHandler(FaultyHandler):
    """Takes one kind of call."""

    def initialize(self, owner: WorkerGroup, worker: Worker) -> None:
        """Take the group and the worker."""
        super().initialize(owner)
        self.worker = worker

    async def take(self, act: Callable[[Worker, dict[str, Any]], int]) -> None:
        """Act on a call and answer with a report, or refuse it."""
        worker = self.worker
        if not await self.before(worker.name):
            return
        status = act(worker, orjson.loads(self.request.body))
        if status:
            self.set_header("X-Verdict", "not run")
            self.set_status(status)
            self.finish(b"refused")
            return
        await self.answer(report(worker), 200, worker.name)


class StartHandler(WorkerHandler):
    """Starts members."""

    async def post(self) -> None:
        """Start one, unless it is refused, too late or known."""
        if self.faults.find(REFUSE, self.sender, self.worker.name):
            self.set_header("X-Verdict", "not run")
            self.set_status(503)
            self.finish(b"refuses everything")
            return
        await self.take(self.owner.start)


class SyncHandler(WorkerHandler):
    """Renews, stops and reports members."""

    async def post(self) -> None:
        """Take one call."""
        await self.take(self.owner.sync)


class RestartHandler(WorkerHandler):
    """Restarts or drains the worker, for tests."""

    def post(self) -> None:
        """Lose everything, or start counting work that comes too late."""
        if orjson.loads(self.request.body or b"{}").get("leave"):
            self.worker.left_s = self.worker.now()
        else:
            self.worker.restart()
        self.finish(b"{}")


def _key(plain: dict[str, Any]) -> Key:
    return plain["task_id"], plain["attempt"], plain["index"]


def application(owner: WorkerGroup, worker: Worker) -> Application:
    """Return one worker's surface."""
    settings = {"owner": owner, "worker": worker}
    return Application(
        [
            (r"/start", StartHandler, settings),
            (r"/sync", SyncHandler, settings),
            (r"/restart", RestartHandler, settings),
        ],
        log_function=lambda handler: None,
    )
