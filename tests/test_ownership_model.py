"""Randomized model test of shard ownership: a shard never has two owners.

Faults are paused processes, table outages, lost requests and replies, cut links,
joining and restarting members, and clocks that run at different rates.
"""

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
CLOCK_RATES = (1.0, 1.04, 0.96, 1.0)
CHECK_INTERVAL_S = 0.2
SETTINGS = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


@define
class RunningProcess:
    """One running process and its membership."""

    process: FakeProcess
    membership: Membership
    task: asyncio.Task
    address: str

    def acts_as_owner(self, shard: str) -> bool:
        """Return whether the process would act as owner, without changing its state."""
        membership = self.membership
        expired = membership._lease.expired
        owns = shard in membership.owned()
        membership._lease.expired = expired
        return owns


class OwnershipMachine(RuleBasedStateMachine):
    """Up to four hosts and two shards with one table.

    :cvar heals: whether each run ends by clearing all faults and requiring that every
        shard has an owner.
    """

    heals = True

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        random.seed(1)
        # Deterministic ids make every run reproducible.
        tokens = itertools.count()
        Membership._new_token = staticmethod(lambda: f"{next(tokens):04d}")
        self.rows = Rows()
        self.network = FakeNetwork()
        self.by_host: dict[int, RunningProcess] = {}
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
            LoopClock(self.loop, CLOCK_RATES[host], 100.0 * host),
            Log("test", "quiet"),
            Metrics(),
            lambda: None,
        )
        # Replaces the address built from IP address and port.
        membership._lease.row = _with_address(membership, address)
        membership.shards = SHARDS
        task = self.loop.create_task(membership.run())
        self.by_host[host] = RunningProcess(process, membership, task, address)
        self.network.process_by_address[address] = process
        self.network.handler_by_address[address] = _handler(membership)

    def _advance(self, seconds: float) -> None:
        async def advance():
            for _ in range(max(1, int(seconds / CHECK_INTERVAL_S))):
                await asyncio.sleep(CHECK_INTERVAL_S)
                self._check()

        self.loop.run_until_complete(advance())

    def _check(self) -> None:
        for shard in SHARDS:
            owners = [
                item for item in self.by_host.values() if item.acts_as_owner(shard)
            ]
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
        """Disconnect one host from the table and from all others."""
        if host not in self.by_host:
            return
        self.by_host[host].process.table_mode = DOWN
        for other in range(4):
            self.network.cut.add((f"address-{host}", f"address-{other}"))
            self.network.cut.add((f"address-{other}", f"address-{host}"))
        self._advance(seconds)

    @rule(joiner=HOSTS, seconds=st.sampled_from([1.0, 4.0]))
    def outage_and_a_joiner(self, joiner, seconds):
        """The running hosts lose the table, and a host that can reach it joins."""
        for running in self.by_host.values():
            running.process.table_mode = DOWN
        self.join_or_restart(joiner)
        self._advance(seconds)

    @rule(host=HOSTS, seconds=st.sampled_from([1.0, 2.0, 4.0, 9.0]))
    def pause(self, host, seconds):
        if host in self.by_host:
            process = self.by_host[host].process
            process.resumed.clear()
            self._advance(seconds)
            process.resumed.set()

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
        """After all faults are cleared, every shard has an owner again."""
        self.network.cut.clear()
        for running in self.by_host.values():
            running.process.table_mode = OK
            running.process.resumed.set()
        self._advance(40.0)
        if self.by_host and self.invariants_hold:
            owned = [
                s
                for s in SHARDS
                if any(r.acts_as_owner(s) for r in self.by_host.values())
            ]
            assert owned == SHARDS


def _with_address(membership: Membership, address: str):
    return evolve(membership._lease.row, peer_address=address)


def _handler(membership: Membership):
    calls = {"Promise": membership.promise, "Promised": membership.promised}
    return lambda method, message: calls[method](message)


def test_shard_never_has_two_owners():
    """Guards against two processes that act as owner of a shard.

    Also guards against a shard that nobody claims after the faults are cleared.
    """
    run_state_machine(OwnershipMachine, SETTINGS)


async def _assume_promised(self, peer):
    return True


def _reply_for_all_ids(self, promised):
    all_ids = [f"host-{host}-{number:04d}" for host in range(4) for number in range(99)]
    return PromiseReply(member_id=self.member_id, promised=promised, speaks_for=all_ids)


def _promise_for_any_id(self, request):
    self.promises.promise(request.for_member_id, self._clock.now())
    return self._promise_reply(True)


class SafetyMachine(OwnershipMachine):
    """Checks only for two owners, so that more runs fit into the test time."""

    heals = False


def _is_valid_after_refusal(self, now_s):
    return self.version is not None and now_s < self._valid_until_s


