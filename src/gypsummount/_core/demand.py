"""Estimate of the demand for a budget at one holder."""

from math import exp

# Time constants of the averages.
FAST_WINDOW_S = 0.25
SLOW_WINDOW_S = 3.0
# The fast average is used if, by the slow average, at least this number
# of units falls into the fast window.
MIN_FAST_COUNT = 3.0


class Demand:
    """Estimates a demand in units per second.

    It keeps two exponentially decaying averages, a fast and a slow one.
    """

    __slots__ = ("_fast", "_slow", "_updated_at")

    def __init__(self, now: float) -> None:
        self._updated_at = now
        self._fast = 0.0
        self._slow = 0.0

    def record(self, now: float, count: float) -> None:
        """Add ``count`` requested units."""
        self._decay(now)
        self._fast += count / FAST_WINDOW_S
        self._slow += count / SLOW_WINDOW_S

    def estimate(self, now: float) -> float:
        """Return the recent demand in units per second.

        The fast average is used only if enough units fall into its
        window to distinguish a change from noise.
        """
        self._decay(now)
        if self._slow * FAST_WINDOW_S >= MIN_FAST_COUNT:
            return self._fast
        return self._slow

    def _decay(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._fast *= exp(-elapsed / FAST_WINDOW_S)
        self._slow *= exp(-elapsed / SLOW_WINDOW_S)
        self._updated_at = now
