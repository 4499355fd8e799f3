"""Tests of what is learned about tasks that slow each other down, and of its use."""

from __future__ import annotations

import math

import pytest
from attrs import evolve

from redwingrun.coordination.clock import Clock
from redwingrun.jobs.decisionlog import MAX_PAIR_LINES, DecisionLog
from redwingrun.jobs.engine import Engine, EngineSettings
from redwingrun.jobs.interference import (
    HALF_LIFE_S,
    INTERFERENCE_COST,
    MAX_PAIRS,
    FixedInterference,
    LearnedInterference,
    Sample,
)
from redwingrun.jobs.spec import QueueSet, StepSpec, Submission
from redwingrun.jobs.workerpool import RunStatus, Worker, WorkerInfo, WorkerReport
from redwingrun.metrics import Metrics
from tests.jobs.cluster import POOL, QUEUE, TaskSize, job, job_id, make_queues, step
from tests.jobs.interferenceworld import World, WorldSettings

WORKERS = 6
RUNS_PER_PAIR = 200
MAX_WORLD_S = 800.0
SEEDS = (0, 1, 2)
VICTIM = step(1, 4.0, image="victim", lasting=True, target_ms=100)
BAD = step(1, 4.0, image="bad", lasting=True)
URGENT_BAD = step(1, 0.5, image="bad")
HARMLESS = step(1, 4.0, image="harmless", lasting=True)
FILLER = step(1, 4.0, image="filler", filler=True)


def teach(
    model: LearnedInterference, victim: str, neighbour: str, factor: float, now_s: float
) -> None:
    """Let a model learn the effect of a pair, from many workers without noise.

    :param now_s: when it has learned.
    """
    for second in range(-30, 1):
        alone = [Sample(victim, {}, f"w{number}", 0.0) for number in range(16)]
        beside = [
            Sample(victim, {neighbour: 1.0}, f"w{number}", math.log(factor))
            for number in range(16, 32)
        ]
        model.learn([*alone, *beside], now_s + second)


class Slice:
    """An engine that may learn, with workers of four cores and serving tasks.

    :param learns: whether the engine learns.
    """

    def __init__(self, learns: bool = True):
        self.engine = Engine(EngineSettings(learns_interference=learns))
        queue = make_queues().queue_by_name[QUEUE]
        later = evolve(queue, name="later", priority=2)
        self.engine.set_queues(QueueSet(1, {QUEUE: queue, "later": later}))
        self.now_s = 100.0
        self.jobs = 0
        for number in range(WORKERS):
            name = f"w{number}"
            capacity = TaskSize(4000, 64_000)
            info = WorkerInfo(name, "", POOL, capacity=capacity, born_ms=7)
            self.engine.register_worker(info)
            self.report(name)

    def report(self, name: str, metric: float = 40) -> None:
        """Let a worker report all its runs."""
        worker = self.engine.worker_by_id[name]
        running = tuple(RunStatus(key, "", 10, metric) for key in worker.run_by_id)
        report = WorkerReport(self.now_s * 1000, running, (), born_ms=7)
        self.engine.process_report(name, report, self.now_s, self.now_s)

    def start(self, spec: StepSpec, tasks: int, queue: str = "later") -> list[str]:
        """Submit a job; return the workers of its tasks that start."""
        self.jobs += 1
        submission = Submission(queue, job(evolve(spec, tasks=tasks)), 0)
        self.engine.add_job(job_id(self.jobs), submission, None, self.now_s)
        starts = self.engine.plan(self.now_s).starts
        for order in starts:
            self.engine.start_accepted(order, self.now_s)
        return [order.worker_id for order in starts]

    def workers_with_image(self, image: str) -> set[str]:
        """Return the workers with a run of an image."""
        return {
            worker.worker_id
            for worker in self.engine.worker_by_id.values()
            if image in worker.count_by_image
        }


