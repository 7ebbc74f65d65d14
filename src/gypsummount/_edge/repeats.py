"""Retry budgets by service; each instance has a part of the fleet's."""

from gypsummount._core.retries import RetryBudget

REPEAT_SHARE = 0.15
# Retries that all instances may save, and that each may save at least.
SAVED_REPEATS = 32.0
LEAST_SAVED = 1.0


class Repeats:
    """Limits the retries of each service to a fraction of its requests."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}
        self._most = LEAST_SAVED

    def follow_fleet(self, instances: int) -> None:
        """Limit saved retries to this instance's part of the fleet's limit."""
        most = max(LEAST_SAVED, SAVED_REPEATS / instances)
        if most == self._most:
            return
        self._most = most
        for budget in self._budgets.values():
            budget.limit(most)

    def note_first(self, service: str) -> None:
        """Record the first send of a request, which earns part of a retry."""
        self._find(service).note_first_try()

    def try_repeat(self, service: str) -> bool:
        """Spend a saved retry; return False if none is saved."""
        return self._find(service).try_retry()

    def _find(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(REPEAT_SHARE, self._most, self._most)
            self._budgets[service] = budget
        return budget
