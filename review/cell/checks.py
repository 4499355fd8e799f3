"""Checks of the rules of RULES.md on what the minions have seen."""

from __future__ import annotations

from collections.abc import Iterable

from review.cell.minion import Event, Minion


def starts_after_done(events: Iterable[Event], minions: list[Minion]) -> list[str]:
    """Return the starts that break TWICE: after a run of the task has ended ``done``.

    The end counts if it is taken note of then or later, unless the minion's lease
    lapsed between the two.
    """
    lapsed_s_by_minion = {item.instance_id: item.lapsed_s for item in minions}
    done: dict[tuple[str, str, int], Event] = {}
    noted: set[tuple[str, str, int]] = set()
    for event in events:
        key = event.minion, event.task_id, event.run_id
        if event.kind == "done":
            done[key] = event
        elif event.kind == "noted" and key in done:
            lapses = lapsed_s_by_minion[event.minion]
            if not any(done[key].at_s <= at_s <= event.at_s for at_s in lapses):
                noted.add(key)
    first_done_by_task: dict[str, Event] = {}
    for key in noted:
        end = done[key]
        first = first_done_by_task.setdefault(end.task_id, end)
        if end.at_s < first.at_s:
            first_done_by_task[end.task_id] = end
    return [
        f"{event.task_id} run {event.run_id} started on {event.minion}, "
        f"{event.at_s - end.at_s:.2f} s after run {end.run_id} ended done on "
        f"{end.minion}"
        for event in events
        if event.kind == "start"
        and (end := first_done_by_task.get(event.task_id)) is not None
        and event.at_s > end.at_s
    ]


def overlapping_runs(events: Iterable[Event]) -> list[str]:
    """Return the starts that break TWICE: while another run of the task runs."""
    running: dict[str, dict[int, str]] = {}
    found = []
    for event in events:
        runs = running.setdefault(event.task_id, {})
        if event.kind == "start":
            if runs:
                found.append(
                    f"{event.task_id} run {event.run_id} started on {event.minion} "
                    f"while runs {runs} run"
                )
            runs[event.run_id] = event.minion
        elif event.kind != "noted":
            runs.pop(event.run_id, None)
    return found
