"""What the order by client accounts costs the owner for each start.

The former order, by priority and due time, and the order with accounts are run side by
side on the same load. With accounts, the owner also passes over steps whose tasks fit
on no worker; the former order tries to place them, as it did before.
"""

from __future__ import annotations

import gc
import time

from attrs import evolve, frozen

from benchmarks.rows import Report, Row
from redwingrun.jobs.accounts import AccountDirectory, ClientAccount
from redwingrun.jobs.engine import Engine, EngineSettings
from redwingrun.jobs.shareorder import ShareOrder
from redwingrun.jobs.spec import (
    JobSpec,
    Queue,
    QueueSet,
    RunId,
    StepSpec,
    Submission,
    TaskSize,
)
from redwingrun.jobs.workerpool import (
    EndKind,
    RunEnd,
    RunStatus,
    WorkerInfo,
    WorkerReport,
)

# A start may cost the owner so much more processor time.
COST_BOUND_PERCENT = 5.0
ACCOUNTS = (20, 2000)
WORKERS = 176
CAPACITY = TaskSize(16_000, 64_000)
POOL = "pool"
QUEUES = {
    "urgent": Queue("urgent", POOL, stretch=1.5, slack_ms=253),
    "long": Queue("long", POOL, priority=2, stretch=2.2, slack_ms=1203),
}
# Rows of queue, tasks, cores in thousandths, run time in seconds and jobs per second.
# The workers have no room for all of it, and one account sends half of it.
#
# Tasks of one kind, of which as many start in either order, for the cost of a start.
EQUAL_WORK = (("urgent", 10, 2200, 2.0, 50.0), ("long", 17, 2200, 2.0, 20.0))
# Short urgent work beside long work. Of these, other ones start in the new order, and
# so not as many. The owner's time for a second of the load shows what is due to that.
MIXED_WORK = (("urgent", 16, 2200, 0.64, 40.0), ("long", 34, 4500, 4.8, 4.0))
TICK_S = 0.1
WARM_UP_TICKS, TICKS = 40, 60
REPEATS = 3


class FormerOrder(ShareOrder):
    """The order of deployments without accounts."""

    is_needed = False


Work = tuple[tuple[str, int, int, float, float], ...]


class LoadedOwner:
    """An engine under a load of competing accounts, whose processor time is taken.

    :param work: what the accounts submit, as in ``EQUAL_WORK``.
    :param order: the order of work.
    """

    def __init__(self, accounts: int, work: Work, order: type[ShareOrder]):
        self._work = work
        self._engine = Engine(EngineSettings())
        self._engine._share_order = order(self._engine.state)
        if order is FormerOrder:
            self._engine._steps._is_without_room = lambda *_: False
        names = [f"account-{number}" for number in range(accounts)]
        weight = 18.0 / accounts
        directory = AccountDirectory(ClientAccount(name, weight) for name in names)
        self._engine.set_queues(QueueSet(1, QUEUES, accounts=directory))
        self._names = names
        self._now_s = 100.0
        self._jobs = 0
        self._owed = dict.fromkeys(QUEUES, 0.0)
        self._end_s_by_run: dict[RunId, float] = {}
        for number in range(WORKERS):
            name = f"w{number}"
            info = WorkerInfo(name, f"{name}:1", POOL, capacity=CAPACITY, born_ms=7)
            self._engine.register_worker(evolve(info, rack=f"r{number // 12}"))
        self.starts = 0
        self.used_s = 0.0
        self.ready_steps = 0

    def run(self, ticks: int) -> None:
        """Let time pass, and measure from then on."""
        for _ in range(ticks):
            self._tick()

    def reset(self) -> None:
        """Begin to measure."""
        self.starts, self.used_s = 0, 0.0

    def _tick(self) -> None:
        self._now_s += TICK_S
        submissions = self._submissions()
        reports = [(name, self._report(name)) for name in self._engine.worker_by_id]
        begun_s = time.process_time()
        self._engine.set_time(round(self._now_s * 1000))
        for name, report in reports:
            self._engine.process_report(name, report, self._now_s, self._now_s)
        for job_id, submission in submissions:
            self._engine.add_job(job_id, submission, None, self._now_s)
        plan = self._engine.plan(self._now_s)
        for order in plan.starts:
            self._engine.start_accepted(order, self._now_s)
        self.used_s += time.process_time() - begun_s
        self.starts += len(plan.starts)
        self.ready_steps = len(self._engine.state.ready_step_by_id)
        for order in plan.starts:
            queue = self._engine.job_by_id[order.run_id.task.job].queue.name
            run_s = next(item[3] for item in self._work if item[0] == queue)
            self._end_s_by_run[order.run_id] = self._now_s + run_s

    def _submissions(self) -> list[tuple[str, Submission]]:
        """Return the jobs of a tick; one account sends half of them."""
        submissions = []
        for queue, tasks, cpu_milli, run_s, rate in self._work:
            self._owed[queue] += rate * TICK_S
            while self._owed[queue] >= 1:
                self._owed[queue] -= 1
                self._jobs += 1
                step = StepSpec(
                    tasks, TaskSize(cpu_milli, 100), estimate_ms=run_s * 1000
                )
                position = self._jobs % len(self._names) if self._jobs % 2 else 0
                submission = Submission(
                    queue,
                    JobSpec("payload", (step,)),
                    round(self._now_s * 1000),
                    self._names[position],
                )
                submissions.append((f"{self._jobs:016x}", submission))
        return submissions

    def _report(self, name: str) -> WorkerReport:
        worker = self._engine.worker_by_id[name]
        running, ends = [], []
        for run_id in worker.run_by_id:
            left_s = self._end_s_by_run[run_id] - self._now_s
            if left_s <= 0:
                number = worker.last_end_number + len(ends) + 1
                ends.append(RunEnd(number, run_id, EndKind.DONE, ""))
            else:
                running.append(RunStatus(run_id, "", 100 / (1 + left_s)))
        clock_ms = self._now_s * 1000
        return WorkerReport(clock_ms, tuple(running), tuple(ends), born_ms=7)


