"""How long an owner counts the leases of workers that it does not reach any more."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from redwingrun.coordination.table import TableUnavailable
from redwingrun.jobs.peerlinks import Liveness
from redwingrun.jobs.progress import JobState
from tests.helpers import DOWN, OK
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step
from tests.jobs.simulatedworker import SimulatedWorker

# The clock of a worker that has run for longer is far ahead of that of its next
# incarnation.
LONG_UPTIME_S = 30.0
STEP_S = 0.01
MAX_WAIT_S = 10.0


@pytest.fixture
def cluster() -> Iterator[SimulatedCluster]:
    """Return a cluster with three members and three workers that has run for long."""
    made = make_cluster()
    made.run(LONG_UPTIME_S)
    yield made
    made.close()


def run_until(cluster: SimulatedCluster, is_reached: Callable[[], bool]) -> None:
    """Let virtual time pass until a condition holds."""
    for _ in range(int(MAX_WAIT_S / STEP_S)):
        if is_reached():
            return
        cluster.run(STEP_S)
    raise AssertionError("the condition was not reached")


def cut_off(cluster: SimulatedCluster, worker: SimulatedWorker) -> None:
    """Refuse all members' connections to a worker, which runs on."""
    worker.cut.update(cluster.member_by_name)
    worker.cut_refuses = True


def is_restart_known(cluster: SimulatedCluster) -> bool:
    """Return whether an owner has noticed a worker's restart by its report."""
    return any(kind == "worker-reborn" for _, _, kind, _ in cluster.log_lines)


def restart_and_start_long_tasks(cluster: SimulatedCluster) -> SimulatedWorker:
    """Restart a worker and start tasks of 12 s before its owner knows of that."""
    worker = cluster.worker_by_id["i-1"]
    worker.crash()
    worker.restart()
    cluster.submit(job_id(1), job(step(9, 12.0)))
    run_until(cluster, lambda: bool(worker.runs))
    assert not is_restart_known(cluster)
    return worker


def check_completed_once(cluster: SimulatedCluster) -> None:
    """Check that the job is done and that no task ran twice."""
    assert cluster.all_violations() == []
    assert cluster.state(job_id(1)) is JobState.COMPLETED


# Guards against a lease that is counted too short because a restart is not known yet:
# the new incarnation takes a deadline on its predecessor's clock for the longest lease.
def test_a_worker_cut_off_before_its_restart_is_known_keeps_its_tasks(
    cluster: SimulatedCluster,
):
    worker = restart_and_start_long_tasks(cluster)
    cut_off(cluster, worker)
    cluster.run(25.0)
    check_completed_once(cluster)


# Guards against the same at a new owner, which counted from the worker's first answer
# as if its predecessor had known the worker's clock.
def test_a_new_owner_counts_the_longest_lease_of_a_worker_that_has_just_restarted(
    cluster: SimulatedCluster,
):
    worker = restart_and_start_long_tasks(cluster)
    cluster.kill(cluster.owner_name())
    run_until(cluster, lambda: cluster.claim_count() == 2)
    owner = cluster.member_by_name[cluster.owner_name()]._owner
    run_until(
        cluster,
        lambda: (
            owner.engine.worker_by_id.get("i-1")
            and owner.engine.worker_by_id["i-1"].is_reachable
        ),
    )
    cut_off(cluster, worker)
    cluster.run(25.0)
    check_completed_once(cluster)


# Guards against a heartbeat that gets no answer, is carried out by the worker's next
# incarnation and renews its lease for longer than the owner counts.
def test_a_heartbeat_that_the_next_incarnation_carries_out_late_is_counted(
    cluster: SimulatedCluster,
):
    worker = cluster.worker_by_id["i-1"]
    cluster.submit(job_id(1), job(step(9, 0.5)))
    cluster.heartbeat_delays_s += [7.0] * 3
    run_until(cluster, lambda: not cluster.heartbeat_delays_s)
    worker_starts = [at for _, _, at in cluster.starts]
    assert "i-1" in worker_starts
    for item in cluster.worker_by_id.values():
        item.crash()
        item.restart()
    run_until(cluster, lambda: is_restart_known(cluster))
    cluster.run(3.0)
    cluster.submit(job_id(2), job(step(9, 14.0)))
    run_until(cluster, lambda: bool(worker.runs))
    for item in cluster.worker_by_id.values():
        cut_off(cluster, item)
    cluster.run(9.0)
    for item in list(cluster.worker_by_id.values())[1:]:
        item.cut.clear()
    cluster.run(40.0)
    assert cluster.all_violations() == []


