"""Budgets of repeated sends by service, one part of each per instance."""

from gypsummount._core.retries import RetryBudget

REPEAT_SHARE = 0.15
LARGEST_REPEATS = 4.0


class Repeats:
    """Keeps the repeats of every service within their share."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def note_first(self, service: str) -> None:
        """Record the first send of a request."""
        self._find(service).note_first_try()

    def try_repeat(self, service: str) -> bool:
        """Spend a repeat; False when none is saved."""
        return self._find(service).try_retry()

    def _find(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                REPEAT_SHARE, LARGEST_REPEATS, LARGEST_REPEATS
            )
            self._budgets[service] = budget
        return budget
