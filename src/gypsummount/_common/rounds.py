"""Rounds of the event loop: how long they take, and what waits unread."""

from asyncio import SelectorEventLoop
from collections import deque
from selectors import DefaultSelector
from selectors import SelectorKey
from typing import final

from gypsummount._common.clocks import read_monotonic

# A poll that takes less found something that had come before it.
IDLE_S = 0.001
SPAN_WEIGHT = 0.3
# The round in which bytes come, and those that it takes to read a request.
READ_ROUNDS = 5


class Rounds:
    """Times the rounds of a loop; a round runs from poll to poll.

    ``number`` counts them; ``span_s`` is how long the last ones
    worked, smoothed.
    """

    __slots__ = ("_began", "number", "span_s")

    def __init__(self) -> None:
        self._began: deque[float] = deque(maxlen=READ_ROUNDS)
        self.number = 0
        self.span_s = 0.0

    def note_poll(self, entered: float, returned: float) -> None:
        """Record when a poll began and ended (boot clock, s)."""
        if self._began:
            worked_s = entered - self._began[-1]
            self.span_s += (worked_s - self.span_s) * SPAN_WEIGHT
        if returned - entered > IDLE_S:
            self._began.clear()
        self._began.append(returned)
        self.number += 1

    def find_unread(self, now: float) -> float:
        """Return how long (s) what is read now has waited, at most.

        It came when the loop was last idle, or in the rounds that the
        way from the socket to a complete request takes.
        """
        return now - self._began[0] if self._began else 0.0


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
