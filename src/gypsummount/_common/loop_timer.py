"""Timing of event loop iterations, and the read delay of requests."""

from asyncio import SelectorEventLoop
from collections import deque
from selectors import DefaultSelector
from selectors import SelectorKey
from typing import final

from gypsummount._common.clocks import read_monotonic

# A longer poll means that the loop was idle.  In a shorter one, events were
# already pending when it started.
MIN_IDLE_POLL_S = 0.001
SMOOTHING_WEIGHT = 0.3
# Iterations that reading a request takes at most: from the one in which its
# bytes arrive to the one in which the request is complete, both included.
READ_ITERATIONS = 5


class LoopTimer:
    """Times the iterations of an event loop, from poll to poll.

    ``number`` counts the iterations.  ``span_s`` is the exponentially
    weighted moving average of their duration (s), without the time spent
    in polls.
    """

    __slots__ = ("_iteration_starts", "number", "span_s")

    def __init__(self) -> None:
        self._iteration_starts: deque[float] = deque(maxlen=READ_ITERATIONS)
        self.number = 0
        self.span_s = 0.0

    def record_poll(self, poll_started: float, poll_ended: float) -> None:
        """Record when a poll started and ended (boot clock, s)."""
        if self._iteration_starts:
            busy_s = poll_started - self._iteration_starts[-1]
            self.span_s += (busy_s - self.span_s) * SMOOTHING_WEIGHT
        if poll_ended - poll_started > MIN_IDLE_POLL_S:
            self._iteration_starts.clear()
        self._iteration_starts.append(poll_ended)
        self.number += 1

    def get_max_read_delay(self, now: float) -> float:
        """Return the maximum read delay (s) of a request read at ``now``.

        The request cannot have arrived before the loop was last idle, nor
        before the last :data:`READ_ITERATIONS` iterations, because reading
        takes up to that many iterations.
        """
        return (
            now - self._iteration_starts[0] if self._iteration_starts else 0.0
        )


@final
class TimedSelector(DefaultSelector):
    """A selector that reports the time of each poll."""

    def __init__(self, loop_timer: LoopTimer) -> None:
        super().__init__()
        self._loop_timer = loop_timer

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        """Return the ready files, waiting up to ``timeout`` (s)."""
        poll_started = read_monotonic()
        ready = super().select(timeout)
        self._loop_timer.record_poll(poll_started, read_monotonic())
        return ready


def create_timed_loop(loop_timer: LoopTimer) -> SelectorEventLoop:
    """Return an event loop whose iterations are timed by ``loop_timer``."""
    return SelectorEventLoop(TimedSelector(loop_timer))
