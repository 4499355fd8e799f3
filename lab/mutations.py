"""Guards taken out of a lab daemon, to show that the judge sees what they prevent."""

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
    """Point 1: a minion always has room."""
    Minion.free_slots = lambda self: self.upstream.slots


def no_wait_for_leases() -> None:
    """Point 2: a worker that misses one call has lost its tasks."""
    WorkerLease.all_grants_expired = lambda self, now_s: (
        self.since_last_contact_s(now_s) > 0.6
    )


def crossed_answers() -> None:
    """Point 3: each caller gets the answer before its own."""
    original = Router._resolve
    last = [Answer(b"nobody's")]

    def resolve(self, request, outcome):
        if isinstance(outcome, Answer):
            last.append(outcome)
            outcome = last.pop(0)
        original(self, request, outcome)

    Router._resolve = resolve


def every_failure_is_not_run() -> None:
    """Point 4: whatever has no answer did not run."""
    httpclient.may_have_run = not_run


def everything_is_idempotent() -> None:
    """Point 5: orders are tried again like checks."""
    original = Entry.new_request

    def new_request(self, workload, *more):
        return original(self, evolve(workload, idempotent=True), *more)

    Entry.new_request = new_request


def nobody_leaves() -> None:
    """Point 6: leaving upstreams get work like others."""
    Node.is_draining = lambda self, name: False


def stop_at_once() -> None:
    """Point 7: a stop waits for nothing."""

    async def at_once(self):
        return None

    Router.wait_until_idle = at_once
    node.InFlightCalls.wait_until_idle = at_once
    node.LATE_CALLS_GRACE_S = 0.0


def deaf_follower() -> None:
    """Point 8: a host never hears of a newer version."""
    original = Follower.receive_version
    Follower.receive_version = lambda self, row: row.number <= 1 and original(self, row)


MUTATIONS: dict[str, Callable[[], None]] = {
    item.__name__: item
    for item in (
        no_slot_limit,
        no_wait_for_leases,
        crossed_answers,
        every_failure_is_not_run,
        everything_is_idempotent,
        nobody_leaves,
        stop_at_once,
        deaf_follower,
    )
}
