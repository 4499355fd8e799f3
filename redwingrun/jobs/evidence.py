"""Evidence that a run has ended, without which its task does not start again.

The absence of an answer is never evidence: a worker that refuses connections, or whose
registration has expired, may run on.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from attrs import frozen

from redwingrun.jobs.spec import RunId
from redwingrun.jobs.workerpool import EndKind, Run, Worker, WorkerReport


@frozen
class Evidence(ABC):
    """What the owner has seen of a run or its worker.

    :param seen_s: monotonic time at which the owner saw it.
    """

    seen_s: float

    @property
    @abstractmethod
    def name(self) -> str:
        """What was seen, for the log."""

    @abstractmethod
    def proves_end(self, run: Run, worker: Worker) -> bool:
        """Return whether a run on a worker has certainly ended.

        A start of the run that is carried out later must be ruled out, too.
        """


@frozen
class ListedEnd(Evidence):
    """The worker has listed the end of the run."""

    kind: EndKind
    number: int

    @property
    def name(self) -> str:
        """How the run ended."""
        return f"listed-as-{self.kind.value}"

    def proves_end(self, run: Run, worker: Worker) -> bool:
        """Return ``True``: the end names the run."""
        return True


@frozen
class AbsentFromReport(Evidence):
    """The worker's report does not list the run, and would if the run were alive.

    :param sent_s: monotonic time at which the report was requested.
    """

    report: WorkerReport
    sent_s: float

    @property
    def name(self) -> str:
        """The kind of evidence."""
        return "absent-from-report"

    def is_missing(self, run: Run) -> bool:
        """Return whether the report would list the run if it were alive, and does not.

        The start, or a stop after it, must have been answered before the report was
        requested: else the start may have arrived later.
        """
        return (
            run.answered_s is not None
            and run.answered_s < self.sent_s
            and run.run_id not in self.report.listed_runs
        )

    def proves_end(self, run: Run, worker: Worker) -> bool:
        """Return whether the run is missing in a report that lists all ends.

        If its worker has restarted, no later incarnation may still start it, either.
        """
        return (
            self.report.lists_all_ends
            and self.is_missing(run)
            and self.seen_s > run.late_until_s
        )


@frozen
class LaterIncarnation(AbsentFromReport):
    """The first report of the worker's next incarnation does not list the run."""

    @property
    def name(self) -> str:
        """The kind of evidence."""
        return "later-incarnation"


@frozen
class OtherWorkerAtAddress(Evidence):
    """Another worker answers at the address, so that the process there has ended."""

    @property
    def name(self) -> str:
        """The kind of evidence."""
        return "other-worker-at-address"

    def proves_end(self, run: Run, worker: Worker) -> bool:
        """Return ``True``: a worker has one address for its whole life."""
        return True


@frozen
class LeaseExpired(Evidence):
    """The lease of the worker's runs has expired, also on the slowest clock."""

    @property
    def name(self) -> str:
        """The kind of evidence."""
        return "lease-expired"

    def proves_end(self, run: Run, worker: Worker) -> bool:
        """Return whether the lease had expired when this was seen."""
        return self.seen_s > worker.lease_expiry_s


@frozen
class NotCarriedOut(Evidence):
    """No attempt to start the run had an effect, or none was made.

    :param reason: why.
    """

    reason: str

    @property
    def name(self) -> str:
        """The kind of evidence, with the reason."""
        return f"not-carried-out-{self.reason}"

    def proves_end(self, run: Run, worker: Worker) -> bool:
        """Return whether each attempt to start the run got an answer."""
        return run.unanswered_s is None


@frozen
class EndedRun:
    """A run that has ended, and why the owner believes so.

    :param lease_left_s: seconds until the lease of its worker would have expired;
        negative after that.
    """

    run_id: RunId
    worker_id: str
    evidence: Evidence
    lease_left_s: float
