"""A search over whole members in virtual time: troubles in any order, then calm.

The judge of the world checks every start. At the end all troubles are lifted, and
every job that was accepted must come to its end.
"""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, note, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from redwingrun.jobs.spec import JobSpec
from tests.helpers import DOWN, LATE, LOST_ANSWER, LOST_REQUEST, OK, run_state_machine
from tests.jobs.cluster import job, job_id, make_cluster, step

MEMBERS = 3
MINIONS = 3
CALM_S = 60.0
DARK_PARTS = [
    set(),
    {"s0"},
    {"s0-standby"},
    {"s0", "s0-standby"},
    {"s0", "s0-standby-2"},
    {"s0-standby", "s0-standby-2"},
    {"s0", "s0-standby", "s0-standby-2"},
    {f"s0-{number:x}" for number in range(8)},
    {"s0", *(f"s0-{number:x}" for number in range(8, 16))},
]
LINES_SHOWN = 120
SETTINGS = settings(
    max_examples=30,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    database=None,
    # Without shrinking: the world's lines tell what happened, and CI has its time.
    phases=(Phase.explicit, Phase.generate),
)


def shapes() -> list[JobSpec]:
    """Return the shapes of jobs that the search uses."""
    return [
        job(step(3, 0.7)),
        job(step(2, 1.5), step(3, 0.5, after=(0,))),
        job(step(4, 3.0, checkpointed=True), step(1, 0.2, after=(0,))),
        job(step(3, 2.0, gang=True), step(2, 0.5, after=(0,))),
        job(step(10, 1.0)),
    ]


class SliceMachine(RuleBasedStateMachine):
    """Jobs, members, minions and a table, with troubles."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = None
        self.jobs = 0
        self.next_member = MEMBERS

    @initialize()
    def begin(self) -> None:
        """Start a calm slice."""
        self.cluster = make_cluster(MEMBERS, MINIONS)

    @rule(shape=st.integers(0, 4))
    def submit(self, shape: int) -> None:
        """Hand in a job."""
        self.jobs += 1
        self.cluster.submit(job_id(self.jobs), shapes()[shape])

    @rule(shape=st.integers(0, 4))
    def submit_hopeless(self, shape: int) -> None:
        """Hand in a job whose tasks always fail."""
        self.jobs += 1
        self.cluster.failing_jobs.add(job_id(self.jobs))
        self.cluster.submit(job_id(self.jobs), shapes()[shape])

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 1.5, 4.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.cluster.run(seconds)

    @precondition(lambda self: len(self.cluster.member_by_name) > 1)
    @rule()
    def kill_owner(self) -> None:
        """Kill the owner; a new member starts."""
        name = self.cluster.owner_name()
        if name is not None:
            self.cluster.kill(name)
            self._add_member()

    def _add_member(self) -> None:
        name = f"m{self.next_member}"
        self.next_member += 1

        async def start() -> None:
            self.cluster.add_member(name)

        self.cluster.loop.run_until_complete(start())

    @rule(
        number=st.integers(0, 4),
        mode=st.sampled_from([OK, DOWN, LOST_REQUEST, LOST_ANSWER, LATE]),
    )
    def table(self, number: int, mode: str) -> None:
        """Change how the table treats one member."""
        processes = list(self.cluster.process_by_name.values())
        processes[number % len(processes)].table_mode = mode

    @rule(number=st.integers(0, 4))
    def freeze(self, number: int) -> None:
        """Freeze a member, or wake it."""
        processes = list(self.cluster.process_by_name.values())
        process = processes[number % len(processes)]
        if process.paused.is_set():
            process.paused.clear()
        else:
            process.paused.set()

    @rule(number=st.integers(1, MINIONS))
    def crash(self, number: int) -> None:
        """Crash a minion, or start it again under its id."""
        minion = self.cluster.minion_by_id[f"i-{number}"]
        if minion.up:
            minion.crash()
        else:
            minion.restart()

    @rule(number=st.integers(1, MINIONS))
    def hang(self, number: int) -> None:
        """Let a minion's tasks stand still, or go on."""
        minion = self.cluster.minion_by_id[f"i-{number}"]
        minion.hangs = not minion.hangs

    @rule(number=st.integers(1, MINIONS), member=st.integers(0, 4))
    def cut(self, number: int, member: int) -> None:
        """Cut a minion from a member, or heal it."""
        names = list(self.cluster.member_by_name)
        minion = self.cluster.minion_by_id[f"i-{number}"]
        minion.cut ^= {names[member % len(names)]}

    @rule(late_s=st.sampled_from([0.3, 2.5, 8.0]), count=st.integers(1, 3))
    def late(self, late_s: float, count: int) -> None:
        """Carry the next orders out late."""
        self.cluster.order_delays_s += [late_s] * count

    @rule(count=st.integers(1, 3))
    def lose(self, count: int) -> None:
        """Lose the answers of the next orders."""
        self.cluster.lost_answers = count

    @rule(parts=st.sampled_from(DARK_PARTS))
    def darken(self, parts: set[str]) -> None:
        """Let some parts of the table stay silent for everybody."""
        self.cluster.unavailable_partitions = parts

    @rule()
    def drop_history(self) -> None:
        """Make the table forget what changed."""
        self.cluster.history_from = self.cluster.rows.version

    @invariant()
    def nothing_is_broken(self) -> None:
        """No start has broken a promise."""
        assert self.cluster is None or not self.cluster.violations

    def teardown(self) -> None:
        """Lift all troubles; every accepted job must come to its end."""
        if self.cluster is None:
            return
        try:
            self._calm()
            self.cluster.run(CALM_S)
            all_violations = self.cluster.all_violations()
            assert not all_violations, all_violations
            self._all_ended()
        except AssertionError:
            note("\n".join(str(line) for line in self.cluster.log_lines[-LINES_SHOWN:]))
            raise
        finally:
            self.cluster.close()

    def _calm(self) -> None:
        self.cluster.unavailable_partitions = set()
        for process in self.cluster.process_by_name.values():
            process.table_mode = OK
            process.paused.set()
        self.cluster.order_delays_s.clear()
        self.cluster.lost_answers = 0
        for minion in self.cluster.minion_by_id.values():
            minion.cut.clear()
            minion.hangs = False
            if not minion.up:
                minion.restart()

    def _all_ended(self) -> None:
        for key in self.cluster.accepted:
            state = self.cluster.state(key)
            assert state is not None, f"{key} is lost"
            assert state.is_final, f"{key} is {state.name} after {CALM_S} s of calm"


def test_no_promise_is_broken_in_any_order_of_troubles():
    """Search with a fixed seed."""
    run_state_machine(SliceMachine, SETTINGS)
