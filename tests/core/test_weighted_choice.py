"""Weighted choice: on one instance, over many, after new weights."""

from collections import Counter
from random import Random

import pytest

from gypsummount._core.catalog import Destination
from gypsummount._core.weighted_choice import WeightedChoice


def split(first, second):
    return (Destination("a", first), Destination("b", second))


def create_choices(instances):
    return [WeightedChoice(Random(number)) for number in range(instances)]


def choose(choices, destinations, count):
    """Return how often each service is chosen at all instances."""
    return Counter(
        choice.choose("r", destinations)
        for choice in choices
        for _ in range(count)
    )


class TestShares:
    @pytest.mark.parametrize("first", [1, 5, 30, 50, 70, 95])
    def test_share_of_one_instance_is_its_weight(self, first):
        counts = choose(create_choices(1), split(first, 100 - first), 200)
        assert counts["a"] / 200 == pytest.approx(first / 100, abs=0.02)

    def test_three_parts_get_their_weights(self):
        parts = (*split(0.2, 0.3), Destination("c", 0.5))
        counts = choose(create_choices(1), parts, 200)
        shares = [counts[name] / 200 for name in "abc"]
        assert shares == pytest.approx([0.2, 0.3, 0.5], abs=0.02)

    @pytest.mark.parametrize(
        ("instances", "count", "second"),
        [(100, 2, 0.3), (60, 3, 0.2), (300, 1, 0.25), (8, 25, 0.3)],
    )
    def test_few_requests_at_many_instances_get_their_weights(
        self, instances, count, second
    ):
        """Guards against instances that all choose the same first service.

        With few requests each, their sum would miss the weights.
        """
        choices = create_choices(instances)
        counts = choose(choices, split(1 - second, second), count)
        share = counts["b"] / (instances * count)
        assert share == pytest.approx(second, abs=0.08)

    @pytest.mark.parametrize(
        ("before", "after", "due"),
        [
            (split(70, 30), split(0.5, 0.5), 0.5),
            (split(95, 5), split(1, 1), 0.5),
            (split(0.9, 0.1), split(10, 90), 0.1),
            (split(50, 50), split(0.2, 0.8), 0.2),
        ],
    )
    def test_new_weights_hold_at_once_whatever_their_scale(
        self, before, after, due
    ):
        """Guards against counts that are kept in the unit of old weights.

        After a change of scale they would distort the shares until they
        had been worked off.
        """
        choices = create_choices(8)
        for count in range(1, 14):
            choose(choices[:1], before, count)
            choose(choices[1:], before, 7)
        counts = choose(choices, after, 25)
        assert counts["a"] / 200 == pytest.approx(due, abs=0.05)
