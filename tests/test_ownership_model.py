"""A search of shard ownership: pauses, lost answers, cuts, joiners, restarts, drift."""

from __future__ import annotations

import asyncio
import itertools
import random

import pytest
from attrs import define, evolve
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from redwingrun.coordination.members import (
    ExtensionPromises,
    FailureDetector,
    MemberLease,
)
from redwingrun.coordination.shards import ShardMap, ShardRow
from redwingrun.logs import Log
from redwingrun.membership import ENTRY, Membership
from redwingrun.metrics import Metrics
from redwingrun.peer_pb2 import PromiseReply
from tests.helpers import (
    DOWN,
    OK,
    TABLE_MODES,
    FakeNetwork,
    FakePeers,
    FakeProcess,
    FakeTable,
    LoopClock,
    Rows,
    VirtualLoop,
    close_loop,
    run_state_machine,
    settings_for,
)

SHARDS = ["a", "b"]
HOSTS = st.integers(0, 3)
RATES = (1.0, 1.04, 0.96, 1.0)
CHECK_S = 0.2
SEARCH = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


@define
class Running:
    """One run of one process."""

    process: FakeProcess
    membership: Membership
    task: asyncio.Task
    address: str

    def acts_on(self, shard: str) -> bool:
        """Tell whether it would admit work, without changing its state."""
        membership = self.membership
        lapsed = membership._lease.lapsed
        owns = shard in membership.owned()
        membership._lease.lapsed = lapsed
        return owns


