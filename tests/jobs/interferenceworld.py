"""Workers in virtual time whose tasks slow each other down by known amounts.

Runs are placed at random, so that what is learned does not depend on placement.
"""

from __future__ import annotations

import math
import random
from collections import Counter

from attrs import define, field, frozen

from redwingrun.jobs.interference import LearnedInterference
from redwingrun.jobs.interferencemeter import InterferenceMeter
from redwingrun.jobs.job import Job
from redwingrun.jobs.progress import JobProgress
from redwingrun.jobs.slicestate import SliceState
from redwingrun.jobs.spec import Queue, RunId, StepId, Submission
from redwingrun.jobs.speedmeter import SpeedMeter
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.workerpool import RunPhase, Worker, WorkerInfo
from tests.jobs.cluster import job, step

REPORT_INTERVAL_S = 0.5
LOAD_PERIOD_S = 40.0
TASKS_PER_STEP = 17
KIND_FACTORS = {"fast": 1.0, "slow": 1.6}


@frozen
class WorldSettings:
    """What a world is made of.

    :param runs_per_worker: number of runs that a worker has at any time.
    :param bad_share: share of the pairs that are bad.
    :param noise: standard deviation of the logarithm of a figure, and of the length of
        a task within its step.
    :param load: amplitude of the logarithm of the latency that a serving task's load
        causes.
    :param estimate_error: standard deviation of the logarithm of a step's estimate.
    :param broken_workers: number of workers that are slow whatever their neighbours.
    :param broken_neighbour: image of which broken workers always have a run; empty for
        none.
    """

    workers: int = 24
    runs_per_worker: int = 6
    serving: int = 6
    finite: int = 4
    fillers: int = 6
    bad_share: float = 0.15
    slowdowns: tuple[float, float] = (1.4, 2.2)
    noise: float = 0.2
    load: float = 0.25
    estimate_error: float = 0.9
    broken_workers: int = 0
    broken_factor: float = 2.5
    broken_neighbour: str = ""


@define
class _Task:
    """A run of the world, as it really is.

    :ivar length_s: run time alone on a worker of ordinary speed.
    """

    image: str
    ends_s: float
    length_s: float = 0.0
    percent: float = 0.0
    beside: set[str] = field(factory=set)


