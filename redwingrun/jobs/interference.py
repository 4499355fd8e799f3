"""Tells which tasks slow each other down on one worker, and what that costs.

:class:`FixedInterference` knows one rule: a filler disturbs a serving task.
:class:`LearnedInterference` starts from it, and learns by pair of images.
"""

from __future__ import annotations

import math
import statistics
import zlib
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import ClassVar

from attrs import define, field, frozen

from redwingrun.jobs.spec import StepSpec
from redwingrun.jobs.workerpool import Worker

# Cost of a filler and a serving task side by side, in multiples of a task's average
# run time. It exceeds what placement grants an empty worker, so that it decides
# between workers that are otherwise alike.
INTERFERENCE_COST = 0.6
# The sum over all pairs on a worker costs no more than this.
MAX_COST = 2.0
# A pair is bad if the victim certainly takes longer than this, relative to being alone.
BAD_SLOWDOWN = 1.1
# A known bad pair ceases to be one below this, so that it does not alternate.
CEASED_SLOWDOWN = 1.07
# How many standard errors the bad slowdown must be below the measured one. Each pair is
# tested again with each sample, so two would name too many.
CERTAIN_ERRORS = 3.0
# A pair with a standard error up to this is also confident when it is harmless.
MAX_HARMLESS_ERROR = 0.06
# The sum of the weights of a pair's samples that makes it known.
MIN_SAMPLES = 10.0
# A pair that has been observed for less is not known: samples of successive seconds are
# alike, and slow workers are not told apart yet.
MIN_OBSERVED_S = 20.0
# A known pair remains known down to this, while it is kept apart and not observed.
MIN_KEPT_SAMPLES = 5.0
# With this weight of samples, half of the measured effect is believed.
PRIOR_SAMPLES = 4.0
# A pair's samples are averaged by groups of workers, so that one slow worker shows as
# a difference between groups and not as an effect.
WORKER_GROUPS = 8
MIN_WORKER_GROUPS = 4
# Bound on the weight of a group's average: about the last 12 samples count.
MAX_GROUP_SAMPLES = 12.0
# Effects drift: the weight of what was learned halves in this time.
HALF_LIFE_S = 200.0
# A sample with less of the neighbour says too little about it.
MIN_DOSE = 0.3
# Number of samples without the neighbour that a comparison needs.
MIN_CONTROLS = 2
# Bound on a sample, the natural logarithm of a slowdown; limits outliers.
MAX_LOG_SLOWDOWN = 1.5
# Bounds the memory; the pair that was observed least recently is dropped above it.
MAX_PAIRS = 500
KNOWN_CHECK_INTERVAL_S = 5.0
# Bounds on the memory for workers and for the victims on each. Fewer victims do not
# tell a slow worker from interference.
MAX_WORKERS = 500
MAX_OFFSET_IMAGES = 16
MIN_OFFSET_IMAGES = 3
# Weight of a new sample of a victim on a worker.
OFFSET_WEIGHT = 0.1
# Changes that are not fetched; the oldest are dropped above this.
MAX_CHANGES = 50


@frozen
class PairChange:
    """A pair of images that has become known as bad, or has ceased to be.

    :param slowdown: run time or tail latency of the victim beside the neighbour, as a
        multiple of that without it.
    """

    victim: str
    neighbour: str
    is_bad: bool
    slowdown: float


class Interference(ABC):
    """What is known about tasks that slow each other down.

    :cvar is_learned: whether pairs of images are measured.
    """

    is_learned: ClassVar[bool] = False

    @abstractmethod
    def cost(self, step: StepSpec, worker: Worker) -> float:
        """Return the cost of a task beside the runs of a worker.

        In multiples of a task's average run time; the effects on the task and on the
        runs are added.
        """

    def known_cost(self, step: StepSpec, worker: Worker) -> float:
        """Return the part of the cost that was measured, 0 without measurements."""
        return 0.0


class FixedInterference(Interference):
    """The rule that holds without measurements; it looks at a worker's runs."""

    def cost(self, step: StepSpec, worker: Worker) -> float:
        """Return a fixed cost for a filler and a serving task side by side."""
        runs = worker.run_by_id.values()
        if step.filler:
            interferes = any(run.target_ms for run in runs)
        else:
            interferes = bool(step.target_ms) and any(run.is_filler for run in runs)
        return INTERFERENCE_COST if interferes else 0.0


