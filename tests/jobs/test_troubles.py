"""Troubles of workers and of the table, one at a time."""

from __future__ import annotations

import pytest

from redwingrun.coordination.verdict import Verdict
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import Submission, encode_submission
from tests.helpers import DOWN, LOST_ANSWER
from tests.jobs.world import QUEUE, World, job, job_id, make_world, step


@pytest.fixture
def world():
    """Return a world with three members and three minions."""
    made = make_world()
    yield made
    made.close()


def submit_at(world: World, name: str, number: int):
    """Hand a job to one member and return its result."""
    spec = job(step(2, 0.5))
    submission = Submission(QUEUE, spec, int(world.loop.time() * 1000))
    world.submissions[job_id(number)] = submission
    member = world.member_by_name[name]
    work = member.jobs.submit(job_id(number), encode_submission(submission), 2.8)
    return world.loop.run_until_complete(work)


def test_a_task_that_stands_still_is_moved(world: World):
    """A worker whose tasks make no progress loses them to the others."""
    world.minion_by_id["i-1"].hangs = True
    world.submit(job_id(1), job(step(6, 1.0)))
    world.run(8.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert world.broken() == []


def test_a_member_that_the_table_turns_away_accepts_through_a_peer(world: World):
    """The submission is stored by a peer and the job runs."""
    name = next(n for n in world.member_by_name if n != world.owner_name())
    world.process_by_name[name].table_mode = DOWN
    world.run(3.0)
    assert submit_at(world, name, 1).is_ok()
    world.run(3.0)
    assert world.state(job_id(1)) is JobState.COMPLETED


def test_an_owner_that_the_table_turns_away_is_followed_by_another(world: World):
    """Within seconds another member owns the slice, and work goes on."""
    before = world.owner_name()
    world.submit(job_id(1), job(step(3, 4.0), step(1, 0.5, after=(0,))))
    world.run(1.0)
    world.process_by_name[before].table_mode = DOWN
    world.run(9.0)
    assert world.owner_name() not in (None, before)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert len(world.starts) == 4
    assert world.broken() == []


def test_a_table_that_is_away_for_all_leaves_running_work_alone(world: World):
    """Leases are renewed without the table; the owner stays."""
    before = world.owner_name()
    world.submit(job_id(1), job(step(3, 12.0)))
    world.run(1.0)
    for process in world.process_by_name.values():
        process.table_mode = DOWN
    world.run(9.0)
    for process in world.process_by_name.values():
        process.table_mode = "ok"
    world.run(5.0)
    assert world.owner_name() == before
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert len(world.starts) == 3
    assert world.broken() == []


def test_lost_answers_of_the_table_double_nothing(world: World):
    """Each transaction takes effect once, whatever became of its answer."""
    world.submit(job_id(1), job(step(3, 1.0), step(3, 1.0, after=(0,))))
    world.run(0.5)
    owner = world.process_by_name[world.owner_name()]
    owner.table_mode = LOST_ANSWER
    world.run(2.0)
    owner.table_mode = "ok"
    world.run(6.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert world.broken() == []


def test_a_late_start_runs_nowhere_else(world: World):
    """A start without an answer is settled before its task goes elsewhere."""
    world.late_orders = [4.0, 4.0, 4.0]
    world.submit(job_id(1), job(step(3, 1.0)))
    world.run(12.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert world.broken() == []


def test_a_job_that_always_fails_ends_after_its_attempts(world: World):
    """No run is started beyond the attempts."""
    world.poison.add(job_id(1))
    world.submit(job_id(1), job(step(2, 0.3)))
    world.run(6.0)
    assert world.state(job_id(1)) is JobState.FAILED
    assert world.broken() == []


def test_a_worker_that_is_not_heard_for_a_while_keeps_its_tasks(world: World):
    """Old reports say nothing about progress: only a lease ends such a run."""
    world.submit(job_id(1), job(step(9, 8.0)))
    world.run(1.0)
    minion = world.minion_by_id["i-1"]
    minion.cut.update(world.member_by_name)
    world.run(4.5)
    minion.cut.clear()
    world.run(6.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert len(world.starts) == 9
    assert world.broken() == []


def test_a_request_is_refused_at_once_while_the_table_is_away_for_all(world: World):
    """A peer that does not answer holds up one request, not each; the other says no."""
    names = list(world.member_by_name)
    for process in world.process_by_name.values():
        process.table_mode = DOWN
    world.run(2.0)
    world.process_by_name[names[1]].paused.clear()
    took_s = []
    for number in range(6):
        begun_s = world.loop.time()
        result = submit_at(world, names[0], number + 1)
        took_s.append(world.loop.time() - begun_s)
        assert result.is_error()
        assert result.error.verdict is Verdict.NOT_RUN
    assert sorted(took_s)[-2] < 0.2
    world.process_by_name[names[1]].paused.set()
