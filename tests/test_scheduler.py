"""Placement: packing, quotas, gangs, spreading, preemption, quarantine and cost."""

from __future__ import annotations

import pytest
from attrs import evolve

from redwingrun.gangs import RESERVE_AFTER_S
from redwingrun.objects import ObjectSet, Policy, Pool, Team, Upstream, Workload
from redwingrun.scheduler import QUARANTINE_FAILURES, Scheduler
from redwingrun.tasks import EndReason, Task, TaskRow


def make(
    workers: int = 3, quota: dict | None = None, spread: str = "none"
) -> Scheduler:
    scheduler = Scheduler()
    scheduler.objects = ObjectSet(
        teams={"t": Team(name="t", quota=quota or {}), "u": Team(name="u", parent="t")},
        policies={"p": Policy(name="p", spread=spread)},
        pools={"w": Pool(name="w", type="workers", upstreams={})},
        workloads={
            "plan": Workload(
                name="plan", kind="batch", pool="w", policy="p", teams=["t"]
            )
        },
    )
    upstreams = {
        f"w{index}": Upstream(
            name=f"w{index}",
            address="",
            data_centre=f"d{index}",
            rack=f"r{index}",
            cores=4,
            memory_gb=8,
        )
        for index in range(workers)
    }
    scheduler.set_workers(upstreams, set())
    for worker in scheduler.worker_by_name.values():
        worker.reachable = True
    scheduler.workers_changed()
    return scheduler


def task(name: str, order: int = 0, **changes) -> Task:
    row = TaskRow(name, "w", "plan", "t", "", order, cores=2, memory_gb=2, run_s=60.0)
    return Task(evolve(row, **changes))


def place_all(scheduler: Scheduler, now_s: float = 0.0) -> dict[str, tuple[str, ...]]:
    workers_by_task = {}
    for placement in scheduler.place(now_s):
        workers = placement.workers
        placement.task.place(list(workers), [""] * len(workers))
        workers_by_task[placement.task.task_id] = workers
    return workers_by_task


def end(scheduler: Scheduler, ended: Task) -> None:
    for index in range(ended.row.count):
        scheduler.release_member(ended, index)
        ended.record_member_end(index, EndReason.OK)
    scheduler.release_quota(ended)
    ended.finish("")


def test_a_task_goes_to_the_worker_with_the_least_left_over():
    scheduler = make()
    scheduler.enqueue(task("a"), 0.0)
    scheduler.enqueue(task("b", 1), 0.0)
    workers_by_task = place_all(scheduler)
    assert workers_by_task["a"] == workers_by_task["b"]


def test_nothing_is_placed_beyond_the_capacity():
    scheduler = make()
    for index in range(10):
        scheduler.enqueue(task(f"t{index}", index), 0.0)
    assert len(place_all(scheduler)) == 6
    assert all(
        item.resources.free_cores == 0 for item in scheduler.worker_by_name.values()
    )


def test_a_gang_is_not_placed_when_only_some_members_fit():
    scheduler = make()
    scheduler.enqueue(task("single"), 0.0)
    scheduler.enqueue(task("gang", 1, count=3, cores=4), 0.0)
    assert list(place_all(scheduler)) == ["single"]
    assert (
        sum(item.resources.free_cores for item in scheduler.worker_by_name.values())
        == 10
    )


def test_a_gang_of_whole_workers_starts_while_small_tasks_keep_arriving():
    scheduler = make()
    gang = task("gang", 0, count=3, cores=4)
    running: list[tuple[float, Task]] = []
    started_s = None
    for step in range(4000):
        now_s = float(step)
        if step == 100:
            scheduler.enqueue(gang, now_s)
        for ends_s, due in [item for item in running if item[0] <= now_s]:
            running.remove((ends_s, due))
            end(scheduler, due)
        small = task(f"s{step}", step + 1)
        scheduler.enqueue(small, now_s)
        for placement in scheduler.place(now_s):
            names = placement.workers
            placement.task.place(list(names), [""] * len(names))
            running.append((now_s + 60.0, placement.task))
        if gang.state != "queued":
            started_s = now_s
            break
    assert started_s is not None, "the gang starves"
    assert started_s > 100 + RESERVE_AFTER_S


def test_a_child_team_counts_towards_the_quota_of_its_parent():
    scheduler = make(quota={"cores": 4})
    for index, team in enumerate(("t", "u", "u")):
        scheduler.enqueue(task(f"t{index}", index, team=team), 0.0)
    assert len(place_all(scheduler)) == 2
    queued = next(item for item in scheduler.queued_tasks())
    assert "quota of team t" in scheduler.explain(queued, 0.0)[0]