@frozen
class Sample:
    """A measurement of a run beside its neighbours.

    :param victim: the run's image.
    :param dose_by_neighbour: by image, the share of the time for which it was there,
        times its pace.
    :param log_time: natural logarithm of the tail latency, or of the time for a part of
        the work, on a worker of average speed.
    """

    victim: str
    dose_by_neighbour: Mapping[str, float]
    worker_id: str
    log_time: float


@define
class _Pair:
    """The measured effect of a neighbour on a victim, as logarithm of the slowdown.

    :ivar updated_s: monotonic time to which the weights are aged.
    :ivar first_s: monotonic time of the first sample.
    :ivar is_bad: whether it was last announced as bad.
    """

    updated_s: float
    first_s: float = field(init=False)
    is_bad: bool = False
    _weights: list[float] = field(factory=lambda: [0.0] * WORKER_GROUPS)
    _means: list[float] = field(factory=lambda: [0.0] * WORKER_GROUPS)
    _variance: float = 0.0

    @first_s.default
    def _set_first(self) -> float:
        return self.updated_s

    def add(self, samples: Sequence[tuple[int, float, float]], now_s: float) -> None:
        """Add samples.

        :param samples: of each, the number of its group of workers, its value and its
            weight of up to 1.
        """
        self.age(now_s)
        mean, total = self.mean(), self.samples
        for group, value, weight in samples:
            total = min(total + weight, WORKER_GROUPS * MAX_GROUP_SAMPLES)
            deviation = weight * (value - mean) ** 2
            self._variance += weight / total * (deviation - self._variance)
            new_weight = min(MAX_GROUP_SAMPLES, self._weights[group] + weight)
            self._weights[group] = new_weight
            self._means[group] += weight / new_weight * (value - self._means[group])

    def age(self, now_s: float) -> None:
        """Reduce the weights by the time since the last call."""
        factor = 0.5 ** (max(0.0, now_s - self.updated_s) / HALF_LIFE_S)
        self.updated_s = now_s
        self._weights = [weight * factor for weight in self._weights]

    @property
    def samples(self) -> float:
        """The sum of the weights."""
        return sum(self._weights)

    def mean(self) -> float:
        """Return the average of the samples, 0 without any."""
        samples = self.samples
        if not samples:
            return 0.0
        weighted = zip(self._weights, self._means, strict=True)
        return sum(weight * mean for weight, mean in weighted) / samples

    def effect(self) -> float:
        """Return the average, shrunk towards no effect."""
        samples = self.samples
        return self.mean() * samples / (samples + PRIOR_SAMPLES)

    def error(self) -> float:
        """Return the standard error; infinite with too little time, samples or workers.

        The larger one counts of that between single samples and that between groups of
        workers.
        """
        samples = self.samples
        groups = sum(weight >= 1 for weight in self._weights)
        is_young = self.updated_s - self.first_s < MIN_OBSERVED_S
        if is_young or samples < MIN_SAMPLES or groups < MIN_WORKER_GROUPS:
            return math.inf
        mean = self.mean()
        squares = sum(
            (weight * (group_mean - mean)) ** 2
            for weight, group_mean in zip(self._weights, self._means, strict=True)
        )
        between = squares / samples**2 * groups / (groups - 1)
        return math.sqrt(max(between, self._variance / samples))

    def should_be_bad(self) -> bool:
        """Return whether the pair is bad by what is known now."""
        effect = self.effect()
        if self.is_bad:
            is_known = self.samples >= MIN_KEPT_SAMPLES
            return is_known and effect > math.log(CEASED_SLOWDOWN)
        margin = CERTAIN_ERRORS * self.error()
        return effect - margin > math.log(BAD_SLOWDOWN)

    def is_harmless(self) -> bool:
        """Return whether the neighbour certainly has no bad effect."""
        return (
            not self.is_bad
            and self.error() <= MAX_HARMLESS_ERROR
            and self.effect() < math.log(CEASED_SLOWDOWN)
        )


