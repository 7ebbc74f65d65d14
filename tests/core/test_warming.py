"""Cold upstreams in small and in large regions."""

import pytest

from gypsummount._core.placement import hash_name
from gypsummount._core.warming import Warming

RATE = 4.5
SEEDS = [hash_name(f"i-{number}") for number in range(60)]


def find_paces(size, rate, seed):
    names = tuple(f"n{number}" for number in range(size))
    return [
        Warming(name, {"r": names}).find_pace("r", seed, rate)
        for name in names
    ]


class TestPace:
    @pytest.mark.parametrize("size", [1, 2, 3, 25, 400])
    def test_parts_add_up_to_the_rate(self, size):
        for rate in (RATE, 24.0):
            for seed in SEEDS:
                assert sum(find_paces(size, rate, seed)) == pytest.approx(rate)

    def test_some_instance_of_a_large_region_may_send(self):
        for seed in SEEDS:
            assert max(find_paces(25, RATE, seed)) >= 1

    def test_upstreams_have_different_owners(self):
        owners = {
            max(range(25), key=find_paces(25, RATE, seed).__getitem__)
            for seed in SEEDS
        }
        assert len(owners) > 10

    def test_instance_of_another_region_sends_nothing(self):
        warming = Warming("n9", {"r": ("n1", "n2")})
        assert warming.find_pace("r", 1, RATE) == 0
