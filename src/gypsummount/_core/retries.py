"""Budget of retries and hedges, as a share of first tries."""

RETRY_SHARE = 0.1
MAX_SAVED = 20.0


class RetryBudget:
    """Saves a share of each first try, up to a limit."""

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
        """Return how many retries are allowed at present."""
        return self._saved

    def limit(self, most: float) -> None:
        """Set how many retries may be saved."""
        self._most = most
        self._saved = min(self._saved, most)

    def note_first_try(self) -> None:
        """Earn a share of a retry."""
        self._saved = min(self._most, self._saved + self._share)

    def try_retry(self) -> bool:
        """Spend one retry if there is one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
