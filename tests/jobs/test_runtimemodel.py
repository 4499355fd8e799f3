"""Tests of learned run times, without a network.

Clients' estimates for long work are wrong by a factor of e^0.9 in either direction.
"""

from __future__ import annotations

import itertools
import math
import random
import tracemalloc

import pytest
from attrs import evolve

from redwingrun.jobs.engine import EngineSettings
from redwingrun.jobs.job import Job
from redwingrun.jobs.progress import JobProgress
from redwingrun.jobs.runtimemeter import RunTimeMeter
from redwingrun.jobs.runtimemodel import MAX_KEYS, MIN_SAMPLES, RunTimeModel
from redwingrun.jobs.spec import Queue, RunId, StepId, StepSpec, Submission
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.workerpool import Run, Worker, WorkerInfo
from tests.jobs.cluster import POOL, QUEUE, TaskSize, job, job_id, step
from tests.jobs.test_workerreports import EngineHarness

WRONG_BY = math.exp(0.9)
TASKS_PER_STEP = 17
RUN_MS = 4000.0
SLOW_WORKER = "w1"
LEARNS = EngineSettings(learns_run_times=True)
# The run times of tasks of one image vary by about this share.
SPREAD = 0.1


def make_step(estimate_ms: float = RUN_MS, image: str = "a") -> StepSpec:
    """Return a step with an estimate."""
    return StepSpec(TASKS_PER_STEP, estimate_ms=estimate_ms, image=image)


def learn_step(
    model: RunTimeModel, rng: random.Random, spec: StepSpec, run_ms: float
) -> None:
    """Let the model learn from all tasks of a step.

    :param run_ms: median of their run times.
    """
    for _ in range(spec.tasks):
        model.learn(QUEUE, spec, run_ms * math.exp(rng.gauss(0, SPREAD)))


def learned(run_ms: float = RUN_MS, image: str = "a", steps: int = 40) -> RunTimeModel:
    """Return a model that has learned from steps with exact estimates."""
    model, rng = RunTimeModel(), random.Random(1)
    for _ in range(steps):
        learn_step(model, rng, make_step(run_ms, image), run_ms)
    return model


# Guards against due times that follow estimates which say nothing: the tasks of an
# image take equally long, whatever the client expects.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("estimate_ms", [RUN_MS / WRONG_BY, RUN_MS, RUN_MS * WRONG_BY])
def test_worthless_estimates_are_replaced_by_run_times(seed: int, estimate_ms: float):
    """The estimate of each step is wrong in one direction or the other."""
    model, rng = RunTimeModel(), random.Random(seed)
    for _ in range(40):
        error = rng.choice([WRONG_BY, 1 / WRONG_BY])
        learn_step(model, rng, make_step(RUN_MS * error), RUN_MS)
    expected_ms = model.expected_ms(QUEUE, make_step(estimate_ms))
    assert expected_ms == pytest.approx(RUN_MS, rel=0.1)


# Guards against one run time for all steps of a queue whose estimates tell them apart,
# and against estimates that stay wrong by the same factor.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("bias", [WRONG_BY, 1 / WRONG_BY])
def test_useful_estimates_are_corrected_by_their_ratio(seed: int, bias: float):
    """Steps differ by a factor of up to 16; all estimates are wrong by one factor."""
    model, rng = RunTimeModel(), random.Random(seed)
    for _ in range(40):
        run_ms = RUN_MS * 2 ** rng.uniform(-2, 2)
        learn_step(model, rng, make_step(run_ms * bias), run_ms)
    for run_ms in (RUN_MS / 4, RUN_MS, RUN_MS * 4):
        expected_ms = model.expected_ms(QUEUE, make_step(run_ms * bias))
        assert expected_ms == pytest.approx(run_ms, rel=0.1)


def test_the_better_predictor_is_chosen_anew():
    """Guards against a choice that is kept after the estimates have become useful."""
    model, rng = RunTimeModel(), random.Random(1)
    for _ in range(400):
        error = rng.choice([WRONG_BY, 1 / WRONG_BY])
        learn_step(model, rng, make_step(RUN_MS * error), RUN_MS)
    for _ in range(60):
        run_ms = RUN_MS * 2 ** rng.uniform(-2, 2)
        learn_step(model, rng, make_step(run_ms), run_ms)
    expected_ms = model.expected_ms(QUEUE, make_step(RUN_MS / 4))
    assert expected_ms == pytest.approx(RUN_MS / 4, rel=0.1)


