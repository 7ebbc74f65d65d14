"""Failing upstreams in small and in large fleets: saved repeats."""

import pytest

from gypsummount._edge.repeats import Repeats

# The bound of the platform's large deployments for repeats beyond the
# share of the requests, all instances together.
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