class World:
    """Known effects, a state that reports are applied to, and what is learned."""

    def __init__(self, settings: WorldSettings, seed: int):
        self.settings = settings
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.state = SliceState()
        self.state.counts_images = True
        self.model = LearnedInterference()
        speed_model = SpeedModel()
        self.speed_meter = SpeedMeter(speed_model)
        self.meter = InterferenceMeter(self.state, self.model, speed_model)
        self.serving = [f"serves-{n}" for n in range(settings.serving)]
        self.finite = [f"works-{n}" for n in range(settings.finite)]
        self.fillers = [f"fills-{n}" for n in range(settings.fillers)]
        self.images = self.serving + self.finite + self.fillers
        self.pairs = [
            (victim, neighbour)
            for victim in self.serving + self.finite
            for neighbour in self.images
            if victim != neighbour
        ]
        self.slowdown_by_pair: dict[tuple[str, str], float] = {}
        self.draw_effects()
        self.runs_by_pair: Counter[tuple[str, str]] = Counter()
        self.ever_named: set[tuple[str, str]] = set()
        # Of each pair, the number of its runs when it was first named.
        self.runs_when_named: dict[tuple[str, str], int] = {}
        self._task_by_run: dict[RunId, _Task] = {}
        self._step_by_image: dict[str, StepId] = {}
        self._length_by_step: dict[StepId, float] = {}
        self._next_by_step: Counter[StepId] = Counter()
        self._jobs = 0
        for number in range(settings.workers):
            kind = ("fast", "slow")[number % 2]
            info = WorkerInfo(f"w{number}", "", "", kind=kind)
            self.state.worker_by_id[info.worker_id] = Worker(info)

    def draw_effects(self) -> None:
        """Choose the bad pairs and their slowdowns anew."""
        count = round(self.settings.bad_share * len(self.pairs))
        self.slowdown_by_pair = {
            pair: self.random.uniform(*self.settings.slowdowns)
            for pair in self.random.sample(self.pairs, count)
        }

    @property
    def harmless(self) -> set[tuple[str, str]]:
        """The pairs without an effect."""
        return set(self.pairs) - self.slowdown_by_pair.keys()

    def named(self) -> set[tuple[str, str]]:
        """Return the pairs that are known to be bad."""
        return {pair for pair in self.pairs if self.model.is_bad(*pair)}

    def run(self, seconds: float) -> None:
        """Let time pass, with reports at intervals."""
        ends_s = self.now_s + seconds
        while self.now_s < ends_s:
            self.now_s += REPORT_INTERVAL_S
            for worker in self.state.worker_by_id.values():
                self._advance(worker)
                self._remove_ended(worker)
                self.meter.report_applied(worker, self.now_s)
                self._start_new(worker)
            for pair in self.named() - self.ever_named:
                self.runs_when_named[pair] = self.runs_by_pair[pair]
                self.ever_named.add(pair)

    def run_until_observed(self, runs: int, max_s: float) -> None:
        """Let time pass until each bad pair has been observed in a number of runs."""
        self.runs_by_pair.clear()
        ends_s = self.now_s + max_s
        while self.now_s < ends_s and any(
            self.runs_by_pair[pair] < runs for pair in self.slowdown_by_pair
        ):
            self.run(5.0)

    def _factor(self, worker: Worker, image: str) -> float:
        """Return the slowdown of a run by its worker and its neighbours."""
        number = int(worker.worker_id[1:])
        factor = KIND_FACTORS[worker.info.kind]
        if number < self.settings.broken_workers:
            factor *= self.settings.broken_factor
        for neighbour in worker.count_by_image:
            factor *= self.slowdown_by_pair.get((image, neighbour), 1.0)
        return factor

    def _advance(self, worker: Worker) -> None:
        for run_id, run in worker.run_by_id.items():
            task = self._task_by_run[run_id]
            factor = self._factor(worker, task.image)
            task.beside |= worker.count_by_image.keys() - {task.image}
            noise = self.random.gauss(0, self.settings.noise)
            if run.target_ms:
                phase = 2 * math.pi * self.now_s / LOAD_PERIOD_S + len(task.image)
                load = self.settings.load * math.sin(phase)
                run.metric_value = round(40 * factor * math.exp(noise + load))
            elif task.length_s:
                speed = 100 / (task.length_s * factor)
                if task.percent + speed * REPORT_INTERVAL_S >= 100:
                    since_report_s = (100 - task.percent) / speed
                    task.ends_s = self.now_s - REPORT_INTERVAL_S + since_report_s
                task.percent = min(100, task.percent + speed * REPORT_INTERVAL_S)
                run.percent = math.floor(task.percent)

    def _remove_ended(self, worker: Worker) -> None:
        for run_id, run in list(worker.run_by_id.items()):
            task = self._task_by_run[run_id]
            job_ = self.state.job_by_id[run_id.task.job]
            if task.percent < 100 and self.now_s < task.ends_s:
                self.speed_meter.run_reported(worker, run, job_, self.now_s)
                continue
            self.runs_by_pair.update((task.image, other) for other in task.beside)
            worker.remove(run_id)
            del self._task_by_run[run_id]
            if task.length_s:
                self.speed_meter.run_done(worker, run, job_, task.ends_s)
                self.meter.run_done(worker, run, task.ends_s)

    def _start_new(self, worker: Worker) -> None:
        number = int(worker.worker_id[1:])
        fixed = self.settings.broken_neighbour
        if number < self.settings.broken_workers and fixed not in worker.count_by_image:
            self._start(worker, fixed or self.random.choice(self.images))
        while len(worker.run_by_id) < self.settings.runs_per_worker:
            self._start(worker, self.random.choice(self.images))

    def _start(self, worker: Worker, image: str) -> None:
        """Start the next task of an image on a worker."""
        step_id = self._step_by_image.get(image)
        index = 0 if step_id is None else self._next_index(step_id)
        if step_id is None or index >= TASKS_PER_STEP:
            step_id, index = self._new_step(image), 0
        job_ = self.state.job_by_id[step_id.job]
        run_id = RunId(step_id.task(index), 1)
        run = self.state.add_run(job_, run_id, worker, self.now_s)
        run.phase = RunPhase.ALIVE
        length_s = self._length_by_step[step_id]
        if length_s:
            length_s *= math.exp(self.random.gauss(0, self.settings.noise))
        ends_s = self.now_s + self.random.uniform(5, 20)
        task = _Task(image, math.inf if length_s else ends_s, length_s)
        self._task_by_run[run_id] = task

    def _next_index(self, step_id: StepId) -> int:
        self._next_by_step[step_id] += 1
        return self._next_by_step[step_id]

    def _new_step(self, image: str) -> StepId:
        """Add a job with one step of an image, whose estimate is wrong."""
        self._jobs += 1
        length_s = 0.0
        if image in self.finite:
            error = self.random.gauss(0, self.settings.estimate_error)
            length_s = 4.8 * math.exp(error)
        spec = job(
            step(
                TASKS_PER_STEP,
                4.8,
                image=image,
                filler=image in self.fillers,
                lasting=image in self.serving,
                target_ms=100 if image in self.serving else 0,
            )
        )
        name = f"job-{self._jobs}"
        submission = Submission("", spec)
        progress = JobProgress.fresh()
        self.state.job_by_id[name] = Job(name, submission, Queue("", ""), progress, 0.0)
        step_id = StepId(name, 0, 0)
        self._step_by_image[image] = step_id
        self._length_by_step[step_id] = length_s
        self._next_by_step[step_id] = 0
        return step_id
