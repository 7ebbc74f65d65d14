"""Retry budgets by service; the instances divide the fleet's limit."""

from gypsummount._core.retries import RetryBudget

RETRY_FRACTION = 0.15
# Limit of the saved retries of all instances together, and the minimum of
# each instance's limit.
MAX_SAVED_RETRIES = 32.0
MIN_SAVED_RETRIES = 1.0


class RetryBudgets:
    """Limits the retries of each service to a fraction of its requests."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}
        self._max_saved = MIN_SAVED_RETRIES

    def set_fleet_size(self, instances: int) -> None:
        """Limit the saved retries to an equal part of the fleet's limit."""
        max_saved = max(MIN_SAVED_RETRIES, MAX_SAVED_RETRIES / instances)
        if max_saved == self._max_saved:
            return
        self._max_saved = max_saved
        for budget in self._budgets.values():
            budget.set_limit(max_saved)

    def record_first_send(self, service: str) -> None:
        """Record a request's first send, which earns a fraction of a retry."""
        self._get_budget(service).record_first_attempt()

    def try_retry(self, service: str) -> bool:
        """Spend a saved retry; return False if none is saved."""
        return self._get_budget(service).try_retry()

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                RETRY_FRACTION, self._max_saved, self._max_saved
            )
            self._budgets[service] = budget
        return budget
