"""Refusals within the rate, compared to one central bucket."""

import pytest

from gypsummount._core.amounts import Amount
from tests.core.lending_fleet import Demand
from tests.core.lending_fleet import LendingFleet

DURATION_S = 90
WAIT_S = 0.4
LARGE = Amount(100, 50)
SMALL = Amount(6, 6)
# Targets of docs/design/budgets.md.
LARGE_TARGET = 0.01
SMALL_TARGET = 0.05
GAIN_OVER_STATIC = 10
SEEDS = (1, 2)

CASES = [
    pytest.param(LARGE, Demand(0.9, 0.5, 30), LARGE_TARGET, id="half-hot"),
    pytest.param(LARGE, Demand(0.9, 0.95, 30), LARGE_TARGET, id="one-hot"),
    pytest.param(LARGE, Demand(0.9, 0.0, 30), LARGE_TARGET, id="even"),
    pytest.param(
        LARGE, Demand(0.4, 0.5, 30, 5.0, 45), LARGE_TARGET, id="bursty"
    ),
    pytest.param(SMALL, Demand(0.7, 0.5, 10), SMALL_TARGET, id="small"),
    pytest.param(SMALL, Demand(0.7, 0.0, 10), SMALL_TARGET, id="small-even"),
]


def run_fleet(total, demand, seed, *, lends):
    fleet = LendingFleet(total, seed, wait_s=WAIT_S, lends=lends)
    return fleet.run(demand, DURATION_S)


class TestRefusalsWithinRate:
    @pytest.mark.parametrize(("total", "demand", "target"), CASES)
    @pytest.mark.parametrize("seed", SEEDS)
    def test_few_are_refused_that_one_bucket_admits(
        self, total, demand, target, seed
    ):
        outcome = run_fleet(total, demand, seed, lends=True)
        assert outcome.refused_fraction <= target

    @pytest.mark.parametrize("hot_share", [0.5, 0.95], ids=["half", "most"])
    def test_static_shares_refuse_many_times_more(self, hot_share):
        demand = Demand(0.9, hot_share, 30)
        static = run_fleet(LARGE, demand, 1, lends=False)
        lending = run_fleet(LARGE, demand, 1, lends=True)
        assert static.refused_fraction > (
            GAIN_OVER_STATIC * lending.refused_fraction
        )


class TestOverdrawnWorkspace:
    def test_fleet_admits_no_more_than_the_budget(self):
        # The simulation also checks each spend against an exact bucket.
        outcome = run_fleet(LARGE, Demand(3.0, 0.5, 30), 1, lends=True)
        assert outcome.admitted <= LARGE.rate * DURATION_S + LARGE.burst
        assert outcome.admitted >= 0.95 * LARGE.rate * DURATION_S
