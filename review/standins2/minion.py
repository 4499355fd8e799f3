"""Stand-in for a minion: runs tasks under leases, and keeps to fencing tokens.

How long a task works is told by its job's ``spec``, a JSON object with ``work_s`` and,
if the tasks differ, ``uneven``, the largest deviation as a share. No task saves
checkpoints.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable
from typing import Any

from standins2.httpwire import NoAnswer, Request, Server
from standins2.store import Store

BEAT_S = 1.5
TICK_S = 0.02
STOP_S = 0.2
MAX_LEASE_MS = 10_000
MAX_WAIT_MS = 2000


class Run:
    """One run of a task on a minion."""

    def __init__(self, task: str, number: int, spec: str):
        self.task = task
        self.number = number
        behaviour = json.loads(spec)
        uneven = behaviour.get("uneven", 0.0)
        self.work_s = behaviour["work_s"] * random.uniform(1 - uneven, 1 + uneven)
        self.done_s = 0.0
        self.pace_percent = 100
        self.stop_at_s: float | None = None

    @property
    def percent(self) -> int:
        """Progress in whole percent."""
        return min(100, int(100 * self.done_s / self.work_s))


class Minion:
    """One minion; its capacity is checked by the case, not by itself."""

    def __init__(
        self,
        store: Store,
        worker_id: str,
        pool: str,
        labels: list[str],
        cpu: int,
        record: Callable[..., None],
    ):
        self.store = store
        self.worker_id = worker_id
        self.pool = pool
        self.labels = labels
        self.cpu = cpu
        self.record = record
        self.server = Server(self._handle)
        self.state = "ready"
        # Orders and heartbeats that a former life got and did not answer.
        self.unanswered: list[tuple[str, dict[str, Any]]] = []
        # Set by a case to leave the next call of this path unanswered; of heartbeats
        # it is the next one that acknowledges ends.
        self.skips = ""
        self._tasks: list[asyncio.Task[None]] = []
        self._reset()

    def _reset(self) -> None:
        self.is_dark = False
        self.born_ms = time.time_ns() // 1_000_000
        self.born_s = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0.0
        self.run_by_task: dict[str, Run] = {}
        self.highest_by_task: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_number = 0
        self.seq = 0
        self.ended = asyncio.Event()

    @property
    def clock_ms(self) -> float:
        """Its steady clock."""
        return int((time.monotonic() - self.born_s) * 1000)

    async def open(self) -> None:
        """Start it: register, and serve orders."""
        self._reset()
        await self.server.open()
        self._write_entry()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._beat()), loop.create_task(self._work())]

    def crash(self) -> None:
        """End it and all that it runs at once, without a word to the store."""
        self.record("crash", minion=self.worker_id, running=self._names())
        self.close()
        self.run_by_task.clear()

    def go_dark(self) -> None:
        """End it and all that it runs; its connections stay open and silent."""
        self.record("dark", minion=self.worker_id, running=self._names())
        self.is_dark = True
        for task in self._tasks:
            task.cancel()
        self.run_by_task.clear()

    def close(self) -> None:
        """Stop serving and working."""
        for task in self._tasks:
            task.cancel()
        self.server.close()

    def _names(self) -> list[str]:
        return [f"{run.task}#{run.number}" for run in self.run_by_task.values()]

    def _write_entry(self) -> None:
        self.seq += 1
        entry = {
            "backend": self.pool,
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 131072, "gpu": 0},
            "labels": self.labels,
            "clockMs": self.clock_ms,
            "born": self.born_ms,
            "seq": self.seq,
        }
        self.store.put("servers", self.worker_id, entry)

    async def _beat(self) -> None:
        # Minions that start together do not write together for good.
        await asyncio.sleep(random.uniform(0, BEAT_S))
        self._write_entry()
        while True:
            await asyncio.sleep(BEAT_S)
            self._write_entry()

    async def _work(self) -> None:
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            if self.run_by_task and self.clock_ms > self.deadline_ms:
                for run in list(self.run_by_task.values()):
                    self.end(run, "lapsed")
            for run in list(self.run_by_task.values()):
                self._advance(run, now_s, now_s - last_s)
            last_s = now_s

    def _advance(self, run: Run, now_s: float, elapsed_s: float) -> None:
        if run.stop_at_s is not None:
            if now_s >= run.stop_at_s:
                self.end(run, "stopped")
            return
        run.done_s += elapsed_s * run.pace_percent / 100
        if run.done_s >= run.work_s:
            self.end(run, "done")

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.run_by_task.get(run.task) is not run:
            return
        del self.run_by_task[run.task]
        highest = self.highest_by_task.get(run.task, 0)
        self.highest_by_task[run.task] = max(highest, run.number)
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.number, how, ""])
        self.record(
            "end", minion=self.worker_id, task=run.task, run=run.number, how=how
        )
        self.ended.set()
        self.ended = asyncio.Event()

    def _answer(self, status: int, **fields: Any) -> tuple[int, dict[str, Any]]:
        return status, {"clockMs": self.clock_ms, "born": self.born_ms, **fields}

    async def _handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        if self.is_dark or self._is_skipped(request):
            self.unanswered.append((request.path, request.json()))
            self.skips = ""
            raise NoAnswer
        if request.headers.get("x-expect-instance", self.worker_id) != self.worker_id:
            return self._answer(421)
        data = request.json()
        fence = data.get("fence", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        return await self._carry_out(request.path, data)

    def _is_skipped(self, request: Request) -> bool:
        if not self.skips or request.path != self.skips:
            return False
        return request.path != "/-/hold" or bool(request.json().get("lastSeen"))

    async def carry_out_late(self, path: str, data: dict[str, Any]) -> None:
        """Carry out a call that a former life got and did not answer."""
        data = {name: value for name, value in data.items() if name != "waitMs"}
        self.record("late", minion=self.worker_id, path=path, data=data)
        if data.get("fence", 0) >= self.fence:
            self.fence = data.get("fence", 0)
            await self._carry_out(path, data)

    async def _carry_out(
        self, path: str, data: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/-/run-start":
            return self._start(data)
        if path == "/-/run-stop":
            return self._stop(data)
        if path == "/-/pace":
            return self._pace(data)
        if path == "/-/hold":
            return await self._hold(data)
        return self._answer(400)

    def _extend(self, deadline_ms: float) -> None:
        latest_ms = min(deadline_ms, self.clock_ms + MAX_LEASE_MS)
        self.deadline_ms = max(self.deadline_ms, latest_ms)

    def _start(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = data["taskId"], data["runId"]
        if data["deadlineMs"] < self.clock_ms:
            return self._answer(409, reason="late")
        self._extend(data["deadlineMs"])
        present = self.run_by_task.get(task)
        if present is not None and present.number == number:
            return self._answer(200)
        if present is not None or number <= self.highest_by_task.get(task, 0):
            return self._answer(409, reason="old")
        self.run_by_task[task] = Run(task, number, data["spec"])
        self.record(
            "start",
            minion=self.worker_id,
            task=task,
            run=number,
            fence=data.get("fence", 0),
            born=self.born_ms,
            labels=self.labels,
        )
        return self._answer(200)

    def _stop(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = data["taskId"], data["runId"]
        run = self.run_by_task.get(task)
        if run is not None and run.number <= number and run.stop_at_s is None:
            run.stop_at_s = time.monotonic() + STOP_S
        self.highest_by_task[task] = max(self.highest_by_task.get(task, 0), number)
        return self._answer(200)

    def _pace(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        run = self.run_by_task.get(data["taskId"])
        if run is None or run.number != data["runId"]:
            return self._answer(409, reason="old")
        run.pace_percent = data["pct"]
        self.record("pace", minion=self.worker_id, task=run.task, pct=data["pct"])
        return self._answer(200)

    async def _hold(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        seen = data.get("lastSeen", 0)
        for number, task, run, how, _ in self.ends:
            if number <= seen:
                self.record("noted", minion=self.worker_id, task=task, run=run, how=how)
        self.ends = [end for end in self.ends if end[0] > seen]
        if "deadlineMs" in data:
            self._extend(data["deadlineMs"])
        wait_ms = min(MAX_WAIT_MS, data.get("waitMs", 0))
        if wait_ms and not self.ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ended.wait(), wait_ms / 1000)
        if self.is_dark:
            raise NoAnswer
        running = [
            [run.task, run.number, "", run.percent, 0]
            for run in self.run_by_task.values()
        ]
        return self._answer(200, running=running, finished=self.ends[:500])
