"""The memory of unfinished jobs, and which further ones are accepted."""

from __future__ import annotations

from redwingrun.bodylimits import BYTES_PER_MB
from redwingrun.jobs.backlog import (
    BacklogGate,
    BacklogReport,
    BacklogSource,
    max_backlog_bytes,
    submission_bytes,
)
from redwingrun.jobs.engine import Engine, EngineSettings
from redwingrun.jobs.spec import (
    MAX_OCCURRENCES,
    MAX_TASKS_PER_JOB,
    JobSpec,
    Queue,
    QueueSet,
    StepSpec,
    Submission,
)

SMALLEST_MEMORY_MB = 160
# The largest deployment of the pages has so many tasks at a time.
DEPLOYMENT_TASKS = 4_600
QUEUES = QueueSet(1, {"q": Queue("q", "p")}, {})
LARGEST = JobSpec("", (StepSpec(MAX_TASKS_PER_JOB),))
SMALL = JobSpec("", (StepSpec(1),))


class _Room(BacklogSource):
    """The room of an owner, as a test sets it."""

    def __init__(self, room_bytes: int | None, number: float = 1.0):
        self.report = BacklogReport(room_bytes, number)

    def backlog_report(self) -> BacklogReport:
        return self.report


def _accept(gate: BacklogGate, spec: JobSpec, count: int) -> int:
    """Submit some jobs; return how many were accepted."""
    accepted = 0
    for _ in range(count):
        if gate.has_room(submission_bytes(spec)):
            with gate.reserve(submission_bytes(spec)):
                accepted += 1
    return accepted


def test_the_smallest_host_has_room_for_the_largest_job_and_deployment():
    """No client within the limits meets the bound in calm."""
    room = _Room(max_backlog_bytes(SMALLEST_MEMORY_MB))
    assert _accept(BacklogGate(room), LARGEST, 1) == 1
    assert _accept(BacklogGate(room), SMALL, 4_000) == 4_000
    tasks = JobSpec("", (StepSpec(DEPLOYMENT_TASKS // 10),) * 5)
    assert _accept(BacklogGate(room), tasks, 20) == 20


def test_a_host_without_memory_to_spare_has_room_for_the_largest_job():
    assert _accept(BacklogGate(_Room(max_backlog_bytes(1))), LARGEST, 1) == 1


def test_large_jobs_leave_room_for_small_ones():
    """Clients with large jobs must not keep all others out."""
    gate = BacklogGate(_Room(max_backlog_bytes(SMALLEST_MEMORY_MB)))
    assert _accept(gate, LARGEST, 100) < 12
    assert _accept(gate, SMALL, 500) == 500


def test_jobs_that_are_being_stored_need_room():
    """Many may arrive before the owner knows of the first."""
    gate = BacklogGate(_Room(100_000))
    with gate.reserve(90_000):
        assert not gate.has_room(10_000)
    other = BacklogGate(_Room(100_000, number=0.0))
    with other.reserve(90_000):
        pass
    # The owner itself knows of the job from here on.
    assert other.has_room(10_000)


def test_accepted_jobs_count_until_the_second_report():
    room = _Room(100_000)
    gate = BacklogGate(room)
    assert gate.has_room(1_000)
    with gate.reserve(90_000):
        pass
    assert not gate.has_room(10_000)
    room.report = BacklogReport(100_000, 2.0)
    assert not gate.has_room(10_000)
    room.report = BacklogReport(100_000, 3.0)
    assert gate.has_room(10_000)


def test_nothing_is_refused_without_a_limit():
    assert _accept(BacklogGate(_Room(None)), LARGEST, 1000) == 1000


def test_the_texts_of_a_job_need_room():
    long = JobSpec("", (StepSpec(1, required_label="a" * 9_000, image="b" * 9_000),))
    assert submission_bytes(long) == submission_bytes(SMALL) + 18_000


def _engine(max_bytes: int) -> Engine:
    engine = Engine(EngineSettings(max_backlog_bytes=max_bytes))
    engine.set_queues(QUEUES)
    engine.set_time(10_000)
    return engine


def test_the_room_of_an_engine_shrinks_by_its_unfinished_jobs():
    engine = _engine(BYTES_PER_MB)
    spec = JobSpec("", (StepSpec(2_000),))
    engine.add_job("a" * 16, Submission("q", spec), None, 0.0)
    room_bytes = BYTES_PER_MB - submission_bytes(spec)
    assert engine.backlog_room_bytes() == room_bytes
    engine.measure_backlog()
    assert engine.backlog_room_bytes() == room_bytes
    engine.cancel_job("a" * 16)
    engine.measure_backlog()
    assert engine.backlog_room_bytes() == BYTES_PER_MB


def test_occurrences_without_room_start_later():
    """One request of a few bytes may ask for a hundred million tasks at once."""
    engine = _engine(4 * BYTES_PER_MB)
    spec = JobSpec("", (StepSpec(MAX_TASKS_PER_JOB),), MAX_OCCURRENCES, 1, 0)
    engine.add_job("a" * 16, Submission("q", spec), None, 0.0)
    for number in range(50):
        engine.plan(float(number))
    engine.measure_backlog()
    assert engine.backlog_room_bytes() > 0
