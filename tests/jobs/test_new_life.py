"""A worker that begins anew under its id, while orders are on their way to it."""

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


def test_a_start_that_the_new_life_took_is_not_started_elsewhere(world: World):
    """The worker is reborn before the start arrives and the owner hears of it later.

    Found by the search of whole members (seed 2): the owner took all its runs there
    for lost, though the new life had begun them.
    """
    minion = world.minion_by_id["i-1"]
    minion.crash()
    minion.start_again()
    world.submit(job_id(1), job(step(9, 2.0)))
    world.run(8.0)
    assert world.state(job_id(1)) is JobState.COMPLETED
    assert len(world.starts) == 9
    assert world.broken() == []
