"""Learns the speed of workers and the bias of each queue's run time estimates."""

from __future__ import annotations

import math

from attrs import define, field

# Weight of a new sample in a moving average: about the last 15 runs count.
SAMPLE_WEIGHT = 0.12
# With this many samples a worker's own average weighs as much as that of its kind.
WORKER_PRIOR_SAMPLES = 6
# Bound on a sample, the natural logarithm of the ratio of run time to estimate; limits
# outliers.
MAX_LOG_RATIO = 1.5


@define
class _Average:
    """An exponential moving average; the arithmetic mean of the first samples."""

    value: float = 0.0
    samples: int = 0

    def add(self, sample: float) -> None:
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        self.value += weight * (sample - self.value)


@define
class SpeedModel:
    """Averages of the ratio of run time to estimate, by worker, worker kind and queue.

    All averages are of logarithms, so that twice and half as long cancel out.
    """

    _by_worker: dict[str, _Average] = field(factory=dict)
    _by_kind: dict[str, _Average] = field(factory=dict)
    _by_queue: dict[str, _Average] = field(factory=dict)

    def learn(
        self, queue: str, worker_id: str, kind: str, ran_s: float, estimate_s: float
    ) -> None:
        """Record the run time of a task that was done in a single run.

        :param ran_s: its run time; ignored unless it and the estimate are positive.
        """
        if ran_s <= 0 or estimate_s <= 0:
            return
        log_ratio = max(
            -MAX_LOG_RATIO, min(MAX_LOG_RATIO, math.log(ran_s / estimate_s))
        )
        log_slowness = self._log_slowness(worker_id, kind)
        queue_average = self._by_queue.setdefault(queue, _Average())
        queue_average.add(log_ratio - log_slowness)
        sample = log_ratio - queue_average.value
        self._by_worker.setdefault(worker_id, _Average()).add(sample)
        self._by_kind.setdefault(kind, _Average()).add(sample)

    def slowness(self, worker_id: str, kind: str) -> float:
        """Return a task's expected run time relative to an average worker."""
        return math.exp(self._log_slowness(worker_id, kind))

    def estimate_bias(self, queue: str) -> float:
        """Return the average ratio of run time to estimate in a queue."""
        average = self._by_queue.get(queue)
        return math.exp(average.value) if average else 1.0

    def _log_slowness(self, worker_id: str, kind: str) -> float:
        own = self._by_worker.get(worker_id, _Average())
        of_kind = self._by_kind.get(kind, _Average())
        weight = own.samples / (own.samples + WORKER_PRIOR_SAMPLES)
        return weight * own.value + (1 - weight) * of_kind.value
