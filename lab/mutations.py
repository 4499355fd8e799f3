"""Faults to inject into the code of a lab daemon, one for each invariant.

Each mutation disables the code that keeps an invariant of :mod:`lab.load`, to show
that the tests detect the violation. ``lab.daemon`` applies one at its start.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve

from redwingrun import httpclient, node
from redwingrun.coordination.follower import Follower
from redwingrun.coordination.tasklease import WorkerLease
from redwingrun.coordination.verdict import Answer, not_run
from redwingrun.dispatcher import Minion
from redwingrun.entry import Entry
from redwingrun.node import Node
from redwingrun.router import Router


def no_slot_limit() -> None:
    """Invariant 1: count every slot of a minion as free."""
    Minion.free_slots = lambda self: self.upstream.slots


def early_grant_expiry() -> None:
    """Invariant 2: count a worker's grants as expired 0.6 s after its last contact.

    One missed renewal is enough, as ``task_renew_s`` is 0.5 s in the lab.
    """
    WorkerLease.all_grants_expired = lambda self, now_s: (
        self.since_last_contact_s(now_s) > 0.6
    )


def crossed_answers() -> None:
    """Invariant 3: give each caller the answer to the request before its own."""
    original = Router._resolve
    answers = [Answer(b"nobody's")]

    def resolve(self, request, outcome):
        if isinstance(outcome, Answer):
            answers.append(outcome)
            outcome = answers.pop(0)
        original(self, request, outcome)

    Router._resolve = resolve


def every_failure_is_not_run() -> None:
    """Invariant 4: report every request without an answer as *not run*."""
    httpclient.may_have_run = not_run


def everything_is_idempotent() -> None:
    """Invariant 5: retry requests that are not idempotent."""
    original = Entry.new_request

    def request(self, workload, *args):
        return original(self, evolve(workload, idempotent=True), *args)

    Entry.new_request = request


def draining_ignored() -> None:
    """Invariant 6: send work to upstreams that leave."""
    Node.is_draining = lambda self, name: False


def stop_without_waiting() -> None:
    """Invariant 7: stop without waiting for requests in flight."""

    async def return_immediately(self):
        return None

    Router.wait_until_idle = return_immediately
    node.InFlightCalls.wait_until_idle = return_immediately
    node.LATE_CALLS_GRACE_S = 0.0


def new_versions_ignored() -> None:
    """Invariant 8: ignore every configuration version after the first."""
    original = Follower.receive_version
    Follower.receive_version = lambda self, row: row.number <= 1 and original(self, row)


MUTATIONS: dict[str, Callable[[], None]] = {
    mutation.__name__: mutation
    for mutation in (
        no_slot_limit,
        early_grant_expiry,
        crossed_answers,
        every_failure_is_not_run,
        everything_is_idempotent,
        draining_ignored,
        stop_without_waiting,
        new_versions_ignored,
    )
}
