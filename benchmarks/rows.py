"""Rows of benchmark results: a figure beside its baseline and its target."""

from __future__ import annotations

from attrs import define, field
from rich.console import Console
from rich.table import Table


@define
class Row:
    """One result.

    :param target: what the value may be at most, or at least when ``at_least``;
        ``None`` for a figure without a target.
    """

    name: str
    value: float
    unit: str = ""
    target: float | None = None
    at_least: bool = False
    note: str = ""

    @property
    def met(self) -> bool:
        """Whether the target holds."""
        if self.target is None:
            return True
        return self.value >= self.target if self.at_least else self.value <= self.target

    def verdict(self) -> str:
        """Return what to print: ok, MISSED, or nothing without a target."""
        if self.target is None:
            return ""
        return "ok" if self.met else "MISSED"


@define
class Report:
    """The rows of one run, by section."""

    rows_by_section: dict[str, list[Row]] = field(factory=dict)

    def add(self, section: str, *rows: Row) -> None:
        """Add rows."""
        self.rows_by_section.setdefault(section, []).extend(rows)

    def missed(self) -> list[str]:
        """Return the names of the rows whose target does not hold."""
        return [
            f"{section}: {row.name}"
            for section, rows in self.rows_by_section.items()
            for row in rows
            if not row.met
        ]

    def show(self) -> None:
        """Print one table a section."""
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
