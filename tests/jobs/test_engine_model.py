"""A randomized test of complete members in virtual time, under faults.

The simulated cluster checks every start. At the end all faults are lifted, and every
accepted job must reach a final state.
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

from redwingrun.jobs.rowkeys import JOB_PARTITIONS
from redwingrun.jobs.spec import JobSpec
from tests.helpers import DOWN, LATE, LOST_ANSWER, LOST_REQUEST, OK, run_state_machine
from tests.jobs.cluster import job, job_id, make_cluster, step

MEMBERS = 3
WORKERS = 3
RECOVERY_S = 60.0
# Sets of partitions of the table that do not answer: s0 is the owner's primary, which
# s0-standby and s0-standby-2 replace; the numbered ones hold the submissions. A
# submission is stored in one of two partitions, one in each half of the numbers: each
# of the last two sets makes one of them unavailable.
HALF = JOB_PARTITIONS // 2
UNAVAILABLE_PARTITIONS = [
    set(),
    {"s0"},
    {"s0-standby"},
    {"s0", "s0-standby"},
    {"s0", "s0-standby-2"},
    {"s0-standby", "s0-standby-2"},
    {"s0", "s0-standby", "s0-standby-2"},
    {f"s0-{number:x}" for number in range(HALF)},
    {"s0", *(f"s0-{number:x}" for number in range(HALF, JOB_PARTITIONS))},
]
LOG_LINES_SHOWN = 120
SETTINGS = settings(
    max_examples=30,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    database=None,
    # No shrinking: it takes too long for CI, and the log of the cluster is printed.
    phases=(Phase.explicit, Phase.generate),
)


def job_specs() -> list[JobSpec]:
    """Return the jobs that are submitted."""
    return [
        job(step(3, 0.7)),
        job(step(2, 1.5), step(3, 0.5, after=(0,))),
        job(step(4, 3.0, checkpointed=True), step(1, 0.2, after=(0,))),
        job(step(3, 2.0, gang=True), step(2, 0.5, after=(0,))),
        job(step(10, 1.0)),
    ]


class SliceMachine(RuleBasedStateMachine):
    """Jobs, members, workers and a table, with faults in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = None
        self.jobs = 0
        self.next_member = MEMBERS

    @initialize()
    def start_cluster(self) -> None:
        """Start a slice without faults."""
        self.cluster = make_cluster(MEMBERS, WORKERS)

    @rule(index=st.integers(0, 4))
    def submit(self, index: int) -> None:
        """Submit a job."""
        self.jobs += 1
        self.cluster.submit(job_id(self.jobs), job_specs()[index])

    @rule(index=st.integers(0, 4))
    def submit_failing(self, index: int) -> None:
        """Submit a job whose runs always fail."""
        self.jobs += 1
        self.cluster.failing_jobs.add(job_id(self.jobs))
        self.cluster.submit(job_id(self.jobs), job_specs()[index])

    @rule(index=st.integers(0, 4))
    def submit_crashing(self, index: int) -> None:
        """Submit a job whose first task crashes each worker that starts it."""
        self.jobs += 1
        self.cluster.crashing_jobs.add(job_id(self.jobs))
        self.cluster.submit(job_id(self.jobs), job_specs()[index])

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 1.5, 4.0]))
    def wait(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.cluster.run(seconds)

    @precondition(lambda self: len(self.cluster.member_by_name) > 1)
    @rule()
    def kill_owner(self) -> None:
        """Kill the owner and start a new member."""
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
    def switch_table_mode(self, number: int, mode: str) -> None:
        """Set how one member's calls to the table end."""
        processes = list(self.cluster.process_by_name.values())
        processes[number % len(processes)].table_mode = mode

    @rule(number=st.integers(0, 4))
    def freeze_or_resume_member(self, number: int) -> None:
        """Freeze a member's process, or resume it."""
        processes = list(self.cluster.process_by_name.values())
        process = processes[number % len(processes)]
        if process.resumed.is_set():
            process.resumed.clear()
        else:
            process.resumed.set()

    @rule(number=st.integers(1, WORKERS))
    def crash_or_restart_minion(self, number: int) -> None:
        """Crash a worker, or restart it under the same id."""
        worker = self.cluster.worker_by_id[f"i-{number}"]
        if worker.up:
            worker.crash()
        else:
            worker.restart()

    @rule(number=st.integers(1, WORKERS))
    def hang_or_resume_minion(self, number: int) -> None:
        """Stop the progress of all runs on a worker, or let them continue."""
        worker = self.cluster.worker_by_id[f"i-{number}"]
        worker.hangs = not worker.hangs

    @rule(number=st.integers(1, WORKERS), member=st.integers(0, 4))
    def cut_or_restore_link(self, number: int, member: int) -> None:
        """Cut the connection from a member to a worker, or restore it."""
        names = list(self.cluster.member_by_name)
        worker = self.cluster.worker_by_id[f"i-{number}"]
        worker.cut ^= {names[member % len(names)]}

    @rule(delay_s=st.sampled_from([0.3, 2.5, 8.0]), count=st.integers(1, 3))
    def late_orders(self, delay_s: float, count: int) -> None:
        """Delay the next orders; the sender gets no answer."""
        self.cluster.order_delays_s += [delay_s] * count

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        """Drop the answers of the next orders."""
        self.cluster.lost_answers = count

    @rule(partitions=st.sampled_from(UNAVAILABLE_PARTITIONS))
    def disable_partitions(self, partitions: set[str]) -> None:
        """Make some partitions of the table time out for all members."""
        self.cluster.unavailable_partitions = partitions

    @rule()
    def drop_table_history(self) -> None:
        """Truncate the table's change history."""
        self.cluster.history_from = self.cluster.rows.version

    @invariant()
    def no_violations(self) -> None:
        """No violation has been recorded so far."""
        assert self.cluster is None or not self.cluster.violations

    def teardown(self) -> None:
        """Lift all faults; every accepted job must then reach a final state."""
        if self.cluster is None:
            return
        try:
            self._lift_faults()
            self.cluster.run(RECOVERY_S)
            all_violations = self.cluster.all_violations()
            assert not all_violations, all_violations
            self._check_all_jobs_finished()
        except AssertionError:
            note(
                "\n".join(
                    str(line) for line in self.cluster.log_lines[-LOG_LINES_SHOWN:]
                )
            )
            raise
        finally:
            self.cluster.close()

    def _lift_faults(self) -> None:
        self.cluster.unavailable_partitions = set()
        for process in self.cluster.process_by_name.values():
            process.table_mode = OK
            process.resumed.set()
        self.cluster.order_delays_s.clear()
        self.cluster.lost_answers = 0
        for worker in self.cluster.worker_by_id.values():
            worker.cut.clear()
            worker.hangs = False
            if not worker.up:
                worker.restart()

    def _check_all_jobs_finished(self) -> None:
        for accepted_id in self.cluster.accepted:
            state = self.cluster.state(accepted_id)
            assert state is not None, f"{accepted_id} is lost"
            assert state.is_final, (
                f"{accepted_id} is {state.name} after {RECOVERY_S} s without faults"
            )


def test_no_violation_under_random_faults():
    """Guards against runs that violate a guarantee, and against jobs that are lost.

    Runs may not be started twice, too often, out of step order or beyond a worker's
    capacity, and accepted jobs must end. The seed is fixed, so each test run tries the
    same sequences.
    """
    run_state_machine(SliceMachine, SETTINGS)
