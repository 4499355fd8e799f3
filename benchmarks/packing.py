"""Packing and decision time of the shipping scheduler, by way of choosing a worker."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from attrs import define

from benchmarks.driver import Timeline, percentile
from benchmarks.rows import Report, Row
from redwingrun.objects import (
    ObjectSet,
    Policy,
    Pool,
    Resources,
    Team,
    Upstream,
    Workload,
)
from redwingrun.packing import (
    BestFit,
    DotProduct,
    Packer,
    ReferenceLevelPacker,
    WorstFit,
)
from redwingrun.scheduler import Placement, Scheduler
from redwingrun.tasks import EndReason, Task, TaskRow

PACKED_BOUND = 0.95
DECISION_BOUND_MS = 1.0
WORKERS_BY_USER = {"Hanoi": (24, 32, 128), "Norte": (24, 16, 32)}
WARM_S, END_S = 200.0, 1200.0
MEAN_RUN_S = 60.0
STARTS_PER_S = 270.0
GANG_SHARE = 0.03
WORKLOADS = 60
SEEDS = (3, 4)
BACKLOGS = (60, 300)
PACKERS: dict[str, Callable[[], Packer]] = {
    "best fit (ships)": BestFit,
    "worst fit": WorstFit,
    "dot product": DotProduct,
    "reference level": ReferenceLevelPacker,
}


def upstreams(count: int, cores: int, memory_gb: int) -> dict[str, Upstream]:
    """Return workers, a third of them with accelerators, eight to a rack."""
    return {
        f"w{index}": Upstream(
            name=f"w{index}",
            address="",
            data_centre=f"d{index % 3}",
            rack=f"r{index // 8}",
            cores=cores,
            memory_gb=memory_gb,
            accelerators=4 if index % 3 == 0 else 0,
        )
        for index in range(count)
    }


def scheduler(packer: Packer, workers: dict[str, Upstream]) -> Scheduler:
    """Return a scheduler whose workers all answer."""
    made = Scheduler(packer=packer)
    made.objects = ObjectSet(
        teams={"t": Team(name="t")},
        policies={"p": Policy(name="p")},
        pools={"w": Pool(name="w", type="workers", upstreams={})},
        workloads={
            "plan": Workload(
                name="plan", kind="batch", pool="w", policy="p", teams=["t"]
            )
        },
    )
    made.set_workers(workers, set())
    for worker in made.worker_by_name.values():
        worker.reachable = True
    made.workers_changed()
    return made


class Arrivals:
    """Tasks whose declared sizes are off by up to four times either way."""

    def __init__(self, seed: int, cores: int, memory_gb: int):
        self._source = random.Random(seed)
        self._cores = cores
        self._memory_gb = memory_gb
        self._order = 0
        self._sizes = [self._size() for _ in range(WORKLOADS)]

    def _size(self) -> Resources:
        source = self._source
        off = 4 ** source.uniform(-1, 1)
        share = self._cores / 32
        cores = min(
            self._cores,
            max(0.25, round(source.choice([1, 2, 4]) * share * off * 4) / 4),
        )
        per_core = self._memory_gb / self._cores
        memory_gb = min(self._memory_gb, cores * per_core * 2 ** source.uniform(-1, 1))
        accelerators = 1 if source.random() < 0.05 else 0
        return Resources(cores=cores, memory_gb=memory_gb, accelerators=accelerators)

    def next(self) -> Task:
        """Return the next task."""
        self._order += 1
        size = self._source.choice(self._sizes)
        gang = self._source.random() < GANG_SHARE
        row = TaskRow(
            task_id=f"task-{self._order}",
            pool="w",
            workload="plan",
            team="t",
            digest="",
            order=self._order,
            run_s=MEAN_RUN_S,
            cores=size.cores,
            memory_gb=size.memory_gb,
            accelerators=size.accelerators,
            count=4 if gang else 1,
        )
        return Task(row)

    def run_s(self) -> float:
        """Return how long a task really runs."""
        return self._source.expovariate(1 / MEAN_RUN_S)


@define
class _Use:
    """The time-weighted use of the scarcer of cores and memory."""

    capacity: Resources
    used: Resources
    area: float = 0.0
    since_s: float = WARM_S

    def change(self, size: Resources, times: int, now_s: float) -> None:
        if now_s > self.since_s:
            scarce = max(
                self.used.cores / self.capacity.cores,
                self.used.memory_gb / self.capacity.memory_gb,
            )
            self.area += scarce * (now_s - self.since_s)
            self.since_s = now_s
        self.used = self.used.plus(size, times)


class Pack:
    """A saturated pool: there is always more waiting than fits."""

    def __init__(self, user: str, packer: Packer, seed: int, backlog: int):
        self._backlog = backlog
        count, cores, memory_gb = WORKERS_BY_USER[user]
        workers = upstreams(count, cores, memory_gb)
        self._timeline = Timeline()
        self._scheduler = scheduler(packer, workers)
        self._arrivals = Arrivals(seed, cores, memory_gb)
        total = Resources(cores=count * cores, memory_gb=count * memory_gb)
        self._use = _Use(total, Resources())
        self._queued = 0

    def run(self) -> float:
        """Return the use of the scarcer dimension; 1 is the volume bound."""
        self._refill()
        self._timeline.run(END_S)
        self._use.change(Resources(), 0, END_S)
        return self._use.area / (END_S - WARM_S)

    def _refill(self) -> None:
        now_s = self._timeline.now_s
        while self._queued < self._backlog:
            self._scheduler.enqueue(self._arrivals.next(), now_s)
            self._queued += 1
        placements = self._scheduler.place(now_s)
        for placement in placements:
            self._begin(placement)
        if placements:
            self._refill()

    def _begin(self, placement: Placement) -> None:
        task = placement.task
        task.place(list(placement.workers), [""] * task.row.count)
        self._queued -= 1
        self._use.change(task.row.size, task.row.count, self._timeline.now_s)
        self._timeline.after(self._arrivals.run_s(), self._end, task)

    def _end(self, task: Task) -> None:
        for index in range(task.row.count):
            self._scheduler.release_member(task, index)
            task.record_member_end(index, EndReason.OK)
        self._scheduler.release_quota(task)
        self._use.change(task.row.size, -task.row.count, self._timeline.now_s)
        self._refill()


def decision_times(workers: int) -> list[float]:
    """Return sorted seconds of single decisions in a pool nine tenths full."""
    made = scheduler(BestFit(), upstreams(workers, 32, 128))
    arrivals = Arrivals(4, 32, 128)
    running: list[Task] = []
    target = 0.9 * workers * 32
    used = 0.0
    times_s = []
    for step in range(workers * 12 + 1500):
        task = arrivals.next()
        made.enqueue(task, 0.0)
        started_s = time.perf_counter()
        placements = made.place(step / STARTS_PER_S)
        if placements:
            times_s.append((time.perf_counter() - started_s) / len(placements))
        for placement in placements:
            placed = placement.task
            placed.place(list(placement.workers), [""] * placed.row.count)
            used += placed.row.cores * placed.row.count
            running.append(placed)
        while used > target:
            old = running.pop(0)
            used -= old.row.cores * old.row.count
            for index in range(old.row.count):
                made.release_member(old, index)
            made.release_quota(old)
    return sorted(times_s[-1500:])


def _mean_use(user: str, make: Callable[[], Packer], backlog: int) -> float:
    uses = [Pack(user, make(), seed, backlog).run() for seed in SEEDS]
    return sum(uses) / len(uses)


def run(report: Report) -> None:
    """Run every comparison."""
    for user in WORKERS_BY_USER:
        section = f"packing, {user}: use of the scarcer dimension / volume bound"
        for name, make in PACKERS.items():
            ships = "ships" in name
            for backlog in BACKLOGS if ships else BACKLOGS[:1]:
                value = _mean_use(user, make, backlog)
                row = Row(f"{name}, {backlog} waiting", value, "x", at_least=True)
                row.target = PACKED_BOUND if ships else None
                row.note = f"stranded {1 - value:.1%}"
                report.add(section, row)
    for workers in (24, 640):
        times_s = decision_times(workers)
        bound = DECISION_BOUND_MS if workers == 640 else None
        report.add(
            "decision time of a placement",
            Row(f"p50 at {workers} workers", percentile(times_s, 0.5) * 1000, "ms"),
            Row(
                f"p99 at {workers} workers",
                percentile(times_s, 0.99) * 1000,
                "ms",
                bound,
            ),
        )
