"""Learns the speed of workers and the bias of each queue's run time estimates."""

from __future__ import annotations

import math
from collections import OrderedDict

from attrs import define, field

from redwingrun.jobs.spec import StepId

# Weight of a new sample in a moving average: about the last 15 runs count.
SAMPLE_WEIGHT = 0.12
# With this many samples a worker's own average weighs as much as that of its kind.
WORKER_PRIOR_SAMPLES = 6
# Bound on a sample, the natural logarithm of the ratio of run time to estimate; limits
# outliers.
MAX_LOG_RATIO = 1.5
# How much the first run of a step counts, compared with later ones: it can be compared
# with other steps only, whose estimates may be off by more than workers differ.
FIRST_RUN_TRUST = 0.1
MAX_STEPS = 2_000


@define
class _Average:
    """An exponential moving average; the arithmetic mean of the first samples.

    :ivar samples: the number of samples, each counted by its trust.
    """

    value: float = 0.0
    samples: float = 0.0

    def add(self, sample: float, trust: float = 1.0) -> None:
        """Add a sample.

        :param trust: how much it counts, up to 1.
        """
        self.samples += trust
        weight = trust * max(SAMPLE_WEIGHT, 1 / self.samples)
        self.value += weight * (sample - self.value)


@define
class SpeedModel:
    """Averages of the ratio of run time to estimate, by worker, worker kind and queue.

    All averages are of logarithms, so that twice and half as long cancel out.

    The tasks of a step share one estimate, and the error of estimates is larger than
    the difference between workers. So a run is compared with the earlier runs of its
    step, and only the first one with the runs of other steps.
    """

    _by_worker: dict[str, _Average] = field(factory=dict)
    _by_kind: dict[str, _Average] = field(factory=dict)
    _by_queue: dict[str, _Average] = field(factory=dict)
    # The logarithm of run time to estimate on an average worker, by step.
    _by_step: OrderedDict[StepId, _Average] = field(factory=OrderedDict)
    _mean_of_kinds: float = 0.0

    def learn(
        self,
        step_id: StepId,
        queue: str,
        worker_id: str,
        kind: str,
        ran_s: float,
        estimate_s: float,
    ) -> None:
        """Record a measurement of the run time of a task.

        :param ran_s: the whole run time on this worker; ignored unless it and the
            estimate are positive.
        """
        if ran_s <= 0 or estimate_s <= 0:
            return
        log_ratio = max(
            -MAX_LOG_RATIO, min(MAX_LOG_RATIO, math.log(ran_s / estimate_s))
        )
        log_error = log_ratio - self._log_slowness(worker_id, kind)
        queue_average = self._by_queue.setdefault(queue, _Average())
        queue_average.add(log_error)
        step_average = self._step_average(step_id)
        is_first = not step_average.samples
        expected = queue_average.value if is_first else step_average.value
        trust = FIRST_RUN_TRUST if is_first else 1.0
        step_average.add(log_error)
        sample = log_ratio - expected
        self._by_worker.setdefault(worker_id, _Average()).add(sample, trust)
        self._by_kind.setdefault(kind, _Average()).add(sample, trust)
        total = sum(item.value for item in self._by_kind.values())
        self._mean_of_kinds = total / len(self._by_kind)

    def _step_average(self, step_id: StepId) -> _Average:
        """Return the average of a step; drop the oldest above ``MAX_STEPS``."""
        average = self._by_step.setdefault(step_id, _Average())
        if len(self._by_step) > MAX_STEPS:
            self._by_step.popitem(last=False)
        return average

    def slowness(self, worker_id: str, kind: str) -> float:
        """Return a task's expected run time relative to an average worker."""
        return math.exp(self._log_slowness(worker_id, kind))

    def estimate_bias(self, queue: str) -> float:
        """Return the average ratio of run time to estimate in a queue."""
        average = self._by_queue.get(queue)
        return math.exp(average.value) if average else 1.0

    def _log_slowness(self, worker_id: str, kind: str) -> float:
        """Return the logarithm of a worker's slowness relative to the mean of kinds.

        Runs are only compared with each other, so a shift of all averages by the same
        amount means nothing.
        """
        of_kind = self._by_kind.get(kind)
        if of_kind is None:
            return 0.0
        slowness = of_kind.value
        own = self._by_worker.get(worker_id)
        if own is not None:
            weight = own.samples / (own.samples + WORKER_PRIOR_SAMPLES)
            slowness += weight * (own.value - of_kind.value)
        return slowness - self._mean_of_kinds
