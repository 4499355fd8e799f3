"""Learns how long tasks run, by image and queue, where clients' estimates are wrong."""

from __future__ import annotations

import math
from collections import OrderedDict

from attrs import define, field
from hdrh.histogram import HdrHistogram

from redwingrun.jobs.spec import StepSpec

MAX_KEYS = 100
# The tasks of a step share one estimate, and so its error: these samples come from
# several steps, also if a step has some twenty tasks.
MIN_SAMPLES = 60
# A quantile is that of the last WINDOW_SAMPLES to 2 * WINDOW_SAMPLES samples.
WINDOW_SAMPLES = 250
# The median is computed anew after this many samples, because that takes longer than
# to record a sample.
MEDIAN_INTERVAL_SAMPLES = 10
# Weight of a new sample in a running error: about the last 50 count.
ERROR_WEIGHT = 0.02
# With one digit and counters of two bytes, a histogram takes less than 2 KB, and a
# quantile is off by 3 % at most.
SIGNIFICANT_DIGITS = 1
COUNTER_BYTES = 2
# Longer run times are counted as this.
MAX_RUN_MS = 3_600_000
# Ratios of run time to estimate are counted in thousandths, within these bounds.
RATIO_UNITS = 1000
MIN_RATIO = 0.05
MAX_RATIO = 20.0
MEDIAN = 0.5


class _Distribution:
    """The distribution of the latest samples.

    :param highest: larger samples are counted as this.
    :ivar count: number of samples so far.
    :ivar median: the median some samples ago; 0 while there are too few.
    """

    def __init__(self, highest: int):
        self._highest = highest
        self._recent = _histogram(highest)
        # Replaces ``_recent`` once it has WINDOW_SAMPLES samples.
        self._next = _histogram(highest)
        self.count = 0
        self.median = 0.0

    def reset(self) -> None:
        """Remove all samples."""
        self._recent.reset()
        self._next.reset()
        self.count = 0
        self.median = 0.0

    def add(self, sample: float) -> None:
        """Add a sample."""
        value = min(self._highest, max(1, round(sample)))
        self._recent.record_value(value)
        self._next.record_value(value)
        if self._next.total_count >= WINDOW_SAMPLES:
            self._recent, self._next = self._next, self._recent
            self._next.reset()
        self.count += 1
        if self.count % MEDIAN_INTERVAL_SAMPLES == 0:
            self.median = self.quantile(MEDIAN)

    def quantile(self, q: float) -> float:
        """Return the middle of the bucket that holds a quantile.

        :param q: 0 to 1.
        """
        value = self._recent.get_value_at_percentile(100 * q)
        lowest = self._recent.get_lowest_equivalent_value(value)
        return (lowest + self._recent.get_highest_equivalent_value(value)) / 2


def _histogram(highest: int) -> HdrHistogram:
    return HdrHistogram(1, highest, SIGNIFICANT_DIGITS, COUNTER_BYTES)


@define
class _RunningError:
    """A moving average of logarithmic errors; the arithmetic mean of the first ones."""

    value: float = 0.0
    _count: int = 0

    def add(self, actual: float, predicted: float) -> None:
        """Add the error of a prediction, as much for twice as for half the actual."""
        self._count += 1
        weight = max(ERROR_WEIGHT, 1 / self._count)
        self.value += weight * (abs(math.log(actual / predicted)) - self.value)


