"""Estimate of the time a caller spent on earlier attempts."""

# Fraction by which the longest remaining time of a route decays towards
# each shorter one, so that a single caller with much time is forgotten.
FORGET_PART = 0.001


class Patience:
    """Compares a caller's remaining time with the longest on its route.

    Callers send the time that remains until their deadline.  Less time
    than usual means that the caller was refused before and retries.
    """

    __slots__ = ("_longest",)

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def find_spent(self, route: str, left_s: float) -> float:
        """Return the seconds that the caller has probably waited already.

        ``left_s`` is the time that remains until its deadline.
        """
        longest = self._longest.get(route, 0.0)
        if left_s >= longest:
            self._longest[route] = left_s
            return 0.0
        self._longest[route] = longest - (longest - left_s) * FORGET_PART
        return longest - left_s