def _extend_after_refusal(self):
    self._valid_until_s += 10 * self.settings.term_s


def _count_from_reply(self, renewal, version, now_s):
    ORIGINAL_RECORD_RENEWAL(
        self, evolve(renewal, started_s=now_s + 1.0), version, now_s
    )


def _claim_without_expulsion_check(self, current, member_id):
    row, change = ORIGINAL_CLAIM(self, current, member_id)
    return row, evolve(change, conditions=change.conditions[:1])


def _claim_owned_shards(self, member_id, shards, members):
    known = [self._by_shard.get(shard, ShardRow(shard, ENTRY)) for shard in shards]
    taken = [row for row in known if row.owner != member_id and random.random() < 0.05]
    return [self._claim(row, member_id) for row in taken]


ORIGINAL_RECORD_RENEWAL = MemberLease.record_renewal
ORIGINAL_CLAIM = ShardMap._claim

MUTANTS = {
    "the lease is extended without promises": [
        (Membership, "_request_promise", _assume_promised)
    ],
    "given promises are ignored": [
        (ExtensionPromises, "has_promised", lambda self, member_id, now_s: False),
    ],
    "a new member asks no witness": [
        (FailureDetector, "witnesses", lambda self, suspect, own_ids: frozenset()),
    ],
    "a refused renewal does not end the lease": [
        (MemberLease, "record_refusal", _extend_after_refusal),
        (MemberLease, "is_valid", _is_valid_after_refusal),
        (Membership, "_rejoin_if_expired", lambda self: None),
    ],
    "a claim does not check that the owner was expelled": [
        (ShardMap, "_claim", _claim_without_expulsion_check),
        (ShardMap, "claims", _claim_owned_shards),
    ],
}


@pytest.mark.parametrize("name", MUTANTS)
def test_model_detects_removed_safeguard(name, monkeypatch):
    """Guards against a model that finds nothing.

    Without a safeguard of `MUTANTS`, a check of the state machine must fail.
    """
    for owner, attribute, replacement in MUTANTS[name]:
        monkeypatch.setattr(owner, attribute, replacement)
    more_examples = settings(SETTINGS, max_examples=400, print_blob=False)
    with pytest.raises(AssertionError):
        run_state_machine(SafetyMachine, more_examples)


def _restart_witness(machine: SafetyMachine, delay_s: float) -> None:
    """Two hosts lose the table, a third joins, and one of the two restarts."""
    for host in (0, 1):
        machine.by_host[host].process.table_mode = DOWN
    machine._start(2)
    machine._advance(3.4 + delay_s)
    machine.kill(1)
    machine._start(1)
    machine._advance(4.0)


def _isolate_during_renewal(machine: SafetyMachine, delay_s: float) -> None:
    """A host is paused with a renewal in flight, and then isolated."""
    machine.loop.run_until_complete(asyncio.sleep(delay_s))
    machine.pause.hypothesis_stateful_rule.function(machine, host=0, seconds=2.0)
    machine.isolate.hypothesis_stateful_rule.function(machine, host=0, seconds=5.0)


# Traces that the random search rarely finds, each run with many delays.
DIRECTED_TRACES = {
    "a restarted member answers for its earlier process": (
        _restart_witness,
        [
            (Membership, "_promise_reply", _reply_for_all_ids),
            (Membership, "promise", _promise_for_any_id),
        ],
    ),
    "the lease is counted from the reply": (
        _isolate_during_renewal,
        [(MemberLease, "record_renewal", _count_from_reply)],
    ),
}
# `FakeTable` takes 10 ms between a renewal's effect and its reply; a step of 7 ms hits
# this time.
DELAYS_S = [step * 0.007 for step in range(200)]


@pytest.mark.parametrize("name", DIRECTED_TRACES)
def test_directed_trace_never_has_two_owners(name):
    """Guards against two owners in traces that the random search rarely finds."""
    _run_with_all_delays(DIRECTED_TRACES[name][0])


@pytest.mark.parametrize("name", DIRECTED_TRACES)
def test_directed_trace_detects_removed_safeguard(name, monkeypatch):
    """Guards against directed traces that find nothing.

    Without the safeguard of a trace, a shard must have two owners.
    """
    run_trace, changes = DIRECTED_TRACES[name]
    for owner, attribute, replacement in changes:
        monkeypatch.setattr(owner, attribute, replacement)

    with pytest.raises(AssertionError, match="has owners"):
        _run_with_all_delays(run_trace)


def _run_with_all_delays(run_trace) -> None:
    for delay_s in DELAYS_S:
        machine = SafetyMachine()
        try:
            run_trace(machine, delay_s)
        finally:
            # Tasks left over from a failed trace would be reported in a later test.
            machine.teardown()
