"""Budget for retries and hedged requests.

It limits both to a fraction of the first attempts.
"""

# Retries that each first attempt adds to the budget.
RETRY_FRACTION = 0.1
# Largest number of retries that the budget saves.
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Earns a fraction of a retry per first attempt, up to a limit.

    ``saved`` is the initial number of retries, ``max_saved`` the limit.
    """

    __slots__ = ("_fraction", "_max_saved", "_saved")

    def __init__(
        self,
        fraction: float = RETRY_FRACTION,
        saved: float = MAX_SAVED_RETRIES / 2,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._max_saved = max_saved
        self._fraction = fraction
        self._saved = saved

    @property
    def saved(self) -> float:
        """Return the number of retries available; may be fractional."""
        return self._saved

    def set_limit(self, max_saved: float) -> None:
        """Set the limit on saved retries and drop those above it."""
        self._max_saved = max_saved
        self._saved = min(self._saved, max_saved)

    def record_first_attempt(self) -> None:
        """Record a first attempt, which earns a fraction of a retry."""
        self._saved = min(self._max_saved, self._saved + self._fraction)

    def try_retry(self) -> bool:
        """Spend one retry; tell whether one was available."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
