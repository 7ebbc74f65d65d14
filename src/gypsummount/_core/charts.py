"""Interpreter of the statecharts that ship with the package.

sismic reads and validates the files.  Its own interpreter takes
milliseconds to build and hundreds of microseconds for each event.  The
charts here are flat, so they are run from a table of transitions
instead.
"""

from functools import cache
from importlib.resources import files

from sismic.io import import_from_yaml

from gypsummount.errors import GypsummountError


class ChartError(GypsummountError):
    """A state is unknown, or an event is not allowed in a state."""

    code = "chart_event"


class Chart:
    """The states and transitions of one statechart.

    The table maps a state and an event to the next state.
    """

    __slots__ = ("initial", "name", "states", "transitions")

    def __init__(self, name: str, text: str) -> None:
        parsed = import_from_yaml(text)
        self.name = name
        root = parsed.state_for(parsed.root)
        self.initial: str = root.initial
        self.states: tuple[str, ...] = tuple(parsed.children_for(parsed.root))
        self.transitions: dict[tuple[str, str], str] = {
            (transition.source, transition.event): transition.target
            for transition in parsed.transitions
        }


@cache
def load_chart(name: str) -> Chart:
    """Return a chart of the package by name; each file is read once."""
    source = files("gypsummount._core").joinpath(f"charts/{name}.yaml")
    return Chart(name, source.read_text(encoding="utf-8"))


class StateMachine:
    """A state machine that runs a chart.

    It starts in ``state`` or, without one, in the initial state.

    :raises ChartError: when the chart has no such state.
    """

    __slots__ = ("_chart", "state")

    def __init__(self, chart: str, state: str | None = None) -> None:
        self._chart = load_chart(chart)
        self.state = state or self._chart.initial
        if self.state not in self._chart.states:
            raise ChartError(
                f"chart {chart} has no state '{state}'; "
                f"use {', '.join(self._chart.states)}"
            )

    def can_fire(self, event: str) -> bool:
        """Tell whether the event is allowed in the current state."""
        return (self.state, event) in self._chart.transitions

    def fire(self, event: str) -> str:
        """Apply an event and return the new state.

        :raises ChartError: when the event is not allowed in the state.
        """
        target = self._chart.transitions.get((self.state, event))
        if target is None:
            raise ChartError(
                f"'{event}' is not allowed in state '{self.state}' of "
                f"{self._chart.name}; look at its state first"
            )
        self.state = target
        return target
