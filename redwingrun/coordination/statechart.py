"""State charts kept in data files and interpreted here."""

from __future__ import annotations

from importlib.resources import files

import orjson
from attrs import frozen


class ChartError(Exception):
    """An event that the chart does not allow, or a chart that is not whole."""


@frozen
class StateChart:
    """States, and for each state the next one by event."""

    name: str
    initial: str
    final: frozenset[str]
    transitions_by_state: dict[str, dict[str, str]]

    @classmethod
    def load(cls, package: str, name: str) -> StateChart:
        """Read ``charts/<name>.json`` of a package.

        :raises ChartError: when a state is named that does not exist.
        """
        text = files(package).joinpath("charts", f"{name}.json").read_bytes()
        plain = orjson.loads(text)
        chart = cls(name, plain["initial"], frozenset(plain["final"]), plain["states"])
        chart._check()
        return chart

    def _check(self) -> None:
        named = {self.initial, *self.final}
        for events in self.transitions_by_state.values():
            named.update(events.values())
        missing = named - set(self.transitions_by_state)
        if missing:
            raise ChartError(
                f"chart {self.name}: no state {', '.join(sorted(missing))}"
            )

    def allows(self, state: str, event: str) -> bool:
        """Tell whether the event may happen in the state."""
        return event in self.transitions_by_state.get(state, {})

    def next_state(self, state: str, event: str) -> str:
        """Return the next state.

        :raises ChartError: when the event may not happen.
        """
        if not self.allows(state, event):
            raise ChartError(
                f"chart {self.name}: no event {event!r} in state {state!r}"
            )
        return self.transitions_by_state[state][event]

    def is_final(self, state: str) -> bool:
        """Tell whether nothing follows the state."""
        return state in self.final