@pytest.fixture(scope="module")
def worlds() -> list[World]:
    """Return worlds of which each bad pair has been observed for long enough."""
    worlds = [World(WorldSettings(), seed) for seed in SEEDS]
    for world in worlds:
        world.run_until_observed(RUNS_PER_PAIR, MAX_WORLD_S)
    return worlds


def test_nine_of_ten_bad_pairs_are_found_and_few_named_wrongly(worlds: list[World]):
    """Guards against a model that misses pairs, or names what only looks like one.

    The worlds have load, noise, two kinds of workers, wrong estimates and tasks that
    come and go. Of the harmless pairs under one in fifty is ever named.
    """
    bad = sum(len(world.slowdown_by_pair) for world in worlds)
    harmless = sum(len(world.harmless) for world in worlds)
    found = sum(
        world.runs_when_named[pair] <= RUNS_PER_PAIR
        for world in worlds
        for pair in world.named() - world.harmless
    )
    wrong = sum(len(world.ever_named & world.harmless) for world in worlds)
    assert found >= 0.9 * bad
    assert wrong < harmless / 50


def test_measured_slowdowns_are_near_the_true_ones(worlds: list[World]):
    """Guards against costs that are out of proportion."""
    for world in worlds:
        for pair in world.named() - world.harmless:
            true = world.slowdown_by_pair[pair]
            assert 1 + (true - 1) / 3 < world.model.slowdown(*pair) < 1.25 * true


def test_effects_that_change_are_learned_again(worlds: list[World]):
    """Guards against a model that keeps what it learned first."""
    world = worlds[0]
    world.draw_effects()
    world.run_until_observed(RUNS_PER_PAIR, MAX_WORLD_S)
    bad = world.slowdown_by_pair.keys()
    assert len(world.named() & bad) >= 0.9 * len(bad)
    assert len(world.named() - bad) < len(world.harmless) / 50


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_workers_and_wrong_estimates_are_not_taken_for_interference(seed: int):
    """Guards against blaming the neighbour that happens to run on slow workers."""
    settings = WorldSettings(
        bad_share=0.0,
        broken_workers=4,
        broken_neighbour="serves-1",
        noise=0.3,
        estimate_error=1.2,
    )
    world = World(settings, seed)
    world.run(400.0)
    assert len(world.ever_named) < len(world.harmless) / 50


def test_an_unknown_pair_follows_the_fixed_rule():
    """Guards against a new owner that places fillers beside serving tasks."""
    learned, fixed = LearnedInterference(), FixedInterference()
    place = Slice()
    place.start(VICTIM, 2)
    place.start(FILLER, 1)
    place.start(HARMLESS, 2)
    workers = place.engine.worker_by_id.values()
    costs = []
    for spec in (VICTIM, FILLER, BAD, HARMLESS):
        for worker in workers:
            costs.append(learned.cost(spec, worker))
            assert costs[-1] == fixed.cost(spec, worker)
            assert learned.known_cost(spec, worker) == 0
    assert {0, INTERFERENCE_COST} == set(costs)


def test_a_pair_that_is_known_to_be_harmless_costs_nothing():
    """The fixed rule used to keep all fillers from all serving tasks."""
    model = LearnedInterference()
    teach(model, "victim", "filler", 1.0, 100.0)
    assert model.is_confident("victim", "filler")
    assert model.slowdown("victim", "filler") == pytest.approx(1.0)
    place = Slice()
    place.start(VICTIM, 1)
    (name,) = place.workers_with_image("victim")
    worker = place.engine.worker_by_id[name]
    assert model.cost(FILLER, worker) == 0
    assert model.cost(evolve(FILLER, image="other"), worker) == INTERFERENCE_COST


def start_beside(
    first: StepSpec, second: StepSpec, queue: str, learns: bool
) -> tuple[set[str], list[str]]:
    """Start three tasks of a step where three of another run on emptier workers.

    :param learns: whether it is known that they disturb each other.
    :return: the workers of the first step, and those of the second.
    """
    place = Slice(learns)
    place.start(evolve(HARMLESS, size=TaskSize(2000, 100)), 3)
    beside = set(place.start(first, 3))
    if learns:
        teach(place.engine.learned_interference, "victim", "bad", 1.5, place.now_s)
    return beside, place.start(second, 3, queue)


