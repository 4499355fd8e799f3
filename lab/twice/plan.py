"""A seeded plan of faults for the workers and members of a cell; they may overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define

from review.cell.cell import CaseNotRun

if TYPE_CHECKING:
    from lab.twice.scenario import SoakCell
    from lab.twice.worker import FaultyWorker

# Faults begin after the first tasks do.
FIRST_FAULT_S = 4.0
# Cuts are shorter and longer than a lease of 6 s, and than the longest lease of 10 s.
CUT_LENGTHS_S = (1.5, 5.5, 8.0, 12.0)
MAX_CUT_WORKERS = 3
REBIRTH_CUT_S = 12.0
MAX_REBIRTH_DELAY_S = 3.0
# Shorter than the time-out of a call in progress.
MAX_START_WAIT_S = 1.0
# Longer than the usual lease, counted from the last start before the cut.
LONG_RUN_S = 9.0
POLL_S = 0.02
ANSWER_LOSS_SHARE = 0.3


@define
class Fault(ABC):
    """A fault that begins at a time.

    :param at_s: seconds after the start of the scenario.
    """

    at_s: float

    @abstractmethod
    async def play(self, cell: SoakCell) -> None:
        """Cause the fault and end it."""


@define
class WorkerCut(Fault):
    """Connections to some workers are reset and refused; the workers run on."""

    workers: list[int]
    length_s: float
    has_store: bool

    async def play(self, cell: SoakCell) -> None:
        cell.note(
            f"workers {self.workers}: cut off for {self.length_s} s"
            f"{', except from the store' if self.has_store else ''}"
        )
        workers = [cell.minions[number] for number in self.workers]
        await asyncio.gather(
            *(worker.cut_off(self.length_s, self.has_store) for worker in workers)
        )
        cell.note(f"workers {self.workers}: a cut ends")


@define
class WorkerRestart(Fault):
    """A worker crashes and starts again under its id; it may be cut off around that.

    :param cut_after_s: from the crash to the cut, negative if the cut is first;
        ``None`` for no cut.
    """

    worker: int
    down_s: float
    cut_after_s: float | None

    async def play(self, cell: SoakCell) -> None:
        worker = cell.minions[self.worker]
        crash_after_s = max(0.0, -(self.cut_after_s or 0.0))
        parts = [self._restart(cell, crash_after_s)]
        if self.cut_after_s is not None:
            parts.append(self._cut(cell, max(0.0, self.cut_after_s)))
        await asyncio.gather(*parts)
        cell.note(f"worker {worker.instance_id}: a restart ends")

    async def _restart(self, cell: SoakCell, after_s: float) -> None:
        await asyncio.sleep(after_s)
        cell.note(
            f"worker {self.worker}: crashes and starts again after {self.down_s:.2f} s"
        )
        await cell.minions[self.worker].start_again(self.down_s, is_silent=False)

    async def _cut(self, cell: SoakCell, after_s: float) -> None:
        await asyncio.sleep(after_s)
        cell.note(f"worker {self.worker}: cut off for {REBIRTH_CUT_S} s")
        await cell.minions[self.worker].cut_off(REBIRTH_CUT_S, has_store=True)


@define
class SilentRestart(Fault):
    """A worker's machine starts again at once, and is cut off once it has a long run.

    Calls in progress get no reset, so that the owner knows of no restart before they
    time out.
    """

    worker: int

    async def play(self, cell: SoakCell) -> None:
        worker = cell.minions[self.worker]
        cell.note(f"worker {self.worker}: its machine crashes and starts again")
        await worker.start_again(0.0, is_silent=True)
        await self._wait_for_long_run(worker)
        cell.note(f"worker {self.worker}: cut off for {REBIRTH_CUT_S} s")
        await worker.cut_off(REBIRTH_CUT_S, has_store=True)
        cell.note(f"worker {self.worker}: a cut ends")

    async def _wait_for_long_run(self, worker: FaultyWorker) -> None:
        for _ in range(int(MAX_START_WAIT_S / POLL_S)):
            if any(run.length_s > LONG_RUN_S for run in worker.runs.values()):
                break
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(POLL_S)


@define
class LostAnswers(Fault):
    """Connections to a worker are reset after the request was carried out."""

    worker: int
    length_s: float

    async def play(self, cell: SoakCell) -> None:
        cell.note(f"worker {self.worker}: loses answers for {self.length_s:.1f} s")
        worker = cell.minions[self.worker]
        await worker.reset_after_execution(self.length_s, ANSWER_LOSS_SHARE)


@define
class OwnerStop(Fault):
    """The owner's process is stopped, and continued after a time."""

    length_s: float

    async def play(self, cell: SoakCell) -> None:
        name = cell.owner()
        if name not in cell.running():
            return
        cell.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self.length_s)
        cell.signal(name, signal.SIGCONT)


