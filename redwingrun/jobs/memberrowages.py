"""How long ago the members last renewed their rows, as one member has seen it."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, frozen

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.table import Row
from redwingrun.jobs.rowkeys import last_segment


@frozen
class StaleRow:
    """A member's row that was not renewed for long.

    :param version: the version that was seen last.
    """

    name: str
    version: int


@define
class _SeenRow:
    version: int
    seen_s: float


class MemberRowAges:
    """When each member's row was seen to change.

    Ages are measured by this member's clock, and only over times in which it could read
    the rows: a table that tells nothing says nothing about the members.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen_by_name: dict[str, _SeenRow] = {}

    def replace(self, rows: Iterable[Row]) -> None:
        """Note all rows; their ages count from now on."""
        self._seen_by_name = {}
        self.apply_changes(rows, ())

    def apply_changes(self, rows: Iterable[Row], deleted_keys: Iterable[str]) -> None:
        """Note the rows that were renewed, and forget those that were deleted."""
        now_s = self._clock.now()
        for row in rows:
            self._seen_by_name[last_segment(row.key)] = _SeenRow(row.version, now_s)
        for key in deleted_keys:
            self._seen_by_name.pop(last_segment(key), None)

    def confirm(self, name: str) -> None:
        """Note that a member lives, whether it has renewed its row or not."""
        seen = self._seen_by_name.get(name)
        if seen is not None:
            seen.seen_s = self._clock.now()

    def stale(self, age_s: float) -> list[StaleRow]:
        """Return the rows that were not renewed for longer than this."""
        before_s = self._clock.now() - age_s
        return [
            StaleRow(name, seen.version)
            for name, seen in self._seen_by_name.items()
            if seen.seen_s < before_s
        ]