@define
class _RunTimes:
    """What is learned about one image in one queue.

    :ivar run_ms: the run times in ms.
    :ivar ratio: the ratios of run time to estimate, in units of 1 / ``RATIO_UNITS``.
    """

    run_ms: _Distribution = field(factory=lambda: _Distribution(MAX_RUN_MS))
    ratio: _Distribution = field(
        factory=lambda: _Distribution(round(MAX_RATIO * RATIO_UNITS))
    )
    _run_error: _RunningError = field(factory=_RunningError)
    _ratio_error: _RunningError = field(factory=_RunningError)

    def reset(self) -> None:
        """Remove all that was learned."""
        self.run_ms.reset()
        self.ratio.reset()
        self._run_error = _RunningError()
        self._ratio_error = _RunningError()

    def learn(self, run_ms: float, estimate_ms: float) -> None:
        """Record a run time; first record how well it was predicted."""
        if estimate_ms:
            if self.ratio.median and self.run_ms.median:
                by_ratio_ms = self.ratio.median / RATIO_UNITS * estimate_ms
                self._ratio_error.add(run_ms, by_ratio_ms)
                self._run_error.add(run_ms, self.run_ms.median)
            ratio = max(MIN_RATIO, min(MAX_RATIO, run_ms / estimate_ms))
            self.ratio.add(ratio * RATIO_UNITS)
        self.run_ms.add(run_ms)

    def predictor(self, estimate_ms: float) -> tuple[_Distribution, float] | None:
        """Return the distribution that predicts better, and the length of its unit.

        :return: the unit in ms; ``None`` if there are too few samples.
        """
        has_ratio = estimate_ms > 0 and self.ratio.count >= MIN_SAMPLES
        if has_ratio and self._ratio_error.value <= self._run_error.value:
            return self.ratio, estimate_ms / RATIO_UNITS
        if self.run_ms.count >= MIN_SAMPLES:
            return self.run_ms, 1.0
        return None


class RunTimeModel:
    """Predicts the run times of tasks on an average worker.

    For each queue and image it learns the distribution of the ratio of run time to the
    client's estimate, and that of the run time itself. The one whose median has
    predicted the latest run times better replaces the estimate. The least recently
    updated keys are evicted above ``MAX_KEYS``.

    Only steps whose tasks end by themselves are predicted: a gang is as fast as its
    slowest task, lasting tasks have no end, and fillers get only the processor time
    that others leave. For all others the estimate is returned.
    """

    def __init__(self) -> None:
        self._by_key: OrderedDict[tuple[str, str], _RunTimes] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of queues and images about which something is learned."""
        return len(self._by_key)

    def learn(self, queue: str, step: StepSpec, run_ms: float) -> None:
        """Record the run time of a task.

        :param queue: name of its queue.
        :param run_ms: the run time that it would have had on an average worker; ignored
            unless it is positive.
        """
        if run_ms <= 0 or not _is_predictable(step):
            return
        key = _key(queue, step)
        if key not in self._by_key:
            self._by_key[key] = self._unused()
        self._by_key.move_to_end(key)
        self._by_key[key].learn(run_ms, step.estimate_ms)

    def _unused(self) -> _RunTimes:
        """Return an empty object, which may be that of an evicted key.

        A histogram is part of a reference cycle, so many that were dropped could use
        memory at the same time.
        """
        if len(self._by_key) < MAX_KEYS:
            return _RunTimes()
        _, run_times = self._by_key.popitem(last=False)
        run_times.reset()
        return run_times

    def has_learned(self, queue: str, step: StepSpec) -> bool:
        """Return whether the estimate of a step is replaced by learned run times."""
        return self._predictor(queue, step) is not None

    def expected_ms(self, queue: str, step: StepSpec) -> float:
        """Return the median run time of a step's tasks, or the client's estimate.

        The median rather than the mean: a few tasks that take many times as long must
        not count for all others.
        """
        found = self._predictor(queue, step)
        if found is None:
            return step.estimate_ms
        distribution, unit_ms = found
        return distribution.median * unit_ms

    def quantile_ms(self, queue: str, step: StepSpec, q: float) -> float:
        """Return a quantile of the run times of a step's tasks.

        :param q: 0 to 1.
        :return: the client's estimate if too little is learned.
        """
        found = self._predictor(queue, step)
        if found is None:
            return step.estimate_ms
        distribution, unit_ms = found
        return distribution.quantile(q) * unit_ms

    def _predictor(
        self, queue: str, step: StepSpec
    ) -> tuple[_Distribution, float] | None:
        if not _is_predictable(step):
            return None
        run_times = self._by_key.get(_key(queue, step))
        return run_times.predictor(step.estimate_ms) if run_times else None


def _key(queue: str, step: StepSpec) -> tuple[str, str]:
    """Return the key of a step; steps without an image share that of their queue."""
    return queue, step.image


def _is_predictable(step: StepSpec) -> bool:
    return not (step.gang or step.lasting or step.filler)
