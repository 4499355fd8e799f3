"""Leases of tasks on workers, in the worker's own clock.

Every call to a worker names the moment, on the worker's clock, up to which its
tasks may run. The moment comes from the worker's last answer, so a call that is
held up anywhere, even in the socket of a frozen worker, can't extend a lease
beyond what its sender counts with.
"""

from __future__ import annotations

from attrs import define, frozen


@frozen
class TaskLeaseSettings:
    """Times of task leases, in seconds.

    :param term_s: how long a task may run after the worker's last answer.
    :param margin_s: added by whoever waits for the end.
    :param renew_s: time between two calls to a worker.
    """

    term_s: float = 10.0
    margin_s: float = 1.0
    renew_s: float = 2.0


@define
class WorkerLease:
    """The sender's side: one for each run of a worker's process.

    :param incarnation: the worker's name for its present run; a worker that
        was restarted has lost its tasks and its clock.
    """

    settings: TaskLeaseSettings
    incarnation: str
    _worker_clock_s: float = 0.0
    _granted_until_s: float = float("-inf")
    _heard_s: float = float("-inf")

    def record_clock(self, worker_clock_s: float, received_s: float) -> None:
        """Take the worker's clock from an answer received at ``received_s``."""
        if worker_clock_s >= self._worker_clock_s:
            self._worker_clock_s = worker_clock_s
            self._heard_s = received_s

    def issue_grant(self) -> float:
        """Return the end of the next grant, on the worker's clock.

        Also counts it as granted: the call may arrive though its answer is lost.
        """
        # The reading was taken before it was received, so the worker's clock
        # reaches the moment no later than this.
        ends_s = self._heard_s + self.settings.term_s
        self._granted_until_s = max(self._granted_until_s, ends_s)
        return self._worker_clock_s + self.settings.term_s

    def all_grants_expired(self, now_s: float) -> bool:
        """Tell whether every task granted so far has ended, without an answer."""
        return now_s > self._granted_until_s + self.settings.margin_s

    def since_last_contact_s(self, now_s: float) -> float:
        """Return the seconds since the worker was last heard."""
        return now_s - self._heard_s


@define
class Fence:
    """The receiver's side: only the newest epoch of a shard may act."""

    epoch: int = 0

    def admits(self, epoch: int) -> bool:
        """Tell whether a call of this epoch may act, and remember it."""
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        return True
