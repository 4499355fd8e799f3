"""The owner of a pool in virtual time: faults that the model test or a review found."""

from __future__ import annotations

import asyncio

from redwingrun.coordination.codec import decode
from redwingrun.coordination.verdict import Failure, Verdict
from redwingrun.taskrows import Commit
from redwingrun.tasks import TASKS_PREFIX, Task, TaskRow
from tests.helpers import DOWN, LATE, LOST_ANSWER, OK
from tests.test_tasklease_model import POOL, TaskLeaseMachine, submission


def test_a_delayed_write_never_restores_an_older_state():
    """A delayed write of a placement overwrote the end of the task.

    The write was repeated; then the first one took effect, after the task had ended.
    """
    machine = TaskLeaseMachine()
    message = submission("guide", "late", work_s=0.2)
    machine.submitted[message.task_id] = "guide"
    workload = machine.objects.workloads["guide"]
    work = machine.loop.create_task(machine.owner.submit(message, workload))
    machine.loop.run_until_complete(asyncio.sleep(0.015))
    machine.process.table_mode = LATE
    machine.loop.run_until_complete(asyncio.sleep(0.1))
    machine.process.table_mode = OK
    machine.loop.run_until_complete(work)
    machine._advance(10.0)
    stored = machine.rows.by_key[f"{TASKS_PREFIX}{POOL}/{message.task_id}"]
    assert decode(TaskRow, stored.value).state == "succeeded"
    machine.teardown()


def test_two_submissions_of_a_task_at_the_same_time_are_both_accepted():
    """The second submission found the first one's row and was answered *not run*."""
    machine = TaskLeaseMachine()
    message = submission("guide", "twice", work_s=0.2)
    machine.submitted[message.task_id] = "guide"
    workload = machine.objects.workloads["guide"]
    machine.process.table_mode = LOST_ANSWER
    first = machine.loop.create_task(machine.owner.submit(message, workload))
    machine.loop.run_until_complete(asyncio.sleep(0.1))
    second = machine.loop.create_task(machine.owner.submit(message, workload))
    machine.loop.run_until_complete(asyncio.sleep(0.1))
    machine.process.table_mode = OK
    outcomes = machine.loop.run_until_complete(asyncio.gather(first, second))
    assert not any(isinstance(outcome, Failure) for outcome in outcomes), outcomes
    machine.teardown()


# Guards against a worker that forgets a result before it is stored: if the owner ended
# then, the next one took the finished task as lost.
def test_a_result_that_is_not_stored_yet_is_not_forgotten():
    """The task ends while the table is down, and another owner takes over."""
    machine = TaskLeaseMachine()
    message = submission("guide", "kept", work_s=1.0)
    machine.submitted[message.task_id] = "guide"
    workload = machine.objects.workloads["guide"]
    machine.loop.run_until_complete(machine.owner.submit(message, workload))
    machine._advance(0.6)
    machine.process.table_mode = DOWN
    machine._advance(6.0)
    machine._take_over()
    machine._advance(4.0)
    stored = machine.rows.by_key[f"{TASKS_PREFIX}{POOL}/{message.task_id}"]
    assert decode(TaskRow, stored.value).state == "succeeded"
    assert not any(worker.members for worker in machine.group.workers.values())
    machine.teardown()


def _run_over_size(workload_name: str, **body):
    machine = TaskLeaseMachine()
    message = submission(workload_name, "large", work_s=20.0, usage=2.0, **body)
    machine.submitted[message.task_id] = workload_name
    workload = machine.objects.workloads[workload_name]
    work = machine.owner.submit(message, workload)
    task = machine.loop.run_until_complete(work)
    machine._advance(60.0)
    machine.teardown()
    return task, machine.group.starts_by_task[message.task_id]


def test_a_task_over_its_size_is_throttled_and_may_succeed():
    task, starts = _run_over_size("plan")
    assert (task.state, starts) == ("succeeded", 1)


def test_a_task_that_stays_over_its_size_is_restarted_until_it_fails():
    task, starts = _run_over_size("plan", stubborn=True)
    assert (task.state, starts) == ("failed", 3)
    assert "more than its size" in task.row.detail


