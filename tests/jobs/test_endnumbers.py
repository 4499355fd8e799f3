"""Which ends of runs are acknowledged to which incarnation of a worker."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from redwingrun.jobs.progress import JobState
from tests.helpers import DOWN, OK
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step
from tests.jobs.simulatedworker import SimulatedWorker

TASK_S = 0.05
# Between a crash and the next incarnation; the heartbeats meanwhile are refused.
DOWN_S = (0.06, 0.12, 0.18, 0.24, 0.3, 0.36, 0.42, 0.48)
# A start without an answer is carried out this long after the next incarnation began.
LATE_S = 0.01
MAX_END_S = 2.0
# From an end until the owner has read the report of it.
REPORT_DELAY_S = 0.025
SETTLE_S = 60.0


@pytest.fixture
def cluster() -> Iterator[SimulatedCluster]:
    """Return a cluster with one worker, which has ended nine runs."""
    made = make_cluster(workers=1)
    made.submit(job_id(1), job(step(9, TASK_S)))
    made.run(5.0)
    assert made.state(job_id(1)) is JobState.COMPLETED
    yield made
    made.close()


def only_worker(cluster: SimulatedCluster) -> SimulatedWorker:
    """Return the cluster's worker."""
    (worker,) = cluster.worker_by_id.values()
    return worker


def wait_for_end(cluster: SimulatedCluster) -> None:
    """Let virtual time pass until the worker lists an end, at most ``MAX_END_S``."""
    deadline_s = cluster.loop.time() + MAX_END_S
    while not only_worker(cluster).ends and cluster.loop.time() < deadline_s:
        cluster.run(0.002)


def set_table_mode(cluster: SimulatedCluster, mode: str) -> None:
    """Have the table answer all members, or none."""
    for process in cluster.process_by_name.values():
        process.table_mode = mode


def check_completed_once(cluster: SimulatedCluster, number: int) -> None:
    """Check that a job is done and that no task ran twice."""
    assert cluster.all_violations() == []
    assert cluster.state(job_id(number)) is JobState.COMPLETED


# Guards against an end that is forgotten unread, because the first heartbeat that
# reaches a new incarnation acknowledges the ends of the former one.
@pytest.mark.parametrize("down_s", DOWN_S)
def test_a_heartbeat_after_a_failed_one_acknowledges_no_ends(
    cluster: SimulatedCluster, down_s: float
):
    worker = only_worker(cluster)
    cluster.order_delays_s.append(down_s + LATE_S + 0.05)
    cluster.submit(job_id(2), job(step(1, TASK_S)))
    while cluster.order_delays_s:
        cluster.run(0.01)
    worker.crash()
    cluster.run(down_s)
    worker.restart()
    cluster.run(SETTLE_S)
    check_completed_once(cluster, 2)


# Guards against the same without a failed heartbeat: the worker restarts between two
# heartbeats, and a start that was on its way runs there and ends before the second.
@pytest.mark.parametrize("wait_s", [0.0, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06])
def test_no_ends_are_acknowledged_while_a_start_is_on_its_way(
    cluster: SimulatedCluster, wait_s: float
):
    worker = only_worker(cluster)
    cluster.submit(job_id(2), job(step(8, TASK_S), step(8, 0.02, after=(0,))))
    wait_for_end(cluster)
    cluster.run(wait_s)
    worker.crash()
    worker.restart()
    cluster.run(SETTLE_S)
    check_completed_once(cluster, 2)


# Guards against the same if that start is still in flight, its answer being lost.
def test_no_ends_are_acknowledged_before_a_start_is_answered(
    cluster: SimulatedCluster,
):
    worker = only_worker(cluster)
    cluster.submit(job_id(2), job(step(1, TASK_S)))
    wait_for_end(cluster)
    cluster.run(0.005)
    worker.crash()
    worker.restart()
    cluster.lost_answers = 1
    cluster.submit(job_id(3), job(step(1, 0.001)))
    cluster.run(SETTLE_S)
    check_completed_once(cluster, 3)