@frozen
class Cost:
    """The owner's processor time, and what it did with it.

    :param start_ms: for each start.
    :param second_ms: for each second of the load.
    :param ready_steps: number of steps that wait at the end.
    """

    start_ms: float
    second_ms: float
    starts: int
    ready_steps: int


def measure(accounts: int, work: Work) -> tuple[Cost, Cost]:
    """Return the costs in the former and the new order, the medians of some repeats.

    Both run by turns, so that the machine's other load affects both.
    """
    costs: list[list[Cost]] = [[], []]
    for _ in range(REPEATS):
        owners = [
            LoadedOwner(accounts, work, order) for order in (FormerOrder, ShareOrder)
        ]
        gc.collect()
        for owner in owners:
            owner.run(WARM_UP_TICKS)
            owner.reset()
        for _ in range(TICKS):
            for owner in owners:
                owner.run(1)
        for kept, owner in zip(costs, owners, strict=True):
            kept.append(
                Cost(
                    owner.used_s / owner.starts * 1000,
                    owner.used_s / (TICKS * TICK_S) * 1000,
                    owner.starts,
                    owner.ready_steps,
                )
            )
    former, new = (
        sorted(kept, key=lambda cost: cost.second_ms)[REPEATS // 2] for kept in costs
    )
    return former, new


def run(report: Report) -> None:
    """Add the results to a report."""
    for accounts in ACCOUNTS:
        _run_work(report, f"{accounts} accounts", accounts, EQUAL_WORK, "equal tasks")
        _run_work(report, f"{accounts} accounts", accounts, MIXED_WORK, "mixed tasks")


def _run_work(report: Report, name: str, accounts: int, work: Work, what: str) -> None:
    former, new = measure(accounts, work)
    more_for_start = (new.start_ms / former.start_ms - 1) * 100
    more_for_second = (new.second_ms / former.second_ms - 1) * 100
    rows = [
        Row(f"{name}, {order}, {unit}", value, "ms", note=_note(cost))
        for order, cost in (("priority and due time", former), ("shares", new))
        for unit, value in (("a start", cost.start_ms), ("a second", cost.second_ms))
    ]
    report.add(
        f"owner time by order of work, {what}",
        *rows,
        Row(f"{name}, more for a start", more_for_start, "%", COST_BOUND_PERCENT),
        Row(f"{name}, more for a second", more_for_second, "%", COST_BOUND_PERCENT),
    )


def _note(cost: Cost) -> str:
    return f"{cost.starts} starts, {cost.ready_steps} steps wait"
