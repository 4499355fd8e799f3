"""Outages of single partitions of the table, seen by all members."""

from __future__ import annotations

import pytest

from redwingrun.jobs.progress import JobState
from redwingrun.jobs.rowkeys import job_partitions, standby_partitions
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step

PRIMARY = "s0"
# The primary partition alone, and together with either standby.
PRIMARY_UNAVAILABLE = pytest.mark.parametrize(
    "unavailable",
    [{PRIMARY}, *({PRIMARY, name} for name in standby_partitions(PRIMARY))],
    ids=["primary", "primary-and-first", "primary-and-second"],
)


@pytest.fixture
def cluster():
    """Return a cluster with three members and three workers."""
    made = make_cluster()
    yield made
    made.close()


def kill_owner_after_a_step_without_the_primary(
    cluster: SimulatedCluster, second_step_s: float
) -> None:
    """Kill the owner when only a standby holds that three tasks ended and two run."""
    first, second = step(3, 2.0), step(2, second_step_s, after=(0,))
    cluster.submit(job_id(1), job(first, second))
    cluster.run(1.0)
    cluster.unavailable_partitions = {PRIMARY}
    cluster.run(3.5)
    assert len(cluster.starts) == 5
    cluster.kill(cluster.owner_name())
    cluster.run(0.5)