def test_a_task_that_runs_at_most_once_is_stopped_when_it_stays_over_its_size():
    task, starts = _run_over_size("guide", stubborn=True)
    assert (task.state, starts) == ("failed", 1)


def _slow_answers_of_starts(machine: TaskLeaseMachine, answered: asyncio.Event) -> None:
    """Let the answer to each start arrive only when the event is set."""
    start = machine.owner._workers.start

    async def start_with_slow_answer(call, timeout_s):
        result = await start(call, timeout_s)
        await answered.wait()
        return result

    machine.owner._workers.start = start_with_slow_answer


def _submit(machine: TaskLeaseMachine, key: str, work_s: float) -> Task:
    message = submission("plan", key, work_s)
    machine.submitted[message.task_id] = "plan"
    work = machine.owner.submit(message, machine.objects.workloads["plan"])
    return machine.loop.run_until_complete(work)


# Guards against a lease on the clock of a former incarnation: the answer to a start
# came after the report of the next one, whose tasks ran on after they counted as lost.
def test_an_answer_of_a_former_incarnation_does_not_set_the_clock_of_the_next():
    """A worker that has run for long answers a start, restarts and is cut off."""
    machine = TaskLeaseMachine()
    machine._advance(30.0)
    answered = asyncio.Event()
    _slow_answers_of_starts(machine, answered)
    task = _submit(machine, "0", work_s=12.0)
    machine._advance(0.3)
    name = task.row.workers[0]
    worker = machine.group.workers[name]
    worker.restart()
    machine._advance(3.0)
    answered.set()
    machine._advance(0.5)
    later = [_submit(machine, str(number), work_s=40.0) for number in range(1, 4)]
    machine._advance(3.0)
    assert name in [task.row.workers[0] for task in later]
    term_s = machine.owner._lease_settings.term_s
    grant_s = machine.owner._link_by_worker[name].lease.issue_grant()
    assert grant_s <= worker.clock_s() + term_s
    machine.link_mode_by_worker[name] = "cut"
    machine._advance(30.0)
    machine.teardown()


def _refuse_next_write(machine: TaskLeaseMachine, after_s: float) -> None:
    """Let the next write of a task be refused after some time."""
    commit = machine.owner._rows.commit

    async def refuse(task: Task) -> Commit:
        machine.owner._rows.commit = commit
        async with task.write_lock:
            await asyncio.sleep(after_s)
        return Commit.REFUSED

    machine.owner._rows.commit = refuse


def _run_at_most_once(machine: TaskLeaseMachine, work_s: float) -> Task:
    """Submit a task that is not restartable; return it when it runs."""
    message = submission("guide", "once", work_s)
    machine.submitted[message.task_id] = "guide"
    work = machine.owner.submit(message, machine.objects.workloads["guide"])
    task = machine.loop.run_until_complete(work)
    machine._advance(3.0)
    assert task.state == "running"
    return task


# Guards against a cancellation that is taken back after its task was stopped: the task
# was stored as running without a run, and the next owner started it again.
def test_a_cancellation_that_has_stopped_the_task_is_not_taken_back():
    """The worker stops the task before the table refuses to store the cancellation."""
    machine = TaskLeaseMachine()
    task = _run_at_most_once(machine, work_s=60.0)
    _refuse_next_write(machine, after_s=3.0)
    outcome = machine.loop.run_until_complete(machine.owner.cancel(task))
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    machine._advance(3.0)
    stored = machine.rows.by_key[task.row.key]
    assert decode(TaskRow, stored.value).state == "cancelled"
    machine._take_over()
    machine._advance(10.0)
    assert machine.group.starts_by_task[task.task_id] == 1
    machine.teardown()


# Guards against a refusal that is taken as the answer for the attempts before it: a
# task was refused as not run, and an attempt that took effect late was started.
def test_a_task_is_not_refused_while_an_earlier_write_may_take_effect():
    """The first write gets no answer and is applied late; the table refuses the next.

    Another owner takes over and finds the row.
    """
    machine = TaskLeaseMachine()
    message = submission("guide", "late", work_s=0.2)
    machine.submitted[message.task_id] = "guide"
    machine.process.late_s = 3.0
    machine.process.table_mode = LATE
    work = machine.owner.submit(message, machine.objects.workloads["guide"])
    outcome = machine.loop.create_task(work)
    machine.loop.run_until_complete(asyncio.sleep(0.525))
    machine.process.table_mode = DOWN
    machine._advance(1.0)
    if outcome.done() and isinstance(outcome.result(), Failure):
        machine.refused.add(message.task_id)
    machine._advance(4.0)
    machine._take_over()
    machine._advance(5.0)
    assert machine.group.starts_by_task[message.task_id] == 1
    machine.teardown()


