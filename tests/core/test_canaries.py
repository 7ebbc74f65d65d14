"""Canary releases: share of requests, pooled evidence and completion."""

import pytest

from gypsummount._core.canaries import Canary
from gypsummount._core.canaries import CANARY_SHARE
from gypsummount._core.canaries import MOVE_FRACTION
from gypsummount._core.catalog import RolloutOrder

DURATION_S = 16.0
ORDER = RolloutOrder("s", "v2", DURATION_S, 5, 4)


@pytest.fixture
def canary():
    return Canary(ORDER, 100.0)


def observe(canary, count, *, is_new, failed=False, latency_s=0.1):
    for _ in range(count):
        canary.observe("r", is_new=is_new, failed=failed, latency_s=latency_s)


def share_evidence(*canaries):
    for target in canaries:
        for number, source in enumerate(canaries):
            for evidence in source.list_evidence():
                target.add_evidence(str(number), evidence)


class TestShare:
    def test_share_is_exact_at_every_instance(self, canary):
        chosen = 0
        for total in range(1, 2000):
            chosen += canary.choose_new(100.0)
            assert chosen <= CANARY_SHARE * total
        assert chosen > CANARY_SHARE * 1999 - 2

    def test_withdrawn_choice_is_made_again(self, canary):
        while not canary.choose_new(100.0):
            pass
        canary.withdraw_new()
        assert canary.choose_new(100.0)


class TestFaults:
    def test_errors_of_all_instances_add_up_to_a_veto(self):
        fleet = [Canary(ORDER, 100.0) for _ in range(8)]
        for canary in fleet:
            observe(canary, 50, is_new=False)
            observe(canary, 1, is_new=True)
            observe(canary, 3, is_new=True, failed=True)
        assert all(instance.veto is None for instance in fleet)
        share_evidence(*fleet)
        assert all(instance.veto is not None for instance in fleet)
        assert not any(instance.choose_new(100.0) for instance in fleet)

    def test_slow_answers_are_a_veto(self, canary):
        observe(canary, 100, is_new=False)
        observe(canary, 40, is_new=True, latency_s=0.9)
        share_evidence(canary)
        assert canary.veto is not None

    def test_good_version_is_not_vetoed(self, canary):
        observe(canary, 200, is_new=False)
        observe(canary, 200, is_new=True)
        share_evidence(canary)
        assert canary.veto is None


class TestMove:
    def test_moves_late_in_the_orders_time(self, canary):
        observe(canary, 200, is_new=False)
        observe(canary, 50, is_new=True)
        share_evidence(canary)
        moves_at = 100.0 + MOVE_FRACTION * DURATION_S
        assert not canary.has_moved(moves_at - 0.1)
        assert canary.has_moved(moves_at + 0.01)
        assert not canary.may_complete(moves_at + 0.5)
        assert canary.may_complete(moves_at + 1.01)

    def test_does_not_move_without_evidence(self, canary):
        assert not canary.has_moved(100.0 + DURATION_S)
        assert canary.is_near_deadline(100.0 + DURATION_S)
