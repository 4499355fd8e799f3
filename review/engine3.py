"""Calls the engine alone in the two orders of events in which a plan raises KeyError.

Run it from the repository's root, after the build of the deploy file, with
``PYTHONPATH=target/deps:. python3 review/engine3.py``.
"""

from __future__ import annotations

from collections.abc import Callable

from redwingrun.jobs.engine import Engine, EngineSettings
from redwingrun.jobs.spec import (
    JobSpec,
    Queue,
    QueueSet,
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

JOB = "00000000000000aa"
SIZE = TaskSize(500, 64, 0)
UNIX_MS = 1_000


def new_engine(step: StepSpec) -> Engine:
    """Return an engine with two workers and a job with two occurrences."""
    engine = Engine(EngineSettings())
    engine.set_queues(QueueSet(1, {"q": Queue("q", "pool")}))
    engine.set_time(UNIX_MS)
    for worker_id in ("w1", "w2"):
        capacity = TaskSize(800, 1000, 0)
        info = WorkerInfo(worker_id, "", "pool", capacity=capacity, born_ms=1)
        engine.register_worker(info)
        report(engine, worker_id, 0.0)
    spec = JobSpec("", (step,), occurrences=2, first_due_ms=0, period_ms=10**9)
    engine.add_job(JOB, Submission("q", spec), None, 0.0)
    return engine


def report(
    engine: Engine,
    worker_id: str,
    now_s: float,
    running: tuple[RunStatus, ...] = (),
    ends: tuple[RunEnd, ...] = (),
) -> None:
    """Have a worker report."""
    listed = WorkerReport(now_s * 1000, running, ends, born_ms=1)
    engine.process_report(worker_id, listed, now_s, now_s)


def end_between_two_plans() -> None:
    """A task starts and ends before the next plan."""
    engine = new_engine(StepSpec(1, SIZE))
    (order,) = engine.plan(0.1).starts
    engine.start_accepted(order, 0.11)
    done = RunEnd(1, order.run_id, EndKind.DONE, "")
    report(engine, order.worker_id, 0.15, ends=(done,))
    engine.plan(0.2)


def end_of_a_gang_at_one_worker() -> None:
    """One worker lists the end of a gang 0.5 s before the other one."""
    engine = new_engine(StepSpec(2, SIZE, gang=True))
    orders = engine.plan(0.1).starts
    for order in orders:
        engine.start_accepted(order, 0.11)
    engine.plan(0.12)
    for order in orders:
        status = RunStatus(order.run_id, "", 50)
        report(engine, order.worker_id, 1.0, running=(status,))
    engine.plan(1.01)
    done = RunEnd(1, orders[0].run_id, EndKind.DONE, "")
    report(engine, orders[0].worker_id, 1.2, ends=(done,))
    engine.plan(1.7)


def show(name: str, play: Callable[[], None]) -> None:
    """Play an order of events, and print what the engine raises."""
    try:
        play()
    except KeyError as error:
        print(f"{name}: KeyError {error}")
    else:
        print(f"{name}: no error")


if __name__ == "__main__":
    show("a task ends between two plans", end_between_two_plans)
    show("a gang's end is listed by one worker", end_of_a_gang_at_one_worker)
