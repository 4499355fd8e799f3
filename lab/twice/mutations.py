"""Mends of the worker lease that can be taken out of a member, one for each mutation.

``lab.twice.member`` applies one at its start, to show that the scenario detects it.
"""

from __future__ import annotations

from collections.abc import Callable

from redwingrun.jobs.evidence import OtherWorkerAtAddress
from redwingrun.jobs.sliceowner import SliceOwner
from redwingrun.jobs.workerlease import LEASE_S, WorkerLease, longest_s
from redwingrun.jobs.workerlink import WorkerLink

# So many refused connections in a row ended a worker's runs once.
DEAD_AFTER_REFUSED_CONNECTIONS = 2


def refused_connections_end_runs() -> None:
    """End the runs of a worker that refuses connections, as if it were dead."""
    original = WorkerLink._evidence_of_loss
    refused_by_link: dict[WorkerLink, int] = {}

    def evidence_of_loss(self, worker, fault):
        earlier = refused_by_link.get(self, 0) if self._failed_heartbeats > 1 else 0
        is_refused = fault.failure.reason == "connection-refused"
        refused_by_link[self] = earlier + 1 if is_refused else 0
        if refused_by_link[self] >= DEAD_AFTER_REFUSED_CONNECTIONS:
            return OtherWorkerAtAddress(self._owner.now())
        return original(self, worker, fault)

    WorkerLink._evidence_of_loss = evidence_of_loss


def clock_of_starts_ignored() -> None:
    """Don't look at the worker's clock in the answer to a start."""
    WorkerLink._check_clock = lambda self, worker, clock_ms, sent_s: None


def short_lease_after_restart() -> None:
    """Count the usual lease after a worker's restart, not the longest one."""
    WorkerLink._assume_longest_lease = lambda self, worker: None


def short_inherited_lease() -> None:
    """Count the usual lease of a former owner, also if the worker has restarted."""
    WorkerLease.inherited_expiry_s = lambda self, clock_ms, answered_s: (
        answered_s + longest_s(LEASE_S)
    )


def leases_without_claim() -> None:
    """Grant leases also while another member may have claimed the slice."""
    SliceOwner.may_grant_leases = lambda self: True


MUTATIONS: dict[str, Callable[[], None]] = {
    mutation.__name__: mutation
    for mutation in (
        refused_connections_end_runs,
        clock_of_starts_ignored,
        short_lease_after_restart,
        short_inherited_lease,
        leases_without_claim,
    )
}
