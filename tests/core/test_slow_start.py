"""Rate limits of cold upstreams in small and large regions."""

import pytest

from gypsummount._core.placement import hash_name
from gypsummount._core.slow_start import plan_slow_start
from gypsummount._core.slow_start import SlowStartPlan

RATE = 4.5
SEEDS = [hash_name(f"i-{number}") for number in range(60)]


def list_rate_limits(size, rate, seed):
    names = tuple(f"n{number}" for number in range(size))
    return [
        SlowStartPlan(name, {"r": names}).compute_rate_limit("r", seed, rate)
        for name in names
    ]


class TestRateLimits:
    @pytest.mark.parametrize("size", [1, 2, 3, 25, 400])
    def test_parts_add_up_to_the_rate(self, size):
        for rate in (RATE, 24.0):
            for seed in SEEDS:
                assert sum(
                    list_rate_limits(size, rate, seed)
                ) == pytest.approx(rate)

    def test_some_instance_of_a_large_region_may_send(self):
        for seed in SEEDS:
            assert max(list_rate_limits(25, RATE, seed)) >= 1

    def test_upstreams_have_different_senders(self):
        senders = {
            max(range(25), key=list_rate_limits(25, RATE, seed).__getitem__)
            for seed in SEEDS
        }
        assert len(senders) > 10

    def test_instance_of_another_region_sends_nothing(self):
        slow_start_plan = SlowStartPlan("n9", {"r": ("n1", "n2")})
        assert slow_start_plan.compute_rate_limit("r", 1, RATE) == 0


class TestStartingInstances:
    """Guards against overload of cold upstreams by starting instances.

    An instance that knows no other instance must not use the complete
    rate of an upstream.
    """

    FLEET = tuple(f"n{number}" for number in range(8))

    def sum_rate_limits(
        self, views, registered, *, knows_all_peers, rate=24.0
    ):
        return sum(
            plan_slow_start(
                own,
                {"r": known, "q": ()},
                registered,
                knows_all_peers=knows_all_peers,
            ).compute_rate_limit("r", SEEDS[0], rate)
            for own, known in views.items()
        )

    def test_instances_that_know_no_peer_keep_to_the_rate(self):
        views = {own: (own,) for own in self.FLEET}
        assert (
            self.sum_rate_limits(views, self.FLEET, knows_all_peers=False)
            <= 24.0
        )

    def test_nothing_is_sent_before_the_registry_is_read(self):
        views = {own: (own,) for own in self.FLEET}
        assert self.sum_rate_limits(views, (), knows_all_peers=False) == 0.0

    def test_instances_of_the_region_share_the_rate_once_known(self):
        views = dict.fromkeys(self.FLEET[:3], self.FLEET[:3])
        total = self.sum_rate_limits(views, self.FLEET, knows_all_peers=True)
        assert total == pytest.approx(24.0)

    def test_region_without_instances_is_shared_by_all(self):
        slow_start_plan = plan_slow_start(
            "n0", {"r": self.FLEET, "q": ()}, self.FLEET, knows_all_peers=True
        )
        assert slow_start_plan.by_region["q"] == self.FLEET
