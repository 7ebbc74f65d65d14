"""Timing of event loop iterations, and the read delay of requests."""

from asyncio import SelectorEventLoop
from collections import deque
from selectors import DefaultSelector
from selectors import SelectorKey
from typing import final

from gypsummount._common.clocks import read_monotonic

# A poll that takes no longer found events that had occurred before it.
IDLE_S = 0.001
SPAN_WEIGHT = 0.3
# Iterations from the arrival of bytes, which is in the first of them, until
# the request is read completely.
READ_ROUNDS = 5


class Rounds:
    """Times the iterations of an event loop, from poll to poll.

    ``number`` is the count of iterations.  ``span_s`` is the
    exponentially weighted moving average of their duration (s) without
    the time spent in the poll.
    """

    __slots__ = ("_began", "number", "span_s")

    def __init__(self) -> None:
        self._began: deque[float] = deque(maxlen=READ_ROUNDS)
        self.number = 0
        self.span_s = 0.0

    def note_poll(self, entered: float, returned: float) -> None:
        """Record when a poll started and ended (boot clock, s)."""
        if self._began:
            worked_s = entered - self._began[-1]
            self.span_s += (worked_s - self.span_s) * SPAN_WEIGHT
        if returned - entered > IDLE_S:
            self._began.clear()
        self._began.append(returned)
        self.number += 1

    def find_unread(self, now: float) -> float:
        """Return the maximum read delay (s) of a request read at ``now``.

        The request arrived at the earliest when the loop was last idle,
        or within the last :data:`READ_ROUNDS` iterations, which is what
        reading it from the socket takes.
        """
        return now - self._began[0] if self._began else 0.0


@final
class TimedSelector(DefaultSelector):
    """A selector that reports the time of each poll."""

    def __init__(self, rounds: Rounds) -> None:
        super().__init__()
        self._rounds = rounds

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        """Return the ready files, waiting up to ``timeout`` (s)."""
        entered = read_monotonic()
        ready = super().select(timeout)
        self._rounds.note_poll(entered, read_monotonic())
        return ready


def create_loop(rounds: Rounds) -> SelectorEventLoop:
    """Return an event loop whose iterations are timed by ``rounds``."""
    return SelectorEventLoop(TimedSelector(rounds))
