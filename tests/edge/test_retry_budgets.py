"""Limit of the saved retries in small and in large fleets."""

import pytest

from gypsummount._edge.retry_budgets import RetryBudgets

# Limit of large deployments for retries of all instances together, beyond
# the fraction of requests that may be retried.
MAX_EXTRA_RETRIES = 158


class TestFleet:
    @pytest.mark.parametrize("size", [1, 8, 59, 75, 150])
    def test_saved_retries_of_all_stay_within_the_limit(self, size):
        budgets = RetryBudgets()
        budgets.set_fleet_size(size)
        saved = 0
        while budgets.try_retry("s"):
            saved += 1
        assert 1 <= saved
        assert saved * size <= MAX_EXTRA_RETRIES