class _WorkerOffsets:
    """How much slower the tasks of all images are on a worker than elsewhere.

    That is no interference. The median over images counts, so that one victim of a
    neighbour that is always there does not look like a slow worker.
    """

    def __init__(self) -> None:
        self._by_worker: OrderedDict[str, dict[str, float]] = OrderedDict()

    def offset(self, worker_id: str) -> float:
        """Return the logarithm of a worker's slowness; 0 if it is not known."""
        by_victim = self._by_worker.get(worker_id, {})
        if len(by_victim) < MIN_OFFSET_IMAGES:
            return 0.0
        return statistics.median(by_victim.values())

    def add(self, sample: Sample, remainder: float) -> None:
        """Record a sample.

        :param remainder: its difference from others, beyond the offset.
        """
        offset = self.offset(sample.worker_id)
        by_victim = self._by_worker.setdefault(sample.worker_id, {})
        self._by_worker.move_to_end(sample.worker_id)
        if len(self._by_worker) > MAX_WORKERS:
            self._by_worker.popitem(last=False)
        if len(by_victim) >= MAX_OFFSET_IMAGES and sample.victim not in by_victim:
            by_victim.clear()
        value = by_victim.get(sample.victim, 0.0)
        deviation = remainder + offset - value
        by_victim[sample.victim] = value + OFFSET_WEIGHT * deviation


