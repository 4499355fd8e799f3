"""State machines that are loaded from JSON files."""

from __future__ import annotations

from importlib.resources import files

import orjson
from attrs import frozen


class ChartError(Exception):
    """The chart does not allow an event, or refers to a state it does not define."""


@frozen
class StateChart:
    """A finite state machine.

    :param initial: the state to start in.
    :param final: the states that end the machine.
    :param transitions_by_state: for each state, the next state by event.
    """

    name: str
    initial: str
    final: frozenset[str]
    transitions_by_state: dict[str, dict[str, str]]

    @classmethod
    def load(cls, package: str, name: str) -> StateChart:
        """Load the chart ``charts/<name>.json`` of a package.

        :raises ChartError: if the chart refers to an undefined state.
        """
        text = files(package).joinpath("charts", f"{name}.json").read_bytes()
        definition = orjson.loads(text)
        chart = cls(
            name,
            definition["initial"],
            frozenset(definition["final"]),
            definition["states"],
        )
        chart._check()
        return chart

    def _check(self) -> None:
        referenced = {self.initial, *self.final}
        for events in self.transitions_by_state.values():
            referenced.update(events.values())
        undefined = referenced - set(self.transitions_by_state)
        if undefined:
            raise ChartError(
                f"chart {self.name}: no state {', '.join(sorted(undefined))}"
            )

    def allows(self, state: str, event: str) -> bool:
        """Return whether the event is allowed in the state."""
        return event in self.transitions_by_state.get(state, {})

    def next_state(self, state: str, event: str) -> str:
        """Return the state that follows ``state`` on an event.

        :raises ChartError: if the event is not allowed in the state.
        """
        if not self.allows(state, event):
            raise ChartError(
                f"chart {self.name}: no event {event!r} in state {state!r}"
            )
        return self.transitions_by_state[state][event]

    def is_final(self, state: str) -> bool:
        """Return whether the state ends the machine."""
        return state in self.final
