"""Learned speeds of workers, and how far each queue's estimates are off."""

from __future__ import annotations

import math

from attrs import define, field

# Weight of a new sample; about the last 15 runs count.
SAMPLE_WEIGHT = 0.12
# Samples of a worker before its own figure outweighs that of its kind.
WORKER_PRIOR_SAMPLES = 6
# A single run says at most this much (natural logarithm of a ratio).
MAX_LOG_RATIO = 1.5


@define
class _Average:
    value: float = 0.0
    samples: int = 0

    def add(self, sample: float) -> None:
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        self.value += weight * (sample - self.value)


@define
class SpeedModel:
    """Run times against estimates, by worker, by kind of worker and by queue."""

    _by_worker: dict[str, _Average] = field(factory=dict)
    _by_kind: dict[str, _Average] = field(factory=dict)
    _by_queue: dict[str, _Average] = field(factory=dict)

    def learn(
        self, queue: str, worker_id: str, kind: str, ran_s: float, estimate_s: float
    ) -> None:
        """Take the time of a run that was done without a break."""
        if ran_s <= 0 or estimate_s <= 0:
            return
        ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, math.log(ran_s / estimate_s)))
        slowness = self._log_slowness(worker_id, kind)
        queue_average = self._by_queue.setdefault(queue, _Average())
        queue_average.add(ratio - slowness)
        sample = ratio - queue_average.value
        self._by_worker.setdefault(worker_id, _Average()).add(sample)
        self._by_kind.setdefault(kind, _Average()).add(sample)

    def slowness(self, worker_id: str, kind: str) -> float:
        """Return how many times as long as on an average worker a task takes."""
        return math.exp(self._log_slowness(worker_id, kind))

    def estimate_bias(self, queue: str) -> float:
        """Return how many times its estimate a queue's task takes on average."""
        average = self._by_queue.get(queue)
        return math.exp(average.value) if average else 1.0

    def _log_slowness(self, worker_id: str, kind: str) -> float:
        own = self._by_worker.get(worker_id, _Average())
        shared = self._by_kind.get(kind, _Average())
        weight = own.samples / (own.samples + WORKER_PRIOR_SAMPLES)
        return weight * own.value + (1 - weight) * shared.value
