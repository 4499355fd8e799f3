"""A worker that begins anew under its id, while orders are on their way to it."""

from __future__ import annotations

import pytest

from redwingrun.jobs.progress import JobState
from tests.jobs.cluster import SimulatedCluster, job, job_id, make_cluster, step


@pytest.fixture
def cluster():
    """Return a world with three members and three minions."""
    made = make_cluster()
    yield made
    made.close()


def test_a_start_that_the_new_life_took_is_not_started_elsewhere(
    cluster: SimulatedCluster,
):
    """The worker is reborn before the start arrives and the owner hears of it later.

    Found by the search of whole members (seed 2): the owner took all its runs there
    for lost, though the new life had begun them.
    """
    minion = cluster.minion_by_id["i-1"]
    minion.crash()
    minion.restart()
    cluster.submit(job_id(1), job(step(9, 2.0)))
    cluster.run(8.0)
    assert cluster.state(job_id(1)) is JobState.COMPLETED
    assert len(cluster.starts) == 9
    assert cluster.all_violations() == []
