"""Real member processes beside workers that are cut off, restarted and reset."""

from __future__ import annotations

import asyncio

from lab.twice.scenario import run_scenario

# Connections to three workers are refused for 5.5 s, while the owner is stopped for 4 s
# and a worker starts again.
SEED = 309
FAULTS_S = 8.0
# Ten tasks fit on a worker and about half of the room is used.
WHOLE_LOAD = 5
# A run of the scenario in which less was done shows nothing.
MIN_DONE = 60


# Guards against an owner that starts a task again while it may still run: the users saw
# whole loads of workers run twice, in real processes and not in the simulated cluster.
def test_no_task_runs_twice_under_faults():
    result = asyncio.run(run_scenario(SEED, FAULTS_S))
    assert result.violations == []
    assert result.count_by_kind["done"] >= MIN_DONE
    assert result.state_by_job == {}


# Guards against a scenario or a check that would not notice what the users saw.
def test_refused_connections_taken_for_ends_of_runs_are_noticed():
    mutation = "refused_connections_end_runs"
    result = asyncio.run(run_scenario(SEED, FAULTS_S, mutation))
    assert len(result.violations) >= WHOLE_LOAD