@pytest.mark.parametrize(
    ("first", "second", "queue"),
    [
        (VICTIM, BAD, "later"),
        (BAD, VICTIM, "later"),
        (VICTIM, BAD, QUEUE),
        (BAD, VICTIM, QUEUE),
        (VICTIM, URGENT_BAD, QUEUE),
    ],
)
def test_bad_pairs_are_kept_apart_where_there_is_room(
    first: StepSpec, second: StepSpec, queue: str
):
    """Both the new task and the running one may be the victim.

    Guards against the emptier workers, which get the tasks as long as nothing is known.
    Lasting and less urgent tasks are spread, others fill the best worker.
    """
    beside, chosen = start_beside(first, second, queue, learns=False)
    assert len(chosen) == 3
    assert set(chosen) <= beside
    beside, chosen = start_beside(first, second, queue, learns=True)
    assert len(chosen) == 3
    assert not set(chosen) & beside


def test_nothing_waits_because_of_a_bad_pair():
    """Guards against work that is kept waiting while there is room."""
    place = Slice()
    place.start(VICTIM, WORKERS)
    assert len(place.workers_with_image("victim")) == WORKERS
    teach(place.engine.learned_interference, "victim", "bad", 2.0, place.now_s)
    assert len(place.start(BAD, 3 * WORKERS)) == 3 * WORKERS


def test_a_new_owner_starts_from_the_fixed_rule():
    """What a former owner learned is not stored."""
    place = Slice()
    teach(place.engine.learned_interference, "victim", "bad", 2.0, place.now_s)
    assert place.engine.learned_interference.is_bad("victim", "bad")
    successor = Slice().engine.learned_interference
    assert not successor.is_confident("victim", "bad")
    assert successor.slowdown("victim", "bad") == 1.0
    assert successor.known_pairs == 0


def test_a_pair_that_is_kept_apart_is_tried_again():
    """Guards against a pair that is avoided for ever, although its effect may end."""
    model = LearnedInterference()
    teach(model, "victim", "bad", 1.5, 100.0)
    assert model.is_bad("victim", "bad")
    model.learn([], 100.0 + 20 * HALF_LIFE_S)
    assert not model.is_confident("victim", "bad")
    assert [change.is_bad for change in model.pop_changes(10)] == [False]


def test_one_worker_does_not_make_a_pair_known():
    """Guards against blaming a neighbour for a single slow worker."""
    model = LearnedInterference()
    for second in range(100):
        batch = [
            Sample("victim", {"bad": 1.0}, "w1", 0.8),
            *(Sample("victim", {}, f"w{other}", 0.0) for other in range(2, 6)),
        ]
        model.learn(batch, 100.0 + second)
    assert not model.is_confident("victim", "bad")


def test_the_number_of_pairs_is_bounded():
    """Guards against growth with the number of images that clients use."""
    model = LearnedInterference()
    for number in range(MAX_PAIRS + 100):
        model.learn(
            [
                Sample("victim", {f"image-{number}": 1.0}, "w1", 0.0),
                Sample("victim", {}, "w2", 0.0),
                Sample("victim", {}, "w3", 0.0),
            ],
            100.0,
        )
    assert len(model._pair_by_images) == MAX_PAIRS


def test_a_worker_counts_its_images_only_while_they_are_needed():
    """Guards against counts that drift from the runs, and against cost when off."""
    place = Slice()
    place.start(VICTIM, 2)
    place.start(FILLER, 3)
    for worker in place.engine.worker_by_id.values():
        runs = list(worker.run_by_id.values())
        assert {run.image for run in runs} == worker.count_by_image.keys()
        assert sum(item.runs for item in worker.count_by_image.values()) == len(runs)
        for run in runs:
            worker.remove(run.run_id)
        assert not worker.count_by_image
    off = Slice(learns=False)
    off.start(VICTIM, 2)
    assert not any(item.count_by_image for item in off.engine.worker_by_id.values())


