"""Counters, gauges and percentiles of durations, in Prometheus text format."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field
from hdrh.histogram import HdrHistogram

PREFIX = "redwingrun_"
MICROSECONDS_PER_SECOND = 1_000_000
MAX_DURATION_US = 3600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    inner = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + inner + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


@define
class Metrics:
    """The metrics of one process."""

    _counters: dict[tuple[str, Labels], float] = field(factory=dict)
    _gauges: dict[tuple[str, Labels], float] = field(factory=dict)
    _histograms: dict[tuple[str, Labels], HdrHistogram] = field(factory=dict)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def counter_total(self, name: str) -> float:
        """Return the sum of a counter over all its labels."""
        return sum(value for (key, _), value in self._counters.items() if key == name)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._gauges[name, tuple(sorted(labels.items()))] = value

    def remove_gauge(self, name: str, **labels: str) -> None:
        """Remove a gauge whose labels no longer apply."""
        self._gauges.pop((name, tuple(sorted(labels.items()))), None)

    def seconds(self, name: str, value_s: float, **labels: str) -> None:
        """Record a duration, given in seconds, in a histogram."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        duration_us = int(value_s * MICROSECONDS_PER_SECOND)
        histogram.record_value(min(MAX_DURATION_US, max(1, duration_us)))

    @contextmanager
    def timed(self, name: str, **labels: str) -> Iterator[None]:
        """Record the duration of a block in a histogram."""
        started_s = time.monotonic()
        try:
            yield
        finally:
            self.seconds(name, time.monotonic() - started_s, **labels)

    def text(self) -> str:
        """Return all metrics in Prometheus text format."""
        lines: list[str] = []
        self._add_lines(lines, self._counters, "counter")
        self._add_lines(lines, self._gauges, "gauge")
        names_with_type: set[str] = set()
        for (name, labels), histogram in sorted(self._histograms.items()):
            if name not in names_with_type:
                lines.append(f"# TYPE {PREFIX}{name} summary")
                names_with_type.add(name)
            for percentile in PERCENTILES:
                quantile = (("quantile", f"{percentile / 100:g}"),)
                value = (
                    histogram.get_value_at_percentile(percentile)
                    / MICROSECONDS_PER_SECOND
                )
                lines.append(
                    f"{PREFIX}{name}{_format_labels(labels + quantile)} {value:.6f}"
                )
            lines.append(
                f"{PREFIX}{name}_count{_format_labels(labels)}"
                f" {histogram.get_total_count()}"
            )
        return "\n".join(lines) + "\n"

    def _add_lines(
        self, lines: list[str], values: dict[tuple[str, Labels], float], kind: str
    ) -> None:
        names_with_type: set[str] = set()
        for (name, labels), value in sorted(values.items()):
            if name not in names_with_type:
                lines.append(f"# TYPE {PREFIX}{name} {kind}")
                names_with_type.add(name)
            lines.append(f"{PREFIX}{name}{_format_labels(labels)} {value:g}")
