"""Rate at which requests end, and times for refused callers to return."""

from math import exp

# Time constant of the measured rate.
RATE_SPAN_S = 0.4
MIN_RATE = 0.05
# Bounds of the time after which a refused caller is told to return.
MIN_RETURN_S = 0.05
MAX_RETURN_S = 1.0
# Multiples of the golden ratio are spread evenly, however many there are.
SPREAD_STEP = 0.618034


class CompletionRate:
    """Exponentially weighted rate (1/s) of events."""

    __slots__ = ("_at", "_rate")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._at = now

    def record(self, now: float) -> None:
        """Record that a request has ended."""
        self._rate = self.read(now) + 1 / RATE_SPAN_S
        self._at = max(self._at, now)

    def read(self, now: float) -> float:
        """Return the current rate (1/s)."""
        age_s = now - self._at
        if age_s <= 0:
            return self._rate
        return self._rate * exp(-age_s / RATE_SPAN_S)


class ReturnTimes:
    """Spreads refused callers over the times at which capacity is free.

    Each one is told the expected time of a completion of its own, so
    that callers return at the rate at which they can be served.
    """

    __slots__ = ("_booked_until", "_fraction")

    def __init__(self) -> None:
        self._booked_until = float("-inf")
        self._fraction = 0.0

    def book(self, wait_s: float, rate: float, now: float) -> float:
        """Return the seconds after which a refused caller is to return.

        ``wait_s`` is the expected wait for capacity and ``rate`` the
        completion rate (1/s).
        """
        earliest_s = max(MIN_RETURN_S, min(wait_s, 0.5 * MAX_RETURN_S))
        at = max(self._booked_until, now + earliest_s)
        at += 1 / max(MIN_RATE, rate)
        if at <= now + MAX_RETURN_S:
            self._booked_until = at
            return at - now
        # More are refused than can be served later: spread them evenly.
        self._fraction = (self._fraction + SPREAD_STEP) % 1.0
        return earliest_s + (MAX_RETURN_S - earliest_s) * self._fraction
