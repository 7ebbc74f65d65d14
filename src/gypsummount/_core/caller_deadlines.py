"""Estimate of the time a caller spent on earlier attempts."""

# Fraction by which the longest remaining time of a route decays towards
# each shorter one, so that a single caller with much time is forgotten.
DECAY_FRACTION = 0.001


class CallerDeadlines:
    """Compares a caller's remaining time with the longest on its route.

    Callers send the time that remains until their deadline.  Less time
    than usual means that the caller was refused before and retries.
    """

    __slots__ = ("_max_remaining_s",)

    def __init__(self) -> None:
        self._max_remaining_s: dict[str, float] = {}

    def estimate_waited(self, route: str, remaining_s: float) -> float:
        """Return the seconds that the caller has probably waited already.

        ``remaining_s`` is the time that remains until its deadline.
        """
        max_remaining_s = self._max_remaining_s.get(route, 0.0)
        if remaining_s >= max_remaining_s:
            self._max_remaining_s[route] = remaining_s
            return 0.0
        self._max_remaining_s[route] = (
            max_remaining_s - (max_remaining_s - remaining_s) * DECAY_FRACTION
        )
        return max_remaining_s - remaining_s
