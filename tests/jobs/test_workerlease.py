"""How long an owner counts the leases of workers that it does not reach any more."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator

import pytest
from expression import Error

from redwingrun.coordination.table import TableUnavailable
from redwingrun.coordination.verdict import may_have_run
from redwingrun.jobs.peerlinks import Liveness
from redwingrun.jobs.ports import WorkerFault
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.workerlease import WorkerLease, longest_s
from tests.helpers import DOWN, OK
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step
from tests.jobs.clusterports import SimulatedPeers, SimulatedTable, SimulatedWorkers
from tests.jobs.simulatedworker import SimulatedWorker

# The clock of a worker that has run for longer is far ahead of that of its next
# incarnation.
LONG_UPTIME_S = 30.0
STEP_S = 0.01
MAX_LEASE_S = 10.0
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


# Guards against a start that is settled as never sent although an attempt of it got no
# answer: no lease may be granted when it is to be sent again.
def test_a_start_without_an_answer_is_not_withdrawn_when_no_lease_may_be_granted(
    cluster: SimulatedCluster,
):
    peer = next(key for key in cluster.member_by_name if key != cluster.owner_name())
    cluster.kill(peer)
    cluster.run(2.0)
    cluster.order_delays_s += [6.0] * 6
    cluster.submit(job_id(1), job(step(1, 20.0)))
    run_until(cluster, lambda: len(cluster.order_delays_s) < 6)
    for process in cluster.process_by_name.values():
        process.table_mode = DOWN
    owner = cluster.member_by_name[cluster.owner_name()]._owner
    (worker,) = [item for item in owner.engine.worker_by_id.values() if item.run_by_id]
    cluster.run(4.0)
    cluster.order_delays_s.clear()
    for process in cluster.process_by_name.values():
        process.table_mode = OK
    # Another run of the task starts on another worker.
    worker.avoid_until_s = math.inf
    cluster.run(40.0)
    check_completed_once(cluster)


# Guards against a restart that is missed because a heartbeat's answer arrived between
# the sending of a start and its answer.
def test_a_clock_that_is_read_before_an_answer_shows_a_restart_all_the_same():
    lease = WorkerLease(max_lease_s=10.0)
    lease.record_clock(30_000.0, read_s=100.2)
    sent_s = 100.0
    assert lease.is_of_later_incarnation(250.0, sent_s)
    assert not lease.is_of_later_incarnation(29_900.0, sent_s)
    assert not lease.is_of_later_incarnation(30_300.0, sent_s)


def reach_no_table_and_one_worker(cluster: SimulatedCluster, name: str) -> None:
    """Let a member reach no table and one worker, which no other member reaches."""
    cluster.process_by_name[name].table_mode = DOWN
    for item in cluster.worker_by_id.values():
        item.cut.add(name)
    cluster.worker_by_id["i-1"].cut = set(cluster.member_by_name) - {name}


# Guards against leases that are renewed on the word of a peer that owns the slice: it
# does not read the owner's row any more, and claimed as soon as a probe was refused.
def test_a_peer_that_has_claimed_does_not_confirm_its_predecessor(
    cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch
):
    former = cluster.owner_name()
    for name in [key for key in cluster.member_by_name if key != former][1:]:
        cluster.leave(name)
    cluster.run(5.0)
    cluster.submit(job_id(1), job(step(9, 40.0)))
    cluster.run(1.0)

    async def refuse_the_former_owner(self, address):
        await asyncio.sleep(STEP_S)
        return Liveness.ENDED if address == former else Liveness.ANSWERS

    monkeypatch.setattr(SimulatedPeers, "liveness", refuse_the_former_owner)
    reach_no_table_and_one_worker(cluster, former)
    cluster.isolated_members.add(former)
    cluster.run(2.0)
    cluster.isolated_members.clear()
    cluster.run(15.0)
    assert cluster.violations == []


# Guards against an owner that knows no peer and takes that for the absence of any: a
# member joins while it does not reach the table.
def test_an_owner_without_peers_renews_no_leases_after_it_lost_the_table(
    cluster: SimulatedCluster,
):
    owner_name = cluster.owner_name()
    for name in [key for key in cluster.member_by_name if key != owner_name]:
        cluster.leave(name)
    cluster.run(5.0)
    cluster.submit(job_id(1), job(step(9, 40.0)))
    cluster.run(1.0)
    reach_no_table_and_one_worker(cluster, owner_name)
    cluster.worker_by_id["i-1"].cut.add("m9")
    cluster.add_ready_member("m9")
    cluster.run(18.0)
    assert cluster.violations == []


# Guards against an inherited lease that is counted from the claim of the primary
# partition: a former owner that reaches a standby partition only grants leases until
# that is claimed, too.
def test_the_inherited_lease_is_counted_from_the_claim_of_the_last_partition(
    cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch
):
    former = cluster.owner_name()
    cluster.submit(job_id(1), job(step(9, 60.0)))
    cluster.run(1.0)
    original_transact = SimulatedTable.transact
    original_scan = SimulatedTable.scan
    is_split = True

    def is_out_of_reach(table: SimulatedTable, key: str) -> bool:
        partition = key.split("/")[1]
        is_primary = partition == "s0"
        if not is_split or not partition.startswith("s0"):
            return False
        return is_primary == (table._process.name == former)

    async def transact(self, transaction):
        if is_out_of_reach(self, transaction.writes[0].key):
            await self._time_out()
        return await original_transact(self, transaction)

    async def scan(self, prefix):
        if is_out_of_reach(self, prefix):
            await self._time_out()
        return await original_scan(self, prefix)

    monkeypatch.setattr(SimulatedTable, "transact", transact)
    monkeypatch.setattr(SimulatedTable, "scan", scan)
    for item in cluster.worker_by_id.values():
        item.cut.add(former)
    cluster.worker_by_id["i-1"].cut = set(cluster.member_by_name) - {former}
    cluster.isolated_members.add(former)
    cluster.run(14.0)
    is_split = False
    cluster.isolated_members.clear()
    cluster.run(12.0)
    assert cluster.violations == []


# Guards against a task that is away for 24 s after two crashes of its worker: the
# heartbeat that each crash breaks was taken for one that may still be carried out.
def test_a_heartbeat_whose_connection_ended_does_not_lengthen_the_lease(
    cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch
):
    worker = cluster.worker_by_id["i-1"]
    original_no_answer = SimulatedWorkers._no_answer
    broken: list[str] = []

    async def break_connection(self, target):
        if target.worker_id == "i-1" and not broken:
            broken.append(target.worker_id)
            return Error(WorkerFault(may_have_run("connection-lost")))
        return await original_no_answer(self, target)

    monkeypatch.setattr(SimulatedWorkers, "_no_answer", break_connection)
    worker.crash()
    cluster.run(0.2)
    worker.restart()
    cluster.run(1.5)
    assert broken
    owner = cluster.member_by_name[cluster.owner_name()]._owner
    for worker_id in ("i-2", "i-3"):
        owner.engine.worker_by_id[worker_id].avoid_until_s = cluster.loop.time() + 1.0
    cluster.submit(job_id(1), job(step(1, 20.0, lasting=True)))
    run_until(cluster, lambda: bool(worker.runs))
    cluster.run(0.3)
    worker.crash()
    crashed_s = cluster.loop.time()
    cluster.run(30.0)
    # The longest lease of a worker that has restarted, and a second for the next plan.
    assert cluster.starts[-1][0] - crashed_s <= longest_s(MAX_LEASE_S) + 1.0


# Guards against a restart that no answer shows, because the cut took the answers to the
# starts with it; the worker's registration shows it.
def test_a_worker_whose_registration_shows_a_restart_keeps_its_tasks(
    cluster: SimulatedCluster, monkeypatch: pytest.MonkeyPatch
):
    worker = cluster.worker_by_id["i-1"]
    original_send_order = SimulatedWorkers._send_order

    async def lose_the_answer(self, target, act):
        if target.worker_id != "i-1" or worker.cut:
            return await original_send_order(self, target, act)
        act(worker)
        return await self._no_answer(target)

    monkeypatch.setattr(SimulatedWorkers, "_send_order", lose_the_answer)
    worker = restart_and_start_long_tasks(cluster)
    cut_off(cluster, worker)
    # Starts without an answer may arrive for 15 s more, and lease it for 10 s.
    cluster.run(50.0)


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
