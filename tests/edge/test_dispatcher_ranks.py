"""Which instances count as dispatchers."""

from dataclasses import replace

from gypsummount._core.groups import Member
from gypsummount._edge.digests import LEAVING
from gypsummount._edge.digests import STARTING
from gypsummount._edge.dispatcher_ranks import DispatcherRanks
from gypsummount._edge.dispatcher_ranks import SUSPECT_S
from tests.edge.test_peers import build_digest

OWN = Member("own", 1.0)


def build_ranks(digests, *, is_serving=True, is_grouped=True):
    ranks = DispatcherRanks(OWN, "r1")
    ranks.apply_fleet(
        digests, ["s"], is_grouped=is_grouped, is_serving=is_serving
    )
    return ranks


class TestMembers:
    def test_only_serving_instances_of_the_region_are_asked(self):
        """Guards against requests to instances that cannot select."""
        digests = [
            build_digest(1, "r1"),
            build_digest(2, "r2"),
            replace(build_digest(3, "r1"), phase=LEAVING),
            replace(build_digest(4, "r1"), phase=STARTING),
        ]
        ranks = build_ranks(digests, is_serving=False)
        assert ranks.hosts == {"front-r1-1": "10.0.1.1"}
        assert ranks.choose("s", 0.0) == "front-r1-1"

    def test_instance_that_does_not_serve_dispatches_nothing(self):
        assert build_ranks([], is_serving=False).list_own() == []
        assert build_ranks([]).list_own() == ["s"]

    def test_small_fleet_has_no_dispatchers(self):
        ranks = build_ranks([build_digest(1, "r1")], is_grouped=False)
        assert "s" not in ranks
        assert ranks.choose("s", 0.0) == ""

    def test_unchanged_fleet_is_not_ranked_again(self):
        """Guards against hashing all instances several times a second."""
        digests = [build_digest(number, "r1") for number in range(9)]
        ranks = build_ranks(digests)
        newer = [replace(digest, sent_at=2.0) for digest in reversed(digests)]
        assert not ranks.apply_fleet(
            newer, ["s"], is_grouped=True, is_serving=True
        )

    def test_instance_that_moved_is_asked_at_its_new_host(self):
        """Guards against datagrams to the address of an earlier start."""
        digest = build_digest(1, "r1")
        ranks = build_ranks([digest])
        assert ranks.apply_fleet(
            [replace(digest, host="10.0.9.9")],
            ["s"],
            is_grouped=True,
            is_serving=True,
        )
        assert ranks.hosts[digest.name] == "10.0.9.9"


class TestSuspicion:
    def test_silent_one_is_passed_over_for_a_while(self):
        digests = [build_digest(number, "r1") for number in range(3)]
        ranks = build_ranks(digests, is_serving=False)
        first = ranks.choose("s", 10.0)
        ranks.suspect(first, 10.0)
        second = ranks.choose("s", 10.0)
        assert second not in ("", first)
        assert ranks.choose("s", 10.0 + SUSPECT_S) == first

    def test_own_instance_selects_when_all_are_silent(self):
        """Guards against requests without any instance to select."""
        digests = [build_digest(number, "r1") for number in range(3)]
        ranks = build_ranks(digests, is_serving=False)
        while name := ranks.choose("s", 10.0):
            ranks.suspect(name, 10.0)
        assert ranks.choose("s", 10.0) == ""
