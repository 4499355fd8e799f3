"""Gangs that wait, and the workers that are kept for one of them."""

from __future__ import annotations

from attrs import define, field, frozen

from redwingrun.packing import Room
from redwingrun.tasks import Task

GANG_PATIENCE_S = 60.0
FIRST_GANG_HOLD_S = 10.0
LONGEST_GANG_HOLD_S = 160.0


@frozen
class Hold:
    """Workers that are kept for a gang until a moment."""

    task_id: str
    until_s: float
    workers: frozenset[str]


@define
class GangBook:
    """Since when gangs wait, and the hold of the one that has waited longest.

    Without holds a gang that needs whole workers would never start while small
    work keeps coming. A hold is limited in time, so that a gang can't stop the
    pool; when it ends in vain the gang waits its patience again, and its next
    hold is twice as long, up to a limit.
    """

    _since_by_gang: dict[str, float] = field(factory=dict)
    _hold_s_by_gang: dict[str, float] = field(factory=dict)
    _hold: Hold | None = None

    def any_waits(self) -> bool:
        """Tell whether a gang waits or a hold stands."""
        return bool(self._since_by_gang) or self._hold is not None

    def waits(self, task: Task, now_s: float) -> None:
        """Note a gang that did not fit."""
        self._since_by_gang.setdefault(task.task_id, now_s)

    def started(self, task: Task) -> None:
        """Note a task that was placed; most are no gangs."""
        self._since_by_gang.pop(task.task_id, None)
        self._hold_s_by_gang.pop(task.task_id, None)

    def update(self, queued: list[Task], rooms: list[Room], now_s: float) -> None:
        """End the hold when it is over, and begin the next one.

        :param queued: all queued tasks; gangs among them may have been cancelled.
        """
        if self._hold_stands(now_s):
            return
        gangs = {
            task.task_id: task for task in queued if task.task_id in self._since_by_gang
        }
        self._since_by_gang = {
            key: since_s for key, since_s in self._since_by_gang.items() if key in gangs
        }
        waited = [
            key
            for key, since_s in self._since_by_gang.items()
            if now_s - since_s >= GANG_PATIENCE_S
        ]
        if waited:
            first = min(waited, key=lambda key: self._since_by_gang[key])
            self._hold = self._hold_for(gangs[first], rooms, now_s)

    def _hold_stands(self, now_s: float) -> bool:
        hold = self._hold
        if hold is None:
            return False
        waits = hold.task_id in self._since_by_gang
        if waits and now_s < hold.until_s:
            return True
        if waits:
            self._since_by_gang[hold.task_id] = now_s
            longer_s = 2 * self._hold_s_by_gang.get(hold.task_id, FIRST_GANG_HOLD_S)
            self._hold_s_by_gang[hold.task_id] = min(longer_s, LONGEST_GANG_HOLD_S)
        self._hold = None
        return False

    def _hold_for(self, task: Task, rooms: list[Room], now_s: float) -> Hold:
        """Return a hold of the emptiest workers that are large enough."""
        large = [room for room in rooms if room.could_hold(task.row.size)]
        large.sort(key=lambda room: (-room.free_cores / (room.cores or 1), room.name))
        names = frozenset(room.name for room in large[: task.row.count])
        hold_s = self._hold_s_by_gang.get(task.task_id, FIRST_GANG_HOLD_S)
        return Hold(task.task_id, now_s + hold_s, names)

    def open_rooms(self, task: Task, rooms: list[Room], now_s: float) -> list[Room]:
        """Return the rooms that are not kept for a gang while this task would run."""
        hold = self._hold
        if hold is None or task.row.urgent or task.task_id == hold.task_id:
            return rooms
        if now_s + task.row.run_s <= hold.until_s:
            return rooms
        return [room for room in rooms if room.name not in hold.workers]

    def notes(self, task: Task, now_s: float) -> list[str]:
        """Say whether a hold keeps a task waiting."""
        hold = self._hold
        if hold is None or hold.task_id == task.task_id:
            return []
        left_s = hold.until_s - now_s
        return [
            f"{len(hold.workers)} workers are kept for a gang for {left_s:.0f} s more"
        ]
