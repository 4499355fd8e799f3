"""Benchmark results with targets, and the report that prints them."""

from __future__ import annotations

from attrs import define, field
from rich.console import Console
from rich.table import Table


@define
class Row:
    """One result.

    :param target: the upper bound of the value, or its lower bound if ``at_least``;
        ``None`` for no target.
    """

    name: str
    value: float
    unit: str = ""
    target: float | None = None
    at_least: bool = False
    note: str = ""

    @property
    def is_met(self) -> bool:
        """Whether the target is met; True without a target."""
        if self.target is None:
            return True
        return self.value >= self.target if self.at_least else self.value <= self.target

    def verdict(self) -> str:
        """Return ``ok`` or ``MISSED``, or an empty string without a target."""
        if self.target is None:
            return ""
        return "ok" if self.is_met else "MISSED"


@define
class Report:
    """The results of one run by section."""

    rows_by_section: dict[str, list[Row]] = field(factory=dict)

    def add(self, section: str, *rows: Row) -> None:
        """Add results to a section."""
        self.rows_by_section.setdefault(section, []).extend(rows)

    def missed(self) -> list[str]:
        """Return the section and name of each result that misses its target."""
        return [
            f"{section}: {row.name}"
            for section, rows in self.rows_by_section.items()
            for row in rows
            if not row.is_met
        ]

    def show(self) -> None:
        """Print a table for each section."""
        console = Console(width=110)
        for section, rows in self.rows_by_section.items():
            table = Table("what", "value", "target", "", "note", title=section)
            for row in rows:
                target = ""
                if row.target is not None:
                    sign = ">=" if row.at_least else "<="
                    target = f"{sign} {row.target:.4g} {row.unit}"
                value = f"{row.value:.4g} {row.unit}"
                table.add_row(row.name, value, target, row.verdict(), row.note)
            console.print(table)
