"""Revoked keys stop working on every member in time, and good ones go on working."""

from __future__ import annotations

from contextlib import closing

import pytest
from attrs import evolve
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from redwingrun.jobs.accounts import AccountDirectory, ClientAccount, key_digest
from redwingrun.jobs.configfreshness import ConfigFreshness
from redwingrun.jobs.member import Member
from redwingrun.jobs.queuefollower import QueueFollower
from tests.helpers import DOWN, OK, run_state_machine
from tests.jobs.cluster import SimulatedCluster, make_cluster

TIMEOUT_S = 5.0
SLOWEST_CLOCK = 0.98
MEMBERS = 3
# Time in which a member that reaches the table, or a peer that does, is fresh again.
RECOVERY_S = 3.5
SETTINGS = settings(
    max_examples=25, stateful_step_count=25, deadline=None, print_blob=False
)
# A violation that is expected need not be made smaller.
SEARCH_ONLY = settings(SETTINGS, phases=(Phase.generate,))
ORIGINAL_CONFIRM = ConfigFreshness.confirm


def publish_key(cluster: SimulatedCluster, key: str) -> None:
    """Publish a version of the configuration in which there is only this key."""
    account = ClientAccount("copy-desk", key_digests=frozenset([key_digest(key)]))
    cluster.queues = evolve(
        cluster.queues,
        version=cluster.queues.version + 1,
        accounts=AccountDirectory([account]),
    )


def accepts(member: Member, key: str) -> bool:
    """Return whether a member serves a request with a key now."""
    queues = member.queues
    known = queues is not None and queues.accounts.find_by_key(key) is not None
    return known and member.accepts_keys()


def make_members() -> SimulatedCluster:
    """Return members with slow clocks that know the first key."""
    cluster = make_cluster(members=0, workers=1)
    cluster.revocation_timeout_s = TIMEOUT_S
    cluster.clock_rate = SLOWEST_CLOCK
    publish_key(cluster, "key-0")
    for number in range(MEMBERS):
        cluster.add_ready_member(f"m{number}")
    cluster.run(5.0)
    return cluster


class RevocationMachine(RuleBasedStateMachine):
    """Keys that are replaced while members lose the table, their peers and time."""

    def __init__(self) -> None:
        super().__init__()
        self.revoked_s_by_key: dict[str, float] = {}
        self.calm_since_s = 0.0

    @initialize()
    def start(self) -> None:
        self.cluster = make_members()
        self.key = "key-0"
        self.calm_since_s = self.cluster.loop.time()

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.close()

    @rule()
    def replace_key(self) -> None:
        """Revoke the key, and publish another one in the same version."""
        self.revoked_s_by_key[self.key] = self.cluster.loop.time()
        self.key = f"key-{len(self.revoked_s_by_key)}"
        publish_key(self.cluster, self.key)
        self.calm_since_s = self.cluster.loop.time()

    @rule(number=st.integers(0, MEMBERS - 1))
    def cut_or_heal_table(self, number: int) -> None:
        process = self.cluster.process_by_name[f"m{number}"]
        process.table_mode = DOWN if process.table_mode == OK else OK
        self.calm_since_s = self.cluster.loop.time()

    @rule(number=st.integers(0, MEMBERS - 1))
    def isolate_or_join(self, number: int) -> None:
        self.cluster.isolated_members ^= {f"m{number}"}
        self.calm_since_s = self.cluster.loop.time()

    @rule(
        number=st.integers(0, MEMBERS - 1),
        seconds=st.sampled_from([1.0, 6.0]),
        replaces=st.booleans(),
    )
    def freeze(self, number: int, seconds: float, replaces: bool) -> None:
        """Pause a member; what it knew, and what it was answered, is old then."""
        process = self.cluster.process_by_name[f"m{number}"]
        process.resumed.clear()
        self.cluster.run(1.5)
        if replaces:
            self.replace_key()
        self.cluster.run(seconds)
        process.resumed.set()
        # It handles the answers that waited for it, and asks nobody yet.
        self.cluster.run(0.001)
        self.calm_since_s = self.cluster.loop.time()

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.5, 6.0]))
    def wait(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @invariant()
    def no_revoked_key_works_after_the_timeout(self) -> None:
        if not hasattr(self, "cluster"):
            return
        now_s = self.cluster.loop.time()
        for key, revoked_s in self.revoked_s_by_key.items():
            if now_s - revoked_s > TIMEOUT_S:
                for name, member in self.cluster.member_by_name.items():
                    assert not accepts(member, key), f"{name} accepts {key}"

    @invariant()
    def the_key_works_where_the_table_or_a_peer_confirms_it(self) -> None:
        if not hasattr(self, "cluster"):
            return
        if self.cluster.loop.time() - self.calm_since_s < RECOVERY_S:
            return
        reaching = {
            name
            for name, process in self.cluster.process_by_name.items()
            if process.table_mode == OK
        }
        connected = set(self.cluster.member_by_name) - self.cluster.isolated_members
        confirmed = reaching | (connected if reaching & connected else set())
        for name in confirmed:
            member = self.cluster.member_by_name[name]
            assert accepts(member, self.key), f"{name} refuses the key"


# Guards against a revoked key that works on a member which the table does not answer,
# and against a good key that is refused although a peer could confirm it.
def test_keys_are_revoked_in_time_and_only_then():
    run_state_machine(RevocationMachine, SETTINGS)


def _count_from_the_answer(self, asked_s, source):
    """Take the configuration for the newest at the moment of the answer."""
    ORIGINAL_CONFIRM(self, self._clock.now(), source)


def _always_fresh(self):
    """Accept keys by a configuration of any age."""
    return True


@pytest.mark.parametrize(
    ("owner", "name", "mutation"),
    [
        (ConfigFreshness, "confirm", _count_from_the_answer),
        (ConfigFreshness, "is_fresh", _always_fresh),
    ],
)
def test_each_safeguard_is_needed(monkeypatch, owner, name, mutation):
    """The search finds a violation when a safeguard is taken out."""
    monkeypatch.setattr(owner, name, mutation)
    with pytest.raises(AssertionError, match="accepts"):
        run_state_machine(RevocationMachine, SEARCH_ONLY)


def test_member_without_the_table_takes_a_newer_version_from_a_peer():
    """Guards against a revocation that a cut-off member learns of only by its age."""
    with closing(make_members()) as cluster:
        cluster.process_by_name["m1"].table_mode = DOWN
        cluster.run(1.0)
        publish_key(cluster, "key-1")
        cluster.run(4.0)
        assert accepts(cluster.member_by_name["m1"], "key-1")


def test_a_damaged_newer_version_confirms_nothing(monkeypatch):
    """Guards against keys that stay valid because a newer version can't be read."""
    with closing(make_members()) as cluster:
        monkeypatch.setattr(QueueFollower, "apply_encoded", lambda *_: False)
        cluster.process_by_name["m1"].table_mode = DOWN
        publish_key(cluster, "key-1")
        cluster.run(TIMEOUT_S + 1.0)
        assert not accepts(cluster.member_by_name["m1"], "key-0")