class LearnedInterference(Interference):
    """Learns the slowdown of a victim image beside a neighbour image.

    Until a pair is known, the rule of :class:`FixedInterference` holds for it. Needs
    workers that count their images.
    """

    is_learned = True

    def __init__(self) -> None:
        self._pair_by_images: OrderedDict[tuple[str, str], _Pair] = OrderedDict()
        self._workers = _WorkerOffsets()
        # Of the bad pairs, in both directions: the cost by image and other image.
        self._costs_by_image: dict[str, dict[str, float]] = {}
        self._harmless: set[tuple[str, str]] = set()
        self._bad: set[tuple[str, str]] = set()
        self._changes: OrderedDict[tuple[str, str], PairChange] = OrderedDict()
        self._checked_s = -math.inf

    @property
    def known_pairs(self) -> int:
        """The number of pairs that are known to be bad."""
        return len(self._bad)

    def slowdown(self, victim: str, neighbour: str) -> float:
        """Return how much longer a victim takes beside a neighbour; 1 is no effect."""
        pair = self._pair_by_images.get((victim, neighbour))
        return math.exp(pair.effect()) if pair else 1.0

    def is_bad(self, victim: str, neighbour: str) -> bool:
        """Return whether a pair is known to be bad."""
        return (victim, neighbour) in self._bad

    def is_confident(self, victim: str, neighbour: str) -> bool:
        """Return whether a pair is known to be bad or known to be harmless."""
        images = victim, neighbour
        return images in self._bad or images in self._harmless

    def pop_changes(self, count: int) -> list[PairChange]:
        """Return and forget the oldest changes, at most ``count`` of them."""
        count = min(count, len(self._changes))
        return [self._changes.popitem(last=False)[1] for _ in range(count)]

    def cost(self, step: StepSpec, worker: Worker) -> float:
        """Return the measured cost, or the fixed one for a pair that is not known."""
        known = self.known_cost(step, worker)
        if known < INTERFERENCE_COST and self._follows_fixed_rule(step, worker):
            return INTERFERENCE_COST
        return known

    def known_cost(self, step: StepSpec, worker: Worker) -> float:
        """Return the cost of the bad pairs of a task and the runs of a worker."""
        cost_by_image = self._costs_by_image.get(step.image)
        if not cost_by_image:
            return 0.0
        cost = sum(cost_by_image.get(image, 0.0) for image in worker.count_by_image)
        return min(MAX_COST, cost)

    def _follows_fixed_rule(self, step: StepSpec, worker: Worker) -> bool:
        """Return whether the fixed rule applies to a pair that is not known."""
        if not step.filler and not step.target_ms:
            return False
        for image, count in worker.count_by_image.items():
            if step.filler and count.serving:
                victim, neighbour = image, step.image
            elif not step.filler and count.fillers:
                victim, neighbour = step.image, image
            else:
                continue
            if not self.is_confident(victim, neighbour):
                return True
        return False

    def learn(self, batch: Sequence[Sample], now_s: float) -> None:
        """Learn from samples of one victim that are alike apart from the neighbours.

        The effect of a neighbour is the difference from the samples without it, after
        the effects of the other neighbours.
        """
        remainders = [
            sample.log_time
            - self._explained(sample)
            - self._workers.offset(sample.worker_id)
            for sample in batch
        ]
        totals: dict[str, float] = {}
        counts: dict[str, int] = {}
        for sample, remainder in zip(batch, remainders, strict=True):
            for image in sample.dose_by_neighbour:
                totals[image] = totals.get(image, 0.0) + remainder
                counts[image] = counts.get(image, 0) + 1
        total = sum(remainders)
        for image, count in counts.items():
            controls = len(batch) - count
            if controls >= MIN_CONTROLS:
                control = (total - totals[image]) / controls
                # The samples share the error of their control.
                weight = controls / (controls + count)
                differences = [remainder - control for remainder in remainders]
                self._add_differences(image, batch, differences, weight, now_s)
        for sample, remainder in zip(batch, remainders, strict=True):
            self._workers.add(sample, remainder - total / len(batch))
        self._check_known(now_s)

    def _explained(self, sample: Sample) -> float:
        """Return the part of a sample that the known effects explain."""
        return sum(
            dose * self._effect(sample.victim, image)
            for image, dose in sample.dose_by_neighbour.items()
        )

    def _effect(self, victim: str, neighbour: str) -> float:
        pair = self._pair_by_images.get((victim, neighbour))
        return pair.effect() if pair else 0.0

    def _add_differences(
        self,
        neighbour: str,
        batch: Sequence[Sample],
        differences: Sequence[float],
        weight: float,
        now_s: float,
    ) -> None:
        """Add the samples beside a neighbour to its pair.

        :param differences: of each sample, the difference from the control beyond the
            known effect.
        """
        images = batch[0].victim, neighbour
        known = self._effect(*images)
        samples = []
        for sample, difference in zip(batch, differences, strict=True):
            dose = sample.dose_by_neighbour.get(neighbour, 0.0)
            if dose >= MIN_DOSE:
                value = known + difference / dose
                value = max(-MAX_LOG_SLOWDOWN, min(MAX_LOG_SLOWDOWN, value))
                group = zlib.crc32(sample.worker_id.encode()) % WORKER_GROUPS
                samples.append((group, value, weight * dose**2))
        if not samples:
            return
        pair = self._pair_by_images.setdefault(images, _Pair(now_s))
        self._pair_by_images.move_to_end(images)
        pair.add(samples, now_s)
        self._update(images, pair)
        if len(self._pair_by_images) > MAX_PAIRS:
            self._remove(next(iter(self._pair_by_images)))

    def _check_known(self, now_s: float) -> None:
        """Age the known pairs, which may not be observed any more."""
        if now_s - self._checked_s < KNOWN_CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        for images in self._bad | self._harmless:
            pair = self._pair_by_images[images]
            pair.age(now_s)
            self._update(images, pair)

    def _update(self, images: tuple[str, str], pair: _Pair) -> None:
        """Record what a pair's samples say now."""
        is_bad = pair.should_be_bad()
        if is_bad != pair.is_bad:
            pair.is_bad = is_bad
            self._note_change(images, pair)
        if is_bad:
            self._bad.add(images)
        else:
            self._bad.discard(images)
        if pair.is_harmless():
            self._harmless.add(images)
        else:
            self._harmless.discard(images)
        self._update_cost(*images)

    def _update_cost(self, image: str, other: str) -> None:
        """Record the cost of two images side by side, that of both directions."""
        cost = sum(
            max(INTERFERENCE_COST, self.slowdown(*images) - 1)
            for images in {(image, other), (other, image)}
            if images in self._bad
        )
        for one, two in ((image, other), (other, image)):
            cost_by_image = self._costs_by_image.setdefault(one, {})
            cost_by_image[two] = cost
            if not cost:
                del cost_by_image[two]
            if not cost_by_image:
                del self._costs_by_image[one]

    def _note_change(self, images: tuple[str, str], pair: _Pair) -> None:
        slowdown = math.exp(pair.effect())
        self._changes.pop(images, None)
        self._changes[images] = PairChange(*images, pair.is_bad, slowdown)
        if len(self._changes) > MAX_CHANGES:
            self._changes.popitem(last=False)

    def _remove(self, images: tuple[str, str]) -> None:
        """Forget a pair."""
        pair = self._pair_by_images.pop(images)
        if pair.is_bad:
            pair.is_bad = False
            self._note_change(images, pair)
        self._bad.discard(images)
        self._harmless.discard(images)
        self._update_cost(*images)
