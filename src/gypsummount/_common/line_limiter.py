"""Limit on the number of log lines of one kind."""

BURST_S = 2.0  # a burst holds the lines of this time at the full rate


class LineLimiter:
    """Token bucket for log lines of one kind; counts the dropped lines."""

    __slots__ = ("_filled_at", "_rate", "_tokens", "dropped")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_S
        self._filled_at = now
        self.dropped = 0

    def try_take(self, now: float) -> bool:
        """Return True if a line may be written, else count it as dropped."""
        gained = (now - self._filled_at) * self._rate
        self._filled_at = now
        self._tokens = min(self._rate * BURST_S, self._tokens + gained)
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True
