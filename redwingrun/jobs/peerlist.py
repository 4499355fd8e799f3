"""The other members of a slice: their addresses and the speed of their hosts."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable

from attrs import frozen

from redwingrun.coordination.codec import decode
from redwingrun.coordination.table import Row
from redwingrun.jobs.rowkeys import last_segment

# A host counts as clearly faster from this ratio of speeds on; a smaller gain is not
# worth a hand-over of the slice.
FASTER_RATIO = 1.5


@frozen
class MemberRow:
    """The row in the table by which a member's peers find it.

    :param address: IP and port at which peers reach the member.
    :param speed: speed of the host's processor share; 1.0 is one core of ordinary
        speed.
    """

    name: str
    address: str
    speed: float = 1.0


class PeerList:
    """The peers of a member, as registered in the table.

    :param own: the member that keeps the list; it is not part of it.
    """

    def __init__(self, own: MemberRow):
        self._own = own
        self._row_by_name: dict[str, MemberRow] = {}

    def update(self, rows: Iterable[Row]) -> None:
        """Replace the list by the rows of all members; skip rows that are damaged."""
        self._row_by_name = {}
        self.apply_changes(rows, ())

    def apply_changes(self, rows: Iterable[Row], deleted_keys: Iterable[str]) -> None:
        """Apply changed rows, and remove the members whose rows were deleted.

        A damaged row changes nothing.
        """
        for row in rows:
            with contextlib.suppress(ValueError):
                member = decode(MemberRow, row.value)
                self._row_by_name[member.name] = member
        for key in deleted_keys:
            self._row_by_name.pop(last_segment(key), None)
        self._row_by_name.pop(self._own.name, None)

    def address(self, name: str) -> str | None:
        """Return the address of a peer; ``None`` if its row is not known or damaged."""
        row = self._row_by_name.get(name)
        return row.address if row else None

    def addresses(self) -> list[str]:
        """Return the addresses of the peers."""
        return [row.address for row in self._row_by_name.values()]

    def fastest_first(self) -> list[MemberRow]:
        """Return the peers by descending speed of their hosts, then by name."""
        return sorted(
            self._row_by_name.values(), key=lambda row: (-row.speed, row.name)
        )

    def faster(self) -> list[MemberRow]:
        """Return the peers whose hosts are clearly faster, fastest first."""
        min_speed = FASTER_RATIO * self._own.speed
        return [row for row in self.fastest_first() if row.speed >= min_speed]

    def has_slower(self) -> bool:
        """Return whether this member's host is clearly faster than some peer's."""
        own_speed = self._own.speed
        return any(
            own_speed >= FASTER_RATIO * row.speed for row in self.fastest_first()
        )
