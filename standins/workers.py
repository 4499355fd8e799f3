"""Stand-in workers with capacity, leases and fencing; they count violations."""

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

# How often members that are done or expired are ended.
EXPIRY_INTERVAL_S = 0.05
# Reports show no usage until a member has done 1 s of work, as real monitoring lags.
USAGE_LAG_S = 1.0
DIMENSIONS = ("cores", "memory_gb", "accelerators")
EPSILON = 1e-6
CONFLICT = 409
GONE = 410
# The scheduler must stop sending work within this time after a worker leaves.
LEAVING_GRACE_S = 5.0

# Task id, attempt and index of a member.
Key = tuple[str, int, int]


@define
class Member:
    """One member of one attempt of a task, on one worker.

    Times are on the worker's clock.

    :param size: the resources that it declared, by dimension.
    :param not_after_s: when its lease expires.
    :param ends_s: when its work is done.
    :param body: the task's body; tests control the work by its keys.
    :param usage: the resources that it uses while it is not throttled.
    :param ended: ``ok``, ``failed``, ``stopped`` or ``lapsed``; empty while it runs.
    :param result: base64 text, once it has ended as ``ok``.
    :param checkpoint: seconds of work done, as text, if it was stopped with a
        checkpoint.
    :param started_s: when it started, less the work done up to its checkpoint.
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
    """The state and the counters of one worker.

    :param now: monotonic time in seconds.
    :param incarnation: identifies one start of the worker's process.
    :param boot_s: value of `now` at which the incarnation began.
    :param epoch: the highest epoch received; calls with a lower one are refused.
    :param refused: members that are not to be started any more.
    :param overcommitted: how often a start exceeded the capacity in a dimension.
    :param after_leaving: how many members started more than `LEAVING_GRACE_S`
        after it left.
    :param left_s: value of `now` at which it left; 0 while in service.
    """

    name: str
    capacity: dict[str, float]
    now: Callable[[], float] = time.monotonic
    incarnation: str = field(factory=lambda: secrets.token_hex(4))
    boot_s: float = 0.0
    epoch: int = 0
    members: dict[Key, Member] = field(factory=dict)
    refused: set[Key] = field(factory=set)
    overcommitted: int = 0
    started: int = 0
    after_leaving: int = 0
    left_s: float = 0.0

    def clock_s(self) -> float:
        """Return the seconds on the worker's clock, which a restart sets to 0."""
        return self.now() - self.boot_s

    def running(self) -> list[Member]:
        """Return the members that have not ended."""
        return [member for member in self.members.values() if not member.ended]

    def end(self, key: Key, how: str) -> None:
        """End a member, unless it has ended or is unknown."""
        member = self.members.get(key)
        if member is not None and not member.ended:
            member.ended = how

    def checkpoint(self, key: Key) -> None:
        """Record how much work a member has done, and stop it."""
        member = self.members.get(key)
        if member is not None and not member.ended:
            member.checkpoint = str(self.clock_s() - member.started_s)
            member.ended = "stopped"

    def reported_usage(self, member: Member) -> dict[str, float]:
        """Return a member's usage by dimension; empty until it has done 1 s of work."""
        if self.clock_s() - member.started_s < USAGE_LAG_S:
            return {}
        is_limited = member.throttled and not member.body.get("stubborn")
        return dict(member.size) if is_limited else member.usage

    def restart(self) -> None:
        """Begin a new incarnation without any members."""
        self.incarnation = secrets.token_hex(4)
        self.boot_s = self.now()
        self.members = {}
        self.refused = set()
        self.epoch = 0


