"""Tests of members that join while the owner can't read the rows of the members."""

from __future__ import annotations

from contextlib import closing

from tests.helpers import DOWN
from tests.jobs.cluster import job, job_id, make_cluster, step

MEMBERS = 3
WORKERS = 3


# Guards against two runs of one task (TWICE): the owner goes by the word of the peers
# that it knows, and grants leases on after a member that it does not know has claimed.
def test_tasks_run_alone_when_a_member_joins_that_the_owner_does_not_know():
    """The table answers only the new member; neither owner reaches all workers."""
    with closing(make_cluster(MEMBERS, WORKERS)) as cluster:
        cluster.run(8.0)
        cluster.submit(job_id(1), job(step(3, 60.0)))
        cluster.run(3.0)
        old_members = set(cluster.member_by_name)
        for process in cluster.process_by_name.values():
            process.table_mode = DOWN
        cluster.add_ready_member("new")
        for worker in cluster.worker_by_id.values():
            worker.cut.add("new")
        cluster.add_worker().cut.update(old_members)
        cluster.run(30.0)
        assert cluster.all_violations() == []