@PRIMARY_UNAVAILABLE
def test_the_next_step_starts_while_the_primary_is_unavailable(
    cluster: SimulatedCluster, unavailable: set[str]
):
    """The starts are stored in a standby that answers, and each task starts once.

    The partitions fail at the same time, so the owner can't know which one to avoid.
    """
    cluster.submit(job_id(1), job(step(3, 2.0), step(2, 0.5, after=(0,))))
    cluster.run(1.0)
    before = cluster.owner_name()
    cluster.unavailable_partitions = unavailable
    cluster.run(5.0)
    assert len(cluster.starts) == 5
    cluster.unavailable_partitions = set()
    cluster.run(3.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.owner_name() == before
    assert cluster.all_violations() == []


@pytest.mark.parametrize("standby", standby_partitions(PRIMARY))
def test_the_next_owner_reads_the_progress_in_both_standbys(
    cluster: SimulatedCluster, standby
):
    """The owner uses one standby, then the other, and dies before a write-back."""
    first, second = standby_partitions(PRIMARY)
    other = second if standby == first else first
    cluster.submit(job_id(1), job(step(3, 2.0), step(2, 2.0, after=(0,)), step(2, 6.0)))
    cluster.run(1.0)
    cluster.unavailable_partitions = {PRIMARY, standby}
    cluster.run(4.0)
    cluster.unavailable_partitions = {PRIMARY, other}
    cluster.run(3.0)
    cluster.kill(cluster.owner_name())
    cluster.run(0.5)
    cluster.unavailable_partitions = set()
    cluster.run(10.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 7
    assert cluster.all_violations() == []


def test_progress_in_a_standby_survives_an_owner_that_dies_while_loading(
    cluster: SimulatedCluster,
):
    """The owner waits for the registrations of workers, and renews its claim meanwhile.

    The standby must stay marked as used, although this owner has not read it.
    """
    kill_owner_after_a_step_without_the_primary(cluster, second_step_s=9.0)
    cluster.unavailable_partitions = set()
    cluster.registry_is_unavailable = True
    cluster.run(4.0)
    cluster.kill(cluster.owner_name())
    cluster.registry_is_unavailable = False
    cluster.run(16.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert cluster.all_violations() == []
    firsts = [run_id for _, run_id, _ in cluster.starts if run_id.task.step == 0]
    assert len(firsts) == 3


@PRIMARY_UNAVAILABLE
def test_a_final_state_is_reported_while_the_primary_is_unavailable(
    cluster: SimulatedCluster, unavailable: set[str]
):
    """The state is read from a standby that answers."""
    cluster.submit(job_id(1), job(step(3, 2.0)))
    cluster.run(1.0)
    cluster.unavailable_partitions = unavailable
    cluster.run(4.5)
    assert cluster.state(job_id(1)) is JobState.COMPLETED


def test_an_outdated_row_in_a_standby_is_not_reported_as_the_state(
    cluster: SimulatedCluster,
):
    """The job was running in a first outage, and has ended before a second one."""
    cluster.submit(job_id(1), job(step(3, 2.0), step(2, 3.0, after=(0,))))
    cluster.run(1.0)
    cluster.unavailable_partitions = {PRIMARY}
    cluster.run(3.0)
    cluster.unavailable_partitions = set()
    cluster.run(4.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    new_member = cluster.add_ready_member("m9")
    cluster.unavailable_partitions = {PRIMARY}
    result = cluster.query_state(new_member, job_id(1))
    assert result.is_error() or result.ok is JobState.COMPLETED


def test_the_next_owner_reads_the_progress_in_a_standby(
    cluster: SimulatedCluster,
):
    """The owner dies before the primary answers again; the next one reads both."""
    kill_owner_after_a_step_without_the_primary(cluster, second_step_s=6.0)
    cluster.unavailable_partitions = set()
    cluster.run(10.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 5
    assert cluster.all_violations() == []


def test_progress_that_was_written_back_replaces_that_in_the_standby(
    cluster: SimulatedCluster,
):
    """The standby fails as the primary returns, so it stays marked as used.

    Its rows are older than those in the primary, and must not replace them.
    """
    cluster.submit(job_id(1), job(step(3, 2.0), step(2, 4.0, after=(0,)), step(2, 2.0)))
    cluster.run(1.0)
    cluster.unavailable_partitions = {PRIMARY}
    cluster.run(3.0)
    cluster.unavailable_partitions = {"s0-standby"}
    cluster.run(4.0)
    cluster.unavailable_partitions = set()
    cluster.kill(cluster.owner_name())
    cluster.run(6.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 7
    assert cluster.all_violations() == []


def test_a_job_is_accepted_while_its_first_partition_is_unavailable(
    cluster: SimulatedCluster,
):
    """It is stored in its second partition; submitted again, it is still one job."""
    first, _ = job_partitions("s0", job_id(1))
    cluster.unavailable_partitions = {first}
    started_s = cluster.loop.time()
    cluster.submit(job_id(1), job(step(2, 0.5)))
    assert job_id(1) in cluster.accepted
    assert cluster.loop.time() - started_s < 1.5
    cluster.run(2.0)
    assert len(cluster.starts) == 2
    cluster.unavailable_partitions = set()
    cluster.submit(job_id(1), job(step(2, 0.5)))
    cluster.run(3.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 2
    assert cluster.all_violations() == []


def test_a_job_is_reported_unknown_only_if_both_its_partitions_answer(
    cluster: SimulatedCluster,
):
    """Its submission may be stored in the partition that does not answer."""
    first, second = job_partitions("s0", job_id(1))
    cluster.submit(job_id(1), job(step(2, 0.5)))
    new_member = cluster.add_ready_member("m9")
    for partition in (first, second):
        cluster.unavailable_partitions = {partition, PRIMARY}
        result = cluster.query_state(new_member, job_id(1))
        assert result.is_error() or result.ok is not None


def test_a_job_is_cancelled_while_its_first_partition_is_unavailable(
    cluster: SimulatedCluster,
):
    """It is stored in the job's other partition.

    It takes effect also if the owner receives it before the job.
    """
    first, _ = job_partitions("s0", job_id(1))
    cluster.submit(job_id(1), job(step(2, 30.0)))
    cluster.run(1.0)
    cluster.unavailable_partitions = {first}
    assert cluster.cancel(job_id(1)).ok is True
    cluster.run(2.0)
    assert not any(cluster.live_runs.values())