# Guards against a few very long tasks that count for all others.
@pytest.mark.parametrize("seed", range(5))
def test_heavy_tails_do_not_change_the_expected_run_time(seed: int):
    """3 in 100 tasks take seven times as long; only high quantiles show them."""
    model, rng = RunTimeModel(), random.Random(seed)
    for number in range(2000):
        factor = 7 if number % 100 in (13, 47, 88) else 1
        run_ms = factor * RUN_MS * math.exp(rng.gauss(0, SPREAD))
        model.learn(QUEUE, make_step(), run_ms)
    assert model.expected_ms(QUEUE, make_step()) == pytest.approx(RUN_MS, rel=0.1)
    assert model.quantile_ms(QUEUE, make_step(), 0.9) < 1.3 * RUN_MS
    assert model.quantile_ms(QUEUE, make_step(), 0.99) > 5 * RUN_MS


def test_an_image_whose_run_times_change_is_learned_anew():
    """Guards against old run times that count for as long as the owner lives."""
    model, rng = learned(steps=200), random.Random(2)
    for _ in range(20):
        learn_step(model, rng, make_step(), 3 * RUN_MS)
    expected_ms = model.expected_ms(QUEUE, make_step())
    assert expected_ms == pytest.approx(3 * RUN_MS, rel=0.1)


def test_a_new_image_is_not_predicted_by_another():
    """Guards against the run time of one image or queue that is used for another."""
    model = learned()
    assert model.expected_ms(QUEUE, make_step(500.0, "b")) == 500.0
    assert model.expected_ms("other", make_step(500.0, "a")) == 500.0


def test_steps_without_an_image_share_what_is_learned_in_their_queue():
    """Guards against queues without images that never learn."""
    model = learned(image="")
    assert model.has_learned(QUEUE, make_step(image=""))
    assert not model.has_learned(QUEUE, make_step(image="a"))


def test_few_samples_leave_the_estimate():
    """Guards against one step with a wrong estimate that replaces all others."""
    model = RunTimeModel()
    for number in range(MIN_SAMPLES):
        spec = make_step()
        assert model.expected_ms(QUEUE, spec) == spec.estimate_ms, number
        assert model.quantile_ms(QUEUE, spec, 0.9) == spec.estimate_ms
        model.learn(QUEUE, spec, 3 * RUN_MS)
    assert model.expected_ms(QUEUE, spec) == pytest.approx(3 * RUN_MS, rel=0.05)


def test_tasks_without_an_estimate_are_learned():
    """Guards against a division by zero, and against due times without a length."""
    model = RunTimeModel()
    for _ in range(MIN_SAMPLES):
        model.learn(QUEUE, make_step(0.0), RUN_MS)
    expected_ms = model.expected_ms(QUEUE, make_step(0.0))
    assert expected_ms == pytest.approx(RUN_MS, rel=0.05)


@pytest.mark.parametrize("run_ms", [0.001, 1.0, 1e9])
def test_extreme_run_times_are_bounded(run_ms: float):
    """Guards against samples outside the histograms, which would be left out."""
    model = RunTimeModel()
    for _ in range(MIN_SAMPLES):
        model.learn(QUEUE, make_step(0.0), run_ms)
        model.learn(QUEUE, make_step(RUN_MS, "b"), run_ms)
    assert model.has_learned(QUEUE, make_step(0.0))
    assert 1 <= model.expected_ms(QUEUE, make_step(0.0)) <= 3.8e6
    assert model.expected_ms(QUEUE, make_step(RUN_MS, "b")) > 0


@pytest.mark.parametrize("kind", ["gang", "lasting", "filler"])
def test_tasks_that_do_not_end_by_themselves_keep_their_estimate(kind: str):
    """Guards against a gang that is expected to be as fast as a single task."""
    model = learned()
    special = evolve(make_step(500.0), **{kind: True})
    for _ in range(MIN_SAMPLES):
        model.learn(QUEUE, special, 9 * RUN_MS)
    assert model.expected_ms(QUEUE, special) == 500.0
    assert model.expected_ms(QUEUE, make_step()) == pytest.approx(RUN_MS, rel=0.1)


