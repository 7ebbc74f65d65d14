"""Budgets of repeated sends by service, one part of each per instance."""

from gypsummount._core.retries import RetryBudget

REPEAT_SHARE = 0.15
# Saved repeats of all instances together, and the least each may save.
SAVED_REPEATS = 32.0
LEAST_SAVED = 1.0


class Repeats:
    """Keeps the repeats of every service within their share."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}
        self._most = LEAST_SAVED

    def follow_fleet(self, instances: int) -> None:
        """Keep the saved repeats of this instance to its part."""
        most = max(LEAST_SAVED, SAVED_REPEATS / instances)
        if most == self._most:
            return
        self._most = most
        for budget in self._budgets.values():
            budget.limit(most)

    def note_first(self, service: str) -> None:
        """Record the first send of a request."""
        self._find(service).note_first_try()

    def try_repeat(self, service: str) -> bool:
        """Spend a repeat; False when none is saved."""
        return self._find(service).try_retry()

    def _find(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(REPEAT_SHARE, self._most, self._most)
            self._budgets[service] = budget
        return budget