class OwnershipMachine(RuleBasedStateMachine):
    """Up to four hosts and two shards over one table.

    :cvar heals: whether each run ends with all faults gone and owners expected.
    """

    heals = True

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        random.seed(1)
        # The same ids in each run, so that a search is the same each time.
        tokens = itertools.count()
        Membership._new_token = staticmethod(lambda: f"{next(tokens):04d}")
        self.rows = Rows()
        self.network = FakeNetwork()
        self.by_host: dict[int, Running] = {}
        self.invariants_hold = True
        for host in (0, 1):
            self._start(host)
        self._advance(6.0)

    def teardown(self):
        try:
            if self.heals and self.invariants_hold:
                self._heal_and_wait_for_owners()
        finally:
            close_loop(self.loop)

    def _start(self, host: int) -> None:
        address = f"address-{host}"
        process = FakeProcess(f"host-{host}")
        peers = FakePeers(self.network, process, address)
        config = settings_for(
            f"host-{host}",
            lease_term_s=3.0,
            lease_margin_s=0.5,
            lease_renew_s=0.5,
            promise_s=2.0,
            table_timeout_s=0.5,
            max_extension_s=30.0,
        )
        membership = Membership(
            config,
            ENTRY,
            FakeTable(self.rows, process),
            peers,
            LoopClock(self.loop, RATES[host], 100.0 * host),
            Log("test", "quiet"),
            Metrics(),
            lambda: None,
        )
        # In place of the address made of IP and port.
        membership._lease.row = _addressed(membership, address)
        membership.shards = SHARDS
        task = self.loop.create_task(membership.run())
        self.by_host[host] = Running(process, membership, task, address)
        self.network.process_by_address[address] = process
        self.network.handler_by_address[address] = _handler(membership)

    def _advance(self, seconds: float) -> None:
        async def advance():
            for _ in range(max(1, int(seconds / CHECK_S))):
                await asyncio.sleep(CHECK_S)
                self._check()

        self.loop.run_until_complete(advance())

    def _check(self) -> None:
        for shard in SHARDS:
            owners = [item for item in self.by_host.values() if item.acts_on(shard)]
            self.invariants_hold = self.invariants_hold and len(owners) <= 1
            assert len(owners) <= 1, (
                f"{shard} has owners {[o.process.name for o in owners]}"
            )

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0, 8.0]))
    def advance(self, seconds):
        self._advance(seconds)

    @rule(
        host=HOSTS,
        mode=st.sampled_from(TABLE_MODES),
        seconds=st.sampled_from([0.5, 4.0]),
    )
    def table_trouble(self, host, mode, seconds):
        if host in self.by_host:
            self.by_host[host].process.table_mode = mode
            self._advance(seconds)

    @rule(
        mode=st.sampled_from([OK, DOWN, DOWN]),
        seconds=st.sampled_from([1.0, 5.0, 12.0]),
    )
    def table_outage(self, mode, seconds):
        for running in self.by_host.values():
            running.process.table_mode = mode
        self._advance(seconds)

    @rule(keep=HOSTS, seconds=st.sampled_from([2.0, 6.0, 12.0]))
    def table_for_one_only(self, keep, seconds):
        for host, running in self.by_host.items():
            running.process.table_mode = OK if host == keep else DOWN
        self._advance(seconds)

    @rule(host=HOSTS, seconds=st.sampled_from([2.0, 5.0]))
    def isolate(self, host, seconds):
        """Cut one host from the table and from all others."""
        if host not in self.by_host:
            return
        self.by_host[host].process.table_mode = DOWN
        for other in range(4):
            self.network.cut.add((f"address-{host}", f"address-{other}"))
            self.network.cut.add((f"address-{other}", f"address-{host}"))
        self._advance(seconds)

    @rule(joiner=HOSTS, seconds=st.sampled_from([1.0, 4.0]))
    def outage_and_a_joiner(self, joiner, seconds):
        """The others lose the table while a host joins that reaches it."""
        for running in self.by_host.values():
            running.process.table_mode = DOWN
        self.join_or_restart(joiner)
        self._advance(seconds)

    @rule(host=HOSTS, seconds=st.sampled_from([1.0, 2.0, 4.0, 9.0]))
    def pause(self, host, seconds):
        if host in self.by_host:
            process = self.by_host[host].process
            process.paused.clear()
            self._advance(seconds)
            process.paused.set()

    @rule(one=HOSTS, other=HOSTS, both=st.booleans())
    def cut(self, one, other, both):
        self.network.cut.add((f"address-{one}", f"address-{other}"))
        if both:
            self.network.cut.add((f"address-{other}", f"address-{one}"))

    @precondition(lambda self: self.network.cut)
    @rule()
    def mend_links(self):
        self.network.cut.clear()

    @rule(host=HOSTS)
    def kill(self, host):
        running = self.by_host.pop(host, None)
        if running is not None:
            running.task.cancel()
            self.network.handler_by_address.pop(running.address, None)

    @rule(host=HOSTS)
    def join_or_restart(self, host):
        self.kill(host)
        self._start(host)

    def _heal_and_wait_for_owners(self):
        """Once all is well every shard has an owner again."""
        self.network.cut.clear()
        for running in self.by_host.values():
            running.process.table_mode = OK
            running.process.paused.set()
        self._advance(40.0)
        if self.by_host and self.invariants_hold:
            owned = [
                s for s in SHARDS if any(r.acts_on(s) for r in self.by_host.values())
            ]
            assert owned == SHARDS


def _addressed(membership: Membership, address: str):
    return evolve(membership._lease.row, peer_address=address)


def _handler(membership: Membership):
    calls = {"Promise": membership.promise, "Promised": membership.promised}
    return lambda method, message: calls[method](message)


def test_a_shard_never_has_two_owners():
    run_state_machine(OwnershipMachine, SEARCH)


async def _promised_unasked(self, peer):
    return True


def _reply_for_anybody(self, promised):
    everybody = [
        f"host-{host}-{number:04d}" for host in range(4) for number in range(99)
    ]
    return PromiseReply(
        member_id=self.member_id, promised=promised, speaks_for=everybody
    )


def _promise_to_anybody(self, request):
    self.promises.promise(request.for_member_id, self._clock.now())
    return self._promise_reply(True)


class FaultyMachine(OwnershipMachine):
    """Looks for two owners only, which leaves time for more runs."""

    heals = False


def _valid_again(self, now_s):
    return self.version is not None and now_s < self._valid_until_s


def _goes_on(self):
    self._valid_until_s += 10 * self.settings.term_s


