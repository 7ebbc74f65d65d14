"""Limit of the saved retries in small and in large fleets."""

import pytest

from gypsummount._edge.repeats import Repeats

# Limit of large deployments for retries of all instances together, beyond
# the fraction of requests that may be retried.
SLACK = 158


class TestFleet:
    @pytest.mark.parametrize("size", [1, 8, 59, 75, 150])
    def test_saved_repeats_of_all_stay_within_the_slack(self, size):
        repeats = Repeats()
        repeats.follow_fleet(size)
        saved = 0
        while repeats.try_repeat("s"):
            saved += 1
        assert 1 <= saved
        assert saved * size <= SLACK
