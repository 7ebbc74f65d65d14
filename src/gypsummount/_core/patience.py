"""How long callers have waited before an attempt reaches an instance."""

FORGET_PART = 0.001


class Patience:
    """Compares a caller's remaining time with the longest on its route.

    Callers send what is left of their time, so a shorter time than
    usual means that the caller was refused before and came back.
    """

    __slots__ = ("_longest",)

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def find_spent(self, route: str, left_s: float) -> float:
        """Return the seconds that a caller has already waited."""
        longest = self._longest.get(route, 0.0)
        if left_s >= longest:
            self._longest[route] = left_s
            return 0.0
        self._longest[route] = longest - (longest - left_s) * FORGET_PART
        return longest - left_s
