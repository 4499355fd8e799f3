"""Run times learned from answers: by workload, and the speed of each minion."""

from __future__ import annotations

from attrs import define, field
from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1_000_000
LONGEST_US = 24 * 3600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
ENOUGH_SAMPLES = 20
REFRESH_SAMPLES = 50
SPEED_WEIGHT = 0.1
SLOW_PERCENTILE = 99.0
MEDIAN_PERCENTILE = 50.0


@define
class RunTime:
    """The run time of one workload: declared at first, learned later."""

    declared_s: float
    _histogram: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
    )
    _samples: int = 0
    _total_s: float = 0.0
    _mean_s: float = 0.0
    _median_s: float = 0.0
    _slow_s: float = 0.0

    def record(self, run_s: float) -> None:
        """Take one measured run time."""
        self._histogram.record_value(max(1, int(run_s * MICROSECONDS_PER_SECOND)))
        self._samples += 1
        self._total_s += run_s
        if self._samples == ENOUGH_SAMPLES or self._samples % REFRESH_SAMPLES == 0:
            self._refresh()

    def _refresh(self) -> None:
        self._mean_s = self._total_s / self._samples
        self._median_s = self._percentile_s(MEDIAN_PERCENTILE)
        self._slow_s = self._percentile_s(SLOW_PERCENTILE)

    def _percentile_s(self, percentile: float) -> float:
        value_us = self._histogram.get_value_at_percentile(percentile)
        return value_us / MICROSECONDS_PER_SECOND

    @property
    def learned(self) -> bool:
        """Whether measurements have replaced the declaration."""
        return self._mean_s > 0

    @property
    def mean_s(self) -> float:
        """The expected run time."""
        return self._mean_s if self.learned else self.declared_s

    @property
    def median_s(self) -> float:
        """The run time that half exceed: a tenth of stragglers do not move it."""
        return self._median_s if self.learned else self.declared_s

    @property
    def p99_s(self) -> float:
        """The run time that one in a hundred exceeds."""
        return self._slow_s if self.learned else self.declared_s


@define
class Speed:
    """How fast one minion is against the expected run time; 1 is as expected."""

    value: float = 1.0

    def record(self, run_s: float, expected_s: float) -> None:
        """Take one measured run time beside the workload's expected one."""
        if run_s <= 0 or expected_s <= 0:
            return
        # Averages slowness, not speed: one straggler must not outweigh
        # many ordinary answers more than its time says.
        slowness = (1 - SPEED_WEIGHT) / self.value + SPEED_WEIGHT * run_s / expected_s
        self.value = 1 / slowness


@define
class RunTimes:
    """The learned run times of all workloads of one process."""

    long_s: float = 0.5
    _by_workload: dict[str, RunTime] = field(factory=dict)

    def for_workload(self, workload: str, declared_s: float) -> RunTime:
        """Return what is known of a workload."""
        known = self._by_workload.get(workload)
        if known is None:
            known = RunTime(declared_s)
            self._by_workload[workload] = known
        return known

    def is_long(self, workload: str, declared_s: float) -> bool:
        """Tell whether a workload is long by what was learned, or else declared."""
        return self.for_workload(workload, declared_s).median_s >= self.long_s
