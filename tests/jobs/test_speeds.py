"""Tests of what is learned about the speed of workers from the runs that are done."""

from __future__ import annotations

import math
import random

from redwingrun.jobs.spec import StepId
from redwingrun.jobs.speeds import SpeedModel
from tests.jobs.cluster import job_id

# Run time relative to the average worker.
SLOWNESS_BY_KIND = {"fast": 0.7, "slow": 1.7}
TASK_S = 4.0


def learn_step(model: SpeedModel, number: int, estimate_error: float, kinds) -> None:
    """Let the tasks of a step be done, one on each of some workers.

    :param estimate_error: ratio of the tasks' run time to the estimate.
    :param kinds: kind of each worker, in the order in which the tasks end.
    """
    step_id = StepId(job_id(number), 0, 0)
    for index, kind in enumerate(kinds):
        ran_s = TASK_S * SLOWNESS_BY_KIND[kind]
        model.learn(
            step_id, "q", f"{kind}{index}", kind, ran_s, TASK_S / estimate_error
        )


def test_the_error_of_an_estimate_is_not_taken_for_the_speed_of_workers():
    """The first steps of a day are few: urgent work went to the slow kind for seconds.

    The step on the fast workers was estimated too short, the one that had also slow
    ones too long.
    """
    model = SpeedModel()
    learn_step(model, 1, 2.5, ["fast"] * 16 + ["slow"] * 2)
    learn_step(model, 2, 0.4, ["fast"] * 3 + ["slow"] * 3)
    assert model.slowness("new", "fast") < model.slowness("new", "slow")


def test_the_ratio_of_two_kinds_is_learned_from_a_few_steps():
    """With estimates that are off by a factor of up to three either way."""
    random.seed(1)
    model = SpeedModel()
    for number in range(8):
        error = math.exp(random.uniform(-1.1, 1.1))
        learn_step(model, number, error, ["fast"] * 6 + ["slow"] * 6)
    ratio = model.slowness("new", "slow") / model.slowness("new", "fast")
    assert 1.8 < ratio < 3.0


def test_slowness_stays_relative_to_the_average_worker():
    """Runs are compared with each other only, which must not let all values drift."""
    random.seed(2)
    model = SpeedModel()
    for number in range(600):
        error = math.exp(random.uniform(-1.1, 1.1))
        learn_step(model, number, error, ["fast"] * 2 + ["slow"] * 2)
    product = model.slowness("new", "slow") * model.slowness("new", "fast")
    assert abs(math.log(product)) < 0.2


def test_a_single_slow_worker_is_told_from_its_kind():
    """Its own runs count more than those of its kind, after some of them."""
    model = SpeedModel()
    for number in range(20):
        step_id = StepId(job_id(number), 0, 0)
        for worker_id, ran_s in (("w1", 1.0), ("w2", 1.0), ("w3", 3.0)):
            model.learn(step_id, "q", worker_id, "kind", ran_s, 1.0)
    assert model.slowness("w3", "kind") > 1.5 * model.slowness("w1", "kind")