# Guards against a task that is queued twice after its cancellation was not stored: both
# entries were placed at once, which ended the owner's placements by an exception.
def test_a_queued_task_whose_cancellation_is_refused_is_placed_once():
    """Six tasks fill the workers; the cancellation of the seventh is refused."""
    machine = TaskLeaseMachine()
    for number in range(6):
        _submit(machine, str(number), work_s=8.0)
    task = _submit(machine, "6", work_s=8.0)
    _refuse_next_write(machine, after_s=0.0)
    outcome = machine.loop.run_until_complete(machine.owner.cancel(task))
    assert outcome.verdict is Verdict.NOT_RUN
    assert machine.owner.scheduler.queued_tasks() == [task]
    machine._advance(40.0)
    assert (task.state, task.row.attempt) == ("succeeded", 1)
    machine.teardown()


# Guards against a cancellation that is acknowledged by what another one has only begun:
# the first was refused and taken back, and the task ran on for the second caller.
def test_a_second_cancellation_is_not_acknowledged_before_the_first_is_stored():
    """Two callers cancel a running task; the table refuses the only write."""
    machine = TaskLeaseMachine()
    task = _run_at_most_once(machine, work_s=20.0)
    _refuse_next_write(machine, after_s=0.3)
    first = machine.loop.create_task(machine.owner.cancel(task))
    machine.loop.run_until_complete(asyncio.sleep(0.1))
    machine.process.table_mode = DOWN
    second = machine.loop.run_until_complete(machine.owner.cancel(task))
    assert machine.loop.run_until_complete(first).verdict is Verdict.NOT_RUN
    assert second is not None
    assert task.state == "running"
    machine.process.table_mode = OK
    machine.teardown()


# Guards against the same for a task that was queued, which ends at once.
def test_a_second_cancellation_of_a_queued_task_waits_for_the_first():
    """Two callers cancel a queued task; the table refuses the only write."""
    machine = TaskLeaseMachine()
    for number in range(6):
        _submit(machine, str(number), work_s=8.0)
    task = _submit(machine, "6", work_s=8.0)
    _refuse_next_write(machine, after_s=0.3)
    first = machine.loop.create_task(machine.owner.cancel(task))
    machine.loop.run_until_complete(asyncio.sleep(0.1))
    second = machine.loop.run_until_complete(machine.owner.cancel(task))
    assert machine.loop.run_until_complete(first).verdict is Verdict.NOT_RUN
    assert second is None
    stored = machine.rows.by_key[task.row.key]
    assert decode(TaskRow, stored.value).state == "cancelled"
    machine.teardown()


# Guards against a caller that goes away during the write of its cancellation: the owner
# did not learn the stored version, and no later write of the task took effect.
def test_a_cancellation_whose_caller_goes_away_is_still_stored():
    machine = TaskLeaseMachine()
    task = _run_at_most_once(machine, work_s=20.0)
    caller = machine.loop.create_task(machine.owner.cancel(task))
    machine.loop.run_until_complete(asyncio.sleep(0.015))
    caller.cancel()
    machine._advance(5.0)
    stored = machine.rows.by_key[task.row.key]
    assert decode(TaskRow, stored.value).state == "cancelled"
    assert task.end_is_stored
    machine.teardown()


# Guards against a start that ends with an error, because the link to its worker is gone
# once the pool has another owner or the worker has left: the task was never settled.
def test_a_start_whose_worker_has_no_link_any_more_is_not_run():
    machine = TaskLeaseMachine()
    task = _submit(machine, "unlinked", 1.0)
    machine.owner._link_by_worker.clear()
    machine.owner.owns = lambda: False
    starts = machine.group.starts_by_task[task.task_id]
    machine.loop.run_until_complete(machine.owner._start_member(task, 0))
    assert machine.group.starts_by_task[task.task_id] == starts
