"""Jobs of many tasks, and rows that the table rejects."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from redwingrun.jobs.job import Job
from redwingrun.jobs.progress import (
    JobProgress,
    JobState,
    TaskState,
    encode_progress,
)
from redwingrun.jobs.rowkeys import progress_key
from redwingrun.jobs.spec import StepId, StepSpec, Submission, TaskSize
from tests.jobs.cluster import (
    QUEUE,
    SimulatedCluster,
    job,
    job_id,
    make_cluster,
    step,
)
from tests.jobs.test_workerreports import EngineHarness

TASKS = 1100
LARGE, SMALL = job_id(1), job_id(2)


@pytest.fixture
def cluster() -> Iterator[SimulatedCluster]:
    """Return a cluster whose table allows less than the progress of a large job."""
    made = make_cluster()
    made.rows.max_value_bytes = 18_000
    yield made
    made.close()


def large_step(tasks: int = TASKS, seconds: float = 2.0) -> StepSpec:
    """Return a step of many small tasks."""
    return StepSpec(tasks, TaskSize(1, 1), estimate_ms=seconds * 1000)


# Guards against a large job whose progress the table rejects: the owner repeated the
# same transaction, and stored and started nothing else any more.
def test_a_large_job_and_those_after_it_complete(cluster: SimulatedCluster):
    cluster.submit(LARGE, job(large_step()))
    cluster.run(1.0)
    cluster.submit(SMALL, job(step(3, 0.5)))
    cluster.run(8.0)
    assert cluster.rows.rejected_keys == []
    assert cluster.state(SMALL) is JobState.COMPLETED
    assert cluster.state(LARGE) is JobState.COMPLETED
    assert len(cluster.starts) == TASKS + 3
    assert cluster.all_violations() == []


# Guards against a successor that takes the tasks of a large job for new ones.
def test_a_large_job_goes_on_under_the_next_owner(cluster: SimulatedCluster):
    cluster.submit(LARGE, job(large_step(seconds=3.0), step(3, 0.5, after=(0,))))
    cluster.run(2.0)
    cluster.kill(cluster.owner_name())
    cluster.run(12.0)
    assert cluster.state(LARGE) is JobState.COMPLETED
    assert len(cluster.starts) == TASKS + 3
    assert cluster.all_violations() == []


# Guards against the same while the rows are divided between two partitions.
def test_a_large_job_goes_on_from_a_standby_partition(cluster: SimulatedCluster):
    cluster.submit(LARGE, job(large_step(seconds=3.0), step(3, 0.5, after=(0,))))
    cluster.run(1.2)
    cluster.unavailable_partitions = {"s0"}
    cluster.run(4.0)
    names = [key for key in cluster.rows.by_key if key.startswith("progress/s0-stand")]
    assert any(f"/{LARGE}.0.0." in key for key in names)
    cluster.kill(cluster.owner_name())
    cluster.unavailable_partitions = set()
    cluster.run(12.0)
    assert cluster.state(LARGE) is JobState.COMPLETED
    assert len(cluster.starts) == TASKS + 3
    assert cluster.all_violations() == []


# Guards against a row of the version before that no owner can write again.
def test_a_stored_row_that_is_too_large_is_read_and_divided(cluster: SimulatedCluster):
    cluster.submit(LARGE, job(large_step(seconds=6.0)))
    cluster.run(2.0)
    owner = cluster.member_by_name[cluster.owner_name()]
    progress = owner._owner.engine.job_by_id[LARGE].progress
    whole = encode_progress(progress)
    assert len(whole) > cluster.rows.max_value_bytes
    cluster.kill(cluster.owner_name())
    _replace_rows(cluster, whole)
    cluster.run(15.0)
    assert cluster.rows.rejected_keys == []
    assert cluster.state(LARGE) is JobState.COMPLETED
    assert len(cluster.starts) == TASKS
    assert cluster.all_violations() == []


def _replace_rows(cluster: SimulatedCluster, text: str) -> None:
    """Replace the rows of the large job by one, as an earlier version stored it."""
    key = progress_key("s0", LARGE)
    for other in [item for item in cluster.rows.by_key if item.startswith(key + ".")]:
        del cluster.rows.by_key[other]
    cluster.rows.by_key[key] = type(cluster.rows.by_key[key])(
        key, text, cluster.rows.by_key[key].version
    )


# Guards against one row that the table rejects and that holds up all others.
def test_a_row_that_the_table_rejects_costs_its_own_job_only(
    cluster: SimulatedCluster,
):
    cluster.rows.max_value_bytes = 3_000
    cluster.submit(SMALL, job(step(3, 3.0)))
    cluster.run(1.0)
    cluster.submit(LARGE, job(large_step(200)))
    cluster.submit(job_id(3), job(step(3, 0.5)))
    cluster.run(6.0)
    assert cluster.state(LARGE) is JobState.FAILED
    assert cluster.state(SMALL) is JobState.COMPLETED
    assert cluster.state(job_id(3)) is JobState.COMPLETED
    assert [
        fields for _, _, kind, fields in cluster.log_lines if kind == "job-rejected"
    ]
    assert len(cluster.rows.rejected_keys) < 10
    assert {run_id.task.job for _, run_id, _ in cluster.starts} == {SMALL, job_id(3)}


# Guards against the same in a standby partition.
def test_a_rejected_row_in_a_standby_costs_its_own_job_only(cluster: SimulatedCluster):
    cluster.rows.max_value_bytes = 3_000
    cluster.unavailable_partitions = {"s0"}
    cluster.submit(LARGE, job(large_step(200)))
    cluster.submit(SMALL, job(step(3, 0.5)))
    cluster.run(6.0)
    cluster.unavailable_partitions = set()
    cluster.run(4.0)
    assert cluster.state(LARGE) is JobState.FAILED
    assert cluster.state(SMALL) is JobState.COMPLETED
    assert len(cluster.rows.rejected_keys) < 20


# Guards against a submission that is too large to be stored, and is answered as if the
# table were away: the client came again with the same one.
def test_a_submission_that_the_table_rejects_is_refused_for_good(
    cluster: SimulatedCluster,
):
    cluster.rows.max_value_bytes = 2_000
    steps = [step(1, 0.5, required_label="x" * 50) for _ in range(30)]
    cluster.submit(LARGE, job(*steps))
    assert LARGE not in cluster.accepted
    assert len(cluster.rows.rejected_keys) == 1
    cluster.submit(SMALL, job(step(1, 0.5)))
    cluster.run(2.0)
    assert cluster.state(SMALL) is JobState.COMPLETED


# Guards against counts of waiting jobs that make the owner's row too large: nothing
# could be stored then, and every job would seem to be at fault.
def test_an_owner_row_that_is_rejected_fails_no_job(cluster: SimulatedCluster):
    cluster.submit(SMALL, job(step(3, 4.0)))
    cluster.run(1.0)
    cluster.rows.max_value_bytes = 10
    cluster.run(2.0)
    cluster.rows.max_value_bytes = 18_000
    cluster.run(6.0)
    assert cluster.state(SMALL) is JobState.COMPLETED
    assert cluster.all_violations() == []


# Guards against a cost that grows with the square of a job's tasks: a new owner needed
# seconds for the first reports of a large job, lost its claim meanwhile, and so did the
# next ones, for good.
@pytest.mark.parametrize("is_lost", [True, False], ids=["lost", "ended"])
def test_a_report_does_not_look_at_all_tasks_for_each_run(
    is_lost: bool, monkeypatch: pytest.MonkeyPatch
):
    looks = 0
    original = Job.ready_steps

    def ready_steps(self: Job, occurrence: int) -> Iterator[StepId]:
        nonlocal looks
        looks += 1
        return original(self, occurrence)

    harness = EngineHarness(1)
    run_ids = [order.run_id for order in harness.start_job(large_step(1000))]
    monkeypatch.setattr(Job, "ready_steps", ready_steps)
    done = [] if is_lost else list(enumerate(run_ids[:500], start=1))
    running = {} if is_lost else dict.fromkeys(run_ids[500:], 50)
    harness.now_s += 1.0
    harness.report_with_ends("w0", running, done)
    starts = harness.engine.plan(harness.now_s).starts
    assert looks == 1
    assert len(starts) == (1000 if is_lost else 0)


# Guards against a large gang of which one row says that it is done and another one,
# which its owner could not store any more, that it runs: it would wait for ever.
def test_a_gang_that_is_stored_as_done_in_a_part_is_done():
    harness = EngineHarness(1)
    spec = job(step(3, 1.0, gang=True), step(1, 1.0, after=(0,)))
    progress = JobProgress.fresh()
    progress.state = JobState.RUNNING
    progress.add_occurrence(0, spec)
    for index, task in enumerate(progress.tasks_by_occurrence[0][0]):
        task.state = TaskState.DONE if index else TaskState.PLACED
        task.run, task.worker = 1, "w0"
    submission = Submission(QUEUE, spec, 0)
    harness.engine.add_job(job_id(1), submission, progress, harness.now_s)
    (order,) = harness.engine.plan(harness.now_s).starts
    assert order.run_id.task.step == 1
