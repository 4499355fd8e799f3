"""A randomized test of members that get no news, or only a part of them."""

from __future__ import annotations

import pytest
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from redwingrun.jobs.evidence import OtherWorkerAtAddress
from redwingrun.jobs.workerlink import WorkerLink
from redwingrun.jobs.workerreports import ReportProcessor
from tests.helpers import DOWN, OK, run_state_machine
from tests.jobs.simulatedworker import MAX_LISTED_ENDS
from tests.jobs.test_engine_model import SETTINGS, WORKERS, SliceMachine

# The place of a job of long tasks in job_specs().
LONG_JOB = 2
FEW_EXAMPLES = settings(SETTINGS, max_examples=15)
ORIGINAL_HEARTBEAT_FAILED = WorkerLink._heartbeat_failed
ORIGINAL_LOSE_MISSING_RUNS = ReportProcessor._lose_missing_runs


class MissingNewsMachine(SliceMachine):
    """The faults of the slice's search, and refusals, cut reports and outages."""

    @rule(
        number=st.integers(1, WORKERS),
        refuses=st.booleans(),
        seconds=st.sampled_from([0.5, 2.5, 8.0]),
    )
    def cut_off_worker_at_work(
        self, number: int, refuses: bool, seconds: float
    ) -> None:
        """Cut a worker off from all members after a job was submitted."""
        self.submit(LONG_JOB)
        self.cluster.run(0.5)
        worker = self.cluster.worker_by_id[f"i-{number}"]
        worker.cut.update(self.cluster.member_by_name)
        worker.cut_refuses = refuses
        self.cluster.run(seconds)
        worker.cut.clear()
        worker.cut_refuses = False

    @rule(number=st.integers(1, WORKERS), limit=st.sampled_from([1, 2]))
    def limit_or_free_reports(self, number: int, limit: int) -> None:
        """Let a worker list few ends in a report, or as many as usual."""
        worker = self.cluster.worker_by_id[f"i-{number}"]
        is_limited = worker.max_listed_ends < MAX_LISTED_ENDS
        worker.max_listed_ends = MAX_LISTED_ENDS if is_limited else limit

    @rule()
    def begin_or_end_outage(self) -> None:
        """Let no member reach the table, or all of them."""
        processes = self.cluster.process_by_name.values()
        is_down = any(process.table_mode == DOWN for process in processes)
        for process in processes:
            process.table_mode = OK if is_down else DOWN


def search(seed_number: int, examples: int = 40) -> None:
    """Search with another seed than the tests, by hand.

    :raises AssertionError: if it finds a violation.
    """
    machine = seed(seed_number)(MissingNewsMachine)
    more_examples = settings(SETTINGS, max_examples=examples, print_blob=False)
    run_state_machine_as_test(machine, settings=more_examples)


# Guards against work that runs twice or is left lying because an owner takes what it
# does not hear for something that has happened.
def test_no_violation_while_news_are_missing():
    run_state_machine(MissingNewsMachine, FEW_EXAMPLES)


async def _lose_runs_at_a_refusal(self, worker, fault):
    """Treat a worker as dead when it refuses a connection."""
    if fault.failure.reason == "connection-refused":
        evidence = OtherWorkerAtAddress(self._owner.now())
        self._owner.engine.worker_lost(self._worker_id, evidence)
    await ORIGINAL_HEARTBEAT_FAILED(self, worker, fault)


def _ignore_that_reports_are_cut(self, worker, report, sent_s, now_s):
    """Treat each report as one that lists all ends."""
    object.__setattr__(report, "lists_all_ends", True)
    return ORIGINAL_LOSE_MISSING_RUNS(self, worker, report, sent_s, now_s)


MUTANTS = {
    "a refused connection ends the runs": (
        WorkerLink,
        "_heartbeat_failed",
        _lose_runs_at_a_refusal,
    ),
    "a cut report counts as complete": (
        ReportProcessor,
        "_lose_missing_runs",
        _ignore_that_reports_are_cut,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_the_search_finds_a_mutant(name: str, monkeypatch: pytest.MonkeyPatch):
    """Guards against a search that finds nothing: it must fail for each mutant."""
    monkeypatch.setattr(*MUTANTS[name])
    more_examples = settings(SETTINGS, max_examples=400, print_blob=False)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine(MissingNewsMachine, more_examples)
