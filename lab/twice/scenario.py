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
JOB_GAP_S = 0.6
MIN_TASKS = 4
MAX_TASKS = 11
# Ten tasks fit on a worker, and about half of the room is used.
TASK_CPU = 3200
TASK_MEMORY_MB = 256
# The longest ones outlast a lease of 6 s that is counted from the last start, but not
# the longest lease of 10 s.
TASK_LENGTHS_S = (1.0, 2.0, 5.0, 7.5, 9.2)
MAX_EXTRA_LENGTH_S = 0.5
ESTIMATE_MS = 4000
# Give up waiting for the last job after this time.
FINISH_TIMEOUT_S = 60.0
COMPLETED = "completed"
FAILED = "failed"
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
    :param state_by_job: the accepted jobs that were not completed before the time-out,
        with their last states.
    :param refused_jobs: jobs that no member accepted.
    """

    violations: list[str]
    count_by_kind: Counter[str]
    state_by_job: dict[str, str]
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
    seed: int,
    seconds: float,
    mutation: str = "",
    folder: Path | None = None,
    has_owner_faults: bool = True,
) -> SoakResult:
    """Play a scenario and judge what the workers saw.

    :param seconds: how long jobs arrive and faults begin.
    :param folder: keep the record and the members' logs there.
    """
    cell = SoakCell(seed, mutation)
    try:
        await cell.open_on_own_ports()
        plan = make_plan(seed, seconds, WORKERS, has_owner_faults)
        faults = [asyncio.create_task(play_fault(fault, cell)) for fault in plan]
        accepted, refused = await _submit_jobs(cell, seed, seconds)
        await asyncio.gather(*faults)
        states = await _wait_until_ended(cell, accepted)
        kinds = Counter(event.kind for event in cell.events)
        violations = violations_of_twice(cell.events, cell.minions)
        return SoakResult(violations, kinds, states, refused)
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


async def _wait_until_ended(cell: SoakCell, job_ids: list[str]) -> dict[str, str]:
    """Return the jobs that are not completed when the wait ends, with their states."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + FINISH_TIMEOUT_S
    state_by_job = dict.fromkeys(job_ids, "")
    while loop.time() < deadline_s:
        for job_id in state_by_job:
            state_by_job[job_id] = await _job_state(cell, job_id)
        state_by_job = {
            job_id: state
            for job_id, state in state_by_job.items()
            if state != COMPLETED
        }
        if all(state == FAILED for state in state_by_job.values()):
            break
        await asyncio.sleep(0.5)
    return state_by_job


async def _job_state(cell: SoakCell, job_id: str) -> str:
    status, body = await cell.call("GET", f"/plans/{job_id}")
    return body.get("state") or f"answer {status}"


def _length_s(seed: int, task_id: str) -> float:
    rng = random.Random(f"length {seed} {task_id}")
    return rng.choice(TASK_LENGTHS_S) + rng.uniform(0.0, MAX_EXTRA_LENGTH_S)


def _member_command(is_mutated: bool) -> list[str]:
    """Return the command of the deploy file's role, or that of a mutated member."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    _, *arguments = deploy["roles"]["member"]["run"].split()
    mutated = ["-m", "lab.twice.member"]
    return [sys.executable, *(mutated if is_mutated else arguments)]
