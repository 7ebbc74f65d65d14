"""Whole fleets in virtual time under random troubles."""

import pytest

from tests.model.run import run_seed
from tests.model.troubles import Troubles

SEEDS = range(10)


class TestRandomTroubles:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_rules_hold(self, seed):
        assert run_seed(seed) == []


class TestColdUpstreams:
    @pytest.mark.parametrize("domain", ["ca", "ga", "sa"])
    @pytest.mark.parametrize("seed", range(4))
    def test_lost_domain_does_not_flood_its_upstreams(self, domain, seed):
        """Guards against floods while entries still tell of before."""

        async def lose_domain(fleet, operator, random):
            await Troubles(fleet, operator, random).lose_domain(domain, 1.2)

        assert run_seed(seed, script=lose_domain) == []
