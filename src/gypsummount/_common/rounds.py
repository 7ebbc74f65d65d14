"""Rounds of the event loop: how long they take, and what waits unread."""

from asyncio import SelectorEventLoop
from selectors import DefaultSelector
from selectors import SelectorKey
from typing import final

from gypsummount._common.clocks import read_monotonic

# A poll that takes less found something that had come before it.
IDLE_S = 0.001
SPAN_WEIGHT = 0.3


class Rounds:
    """Times the rounds of a loop; a round runs from poll to poll.

    ``span_s`` is how long the last rounds worked, smoothed.
    """

    __slots__ = ("_began", "_before", "_oldest", "span_s")

    def __init__(self) -> None:
        self._oldest: float | None = None
        self._before: float | None = None
        self._began: float | None = None
        self.span_s = 0.0

    def note_poll(self, entered: float, returned: float) -> None:
        """Record when a poll began and ended (boot clock, s)."""
        if self._began is None or returned - entered > IDLE_S:
            self._oldest = self._before = returned
        else:
            self._oldest = self._before
            self._before = self._began
        if self._began is not None:
            worked_s = entered - self._began
            self.span_s += (worked_s - self.span_s) * SPAN_WEIGHT
        self._began = returned

    def find_unread(self, now: float) -> float:
        """Return how long (s) what is read now has waited, at most.

        A request on a new connection is read one round after its
        connection is accepted, and both wait for the round before.
        """
        return now - self._oldest if self._oldest is not None else 0.0


@final
class TimedSelector(DefaultSelector):
    """Polls, and tells when."""

    def __init__(self, rounds: Rounds) -> None:
        super().__init__()
        self._rounds = rounds

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        """Return what is ready, waiting up to ``timeout`` (s) for it."""
        entered = read_monotonic()
        ready = super().select(timeout)
        self._rounds.note_poll(entered, read_monotonic())
        return ready


def create_loop(rounds: Rounds) -> SelectorEventLoop:
    """Return an event loop whose rounds are timed."""
    return SelectorEventLoop(TimedSelector(rounds))
