"""Rules of the slice's owner, taken out one at a time: the search finds each."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import settings

from redwingrun.coordination.verdict import Verdict
from redwingrun.jobs import slicereader
from redwingrun.jobs.job import Job
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.sliceowner import SliceOwner
from redwingrun.jobs.slicestate import SliceState
from redwingrun.jobs.workerlink import WorkerLink
from redwingrun.jobs.workerpool import Refusal
from tests.helpers import DOWN, OK, run_state_machine
from tests.jobs.cluster import job, job_id, make_cluster, step
from tests.jobs.test_engine_model import SETTINGS, SliceMachine

ORIGINAL_STOP = SliceState.stop
ORIGINAL_SETTLED = WorkerLink._start_is_settled
ORIGINAL_STORE = SliceOwner._store


def _acknowledge_at_once(self, worker_id):
    """Let a worker forget ends that are not stored."""
    worker = self.engine.worker_by_id.get(worker_id)
    return worker.last_end_number if worker else 0


def _stopping_takes_no_room(self, run_id, worker, why):
    """Free the room of a run as soon as its stop is sent."""
    run = worker.run_by_id.get(run_id)
    ORIGINAL_STOP(self, run_id, worker, why)
    if run is not None and run.size.cpu_milli:
        worker.cpu_used -= run.size.cpu_milli
        run.size = type(run.size)(0, run.size.memory_mb, run.size.gpus)


def _same_run_again(self, step_id, index):
    """Start a task under a number that was used."""
    return max(1, self.tasks(step_id)[index].run)


def _silence_is_refusal(self, order, answer, attempts):
    """Take a start without an answer for one that was never carried out."""
    lost = answer.is_error() and answer.error.failure.verdict is Verdict.MAY_HAVE_RUN
    if not lost:
        return ORIGINAL_SETTLED(self, order, answer, attempts)
    owner = self._owner
    owner.engine.start_refused(order, Refusal.NOT_SENT, owner.now())
    owner.wake()
    return True


async def _start_before_it_is_stored(self):
    """Store intents while their starts are on their way."""
    storing = getattr(self, "_storing", None)
    if storing is None or storing.done():
        loop = asyncio.get_running_loop()
        self._storing = loop.create_task(ORIGINAL_STORE(self))


MUTANTS = {
    "what is being stopped takes no room": [
        (SliceState, "stop", _stopping_takes_no_room)
    ],
    "run numbers do not rise": [(Job, "next_run", _same_run_again)],
    "a start without an answer counts as refused": [
        (WorkerLink, "_start_is_settled", _silence_is_refusal)
    ],
    "starts are sent before their intents are stored": [
        (SliceOwner, "_store", _start_before_it_is_stored)
    ],
}


@pytest.mark.parametrize("name", MUTANTS)
def test_the_search_finds_a_rule_that_is_taken_out(name, monkeypatch):
    for target, attribute, value in MUTANTS[name]:
        monkeypatch.setattr(target, attribute, value)
    wanted = settings(SETTINGS, max_examples=400, print_blob=False)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine(SliceMachine, wanted)


def ends_while_the_table_is_away() -> list[str]:
    """Let tasks end that nobody can store, kill the owner, and return what broke."""
    cluster = make_cluster()
    try:
        cluster.submit(job_id(1), job(step(3, 1.0)))
        cluster.run(0.5)
        for process in cluster.process_by_name.values():
            process.table_mode = DOWN
        cluster.run(1.5)
        cluster.kill(cluster.owner_name())
        for process in cluster.process_by_name.values():
            process.table_mode = OK
        cluster.run(8.0)
        assert cluster.state(job_id(1)) is JobState.COMPLETED
        return cluster.all_violations()
    finally:
        cluster.close()


def test_ends_are_acknowledged_only_when_they_are_stored(monkeypatch):
    """The search does not hit the moment; this trace does."""
    assert ends_while_the_table_is_away() == []
    monkeypatch.setattr(SliceOwner, "durable_end", _acknowledge_at_once)
    assert any(text.startswith("TWICE") for text in ends_while_the_table_is_away())


def takeover_beside_a_worker_out_of_reach() -> list[str]:
    """Kill the owner while others can't reach a worker; return what broke."""
    cluster = make_cluster()
    try:
        cluster.submit(job_id(1), job(step(12, 9.0)))
        cluster.run(0.5)
        cluster.minion_by_id["i-1"].cut.update(cluster.member_by_name)
        cluster.kill(cluster.owner_name())
        cluster.run(30.0)
        assert cluster.state(job_id(1)) is JobState.COMPLETED
        return cluster.all_violations()
    finally:
        cluster.close()


def test_a_former_owners_leases_are_waited_for(monkeypatch):
    """What runs on a worker out of reach may run on until its lease has lapsed."""
    assert takeover_beside_a_worker_out_of_reach() == []
    monkeypatch.setattr(slicereader, "INHERITED_LEASE_S", -1000.0)
    all_violations = takeover_beside_a_worker_out_of_reach()
    assert any(text.startswith("TWICE") for text in all_violations)
