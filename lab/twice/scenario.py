"""The scenario: real processes as members, faulty workers, jobs, and planned faults."""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any
from unittest.mock import patch

from attrs import define
from tornado.httpclient import HTTPError

from lab.cell import free_ports
from lab.daemon import MUTATION_VARIABLE
from lab.twice.checker import violations_of_twice
from lab.twice.plan import make_plan, play_fault
from lab.twice.worker import FaultyWorker
from review.cell.cell import QUEUE_HOST, ROOT, Cell

WORKERS = 9
MEMBERS = 3
JOB_GAP_S = 1.0
MIN_TASKS = 4
MAX_TASKS = 11
# Five tasks fit on a worker.
TASK_CPU = 5500
TASK_MEMORY_MB = 256
TASK_LENGTHS_S = (1.0, 2.0, 5.0, 8.0)
MAX_EXTRA_LENGTH_S = 0.5
ESTIMATE_MS = 4000
# Give up waiting for the last job after this time.
FINISH_TIMEOUT_S = 60.0
ROUTE = {
    "name": "plans",
    "hostname": QUEUE_HOST,
    "pathPrefix": "/plans/",
    "backend": "desk",
    "priority": 2,
    "attempts": 4,
    "stretch": 2,
    "sloMs": 1200,
}


@define
class SoakResult:
    """What a scenario has shown.

    :param violations: the starts that break TWICE.
    :param count_by_kind: how many events of each kind the workers saw.
    :param unfinished_jobs: accepted jobs that were not completed before the time-out.
    :param refused_jobs: jobs that no member accepted.
    """

    violations: list[str]
    count_by_kind: Counter[str]
    unfinished_jobs: list[str]
    refused_jobs: list[str]


class SoakCell(Cell):
    """A cell whose workers are faulty and whose members may have a mutation.

    :param mutation: a name in `lab.twice.mutations.MUTATIONS`, or empty.
    """

    def __init__(self, seed: int, mutation: str = ""):
        super().__init__(0, lambda task_id, spec: 0.0, MEMBERS)
        self._mutation = mutation
        self.minions = [
            FaultyWorker(
                f"worker-{number}",
                self.store,
                self.events,
                lambda task_id, spec: _length_s(seed, task_id),
                rng=random.Random(f"worker {seed} {number}"),
            )
            for number in range(WORKERS)
        ]

    async def open_on_own_ports(self) -> None:
        """Start everything, on ports that no other process of this program picks."""
        with patch("review.cell.cell.free_port", lambda: free_ports(1)[0]):
            await self.open([ROUTE])

    def start_process(self, name: str) -> None:
        """Start a member with its settings, also again after it was killed."""
        environment = {
            **os.environ,
            "REDWINGRUN_BOOT": str(self._settings_by_name[name]),
            "PYTHONPATH": str(ROOT),
            MUTATION_VARIABLE: self._mutation,
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                _member_command(bool(self._mutation)),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.note(f"starts {name}")

    async def _fetch(
        self, method: str, url: str, body: bytes | None
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request; return the status 0 for no answer."""
        try:
            return await super()._fetch(method, url, body)
        except HTTPError:
            # The client raises this for a time-out, which a stopped member causes.
            return 0, {}

    def close(self, keep_logs: Path | None = None) -> None:
        """End all members and workers."""
        for worker in self.minions:
            worker.close()
        super().close(keep_logs)


async def run_scenario(
    seed: int, seconds: float, mutation: str = "", folder: Path | None = None
) -> SoakResult:
    """Play a scenario and judge what the workers saw.

    :param seconds: how long jobs arrive and faults begin.
    :param folder: keep the record and the members' logs there.
    """
    cell = SoakCell(seed, mutation)
    try:
        await cell.open_on_own_ports()
        plan = make_plan(seed, seconds, WORKERS)
        faults = [asyncio.create_task(play_fault(fault, cell)) for fault in plan]
        accepted, refused = await _submit_jobs(cell, seed, seconds)
        await asyncio.gather(*faults)
        unfinished = await _wait_until_completed(cell, accepted)
        kinds = Counter(event.kind for event in cell.events)
        violations = violations_of_twice(cell.events, cell.minions)
        return SoakResult(violations, kinds, unfinished, refused)
    finally:
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            cell.save(folder / "record.txt")
        cell.close(folder)


async def _submit_jobs(
    cell: SoakCell, seed: int, seconds: float
) -> tuple[list[str], list[str]]:
    """Submit jobs for a time; return the ids of the accepted and the refused ones."""
    rng = random.Random(f"jobs {seed}")
    submissions = []
    for number in range(int(seconds / JOB_GAP_S)):
        tasks = rng.randint(MIN_TASKS, MAX_TASKS)
        submission = _submit_job(cell, f"{number + 1:016x}", tasks)
        submissions.append(asyncio.create_task(submission))
        await asyncio.sleep(JOB_GAP_S)
    results = await asyncio.gather(*submissions)
    accepted = [job_id for job_id, is_accepted in results if is_accepted]
    refused = [job_id for job_id, is_accepted in results if not is_accepted]
    return accepted, refused


async def _submit_job(cell: SoakCell, job_id: str, tasks: int) -> tuple[str, bool]:
    step = {"taskCount": tasks, "cpu": TASK_CPU, "memMb": TASK_MEMORY_MB}
    step["estRuntimeMs"] = ESTIMATE_MS
    job = {"spec": "s", "steps": [step]}
    status, _ = await cell.call("POST", f"/plans/{job_id}", job, tries=10)
    if status != 200:
        cell.note(f"job {job_id}: {tasks} tasks -> {status}")
    return job_id, status == 200


async def _wait_until_completed(cell: SoakCell, job_ids: list[str]) -> list[str]:
    """Return the jobs that are not completed when the wait ends."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + FINISH_TIMEOUT_S
    left = list(job_ids)
    while left and loop.time() < deadline_s:
        _, body = await cell.call("GET", f"/plans/{left[0]}")
        if body.get("state") == "completed":
            left.pop(0)
        else:
            await asyncio.sleep(0.5)
    return left


def _length_s(seed: int, task_id: str) -> float:
    rng = random.Random(f"length {seed} {task_id}")
    return rng.choice(TASK_LENGTHS_S) + rng.uniform(0.0, MAX_EXTRA_LENGTH_S)


def _member_command(is_mutated: bool) -> list[str]:
    """Return the command of the deploy file's role, or that of a mutated member."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    _, *arguments = deploy["roles"]["member"]["run"].split()
    mutated = ["-m", "lab.twice.member"]
    return [sys.executable, *(mutated if is_mutated else arguments)]