# Guards against the same by a start without an answer that is carried out late, just
# after a report of the former incarnation.
@pytest.mark.parametrize("delay_s", [0.64, 0.65, 0.66, 0.67, 0.68, 0.69, 0.7])
def test_after_a_start_without_an_answer_the_report_must_be_fresh(
    cluster: SimulatedCluster, delay_s: float
):
    worker = only_worker(cluster)
    cluster.order_delays_s.append(delay_s)
    cluster.submit(job_id(2), job(step(1, 0.001)))
    while cluster.order_delays_s:
        cluster.run(0.002)
    cluster.submit(job_id(3), job(step(1, 0.6)))
    wait_for_end(cluster)
    cluster.run(REPORT_DELAY_S)
    worker.crash()
    worker.restart()
    cluster.run(SETTLE_S)
    check_completed_once(cluster, 2)


# Guards against a record that doesn't say what was acknowledged to which incarnation.
def test_a_restart_is_logged_with_the_acknowledged_numbers(cluster: SimulatedCluster):
    worker = only_worker(cluster)
    former_born_ms = worker.info.born_ms
    worker.crash()
    cluster.run(0.3)
    worker.restart()
    cluster.run(2.0)
    (fields,) = [
        fields for _, _, kind, fields in cluster.log_lines if kind == "worker-reborn"
    ]
    assert fields["acked"] == 0
    assert fields["former_acked"] == 9
    assert fields["former_born_ms"] == former_born_ms


# Guards against ends that stay unacknowledged because starts go on all the time.
def test_ends_are_acknowledged_soon_while_starts_go_on(cluster: SimulatedCluster):
    worker = only_worker(cluster)
    cluster.submit(job_id(2), job(step(1000, 0.2)))
    longest = 0
    for _ in range(450):
        cluster.run(0.1)
        longest = max(longest, len(worker.ends))
    assert longest <= 16
    check_completed_once(cluster, 2)


# Guards against a former incarnation's number that comes back because the restart is
# noticed while a commit is under way: the first ends then count as stored too early.
def test_a_commit_under_way_does_not_bring_a_former_number_back(
    cluster: SimulatedCluster,
):
    worker = only_worker(cluster)
    owner = cluster.member_by_name[cluster.owner_name()]._owner
    set_table_mode(cluster, DOWN)
    cluster.run(1.0)
    worker.crash()
    cluster.run(0.3)
    worker.restart()
    cluster.run(1.0)
    assert any(kind == "worker-reborn" for _, _, kind, _ in cluster.log_lines)
    assert owner.durable_end_number("i-1") == 0
    set_table_mode(cluster, OK)
    for _ in range(200):
        cluster.run(0.01)
        assert owner.durable_end_number("i-1") == 0
    assert not owner.loss_reason


# Guards against an end that is forgotten unread because a heartbeat without an answer
# is carried out late by the next incarnation, which has ended runs by then.
@pytest.mark.parametrize("delay_s", [0.4, 0.6])
def test_a_late_acknowledgement_does_not_reach_the_next_incarnation(
    cluster: SimulatedCluster, delay_s: float
):
    worker = only_worker(cluster)
    cluster.submit(job_id(2), job(step(1, TASK_S)))
    wait_for_end(cluster)
    cluster.run(0.01)
    cluster.heartbeat_delays_s.append(delay_s)
    for _ in range(100):
        if cluster.heartbeat_delays_s:
            cluster.run(0.002)
    assert not cluster.heartbeat_delays_s
    worker.crash()
    cluster.run(0.1)
    worker.restart()
    steps = [step(4, 0.1, after=(n - 1,) if n else ()) for n in range(6)]
    cluster.submit(job_id(3), job(*steps))
    cluster.run(SETTLE_S)
    check_completed_once(cluster, 3)
