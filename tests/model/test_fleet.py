"""Whole fleets in virtual time under random troubles."""

import pytest

from tests.model.run import run_seed

SEEDS = range(10)


class TestRandomTroubles:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_rules_hold(self, seed):
        assert run_seed(seed) == []
