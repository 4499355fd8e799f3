"""Some parts of the table do not answer anybody, while the others do."""

from __future__ import annotations

import pytest

from redwingrun.jobs.progress import JobState
from redwingrun.jobs.rowkeys import job_partitions, standby_partitions
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step

OWNERS_PART = "s0"
# The owner's part alone, and together with one that would stand in for it.
DARK = pytest.mark.parametrize(
    "dark",
    [{OWNERS_PART}, *({OWNERS_PART, name} for name in standby_partitions(OWNERS_PART))],
    ids=["primary", "primary-and-first", "primary-and-second"],
)


@pytest.fixture
def cluster():
    """Return a world with three members and three minions."""
    made = make_cluster()
    yield made
    made.close()


def kill_owner_after_a_step_in_the_dark(
    cluster: SimulatedCluster, second_step_s: float
) -> None:
    """Let only a standby part know that three tasks are done and two run."""
    first, second = step(3, 2.0), step(2, second_step_s, after=(0,))
    cluster.submit(job_id(1), job(first, second))
    cluster.run(1.0)
    cluster.unavailable_partitions = {OWNERS_PART}
    cluster.run(3.5)
    assert len(cluster.starts) == 5
    cluster.kill(cluster.owner_name())
    cluster.run(0.5)


@DARK
def test_work_goes_on_while_parts_of_the_owner_are_dark(
    cluster: SimulatedCluster, dark: set[str]
):
    """A standby part that answers takes the intents: the next step starts, once.

    All go silent in the same moment, so that none of them can be avoided before.
    """
    cluster.submit(job_id(1), job(step(3, 2.0), step(2, 0.5, after=(0,))))
    cluster.run(1.0)
    before = cluster.owner_name()
    cluster.unavailable_partitions = dark
    cluster.run(5.0)
    assert len(cluster.starts) == 5
    cluster.unavailable_partitions = set()
    cluster.run(3.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.owner_name() == before
    assert cluster.all_violations() == []


@pytest.mark.parametrize("standby", standby_partitions(OWNERS_PART))
def test_what_either_standby_part_holds_is_known_to_the_next_owner(
    cluster: SimulatedCluster, standby
):
    """The owner moves from one to the other and dies before its own part is back."""
    first, second = standby_partitions(OWNERS_PART)
    other = second if standby == first else first
    cluster.submit(job_id(1), job(step(3, 2.0), step(2, 2.0, after=(0,)), step(2, 6.0)))
    cluster.run(1.0)
    cluster.unavailable_partitions = {OWNERS_PART, standby}
    cluster.run(4.0)
    cluster.unavailable_partitions = {OWNERS_PART, other}
    cluster.run(3.0)
    cluster.kill(cluster.owner_name())
    cluster.run(0.5)
    cluster.unavailable_partitions = set()
    cluster.run(10.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 7
    assert cluster.all_violations() == []


def test_what_a_standby_part_holds_outlives_an_owner_that_never_read_all(
    cluster: SimulatedCluster,
):
    """It dies while it waits for the workers, and has renewed its claim till then."""
    kill_owner_after_a_step_in_the_dark(cluster, second_step_s=9.0)
    cluster.unavailable_partitions = set()
    cluster.registry_is_dark = True
    cluster.run(4.0)
    cluster.kill(cluster.owner_name())
    cluster.registry_is_dark = False
    cluster.run(16.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []
    firsts = [run_id for _, run_id, _ in cluster.starts if run_id.task.step == 0]
    assert len(firsts) == 3


@DARK
def test_a_job_that_ended_meanwhile_is_shown_as_ended(
    cluster: SimulatedCluster, dark: set[str]
):
    """Its state is read from the standby part that answers."""
    cluster.submit(job_id(1), job(step(3, 2.0)))
    cluster.run(1.0)
    cluster.unavailable_partitions = dark
    cluster.run(4.5)
    assert cluster.state(job_id(1)) is JobState.COMPLETED


def test_an_old_row_of_the_standby_part_does_not_make_a_job_run_again(
    cluster: SimulatedCluster,
):
    """It was running in a first dark time and had ended before the second one."""
    cluster.submit(job_id(1), job(step(3, 2.0), step(2, 3.0, after=(0,))))
    cluster.run(1.0)
    cluster.unavailable_partitions = {OWNERS_PART}
    cluster.run(3.0)
    cluster.unavailable_partitions = set()
    cluster.run(4.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    fresh = cluster.add_ready_member("m9")
    cluster.unavailable_partitions = {OWNERS_PART}
    result = cluster.ask_state(fresh, job_id(1))
    assert result.is_error() or result.ok is JobState.COMPLETED


def test_what_was_stored_meanwhile_is_known_to_the_next_owner(
    cluster: SimulatedCluster,
):
    """The owner dies before its own part is back: the next one reads both."""
    kill_owner_after_a_step_in_the_dark(cluster, second_step_s=6.0)
    cluster.unavailable_partitions = set()
    cluster.run(10.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 5
    assert cluster.all_violations() == []


def test_what_was_written_back_counts_more_than_what_stands_in_the_standby_part(
    cluster: SimulatedCluster,
):
    """The standby part goes dark as the other returns, so its rows look current."""
    cluster.submit(job_id(1), job(step(3, 2.0), step(2, 4.0, after=(0,)), step(2, 2.0)))
    cluster.run(1.0)
    cluster.unavailable_partitions = {OWNERS_PART}
    cluster.run(3.0)
    cluster.unavailable_partitions = {"s0-standby"}
    cluster.run(4.0)
    cluster.unavailable_partitions = set()
    cluster.kill(cluster.owner_name())
    cluster.run(6.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 7
    assert cluster.all_violations() == []


def test_a_job_whose_part_is_dark_is_accepted_by_another(cluster: SimulatedCluster):
    """The client is told yes at once, and the job runs; told again, it stays one."""
    first, _ = job_partitions("s0", job_id(1))
    cluster.unavailable_partitions = {first}
    begun_s = cluster.loop.time()
    cluster.submit(job_id(1), job(step(2, 0.5)))
    assert job_id(1) in cluster.accepted
    assert cluster.loop.time() - begun_s < 1.5
    cluster.run(2.0)
    assert len(cluster.starts) == 2
    cluster.unavailable_partitions = set()
    cluster.submit(job_id(1), job(step(2, 0.5)))
    cluster.run(3.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 2
    assert cluster.all_violations() == []


def test_a_job_is_told_unknown_only_when_both_its_parts_say_so(
    cluster: SimulatedCluster,
):
    """It may stand in the one that does not answer."""
    first, second = job_partitions("s0", job_id(1))
    cluster.submit(job_id(1), job(step(2, 0.5)))
    fresh = cluster.add_ready_member("m9")
    for part in (first, second):
        cluster.unavailable_partitions = {part, OWNERS_PART}
        result = cluster.ask_state(fresh, job_id(1))
        assert result.is_error() or result.ok is not None


def test_a_cancellation_reaches_a_job_whose_part_is_dark(cluster: SimulatedCluster):
    """Also when the owner hears of the cancellation before it hears of the job."""
    first, _ = job_partitions("s0", job_id(1))
    cluster.submit(job_id(1), job(step(2, 30.0)))
    cluster.run(1.0)
    cluster.unavailable_partitions = {first}
    assert cluster.cancel(job_id(1)).ok is True
    cluster.run(2.0)
    assert not any(cluster.live.values())
