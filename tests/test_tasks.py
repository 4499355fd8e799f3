"""The task's state chart, and the event that follows from its members' ends."""

from __future__ import annotations

import pytest

from redwingrun.coordination.statechart import ChartError, StateChart
from redwingrun.tasks import CHART, EndReason, Task, TaskRow

TRANSITIONS = [
    (state, event, after)
    for state, events in CHART.transitions_by_state.items()
    for event, after in events.items()
]


def task(state: str = "queued", count: int = 1, **changes) -> Task:
    row = TaskRow("t", "w", "plan", "team", "", 1, state=state, count=count, **changes)
    return Task(row)


@pytest.mark.parametrize(("state", "event", "after"), TRANSITIONS)
def test_each_transition_leads_to_the_state_in_the_chart(state, event, after):
    changed = task(state)
    changed.apply_event(event)
    assert changed.state == after


def test_every_state_can_be_reached_and_no_event_leaves_a_final_state():
    reached = {CHART.initial} | {after for _, _, after in TRANSITIONS}
    assert reached == set(CHART.transitions_by_state)
    assert all(not CHART.transitions_by_state[state] for state in CHART.final)


def test_an_event_that_the_state_does_not_allow_is_an_error():
    with pytest.raises(ChartError, match="no event 'preempt' in state 'queued'"):
        task().apply_event("preempt")


def test_a_chart_with_a_transition_to_an_unknown_state_is_an_error():
    with pytest.raises(ChartError, match="no state gone"):
        StateChart("bad", "a", frozenset(), {"a": {"go": "gone"}})._check()


ENDS = [
    ("running", [EndReason.OK, EndReason.OK], False, "succeed"),
    ("placed", [EndReason.NOT_RUN, EndReason.NOT_RUN], False, "not_run"),
    ("placed", [EndReason.NOT_RUN, EndReason.STOPPED], False, "lose"),
    ("placed", [EndReason.NOT_RUN, EndReason.STOPPED], True, "lose_restartable"),
    ("running", [EndReason.OK, EndReason.FAILED], False, "fail"),
    ("running", [EndReason.STOPPED, EndReason.FAILED], True, "fail_restartable"),
    ("running", [EndReason.LOST, EndReason.OK], False, "lose"),
    ("running", [EndReason.LOST, EndReason.STOPPED], True, "lose_restartable"),
    ("stopping", [EndReason.STOPPED, EndReason.STOPPED], True, "stopped"),
    ("checkpointing", [EndReason.STOPPED, EndReason.OK], True, "stopped"),
    ("checkpointing", [EndReason.LOST, EndReason.STOPPED], True, "lose_restartable"),
]


@pytest.mark.parametrize(("state", "ends", "restartable", "event"), ENDS)
def test_the_event_follows_from_the_members_ends(state, ends, restartable, event):
    ended = task(state, count=2, restartable=restartable)
    ended.ends = dict(enumerate(ends))
    assert ended.end_event() == event
    assert CHART.allows(state, event)


def test_a_lost_member_stops_the_others():
    gang = task("running", count=2)
    gang.live = {0, 1}
    gang.record_member_end(0, EndReason.LOST)
    assert gang.stop_all