@define
class WorkerGroup:
    """All workers of one process, with their shared faults and counters.

    :param doubled: how often a member started while another attempt of it ran.
    """

    workers: dict[str, Worker]
    faults: Faults = field(factory=Faults)
    duplicate_starts: int = 0
    starts_by_task: Counter = field(factory=Counter)
    done_by_task: Counter = field(factory=Counter)
    first_start_s: dict[str, float] = field(factory=dict)

    def counters(self) -> dict[str, Any]:
        """Return all counters as JSON values."""
        return {
            "doubled": self.duplicate_starts,
            "starts_by_task": dict(self.starts_by_task),
            "done_by_task": dict(self.done_by_task),
            "overcommitted": sum(item.overcommitted for item in self.workers.values()),
            "after_leaving": sum(item.after_leaving for item in self.workers.values()),
            "workers": {
                name: {
                    "started": item.started,
                    "running": sorted(member.key[0] for member in item.running()),
                }
                for name, item in self.workers.items()
            },
        }

    def count_start(self, worker: Worker, member: Member) -> None:
        """Count a start, and any violation that it makes."""
        task, _, index = member.key
        for other in self.workers.values():
            same = [
                item
                for item in other.running()
                if (item.key[0], item.key[2]) == (task, index)
            ]
            self.duplicate_starts += sum(1 for item in same if item is not member)
        self.starts_by_task[task] += 1
        worker.started += 1
        if worker.left_s and worker.now() - worker.left_s > LEAVING_GRACE_S:
            worker.after_leaving += 1
        for name in DIMENSIONS:
            total = sum(item.size.get(name, 0) for item in worker.running())
            if total > worker.capacity.get(name, 0) + EPSILON:
                worker.overcommitted += 1

    async def run(self) -> None:
        """End members that are done or expired, until cancelled."""
        while True:
            for worker in self.workers.values():
                if not self.faults.find(FREEZE, name=worker.name):
                    self.end_due_members(worker)
            await asyncio.sleep(EXPIRY_INTERVAL_S)

    def end_due_members(self, worker: Worker) -> None:
        """End the members of a worker that are done or whose lease has expired."""
        now_s = worker.clock_s()
        for member in worker.running():
            if now_s >= member.not_after_s:
                member.ended = "lapsed"
            elif now_s >= member.ends_s:
                self._complete(worker, member)

    def _complete(self, worker: Worker, member: Member) -> None:
        fails = self.faults.find(FAIL, name=worker.name) or member.body.get("fails")
        member.ended = "failed" if fails else "ok"
        if member.ended == "ok":
            self.done_by_task[member.key[0]] += 1
            result = {"nonce": member.body.get("nonce", ""), "by": worker.name}
            member.result = base64.b64encode(orjson.dumps(result)).decode()

    # Calls from the scheduler

    def check_grant(self, worker: Worker, call: dict[str, Any]) -> int:
        """Check a call's grant and record its epoch.

        :return: 0, or the HTTP status of a refusal.
        """
        # Leases that expired during a freeze end before the call can renew them.
        self.end_due_members(worker)
        grant = call["grant"]
        if grant["incarnation"] and grant["incarnation"] != worker.incarnation:
            return GONE
        if grant["epoch"] < worker.epoch:
            return CONFLICT
        worker.epoch = grant["epoch"]
        return 0

    def start(self, worker: Worker, call: dict[str, Any]) -> int:
        """Start a member, unless it is known; return 0, or the status of a refusal."""
        status = self.check_grant(worker, call)
        key = _key(call["member"])
        not_after_s = call["grant"]["not_after_s"]
        if status or key in worker.members:
            return status
        if key in worker.refused or worker.clock_s() >= not_after_s:
            return CONFLICT
        body = orjson.loads(base64.b64decode(call["body"]) or b"{}")
        now_s = worker.clock_s()
        run_s = float("inf") if call["service"] else body.get("work_s", call["run_s"])
        if self.faults.find(FAIL, name=worker.name):
            run_s = 0.0
        done_s = float(call["checkpoint"] or 0)
        size = call["size"]
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
        self.count_start(worker, worker.members[key])
        return 0

    def sync(self, worker: Worker, call: dict[str, Any]) -> int:
        """Renew, stop, checkpoint, throttle and forget members.

        From then on the worker refuses to start members that it was asked to renew
        but does not know, and members that it has forgotten: their starts may still
        be in flight.

        :return: 0, or the HTTP status of a refusal.
        """
        status = self.check_grant(worker, call)
        if status:
            return status
        # A call without an incarnation renews nothing; it is sent for the report.
        renews = bool(call["grant"]["incarnation"])
        for key in map(_key, call["keep"]):
            member = worker.members.get(key)
            if member is None:
                worker.refused.add(key)
            elif renews and not member.ended:
                member.not_after_s = max(
                    member.not_after_s, call["grant"]["not_after_s"]
                )
        for key in map(_key, call["stop"]):
            worker.end(key, "stopped")
        for key in map(_key, call["checkpoint"]):
            worker.checkpoint(key)
        for key in map(_key, call["throttle"]):
            if key in worker.members:
                worker.members[key].throttled = True
        for key in map(_key, call["forget"]):
            member = worker.members.get(key)
            if member is not None and member.ended:
                del worker.members[key]
                worker.refused.add(key)
        return 0


def report(worker: Worker) -> dict[str, Any]:
    """Return a worker's answer to a call: its clock and all its members."""
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
    """Base of the handlers of one worker."""

    def initialize(self, standin: WorkerGroup, worker: Worker) -> None:
        """Set the group and the worker."""
        super().initialize(standin)
        self.worker = worker

    async def handle(self, apply: Callable[[Worker, dict[str, Any]], int]) -> None:
        """Apply a call and answer with a report, or with the status of a refusal."""
        worker = self.worker
        if not await self.apply_faults(worker.name):
            return
        status = apply(worker, orjson.loads(self.request.body))
        if status:
            self.set_header("X-Verdict", "not run")
            self.set_status(status)
            self.finish(b"refused")
            return
        await self.reply(report(worker), 200, worker.name)


class StartHandler(WorkerHandler):
    """Starts members."""

    async def post(self) -> None:
        """Start one member."""
        if self.faults.find(REFUSE, self.sender, self.worker.name):
            self.set_header("X-Verdict", "not run")
            self.set_status(503)
            self.finish(b"refuses everything")
            return
        await self.handle(self.standin.start)


class SyncHandler(WorkerHandler):
    """Applies sync calls and reports all members."""

    async def post(self) -> None:
        """Apply one call."""
        await self.handle(self.standin.sync)


class RestartHandler(WorkerHandler):
    """Restarts the worker or takes it out of service, for tests."""

    def post(self) -> None:
        """Restart; with ``leave`` in the body, record instead that it leaves now."""
        if orjson.loads(self.request.body or b"{}").get("leave"):
            self.worker.left_s = self.worker.now()
        else:
            self.worker.restart()
        self.finish(b"{}")


def _key(member: dict[str, Any]) -> Key:
    return member["task_id"], member["attempt"], member["index"]


def application(standin: WorkerGroup, worker: Worker) -> Application:
    """Return the HTTP application of one worker."""
    settings = {"standin": standin, "worker": worker}
    return Application(
        [
            (r"/start", StartHandler, settings),
            (r"/sync", SyncHandler, settings),
            (r"/restart", RestartHandler, settings),
        ],
        log_function=lambda handler: None,
    )