def test_memory_is_bounded():
    """Guards against a member that grows with each image that clients name."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    model, rng = RunTimeModel(), random.Random(1)
    for number in range(3 * MAX_KEYS):
        for _ in range(2):
            learn_step(model, rng, make_step(image=f"image-{number}"), RUN_MS)
    for _ in range(40):
        learn_step(model, rng, make_step(image=f"image-{number}"), RUN_MS)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(model) == MAX_KEYS == 100
    assert used < 1_000_000


def test_nothing_is_kept_of_evicted_images():
    """Guards against a new image that is predicted by the one it has replaced."""
    model, rng = RunTimeModel(), random.Random(1)
    for number in range(MAX_KEYS):
        for _ in range(MIN_SAMPLES // TASKS_PER_STEP + 1):
            learn_step(model, rng, make_step(image=f"image-{number}"), 9 * RUN_MS)
    model.learn(QUEUE, make_step(image="new"), RUN_MS)
    assert not model.has_learned(QUEUE, make_step(image="new"))
    for _ in range(MIN_SAMPLES):
        model.learn(QUEUE, make_step(image="new"), RUN_MS)
    expected_ms = model.expected_ms(QUEUE, make_step(image="new"))
    assert expected_ms == pytest.approx(RUN_MS, rel=0.05)


def test_images_in_use_are_kept():
    """Guards against a flood of new images that evicts those which work goes on for."""
    model, rng = learned(), random.Random(1)
    for number in range(3 * MAX_KEYS):
        model.learn(QUEUE, make_step(image=f"image-{number}"), RUN_MS)
        if number % 50 == 0:
            learn_step(model, rng, make_step(), RUN_MS)
    assert model.has_learned(QUEUE, make_step())


class Measurement:
    """A run of a task that ends after ``RUN_MS`` on a worker in rack r1."""

    def __init__(self) -> None:
        self.model = RunTimeModel()
        self.speeds = SpeedModel()
        info = WorkerInfo("w1", "", POOL, kind="slow", rack="r1")
        self.worker = Worker(info)
        self.run = Run(RunId(StepId("j", 0, 0).task(0), 1), "w1", TaskSize(), 0.0)
        self.run.started_s = 0.0
        self.spec = make_step()

    def learned_ms(self) -> float | None:
        """Return the learned run time; ``None`` if the run is not measured."""
        submission = Submission(QUEUE, job(self.spec))
        measured = Job("j", submission, Queue(QUEUE, POOL), JobProgress.fresh(), 0.0)
        meter = RunTimeMeter(self.model, self.speeds)
        for _ in range(MIN_SAMPLES):
            meter.run_done(self.worker, self.run, measured, RUN_MS / 1000)
        if not self.model.has_learned(QUEUE, self.spec):
            return None
        return self.model.expected_ms(QUEUE, self.spec)


def test_a_whole_run_is_measured():
    """The other tests of measurements would pass if no run was."""
    assert Measurement().learned_ms() == pytest.approx(RUN_MS, rel=0.05)


def test_run_times_are_normalised_by_the_speed_of_the_worker():
    """Guards against run times that depend on where the latest tasks ran."""
    item = Measurement()
    step_id = StepId("j", 0, 0)
    for _ in range(50):
        item.speeds.learn(step_id, QUEUE, "w0", "fast", 1.0, 1.0)
        item.speeds.learn(step_id, QUEUE, "w1", "slow", 2.0, 1.0)
    slowness = item.speeds.slowness("w1", "slow")
    assert slowness > 1.2
    assert item.learned_ms() == pytest.approx(RUN_MS / slowness, rel=0.05)


def test_resumed_runs_are_not_measured():
    """They do only the rest of the work, and would make the image look short."""
    item = Measurement()
    item.run.is_resumed = True
    assert item.learned_ms() is None


@pytest.mark.parametrize("started_s", [None, -math.inf])
def test_runs_of_a_former_owner_are_not_measured(started_s: float | None):
    """Their start is not known: infinite run times used to be possible."""
    item = Measurement()
    item.run.started_s = started_s
    assert item.learned_ms() is None


def test_runs_whose_start_got_no_answer_are_not_measured():
    """Their start is known from a report that came later."""
    item = Measurement()
    item.run.unanswered_s = 0.0
    assert item.learned_ms() is None


@pytest.mark.parametrize(("rack", "is_measured"), [("r1", True), ("r2", False)])
def test_runs_far_from_their_data_are_not_measured(rack: str, is_measured: bool):
    """Guards against run times that are long only because of where tasks ran."""
    item = Measurement()
    item.spec = evolve(item.spec, data_rack=rack)
    assert (item.learned_ms() is not None) is is_measured


def run_steps(harness: EngineHarness, *estimates_s: float) -> None:
    """Run eight jobs of twelve tasks, each of which takes two seconds.

    :param estimates_s: the estimates of the jobs, in turn.
    """
    for number, estimate_s in zip(range(8), itertools.cycle(estimates_s)):
        spec = job(step(12, estimate_s))
        submission = Submission(QUEUE, spec, 0)
        harness.engine.add_job(job_id(100 + number), submission, None, harness.now_s)
        for order in harness.engine.plan(harness.now_s).starts:
            harness.engine.start_accepted(order, harness.now_s)
        harness.now_s += 2.0
        for name in harness.names:
            harness.end_runs(name, failed=False)


def due_after_s(harness: EngineHarness, number: int, seconds: float) -> float:
    """Add a job of one task; return the time until it is due."""
    submission = Submission(QUEUE, job(step(1, seconds)), 0)
    harness.engine.add_job(job_id(number), submission, None, harness.now_s)
    return harness.engine.job_by_id[job_id(number)].due_s - harness.now_s


# Guards against a change for deployments that have not enabled it.
@pytest.mark.parametrize(
    ("settings", "as_estimated_s"), [(EngineSettings(), 0.5), (LEARNS, 2.0)]
)
def test_due_times_use_learned_run_times_if_enabled(
    settings: EngineSettings, as_estimated_s: float
):
    """A job is due as if its estimate were the time that its tasks really take."""
    harness = EngineHarness(settings=settings)
    expected_s = due_after_s(harness, 1, as_estimated_s)
    first_due_s = harness.engine.job_by_id[job_id(1)].due_s
    run_steps(harness, 0.5)
    assert due_after_s(harness, 2, 0.5) == pytest.approx(expected_s, rel=0.05)
    assert harness.engine.job_by_id[job_id(1)].due_s == first_due_s


def test_resumed_runs_of_the_engine_are_marked():
    """Guards against a start from a checkpoint that counts as a whole run."""
    harness = EngineHarness(settings=LEARNS)
    spec = job(step(2, 2.0, checkpointed=True))
    progress = JobProgress.fresh()
    progress.add_occurrence(0, spec)
    progress.tasks_by_occurrence[0][0][1].checkpoint = "c1"
    submission = Submission(QUEUE, spec, 0)
    harness.engine.add_job(job_id(1), submission, progress, harness.now_s)
    for order in harness.engine.plan(harness.now_s).starts:
        run = harness.engine.state.run(order.worker_id, order.run_id)
        assert run.is_resumed is (order.run_id.task.index == 1)


# Guards against tasks that are left on a slow worker because their estimate is far too
# long: started anew elsewhere, they would end much sooner.
@pytest.mark.parametrize(
    ("settings", "is_moved"), [(EngineSettings(), False), (LEARNS, True)]
)
def test_tasks_are_moved_by_learned_run_times_if_enabled(
    settings: EngineSettings, is_moved: bool
):
    """The estimate is twenty times the time that other workers need."""
    harness = EngineHarness(settings=settings)
    run_steps(harness, 2 * WRONG_BY, 2 / WRONG_BY)
    starts = harness.start_job(step(6, 40.0))

    def percent(run_id, since_s):
        on_slow = any(
            order.run_id == run_id and order.worker_id == SLOW_WORKER
            for order in starts
        )
        return min(99, since_s * (5 if on_slow else 48))

    reasons = harness.report_for(2.0, percent)
    assert any(text.startswith("slow") for text in reasons) is is_moved
