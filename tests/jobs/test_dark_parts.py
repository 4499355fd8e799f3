"""Some parts of the table do not answer anybody, while the others do."""

from __future__ import annotations

import pytest

from redwingrun.jobs.progress import JobState
from redwingrun.jobs.rows import job_parts, standby_names
from tests.jobs.world import World, job, job_id, make_world, step

OWNERS_PART = "s0"
# The owner's part alone, and together with one that would stand in for it.
DARK = pytest.mark.parametrize(
    "dark",
    [{OWNERS_PART}, *({OWNERS_PART, name} for name in standby_names(OWNERS_PART))],
    ids=["primary", "primary-and-first", "primary-and-second"],
)


@pytest.fixture
def world():
    """Return a world with three members and three minions."""
    made = make_world()
    yield made
    made.close()


def kill_owner_after_a_step_in_the_dark(world: World, second_step_s: float) -> None:
    """Let only a standby part know that three tasks are done and two run."""
    first, second = step(3, 2.0), step(2, second_step_s, after=(0,))
    world.submit(job_id(1), job(first, second))
    world.run(1.0)
    world.dark_parts = {OWNERS_PART}
    world.run(3.5)
    assert len(world.starts) == 5
    world.kill(world.owner_name())
    world.run(0.5)


@DARK
def test_work_goes_on_while_parts_of_the_owner_are_dark(world: World, dark: set[str]):
    """A standby part that answers takes the intents: the next step starts, once.

    All go silent in the same moment, so that none of them can be avoided before.
    """
    world.submit(job_id(1), job(step(3, 2.0), step(2, 0.5, after=(0,))))
    world.run(1.0)
    before = world.owner_name()
    world.dark_parts = dark
    world.run(5.0)
    assert len(world.starts) == 5
    world.dark_parts = set()
    world.run(3.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert world.owner_name() == before
    assert world.broken() == []


@pytest.mark.parametrize("standby", standby_names(OWNERS_PART))
def test_what_either_standby_part_holds_is_known_to_the_next_owner(
    world: World, standby
):
    """The owner moves from one to the other and dies before its own part is back."""
    first, second = standby_names(OWNERS_PART)
    other = second if standby == first else first
    world.submit(job_id(1), job(step(3, 2.0), step(2, 2.0, after=(0,)), step(2, 6.0)))
    world.run(1.0)
    world.dark_parts = {OWNERS_PART, standby}
    world.run(4.0)
    world.dark_parts = {OWNERS_PART, other}
    world.run(3.0)
    world.kill(world.owner_name())
    world.run(0.5)
    world.dark_parts = set()
    world.run(10.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert len(world.starts) == 7
    assert world.broken() == []


def test_what_a_standby_part_holds_outlives_an_owner_that_never_read_all(world: World):
    """It dies while it waits for the workers, and has renewed its claim till then."""
    kill_owner_after_a_step_in_the_dark(world, second_step_s=9.0)
    world.dark_parts = set()
    world.registry_is_dark = True
    world.run(4.0)
    world.kill(world.owner_name())
    world.registry_is_dark = False
    world.run(16.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert world.broken() == []
    firsts = [run_id for _, run_id, _ in world.starts if run_id.task.step == 0]
    assert len(firsts) == 3


@DARK
def test_a_job_that_ended_meanwhile_is_shown_as_ended(world: World, dark: set[str]):
    """Its state is read from the standby part that answers."""
    world.submit(job_id(1), job(step(3, 2.0)))
    world.run(1.0)
    world.dark_parts = dark
    world.run(4.5)
    assert world.state(job_id(1)) is JobState.COMPLETED


def test_an_old_row_of_the_standby_part_does_not_make_a_job_run_again(world: World):
    """It was running in a first dark time and had ended before the second one."""
    world.submit(job_id(1), job(step(3, 2.0), step(2, 3.0, after=(0,))))
    world.run(1.0)
    world.dark_parts = {OWNERS_PART}
    world.run(3.0)
    world.dark_parts = set()
    world.run(4.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    fresh = world.add_member_now("m9")
    world.dark_parts = {OWNERS_PART}
    result = world.ask_state(fresh, job_id(1))
    assert result.is_error() or result.ok is JobState.COMPLETED


def test_what_was_stored_meanwhile_is_known_to_the_next_owner(world: World):
    """The owner dies before its own part is back: the next one reads both."""
    kill_owner_after_a_step_in_the_dark(world, second_step_s=6.0)
    world.dark_parts = set()
    world.run(10.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert len(world.starts) == 5
    assert world.broken() == []


def test_what_was_written_back_counts_more_than_what_stands_in_the_standby_part(
    world: World,
):
    """The standby part goes dark as the other returns, so its rows look current."""
    world.submit(job_id(1), job(step(3, 2.0), step(2, 4.0, after=(0,)), step(2, 2.0)))
    world.run(1.0)
    world.dark_parts = {OWNERS_PART}
    world.run(3.0)
    world.dark_parts = {"s0-standby"}
    world.run(4.0)
    world.dark_parts = set()
    world.kill(world.owner_name())
    world.run(6.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert len(world.starts) == 7
    assert world.broken() == []


def test_a_job_whose_part_is_dark_is_accepted_by_another(world: World):
    """The client is told yes at once, and the job runs; told again, it stays one."""
    first, _ = job_parts("s0", job_id(1))
    world.dark_parts = {first}
    begun_s = world.loop.time()
    world.submit(job_id(1), job(step(2, 0.5)))
    assert job_id(1) in world.accepted
    assert world.loop.time() - begun_s < 1.5
    world.run(2.0)
    assert len(world.starts) == 2
    world.dark_parts = set()
    world.submit(job_id(1), job(step(2, 0.5)))
    world.run(3.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert len(world.starts) == 2
    assert world.broken() == []


def test_a_job_is_told_unknown_only_when_both_its_parts_say_so(world: World):
    """It may stand in the one that does not answer."""
    first, second = job_parts("s0", job_id(1))
    world.submit(job_id(1), job(step(2, 0.5)))
    fresh = world.add_member_now("m9")
    for part in (first, second):
        world.dark_parts = {part, OWNERS_PART}
        result = world.ask_state(fresh, job_id(1))
        assert result.is_error() or result.ok is not None


def test_a_cancellation_reaches_a_job_whose_part_is_dark(world: World):
    """Also when the owner hears of the cancellation before it hears of the job."""
    first, _ = job_parts("s0", job_id(1))
    world.submit(job_id(1), job(step(2, 30.0)))
    world.run(1.0)
    world.dark_parts = {first}
    assert world.cancel(job_id(1)).ok is True
    world.run(2.0)
    assert not any(world.live.values())