def test_copies_are_spread_over_racks():
    scheduler = make(spread="rack")
    for index in range(3):
        scheduler.enqueue(task(f"t{index}", index, cores=1), 0.0)
    assert {workers[0] for workers in place_all(scheduler).values()} == {
        "w0",
        "w1",
        "w2",
    }


def test_an_urgent_task_preempts_as_few_batch_tasks_as_suffice():
    scheduler = make(workers=2)
    tasks = {
        f"t{index}": task(f"t{index}", index, restartable=True) for index in range(4)
    }
    for item in tasks.values():
        scheduler.enqueue(item, 0.0)
    assert len(place_all(scheduler)) == 4
    for item in tasks.values():
        item.confirm(0)
    scheduler.enqueue(task("urgent", 9, urgent=True), 1.0)
    assert place_all(scheduler, 1.0) == {}
    assert len(scheduler.preemptions(tasks, 1.0)) == 1


# Guards against two urgent tasks that choose the same victim: the second "preempt" was
# an error, and the pool placed nothing any more.
@pytest.mark.parametrize("urgent_tasks", [2, 3, 4, 5])
def test_urgent_tasks_preempt_a_victim_each(urgent_tasks: int):
    """Each victim makes room for one of them; there are four."""
    scheduler = make(workers=2)
    tasks = {
        f"t{index}": task(f"t{index}", index, restartable=True) for index in range(4)
    }
    for item in tasks.values():
        scheduler.enqueue(item, 0.0)
    place_all(scheduler)
    for item in tasks.values():
        item.confirm(0)
    for index in range(urgent_tasks):
        scheduler.enqueue(task(f"urgent{index}", 9 + index, urgent=True), 1.0)
    victims = scheduler.preemptions(tasks, 1.0)
    assert len({item.task_id for item in victims}) == len(victims)
    assert len(victims) == min(4, urgent_tasks)
    for item in victims:
        item.apply_event("preempt")
    assert scheduler.preemptions(tasks, 1.1) == []


def test_a_task_that_runs_at_most_once_is_never_preempted():
    scheduler = make(workers=1)
    tasks = {f"t{index}": task(f"t{index}", index) for index in range(2)}
    for item in tasks.values():
        scheduler.enqueue(item, 0.0)
    place_all(scheduler)
    for item in tasks.values():
        item.confirm(0)
    scheduler.enqueue(task("urgent", 9, urgent=True), 1.0)
    assert scheduler.preemptions(tasks, 1.0) == []


def test_a_worker_that_fails_all_tasks_is_quarantined_and_used_again():
    scheduler = make(workers=1)
    for _ in range(QUARANTINE_FAILURES):
        scheduler.record_task_failure("w0", 0.0)
    scheduler.enqueue(task("a"), 0.0)
    assert place_all(scheduler, 1.0) == {}
    assert (
        "is quarantined"
        in scheduler.explain(next(iter(scheduler.queued_tasks())), 1.0)[1]
    )
    assert place_all(scheduler, 11.0) == {"a": ("w0",)}


def test_placement_does_not_examine_cancelled_tasks():
    scheduler = make(workers=1)
    waiting = [task(f"t{index}", index, cores=4) for index in range(1000)]
    for item in waiting:
        scheduler.enqueue(item, 0.0)
    place_all(scheduler)
    before = scheduler.examined
    for item in waiting[1:]:
        item.apply_event("cancel")
    end(scheduler, waiting[0])
    place_all(scheduler, 1.0)
    assert scheduler.examined == before
    assert scheduler.queued_count() == 0


def test_placement_in_a_full_pool_examines_each_shape_once():
    scheduler = make()
    for index in range(500):
        scheduler.enqueue(task(f"t{index}", index), 0.0)
    place_all(scheduler)
    before = scheduler.examined
    place_all(scheduler, 0.1)
    assert scheduler.examined == before
    place_all(scheduler, 5.0)
    assert scheduler.examined == before + 1


def test_workers_where_a_gang_failed_are_used_when_no_others_have_room():
    """A gang that had failed on two of three workers was never placed again."""
    scheduler = make()
    gang = task("g", count=3)
    gang.excluded_workers = {"w1", "w2"}
    scheduler.enqueue(gang, 0.0)
    assert len(place_all(scheduler)["g"]) == 3


def test_a_worker_where_a_task_failed_is_not_used_while_another_has_room():
    scheduler = make()
    again = task("a")
    again.excluded_workers = {"w0", "w1"}
    scheduler.enqueue(again, 0.0)
    assert place_all(scheduler)["a"] == ("w2",)
