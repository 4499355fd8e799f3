"""Mutation tests: the model test must fail when a safety rule is removed."""

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
ORIGINAL_PROCESS_START_ANSWER = WorkerLink._process_start_answer
ORIGINAL_STORE = SliceOwner._store


def _acknowledge_unstored(self, worker_id):
    """Acknowledge ends that are not stored yet."""
    worker = self.engine.worker_by_id.get(worker_id)
    return worker.last_end_number if worker else 0


def _release_on_stop(self, run_id, worker, why):
    """Release the processor of a run when its stop is ordered, not when it ends."""
    run = worker.run_by_id.get(run_id)
    ORIGINAL_STOP(self, run_id, worker, why)
    if run is not None and run.size.cpu_milli:
        worker.cpu_used -= run.size.cpu_milli
        run.size = type(run.size)(0, run.size.memory_mb, run.size.gpus)


def _reuse_run_number(self, step_id, index):
    """Start a task again under its last run number."""
    return max(1, self.tasks(step_id)[index].run)


def _treat_timeout_as_refusal(self, order, answer, attempts):
    """Treat a start without an answer as if it had no effect."""
    lost = answer.is_error() and answer.error.failure.verdict is Verdict.MAY_HAVE_RUN
    if not lost:
        return ORIGINAL_PROCESS_START_ANSWER(self, order, answer, attempts)
    owner = self._owner
    owner.engine.start_refused(order, Refusal.NOT_SENT, owner.now())
    owner.wake()
    return True


async def _start_before_commit(self):
    """Send starts while their placements are still being stored."""
    storing = getattr(self, "_storing", None)
    if storing is None or storing.done():
        loop = asyncio.get_running_loop()
        self._storing = loop.create_task(ORIGINAL_STORE(self))


MUTANTS = {
    "the resources of a run are released when its stop is ordered": [
        (SliceState, "stop", _release_on_stop)
    ],
    "run numbers are reused": [(Job, "next_run", _reuse_run_number)],
    "a start without an answer is treated as refused": [
        (WorkerLink, "_process_start_answer", _treat_timeout_as_refusal)
    ],
    "starts are sent before their placements are stored": [
        (SliceOwner, "_store", _start_before_commit)
    ],
}


@pytest.mark.parametrize("name", MUTANTS)
def test_the_model_test_detects_a_mutant(name, monkeypatch):
    """Guards against a model test that finds nothing: it must fail for each mutant."""
    for target, attribute, value in MUTANTS[name]:
        monkeypatch.setattr(target, attribute, value)
    more_examples = settings(SETTINGS, max_examples=400, print_blob=False)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine(SliceMachine, more_examples)


def violations_after_ends_during_table_outage() -> list[str]:
    """Return the violations if tasks end while the table is down.

    The owner is killed before it could store the ends.
    """
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


def test_ends_are_acknowledged_only_after_they_are_stored(monkeypatch):
    """Guards against tasks that are started twice.

    The owner dies before it has stored the ends of tasks. The random sequences of the
    model test do not reach this case.
    """
    assert violations_after_ends_during_table_outage() == []
    monkeypatch.setattr(SliceOwner, "durable_end_number", _acknowledge_unstored)
    assert any(
        text.startswith("TWICE") for text in violations_after_ends_during_table_outage()
    )


def violations_after_takeover_with_unreachable_worker() -> list[str]:
    """Return the violations if the owner dies while peers can't reach a worker."""
    cluster = make_cluster()
    try:
        cluster.submit(job_id(1), job(step(12, 9.0)))
        cluster.run(0.5)
        cluster.worker_by_id["i-1"].cut.update(cluster.member_by_name)
        cluster.kill(cluster.owner_name())
        cluster.run(30.0)
        assert cluster.state(job_id(1)) is JobState.COMPLETED
        return cluster.all_violations()
    finally:
        cluster.close()


def test_the_leases_of_a_former_owner_are_awaited(monkeypatch):
    """Guards against tasks that are started twice after a takeover.

    Runs on an unreachable worker may continue until their lease expires.
    """
    assert violations_after_takeover_with_unreachable_worker() == []
    monkeypatch.setattr(slicereader, "INHERITED_LEASE_S", -1000.0)
    violations = violations_after_takeover_with_unreachable_worker()
    assert any(text.startswith("TWICE") for text in violations)
