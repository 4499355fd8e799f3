"""What the owner hears from its peers before, or instead of, the table's feed."""

from __future__ import annotations

import pytest

from redwingrun.jobs.progress import JobState
from tests.jobs.world import World, job, job_id, make_world, step


@pytest.fixture
def world():
    """Return a world with three members and three minions."""
    made = make_world()
    yield made
    made.close()


def submit_elsewhere(world: World, number: int, *steps) -> None:
    """Hand a job to a member that does not own the slice."""
    owner = world.owner_name()
    world.submit(job_id(number), job(*steps), at=next(n for n in NAMES if n != owner))


NAMES = ("m0", "m1", "m2")


def test_a_job_starts_although_the_feed_says_nothing(world: World):
    """While the table's history is dropped its feed is silent for a second."""
    world.feed_is_deaf = True
    submit_elsewhere(world, 1, step(2, 0.3))
    world.run(0.15)
    assert len(world.starts) == 2


def test_a_job_that_the_owner_was_not_told_of_starts_by_the_feed(world: World):
    """A lost message costs a little time only."""
    world.peers_are_deaf = True
    submit_elsewhere(world, 1, step(2, 0.3))
    world.run(0.5)
    assert len(world.starts) == 2


def test_a_cancellation_needs_no_feed(world: World):
    """The owner is told of it as of a job."""
    submit_elsewhere(world, 1, step(2, 30.0))
    world.run(0.5)
    world.feed_is_deaf = True
    assert world.cancel(job_id(1)).ok is True
    world.run(1.0)
    assert world.state(job_id(1)) is JobState.CANCELLED
    assert not any(world.live.values())


def test_a_job_that_comes_twice_is_one(world: World):
    """By message and by feed, before and after a takeover."""
    submit_elsewhere(world, 1, step(2, 0.3))
    world.run(1.0)
    world.kill(world.owner_name())
    world.run(3.0)
    for member in world.member_by_name.values():
        member.hear(job_id(1), world.encoded(job_id(1)))
    world.run(2.0)
    assert len(world.starts) == 2
    assert world.broken() == []