@define
class OwnerKill(Fault):
    """The owner's process is killed, and started again after a time."""

    down_s: float

    async def play(self, cell: SoakCell) -> None:
        name = cell.owner()
        if name not in cell.running():
            return
        cell.signal(name, signal.SIGKILL)
        cell.process_by_name[name].wait()
        await asyncio.sleep(self.down_s)
        cell.start_process(name)


def make_plan(
    seed: int, seconds: float, workers: int, has_owner_faults: bool = True
) -> list[Fault]:
    """Return the faults of a scenario, by time.

    :param has_owner_faults: whether the owner is stopped and killed, too; those of the
        workers are the same without.
    """
    rng = random.Random(f"plan {seed}")
    makers: list[tuple[float, Callable[[float], Fault]]] = [
        (5.0, lambda at_s: _cut(rng, at_s, workers)),
        (3.0, lambda at_s: _restart(rng, at_s, workers)),
        (6.0, lambda at_s: _lost_answers(rng, at_s, workers)),
    ]
    if has_owner_faults:
        makers += [
            (14.0, lambda at_s: OwnerStop(at_s, rng.choice((1.0, 4.0, 8.0)))),
            (20.0, lambda at_s: OwnerKill(at_s, rng.uniform(1.0, 4.0))),
        ]
    faults: list[Fault] = []
    for mean_gap_s, make in makers:
        at_s = FIRST_FAULT_S + rng.uniform(0.0, mean_gap_s)
        while at_s < seconds:
            faults.append(make(at_s))
            at_s += rng.uniform(0.5, 1.5) * mean_gap_s
    return sorted(faults, key=lambda fault: fault.at_s)


async def play_fault(fault: Fault, cell: SoakCell) -> None:
    """Wait for the time of a fault and play it, if what it needs is there."""
    await asyncio.sleep(fault.at_s)
    try:
        await fault.play(cell)
    except CaseNotRun as error:
        cell.note(f"omitted {type(fault).__name__}: {error}")


def _cut(rng: random.Random, at_s: float, workers: int) -> Fault:
    count = rng.randint(1, min(MAX_CUT_WORKERS, workers))
    cut = sorted(rng.sample(range(workers), count))
    return WorkerCut(at_s, cut, rng.choice(CUT_LENGTHS_S), rng.random() < 0.5)


def _restart(rng: random.Random, at_s: float, workers: int) -> Fault:
    worker = rng.randrange(workers)
    cut_after_s = rng.choice((None, rng.uniform(-MAX_REBIRTH_DELAY_S, 0.0)))
    down_s = rng.choice((0.0, 0.0, rng.uniform(0.0, 2.0)))
    if rng.random() < 0.5:
        return WorkerRestart(at_s, worker, down_s, cut_after_s)
    return SilentRestart(at_s, worker)


def _lost_answers(rng: random.Random, at_s: float, workers: int) -> Fault:
    return LostAnswers(at_s, rng.randrange(workers), rng.uniform(1.0, 5.0))
