"""Reservations of workers for gangs, the tasks whose members start together."""

from __future__ import annotations

from attrs import define, field, frozen

from redwingrun.packing import WorkerResources
from redwingrun.tasks import Task

# Waiting time after which workers are reserved for a gang.
RESERVE_AFTER_S = 60.0
FIRST_RESERVATION_S = 10.0
MAX_RESERVATION_S = 160.0


@frozen
class GangReservation:
    """Workers that are reserved for a gang until ``until_s``."""

    task_id: str
    until_s: float
    workers: frozenset[str]


@define
class GangReservations:
    """The waiting times of gangs, and the reservation for the one that waits longest.

    Without reservations a gang that needs whole workers would never start while
    small tasks keep arriving. A reservation is limited in time, so that a gang can't
    block the pool. When it ends before the gang has started, the gang waits
    ``RESERVE_AFTER_S`` again, and its next reservation is twice as long, up to
    ``MAX_RESERVATION_S``.
    """

    _waiting_since_by_gang: dict[str, float] = field(factory=dict)
    _reservation_s_by_gang: dict[str, float] = field(factory=dict)
    _reservation: GangReservation | None = None

    def active(self) -> bool:
        """Return whether a gang waits or there is a reservation."""
        return bool(self._waiting_since_by_gang) or self._reservation is not None

    def record_waiting(self, task: Task, now_s: float) -> None:
        """Record that a gang did not fit."""
        self._waiting_since_by_gang.setdefault(task.task_id, now_s)

    def record_placed(self, task: Task) -> None:
        """Record that a task was placed; it need not be a gang."""
        self._waiting_since_by_gang.pop(task.task_id, None)
        self._reservation_s_by_gang.pop(task.task_id, None)

    def update(
        self, queued: list[Task], workers: list[WorkerResources], now_s: float
    ) -> None:
        """End the reservation when it is over; make the next one when a gang is due.

        :param queued: all queued tasks. While no reservation is in effect, the
            waiting times of gangs that are not among them are deleted.
        """
        if self._keep_reservation(now_s):
            return
        gangs = {
            task.task_id: task
            for task in queued
            if task.task_id in self._waiting_since_by_gang
        }
        self._waiting_since_by_gang = {
            key: since_s
            for key, since_s in self._waiting_since_by_gang.items()
            if key in gangs
        }
        eligible = [
            key
            for key, since_s in self._waiting_since_by_gang.items()
            if now_s - since_s >= RESERVE_AFTER_S
        ]
        if eligible:
            first = min(eligible, key=lambda key: self._waiting_since_by_gang[key])
            self._reservation = self._new_reservation(gangs[first], workers, now_s)

    def _keep_reservation(self, now_s: float) -> bool:
        """Return whether the reservation lasts; otherwise end it.

        If its gang still waits, the waiting time starts again, and the next
        reservation is twice as long.
        """
        reservation = self._reservation
        if reservation is None:
            return False
        waits = reservation.task_id in self._waiting_since_by_gang
        if waits and now_s < reservation.until_s:
            return True
        if waits:
            self._waiting_since_by_gang[reservation.task_id] = now_s
            next_s = 2 * self._reservation_s_by_gang.get(
                reservation.task_id, FIRST_RESERVATION_S
            )
            self._reservation_s_by_gang[reservation.task_id] = min(
                next_s, MAX_RESERVATION_S
            )
        self._reservation = None
        return False

    def _new_reservation(
        self, task: Task, workers: list[WorkerResources], now_s: float
    ) -> GangReservation:
        """Return a reservation for a gang.

        Of the workers that are large enough for a member it holds those with the
        largest share of free cores, at most one for each member.
        """
        large = [worker for worker in workers if worker.could_fit(task.row.size)]
        large.sort(
            key=lambda worker: (-worker.free_cores / (worker.cores or 1), worker.name)
        )
        names = frozenset(worker.name for worker in large[: task.row.count])
        reservation_s = self._reservation_s_by_gang.get(
            task.task_id, FIRST_RESERVATION_S
        )
        return GangReservation(task.task_id, now_s + reservation_s, names)

    def available_workers(
        self, task: Task, workers: list[WorkerResources], now_s: float
    ) -> list[WorkerResources]:
        """Return the workers that a task may use.

        Only urgent tasks, and tasks that are expected to end before the reservation
        does, may use workers that are reserved for another task.
        """
        reservation = self._reservation
        if (
            reservation is None
            or task.row.urgent
            or task.task_id == reservation.task_id
        ):
            return workers
        if now_s + task.row.run_s <= reservation.until_s:
            return workers
        return [worker for worker in workers if worker.name not in reservation.workers]

    def explain(self, task: Task, now_s: float) -> list[str]:
        """Return a line about the reservation for another task, if there is one."""
        reservation = self._reservation
        if reservation is None or reservation.task_id == task.task_id:
            return []
        left_s = reservation.until_s - now_s
        return [
            f"{len(reservation.workers)} workers are reserved for a gang"
            f" for {left_s:.0f} s more"
        ]
