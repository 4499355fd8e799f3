"""Utilization and decision time of the product's scheduler, for several packers."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from attrs import define

from benchmarks.driver import Simulator, percentile
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

UTILIZATION_BOUND = 0.95
DECISION_BOUND_MS = 1.0
# How many workers, and the cores and GB of memory of each.
WORKERS_BY_DEPLOYMENT = {"Hanoi": (24, 32, 128), "Norte": (24, 16, 32)}
WARM_UP_S, END_S = 200.0, 1200.0
MEAN_RUN_S = 60.0
# The rate of starts in `decision_times`, in virtual time.
STARTS_PER_S = 270.0
GANG_SHARE = 0.03
WORKLOADS = 60
SEEDS = (3, 4)
BACKLOGS = (60, 300)
# The product uses the one that "ships".
PACKERS: dict[str, Callable[[], Packer]] = {
    "best fit (ships)": BestFit,
    "worst fit": WorstFit,
    "dot product": DotProduct,
    "reference level": ReferenceLevelPacker,
}


def make_workers(count: int, cores: int, memory_gb: int) -> dict[str, Upstream]:
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


def make_scheduler(packer: Packer, workers: dict[str, Upstream]) -> Scheduler:
    """Return a scheduler with one workload, whose workers are all reachable."""
    scheduler = Scheduler(packer=packer)
    scheduler.objects = ObjectSet(
        teams={"t": Team(name="t")},
        policies={"p": Policy(name="p")},
        pools={"w": Pool(name="w", type="workers", upstreams={})},
        workloads={
            "plan": Workload(
                name="plan", kind="batch", pool="w", policy="p", teams=["t"]
            )
        },
    )
    scheduler.set_workers(workers, set())
    for worker in scheduler.worker_by_name.values():
        worker.reachable = True
    scheduler.workers_changed()
    return scheduler


class TaskSource:
    """Generates tasks whose declared sizes are wrong by a factor of 1/4 to 4."""

    def __init__(self, seed: int, cores: int, memory_gb: int):
        self._rng = random.Random(seed)
        self._cores = cores
        self._memory_gb = memory_gb
        self._count = 0
        self._sizes = [self._size() for _ in range(WORKLOADS)]

    def _size(self) -> Resources:
        rng = self._rng
        error_factor = 4 ** rng.uniform(-1, 1)
        share = self._cores / 32
        cores = min(
            self._cores,
            max(0.25, round(rng.choice([1, 2, 4]) * share * error_factor * 4) / 4),
        )
        memory_per_core = self._memory_gb / self._cores
        memory_gb = min(
            self._memory_gb, cores * memory_per_core * 2 ** rng.uniform(-1, 1)
        )
        accelerators = 1 if rng.random() < 0.05 else 0
        return Resources(cores=cores, memory_gb=memory_gb, accelerators=accelerators)

    def next(self) -> Task:
        """Return the next task."""
        self._count += 1
        size = self._rng.choice(self._sizes)
        gang = self._rng.random() < GANG_SHARE
        row = TaskRow(
            task_id=f"task-{self._count}",
            pool="w",
            workload="plan",
            team="t",
            digest="",
            order=self._count,
            run_s=MEAN_RUN_S,
            cores=size.cores,
            memory_gb=size.memory_gb,
            accelerators=size.accelerators,
            count=4 if gang else 1,
        )
        return Task(row)

    def run_s(self) -> float:
        """Return a random run time in seconds."""
        return self._rng.expovariate(1 / MEAN_RUN_S)


@define
class _Utilization:
    """The utilization of the scarcer of cores and memory, integrated over time.

    :param area: the integral since the warm-up, in seconds.
    """

    capacity: Resources
    used: Resources
    area: float = 0.0
    since_s: float = WARM_UP_S

    def change(self, size: Resources, times: int, now_s: float) -> None:
        """Integrate up to ``now_s``, then add ``times`` sizes to the used resources."""
        if now_s > self.since_s:
            scarcer = max(
                self.used.cores / self.capacity.cores,
                self.used.memory_gb / self.capacity.memory_gb,
            )
            self.area += scarcer * (now_s - self.since_s)
            self.since_s = now_s
        self.used = self.used.plus(size, times)


class SaturatedPool:
    """A simulated pool in which ``backlog`` tasks always wait."""

    def __init__(self, deployment: str, packer: Packer, seed: int, backlog: int):
        self._backlog = backlog
        count, cores, memory_gb = WORKERS_BY_DEPLOYMENT[deployment]
        workers = make_workers(count, cores, memory_gb)
        self._simulator = Simulator()
        self._scheduler = make_scheduler(packer, workers)
        self._task_source = TaskSource(seed, cores, memory_gb)
        total = Resources(cores=count * cores, memory_gb=count * memory_gb)
        self._utilization = _Utilization(total, Resources())
        self._queued = 0

    def run(self) -> float:
        """Return the mean utilization of the scarcer resource; 1 is the upper bound."""
        self._refill()
        self._simulator.run(END_S)
        self._utilization.change(Resources(), 0, END_S)
        return self._utilization.area / (END_S - WARM_UP_S)

    def _refill(self) -> None:
        now_s = self._simulator.now_s
        while self._queued < self._backlog:
            self._scheduler.enqueue(self._task_source.next(), now_s)
            self._queued += 1
        placements = self._scheduler.place(now_s)
        for placement in placements:
            self._start(placement)
        if placements:
            self._refill()

    def _start(self, placement: Placement) -> None:
        task = placement.task
        task.place(list(placement.workers), [""] * task.row.count)
        self._queued -= 1
        self._utilization.change(task.row.size, task.row.count, self._simulator.now_s)
        self._simulator.schedule(self._task_source.run_s(), self._end, task)

    def _end(self, task: Task) -> None:
        for index in range(task.row.count):
            self._scheduler.release_member(task, index)
            task.record_member_end(index, EndReason.OK)
        self._scheduler.release_quota(task)
        self._utilization.change(task.row.size, -task.row.count, self._simulator.now_s)
        self._refill()


def decision_times(workers: int) -> list[float]:
    """Return sorted times in seconds of the last 1500 decisions in a pool 90% full."""
    scheduler = make_scheduler(BestFit(), make_workers(workers, 32, 128))
    task_source = TaskSource(4, 32, 128)
    running: list[Task] = []
    target_cores = 0.9 * workers * 32
    used_cores = 0.0
    times_s = []
    for step in range(workers * 12 + 1500):
        task = task_source.next()
        scheduler.enqueue(task, 0.0)
        started_s = time.perf_counter()
        placements = scheduler.place(step / STARTS_PER_S)
        if placements:
            times_s.append((time.perf_counter() - started_s) / len(placements))
        for placement in placements:
            placed = placement.task
            placed.place(list(placement.workers), [""] * placed.row.count)
            used_cores += placed.row.cores * placed.row.count
            running.append(placed)
        while used_cores > target_cores:
            oldest = running.pop(0)
            used_cores -= oldest.row.cores * oldest.row.count
            for index in range(oldest.row.count):
                scheduler.release_member(oldest, index)
            scheduler.release_quota(oldest)
    return sorted(times_s[-1500:])


def _mean_utilization(
    deployment: str, make_packer: Callable[[], Packer], backlog: int
) -> float:
    utilizations = [
        SaturatedPool(deployment, make_packer(), seed, backlog).run() for seed in SEEDS
    ]
    return sum(utilizations) / len(utilizations)


def run(report: Report) -> None:
    """Run all packing benchmarks."""
    for deployment in WORKERS_BY_DEPLOYMENT:
        section = f"packing, {deployment}: utilization of the scarcer resource / bound"
        for name, make_packer in PACKERS.items():
            is_product = "ships" in name
            for backlog in BACKLOGS if is_product else BACKLOGS[:1]:
                value = _mean_utilization(deployment, make_packer, backlog)
                row = Row(f"{name}, {backlog} waiting", value, "x", at_least=True)
                row.target = UTILIZATION_BOUND if is_product else None
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
