"""Pace of repeated calls: a burst at once, then a limited rate."""


class Pace:
    """Token bucket that tells how long to wait before the next call.

    ``rate`` is in calls per second and ``burst`` in calls.  Times are
    boot-clock seconds.
    """

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def take(self, now: float) -> float:
        """Count a call and return the seconds to wait before it."""
        gained = (now - self._filled_at) * self._rate
        self._filled_at = now
        self._tokens = min(self._burst, self._tokens + gained) - 1
        return max(0.0, -self._tokens / self._rate)
