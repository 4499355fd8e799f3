"""Tests of the pace of fillers beside serving tasks of varying tail latency."""

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
    worker = Worker(WorkerInfo("i-1", "10.0.0.1:1", "walls"))
    worker.add(run("serves", target_ms=100))
    worker.add(run("fills", is_filler=True))
    return worker


def pace_percents(worker: Worker, tail_ms: float, now_s: float) -> list[int]:
    """Report a tail latency; apply and return the paces that are ordered."""
    serving, filler = worker.run_by_id.values()
    serving.metric_value = tail_ms
    orders = pace_orders(worker, now_s)
    for order in orders:
        filler.pace_percent = order.percent
    return [order.percent for order in orders]


def test_latency_over_its_target_pauses_fillers_at_once(worker: Worker):
    """One report of a latency over the target pauses the fillers."""
    assert has_mixed_load(worker)
    assert pace_percents(worker, 120, 1.0) == [0]


def test_latency_near_its_target_halves_the_pace(worker: Worker):
    """The fillers slow down before the target is missed."""
    assert pace_percents(worker, 90, 1.0) == [50]
    assert pace_percents(worker, 90, 1.4) == [25]


def test_falling_latency_raises_the_pace_in_steps(worker: Worker):
    """Each step waits until the effect of the last one can be measured."""
    pace_percents(worker, 120, 1.0)
    assert pace_percents(worker, 30, 1.4) == []
    assert pace_percents(worker, 30, 2.1) == [20]
    assert pace_percents(worker, 30, 2.5) == []
    assert pace_percents(worker, 30, 3.2) == [40]


def test_latency_moderately_below_its_target_changes_nothing(worker: Worker):
    """This range keeps the pace from oscillating."""
    pace_percents(worker, 90, 1.0)
    assert pace_percents(worker, 70, 5.0) == []


def test_a_new_filler_gets_the_pace_of_the_others(worker: Worker):
    """Guards against a filler at full speed beside paused ones: each one starts so."""
    pace_percents(worker, 120, 1.0)
    worker.add(run("fills too", is_filler=True))
    serving = next(iter(worker.run_by_id.values()))
    serving.metric_value = 70
    assert [order.percent for order in pace_orders(worker, 1.2)] == [0]


def test_the_pace_is_raised_when_no_serving_task_is_left(worker: Worker):
    """Guards against fillers that stay paused without a latency to protect."""
    pace_percents(worker, 120, 1.0)
    worker.remove(RunId(TaskId("serves", 0, 0, 0), 1))
    assert [order.percent for order in pace_orders(worker, 2.1)] == [20]
