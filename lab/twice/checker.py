"""The check of rule TWICE on what the stand-in workers saw, and on nothing else."""

from __future__ import annotations

from collections.abc import Iterable

from review.cell.checks import overlapping_runs, starts_after_done
from review.cell.minion import Event, Minion


def violations_of_twice(events: Iterable[Event], workers: list[Minion]) -> list[str]:
    """Return the starts that break TWICE, a line for each.

    That is a start while another run of the task runs on a worker that is up, or one
    after a run has ended as done, if that end was noted then or later; not if the lease
    of its worker lapsed between the two.
    """
    events = list(events)
    return overlapping_runs(events) + starts_after_done(events, workers)
