"""Interpreter of the statecharts that ship with the package.

sismic reads and validates the files.  Its own interpreter takes
milliseconds to build and hundreds of microseconds an event, so the flat
charts used here are stepped over a table of their transitions.
"""

from functools import cache
from importlib.resources import files

from sismic.io import import_from_yaml

from gypsummount.errors import GypsummountError


class ChartError(GypsummountError):
    """An event is not allowed in the state of a machine."""

    code = "chart_event"


class Chart:
    """The states and transitions of one statechart."""

    __slots__ = ("initial", "name", "states", "table")

    def __init__(self, name: str, text: str) -> None:
        parsed = import_from_yaml(text)
        self.name = name
        root = parsed.state_for(parsed.root)
        self.initial: str = root.initial
        self.states: tuple[str, ...] = tuple(parsed.children_for(parsed.root))
        self.table: dict[tuple[str, str], str] = {
            (edge.source, edge.event): edge.target
            for edge in parsed.transitions
        }


@cache
def load_chart(name: str) -> Chart:
    """Return a chart of the package; each file is read once."""
    source = files("gypsummount._core").joinpath(f"charts/{name}.yaml")
    return Chart(name, source.read_text(encoding="utf-8"))


class Machine:
    """A running instance of a chart."""

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
        """Tell whether the event is allowed in the present state."""
        return (self.state, event) in self._chart.table

    def fire(self, event: str) -> str:
        """Take a transition and return the new state.

        :raises ChartError: when the present state has no such event.
        """
        target = self._chart.table.get((self.state, event))
        if target is None:
            raise ChartError(
                f"'{event}' is not allowed in state '{self.state}' of "
                f"{self._chart.name}; look at its state first"
            )
        self.state = target
        return target