# Guards against an owner that goes on to renew leases after it may have lost the
# slice: a new owner that does not reach the worker counts on their end. The former one
# reaches no other worker, which would tell it of the newer fence.
def test_an_owner_that_can_not_renew_its_claim_renews_no_leases(
    cluster: SimulatedCluster,
):
    cluster.submit(job_id(1), job(step(9, 30.0)))
    cluster.run(1.0)
    worker = cluster.worker_by_id["i-1"]
    assert worker.runs
    owner_name = cluster.owner_name()
    cluster.process_by_name[owner_name].table_mode = DOWN
    cluster.isolated_members.add(owner_name)
    for item in cluster.worker_by_id.values():
        item.cut.add(owner_name)
    worker.cut = set(cluster.member_by_name) - {owner_name}
    cluster.run(25.0)
    cluster.process_by_name[owner_name].table_mode = OK
    cluster.isolated_members.clear()
    for item in cluster.worker_by_id.values():
        item.cut.clear()
    cluster.run(45.0)
    check_completed_once(cluster)


async def refuse_probe(address: str) -> Liveness:
    """Answer a probe of an owner's process as a refused connection does."""
    return Liveness.ENDED


# Guards against an owner that takes a peer which has claimed the slice for one that can
# not have claimed it: a claim after a refused probe comes earlier than any other, and
# the peer does not read the owner's row any more.
def test_an_owner_does_not_renew_leases_after_a_claim_by_a_refused_probe(
    cluster: SimulatedCluster,
):
    cluster.submit(job_id(1), job(step(9, 30.0)))
    cluster.run(1.0)
    worker = cluster.worker_by_id["i-1"]
    assert worker.runs
    owner_name = cluster.owner_name()
    claiming_name, third_name = sorted(set(cluster.member_by_name) - {owner_name})
    peers = cluster.member_by_name[claiming_name]._dependencies.peers
    peers.liveness = refuse_probe
    cluster.isolated_members.add(owner_name)
    for name in (owner_name, third_name):
        cluster.process_by_name[name].table_mode = DOWN
    for item in cluster.worker_by_id.values():
        item.cut.add(owner_name)
    worker.cut = {claiming_name, third_name}
    cluster.run(2.0)
    assert cluster.claim_count() == 2
    cluster.isolated_members.clear()
    cluster.run(25.0)
    for name in (owner_name, third_name):
        cluster.process_by_name[name].table_mode = OK
    for item in cluster.worker_by_id.values():
        item.cut.clear()
    cluster.run(45.0)
    check_completed_once(cluster)


async def members_unread() -> None:
    """Fail as a read of the members' rows does while the table is unavailable."""
    raise TableUnavailable("members")


# Guards against a list of peers that was never read and is taken for "no other member
# can have claimed the slice".
def test_an_owner_that_does_not_know_its_peers_renews_no_leases_without_the_table(
    cluster: SimulatedCluster,
):
    for name in list(cluster.member_by_name):
        cluster.kill(name)
    owner_name, later_name = "m8", "m9"

    async def start() -> None:
        member = cluster.add_member(owner_name)
        member._member_registry.members = members_unread

    cluster.loop.run_until_complete(start())
    run_until(cluster, lambda: cluster.claim_count() == 2)
    cluster.add_ready_member(later_name)
    cluster.submit(job_id(1), job(step(9, 30.0)))
    cluster.run(1.0)
    assert cluster.owner_name() == owner_name
    worker = cluster.worker_by_id["i-1"]
    assert worker.runs
    cluster.process_by_name[owner_name].table_mode = DOWN
    for item in cluster.worker_by_id.values():
        item.cut.add(owner_name)
    worker.cut = {later_name}
    cluster.run(25.0)
    cluster.process_by_name[owner_name].table_mode = OK
    for item in cluster.worker_by_id.values():
        item.cut.clear()
    cluster.run(45.0)
    check_completed_once(cluster)
