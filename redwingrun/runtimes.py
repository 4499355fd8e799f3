"""Run times measured from answers: by workload, and the speed of each minion."""

from __future__ import annotations

from attrs import define, field
from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1_000_000
MAX_RUN_US = 24 * 3600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
# Samples after which measurements replace the declared run time.
MIN_SAMPLES = 20
# Samples between two updates of the mean and the percentiles.
UPDATE_SAMPLES = 50
# Weight of the newest run time in a minion's moving average.
SPEED_WEIGHT = 0.1
P99 = 99.0
MEDIAN = 50.0


@define
class RunTime:
    """The run time of one workload: declared at first, measured later."""

    declared_s: float
    _histogram: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, MAX_RUN_US, SIGNIFICANT_DIGITS)
    )
    _samples: int = 0
    _total_s: float = 0.0
    _mean_s: float = 0.0
    _median_s: float = 0.0
    _p99_s: float = 0.0

    def record(self, run_s: float) -> None:
        """Record one measured run time, in seconds."""
        self._histogram.record_value(max(1, int(run_s * MICROSECONDS_PER_SECOND)))
        self._samples += 1
        self._total_s += run_s
        if self._samples == MIN_SAMPLES or self._samples % UPDATE_SAMPLES == 0:
            self._update()

    def _update(self) -> None:
        self._mean_s = self._total_s / self._samples
        self._median_s = self._percentile_s(MEDIAN)
        self._p99_s = self._percentile_s(P99)

    def _percentile_s(self, percentile: float) -> float:
        value_us = self._histogram.get_value_at_percentile(percentile)
        return value_us / MICROSECONDS_PER_SECOND

    @property
    def is_measured(self) -> bool:
        """Whether measurements have replaced the declared run time."""
        return self._mean_s > 0

    @property
    def mean_s(self) -> float:
        """The mean of the measured run times, or the declared run time."""
        return self._mean_s if self.is_measured else self.declared_s

    @property
    def median_s(self) -> float:
        """The median of the measured run times, or the declared run time.

        It hardly changes when a tenth of the runs are stragglers.
        """
        return self._median_s if self.is_measured else self.declared_s

    @property
    def p99_s(self) -> float:
        """The 99th percentile of the measured run times, or the declared run time."""
        return self._p99_s if self.is_measured else self.declared_s


@define
class Speed:
    """The speed of one minion, relative to the expected run time.

    :param value: 1 is as expected, 2 is twice as fast.
    """

    value: float = 1.0

    def record(self, run_s: float, expected_s: float) -> None:
        """Record one measured run time and the workload's expected one."""
        if run_s <= 0 or expected_s <= 0:
            return
        # The moving average is over slowness, the inverse of speed, so that a
        # straggler counts in proportion to its run time, and not more.
        slowness = (1 - SPEED_WEIGHT) / self.value + SPEED_WEIGHT * run_s / expected_s
        self.value = 1 / slowness


@define
class RunTimes:
    """The run times of all workloads that one process has seen.

    :param long_s: median run time from which a workload counts as long.
    """

    long_s: float = 0.5
    _run_time_by_workload: dict[str, RunTime] = field(factory=dict)

    def for_workload(self, workload: str, declared_s: float) -> RunTime:
        """Return the run time of a workload.

        :param declared_s: declared run time, used until ``MIN_SAMPLES`` run times were
            measured; ignored when the workload is known already.
        """
        known = self._run_time_by_workload.get(workload)
        if known is None:
            known = RunTime(declared_s)
            self._run_time_by_workload[workload] = known
        return known

    def is_long(self, workload: str, declared_s: float) -> bool:
        """Return whether a workload is long by its measured or declared run time."""
        return self.for_workload(workload, declared_s).median_s >= self.long_s