def placements(learns: bool) -> list[list[str]]:
    """Return where the same jobs are placed, before anything is learned."""
    place = Slice(learns)
    return [
        place.start(VICTIM, 3),
        place.start(FILLER, 4, QUEUE),
        place.start(URGENT_BAD, 5, QUEUE),
        place.start(FILLER, 2),
        place.start(VICTIM, 2, QUEUE),
        place.start(HARMLESS, 4),
    ]


def test_placement_is_the_same_until_something_is_learned():
    """Guards against a switch that changes placement by itself."""
    assert placements(learns=True) == placements(learns=False)


def test_without_the_switch_nothing_is_learned():
    """Guards against work and memory in deployments that did not ask for it."""
    off = Slice(learns=False)
    assert off.engine.learned_interference is None
    off.start(VICTIM, 3)
    for name in list(off.engine.worker_by_id):
        off.report(name)
    assert not EngineSettings().learns_interference


def test_the_engine_learns_from_the_reports_of_its_workers():
    """Guards against a meter that is not connected."""
    place = Slice()
    victims = place.start(VICTIM, WORKERS)
    beside = set(place.start(BAD, 3))
    for _ in range(200):
        place.now_s += 0.5
        for name in victims:
            place.report(name, 80 if name in beside else 40)
    model = place.engine.learned_interference
    assert model.slowdown("victim", "bad") > 1.5


class _Clock(Clock):
    now_s = 100.0

    def now(self) -> float:
        return self.now_s


class _Log:
    def __init__(self) -> None:
        self.events: list[str] = []

    def event(self, name: str, **fields: object) -> None:
        self.events.append(name)


def test_changes_are_logged_in_bounded_number_and_counted():
    """Guards against a flood of lines when much is learned at once."""
    place = Slice()
    model = place.engine.learned_interference
    for number in range(MAX_PAIR_LINES + 2):
        teach(model, "victim", f"bad-{number}", 1.6, place.now_s)
    log, clock, metrics = _Log(), _Clock(), Metrics()
    decisions = DecisionLog(log, place.engine, clock, metrics)
    decisions.interference()
    decisions.interference()
    assert log.events == ["interference-known"] * MAX_PAIR_LINES
    clock.now_s += 2.0
    decisions.interference()
    assert log.events == ["interference-known"] * (MAX_PAIR_LINES + 2)
    assert f"interfering_pairs {MAX_PAIR_LINES + 2}" in metrics.text()


def test_a_worker_is_looked_at_once_per_image():
    """Guards against a cost of placement that grows with the runs of a worker."""
    model = LearnedInterference()
    teach(model, "victim", "bad", 1.5, 100.0)
    worker = Worker(WorkerInfo("w1", "", POOL, capacity=TaskSize(4000, 64_000)))
    worker.run_by_id = None
    assert model.cost(VICTIM, worker) == 0


def test_a_paused_filler_is_not_taken_for_its_effect():
    """Guards against high latencies of a busy hour that count for a paused filler."""
    place = Slice()
    victims = place.start(VICTIM, WORKERS)
    place.start(FILLER, WORKERS)
    model = place.engine.learned_interference
    for worker in place.engine.worker_by_id.values():
        for run in worker.run_by_id.values():
            run.pace_percent = 0 if run.is_filler else 100
    for _ in range(100):
        place.now_s += 0.5
        for name in victims:
            place.report(name, 300)
    assert model.slowdown("victim", "filler") == 1.0
    assert not model.is_confident("victim", "filler")


def test_tasks_without_an_image_are_not_learned_about():
    """Guards against averages over tasks that have nothing in common."""
    place = Slice()
    victims = place.start(evolve(VICTIM, image=""), WORKERS)
    beside = set(place.start(BAD, 3))
    for _ in range(200):
        place.now_s += 0.5
        for name in victims:
            place.report(name, 80 if name in beside else 40)
    model = place.engine.learned_interference
    assert model.slowdown("", "bad") == 1.0
