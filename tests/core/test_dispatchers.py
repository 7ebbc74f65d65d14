"""Dispatchers of services, and the grants that they give."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from gypsummount._core.dispatchers import assign_dispatchers
from gypsummount._core.dispatchers import compute_lease
from gypsummount._core.dispatchers import GrantTable
from gypsummount._core.dispatchers import LEASE_MARGIN_S
from gypsummount._core.dispatchers import MAX_ENDED
from gypsummount._core.dispatchers import MAX_LEASE_S
from gypsummount._core.dispatchers import RANKED_COUNT
from gypsummount._core.groups import Member

SERVICES = [f"s{number}" for number in range(6)]
KEY = ("10.0.0.1", 7)


def build_members(count, *, large=()):
    return [
        Member(f"front-{number}", 2.0 if number in large else 0.5)
        for number in range(count)
    ]


class TestAssignment:
    @given(st.permutations(SERVICES), st.permutations(build_members(9)))
    def test_order_of_the_lists_is_irrelevant(self, services, members):
        """Guards against dispatchers that differ between instances."""
        assert assign_dispatchers(services, members) == assign_dispatchers(
            SERVICES, build_members(9)
        )

    @given(st.sets(st.text(max_size=5), max_size=20), st.integers(1, 12))
    def test_services_are_spread(self, services, count):
        """Guards against one instance that selects for all services."""
        assigned = assign_dispatchers(services, build_members(count))
        firsts = Counter(ranked[0] for ranked in assigned.values())
        assert set(assigned) == services
        assert max(firsts.values(), default=0) <= -(-len(services) // count)
        for ranked in assigned.values():
            assert len(set(ranked)) == min(count, RANKED_COUNT)

    @given(st.integers(8, 20), st.data())
    def test_loss_of_another_instance_moves_no_service(self, count, data):
        members = build_members(count)
        before = assign_dispatchers(SERVICES, members)
        firsts = {ranked[0] for ranked in before.values()}
        lost = data.draw(
            st.sampled_from([m for m in members if m.name not in firsts])
        )
        members.remove(lost)
        after = assign_dispatchers(SERVICES, members)
        assert {ranked[0] for ranked in after.values()} == firsts
        for service in SERVICES:
            assert after[service][0] == before[service][0]

    def test_large_instances_dispatch_more_services(self):
        """Guards against small instances that are overloaded."""
        members = build_members(20, large=range(5))
        firsts = Counter(
            assign_dispatchers([f"s{number}"], members)[f"s{number}"][0]
            for number in range(400)
        )
        large = sum(firsts[f"front-{number}"] for number in range(5))
        # Five of 2 cores and fifteen of 0.5: 10 of 17.5 cores.
        assert 0.47 < large / 400 < 0.67

    def test_unknown_capacity_counts_as_small(self):
        members = [Member("a", 0.0), Member("b", 0.0)]
        assert len(assign_dispatchers(["s"], members)["s"]) == 2

    def test_no_instance_dispatches_in_an_empty_region(self):
        assert assign_dispatchers(["s"], []) == {"s": ()}


class TestLeases:
    def test_lease_is_longer_than_the_remaining_time(self):
        assert compute_lease(0.4) == 0.4 + LEASE_MARGIN_S

    def test_lease_of_a_long_request_is_bounded(self):
        assert compute_lease(60.0) == MAX_LEASE_S + LEASE_MARGIN_S

    def test_grant_that_is_not_renewed_expires(self):
        table = GrantTable()
        table.add(KEY, "u1", 5.0)
        assert table.end_expired(4.9) == []
        assert table.renew(KEY, 6.0)
        assert table.end_expired(5.9) == []
        assert table.end_expired(6.0) == ["u1"]
        assert table.expired == 1
        assert not table.renew(KEY, 9.0)

    def test_ended_request_is_known_and_the_table_is_bounded(self):
        """Guards against a second grant for a late, repeated message."""
        table = GrantTable()
        table.add(KEY, "u1", 5.0)
        assert table.end(KEY) == "u1"
        assert table.end(KEY) is None
        assert table.has_ended(KEY)
        for number in range(MAX_ENDED):
            table.end(("10.0.0.2", number))
        assert not table.has_ended(KEY)

    def test_refusal_is_repeated(self):
        table = GrantTable()
        table.end(KEY, 0.3)
        table.end(KEY)
        assert table.get_refusal(KEY) == 0.3
