"""Budget for retries and hedged requests.

It limits both to a fraction of the first attempts.
"""

# Retries that each first attempt adds to the budget.
RETRY_SHARE = 0.1
MAX_SAVED = 20.0


class RetryBudget:
    """Earns a fraction of a retry per first attempt, up to a limit.

    ``saved`` is the initial number of retries, ``most`` the limit.
    """

    __slots__ = ("_most", "_saved", "_share")

    def __init__(
        self,
        share: float = RETRY_SHARE,
        saved: float = MAX_SAVED / 2,
        most: float = MAX_SAVED,
    ) -> None:
        self._most = most
        self._share = share
        self._saved = saved

    @property
    def saved(self) -> float:
        """Return the number of retries available; may be fractional."""
        return self._saved

    def limit(self, most: float) -> None:
        """Set the limit on saved retries and drop those above it."""
        self._most = most
        self._saved = min(self._saved, most)

    def note_first_try(self) -> None:
        """Record a first attempt, which earns a fraction of a retry."""
        self._saved = min(self._most, self._saved + self._share)

    def try_retry(self) -> bool:
        """Spend one retry; tell whether one was available."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
