"""Ranking of the candidates for a duty."""

from random import Random

from gypsummount._core.duty_ranks import DutyMember
from gypsummount._core.duty_ranks import rank_candidates


def build_member(name, region, capacity=1.0, *, is_connected=True):
    return DutyMember(name, "10.0.0.1", region, capacity, is_connected)


def rank(members, holder="", region=""):
    return [member.name for member in rank_candidates(members, holder, region)]


class TestRanks:
    def test_candidates_are_in_other_regions_than_the_holder(self):
        """Guards against a region's loss that takes both candidates."""
        members = [
            build_member("a", "r1", 9.0),
            build_member("b", "r1", 8.0),
            build_member("c", "r2", 2.0),
            build_member("d", "r2", 3.0),
            build_member("e", "r3", 1.0),
        ]
        assert rank(members, "a", "r1") == ["d", "e"]
        assert rank(members) == ["a", "d"]

    def test_region_without_an_alternative_is_used_again(self):
        members = [build_member(name, "r1") for name in "abc"]
        assert rank(members, "a", "r1") == ["b", "c"]
        assert rank(members[:1], "a", "r1") == []

    def test_instance_that_reaches_the_store_comes_first(self):
        members = [
            build_member("a", "r1", 9.0, is_connected=False),
            build_member("b", "r1", 1.0),
        ]
        assert rank(members) == ["b", "a"]

    def test_order_of_the_members_does_not_matter(self):
        """Guards against instances that rank the same fleet differently."""
        members = [
            build_member(f"n{number}", f"r{number % 4}", number % 3)
            for number in range(40)
        ]
        shuffled = list(members)
        Random(1).shuffle(shuffled)
        assert rank(shuffled, "n4", "r0") == rank(members, "n4", "r0")
