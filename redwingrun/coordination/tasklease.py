"""Leases of tasks on workers, measured on the worker's clock.

Every call to a worker carries a grant: the time on the worker's own clock until
which its tasks may run. This time is derived from the clock reading in the
worker's last reply. A call that is delayed anywhere, even in the socket of a
frozen worker, therefore cannot extend a lease beyond what its sender assumes.
"""

from __future__ import annotations

from attrs import define, frozen


@frozen
class TaskLeaseSettings:
    """Durations of task leases, in seconds.

    :param term_s: how long a task may run after the worker's last reply.
    :param margin_s: extra time to wait before a lease is considered expired.
    :param renew_s: time between two calls to a worker.
    """

    term_s: float = 10.0
    margin_s: float = 1.0
    renew_s: float = 2.0


@define
class WorkerLease:
    """The sender's view of the lease of one incarnation of a worker process.

    :param incarnation: the worker's name for its current process; a worker that
        restarted has lost its tasks, and its clock starts again.
    """

    settings: TaskLeaseSettings
    incarnation: str
    _worker_clock_s: float = 0.0
    _granted_until_s: float = float("-inf")
    _last_contact_s: float = float("-inf")

    def record_clock(self, worker_clock_s: float, received_s: float) -> None:
        """Record the worker's clock from a reply.

        :param received_s: time of receipt, on the sender's clock.
        """
        if worker_clock_s >= self._worker_clock_s:
            self._worker_clock_s = worker_clock_s
            self._last_contact_s = received_s

    def issue_grant(self) -> float:
        """Return the end of the next grant, on the worker's clock.

        The grant counts as given, because the call may reach the worker even if
        its reply is lost.
        """
        # The worker read its clock before the reply was received, so the grant ends
        # no later than this time on the sender's clock.
        ends_s = self._last_contact_s + self.settings.term_s
        self._granted_until_s = max(self._granted_until_s, ends_s)
        return self._worker_clock_s + self.settings.term_s

    def all_grants_expired(self, now_s: float) -> bool:
        """Return whether all grants issued so far have expired, answered or not."""
        return now_s > self._granted_until_s + self.settings.margin_s

    def since_last_contact_s(self, now_s: float) -> float:
        """Return the seconds since the worker's last reply."""
        return now_s - self._last_contact_s


@define
class Fence:
    """The receiver's check that only the newest epoch of a shard may act."""

    epoch: int = 0

    def admits(self, epoch: int) -> bool:
        """Return whether a call of this epoch may act; if so, remember the epoch."""
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        return True