def _counted_from_answer(self, renewal, version, now_s):
    ORIGINAL_RENEWED(self, evolve(renewal, started_s=now_s + 1.0), version, now_s)


def _claim_without_absence(self, old, member_id):
    row, change = ORIGINAL_CLAIM(self, old, member_id)
    return row, evolve(change, conditions=change.conditions[:1])


def _claim_anything(self, member_id, shards, members):
    known = [self._by_shard.get(shard, ShardRow(shard, ENTRY)) for shard in shards]
    taken = [row for row in known if row.owner != member_id and random.random() < 0.05]
    return [self._claim(row, member_id) for row in taken]


ORIGINAL_RENEWED = MemberLease.renewed
ORIGINAL_CLAIM = ShardMap._claim

SEARCHED = {
    "extends without anybody's promise": [
        (Membership, "_ask_promise", _promised_unasked)
    ],
    "a claimant asks nobody": [
        (ExtensionPromises, "holds", lambda self, member_id, now_s: False),
    ],
    "a late joiner asks nobody": [
        (FailureDetector, "witnesses", lambda self, suspect, own_ids: frozenset()),
    ],
    "a refused renewal does not end the lease": [
        (MemberLease, "refused", _goes_on),
        (MemberLease, "is_valid", _valid_again),
        (Membership, "_rejoin_if_lapsed", lambda self: None),
    ],
    "an expelled owner is not looked for": [
        (ShardMap, "_claim", _claim_without_absence),
        (ShardMap, "claims", _claim_anything),
    ],
}


@pytest.mark.parametrize("name", SEARCHED)
def test_the_search_finds_the_fault_when_a_rule_is_taken_out(name, monkeypatch):
    for owner, attribute, replacement in SEARCHED[name]:
        monkeypatch.setattr(owner, attribute, replacement)
    wanted = settings(SEARCH, max_examples=400, print_blob=False)
    with pytest.raises(AssertionError):
        run_state_machine(FaultyMachine, wanted)


def _witness_restarts(machine: FaultyMachine, delay_s: float) -> None:
    """Two hosts lose the table, a third joins, and one of the two restarts."""
    for host in (0, 1):
        machine.by_host[host].process.table_mode = DOWN
    machine._start(2)
    machine._advance(3.4 + delay_s)
    machine.kill(1)
    machine._start(1)
    machine._advance(4.0)


def _renewal_answered_late(machine: FaultyMachine, delay_s: float) -> None:
    """A host is paused with its renewal under way, then cut from everything."""
    machine.loop.run_until_complete(asyncio.sleep(delay_s))
    machine.pause.hypothesis_stateful_rule.function(machine, host=0, seconds=2.0)
    machine.isolate.hypothesis_stateful_rule.function(machine, host=0, seconds=5.0)


# Traces that the search does not come upon in its time, at many moments each.
DIRECTED = {
    "a restarted member answers for its earlier run": (
        _witness_restarts,
        [
            (Membership, "_promise_reply", _reply_for_anybody),
            (Membership, "promise", _promise_to_anybody),
        ],
    ),
    "the lease counts from the answer": (
        _renewal_answered_late,
        [(MemberLease, "renewed", _counted_from_answer)],
    ),
}
# Fine enough to meet the moment between a renewal's effect and its answer.
MOMENTS_S = [step * 0.007 for step in range(200)]


@pytest.mark.parametrize("name", DIRECTED)
def test_a_directed_trace_is_sound_at_every_moment(name):
    _at_every_moment(DIRECTED[name][0])


@pytest.mark.parametrize("name", DIRECTED)
def test_a_directed_trace_finds_the_fault_when_a_rule_is_taken_out(name, monkeypatch):
    trace, changes = DIRECTED[name]
    for owner, attribute, replacement in changes:
        monkeypatch.setattr(owner, attribute, replacement)

    with pytest.raises(AssertionError, match="has owners"):
        _at_every_moment(trace)


def _at_every_moment(trace) -> None:
    for moment_s in MOMENTS_S:
        machine = FaultyMachine()
        try:
            trace(machine, moment_s)
        finally:
            # What a failed trace leaves running would be reported much later.
            machine.teardown()
