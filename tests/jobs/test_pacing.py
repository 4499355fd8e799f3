"""Fillers beside serving tasks: a tail that climbs, stays, and falls."""

from __future__ import annotations

import pytest

from redwingrun.jobs.pacing import has_mixed_load, pace_orders
from redwingrun.jobs.spec import RunId, TaskId, TaskSize
from redwingrun.jobs.workerpool import Run, RunPhase, Worker, WorkerInfo


def run(job: str, **fields: object) -> Run:
    """Return a run that is alive."""
    run_id = RunId(TaskId(job, 0, 0, 0), 1)
    return Run(run_id, "i-1", TaskSize(), 0.0, phase=RunPhase.ALIVE, **fields)


@pytest.fixture
def worker() -> Worker:
    """Return a worker with a serving task and a filler."""
    made = Worker(WorkerInfo("i-1", "10.0.0.1:1", "walls"))
    made.add(run("serves", target_ms=100))
    made.add(run("fills", is_filler=True))
    return made


def figures(worker: Worker, tail_ms: float, now_s: float) -> list[int]:
    """Report a tail; apply and return the paces that are ordered."""
    serving, filler = worker.run_by_id.values()
    serving.metric_value = tail_ms
    orders = pace_orders(worker, now_s)
    for order in orders:
        filler.pace_percent = order.percent
    return [order.percent for order in orders]


def test_a_tail_over_its_target_stops_the_fillers_at_once(worker: Worker):
    """One report is enough."""
    assert has_mixed_load(worker)
    assert figures(worker, 120, 1.0) == [0]


def test_a_tail_near_its_target_halves_the_pace(worker: Worker):
    """Before harm is done the fillers work less."""
    assert figures(worker, 90, 1.0) == [50]
    assert figures(worker, 90, 1.4) == [25]


def test_a_tail_that_falls_lets_the_fillers_work_more_step_by_step(worker: Worker):
    """Not faster than a change can show."""
    figures(worker, 120, 1.0)
    assert figures(worker, 30, 1.4) == []
    assert figures(worker, 30, 2.1) == [20]
    assert figures(worker, 30, 2.5) == []
    assert figures(worker, 30, 3.2) == [40]


def test_a_tail_in_between_changes_nothing(worker: Worker):
    """No swinging around the target."""
    figures(worker, 90, 1.0)
    assert figures(worker, 70, 5.0) == []


def test_a_filler_that_has_just_started_is_paced_like_the_others(worker: Worker):
    """It starts at full speed."""
    figures(worker, 120, 1.0)
    worker.add(run("fills too", is_filler=True))
    serving = next(iter(worker.run_by_id.values()))
    serving.metric_value = 70
    assert [order.percent for order in pace_orders(worker, 1.2)] == [0]


def test_a_worker_without_serving_tasks_lets_fillers_work(worker: Worker):
    """There is nobody to disturb."""
    figures(worker, 120, 1.0)
    worker.remove(RunId(TaskId("serves", 0, 0, 0), 1))
    assert [order.percent for order in pace_orders(worker, 2.1)] == [20]
