"""Counters, gauges and percentiles, as Prometheus text."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field
from hdrh.histogram import HdrHistogram

PREFIX = "redwingrun_"
MICROSECONDS_PER_SECOND = 1_000_000
LONGEST_US = 3600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]


def _labels(labels: Labels) -> str:
    if not labels:
        return ""
    inner = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + inner + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


@define
class Metrics:
    """The figures of one process."""

    _counters: dict[tuple[str, Labels], float] = field(factory=dict)
    _gauges: dict[tuple[str, Labels], float] = field(factory=dict)
    _histograms: dict[tuple[str, Labels], HdrHistogram] = field(factory=dict)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def counted(self, name: str) -> float:
        """Return a counter's sum over all labels."""
        return sum(value for (key, _), value in self._counters.items() if key == name)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._gauges[name, tuple(sorted(labels.items()))] = value

    def seconds(self, name: str, value_s: float, **labels: str) -> None:
        """Record a duration in seconds."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        micros = int(value_s * MICROSECONDS_PER_SECOND)
        histogram.record_value(min(LONGEST_US, max(1, micros)))

    @contextmanager
    def timed(self, name: str, **labels: str) -> Iterator[None]:
        """Record how long a block takes."""
        started = time.monotonic()
        try:
            yield
        finally:
            self.seconds(name, time.monotonic() - started, **labels)

    def text(self) -> str:
        """Return all figures in Prometheus text format."""
        lines: list[str] = []
        self._plain_lines(lines, self._counters, "counter")
        self._plain_lines(lines, self._gauges, "gauge")
        typed: set[str] = set()
        for (name, labels), histogram in sorted(self._histograms.items()):
            if name not in typed:
                lines.append(f"# TYPE {PREFIX}{name} summary")
                typed.add(name)
            for percentile in PERCENTILES:
                quantile = (("quantile", f"{percentile / 100:g}"),)
                value = (
                    histogram.get_value_at_percentile(percentile)
                    / MICROSECONDS_PER_SECOND
                )
                lines.append(f"{PREFIX}{name}{_labels(labels + quantile)} {value:.6f}")
            lines.append(
                f"{PREFIX}{name}_count{_labels(labels)} {histogram.get_total_count()}"
            )
        return "\n".join(lines) + "\n"

    def _plain_lines(
        self, lines: list[str], values: dict[tuple[str, Labels], float], kind: str
    ) -> None:
        typed: set[str] = set()
        for (name, labels), value in sorted(values.items()):
            if name not in typed:
                lines.append(f"# TYPE {PREFIX}{name} {kind}")
                typed.add(name)
            lines.append(f"{PREFIX}{name}{_labels(labels)} {value:g}")
