"""Settled rollout orders stay settled over a restore of the store."""

import pytest

from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.order_memory import is_repeated
from gypsummount._core.order_memory import MAX_SETTLED
from gypsummount._core.order_memory import OrderMemory
from gypsummount._core.order_memory import REPEAT_S
from gypsummount._core.positions import combine_position

SOON_S = 1.0


def build_order(era, revision, target="v2", state="", service="s"):
    created = combine_position(era, revision)
    version = target if state else ""
    return RolloutOrder(
        service, target, 16.0, created, created, state, version
    )


@pytest.fixture
def memory():
    """Return a memory in which the order of v2 was rolled back."""
    created = OrderMemory()
    created.apply(build_order(1, 50, state="rolled_back"), SOON_S)
    return created


class TestMemory:
    @pytest.mark.parametrize("revision", [50, 70])
    def test_order_without_its_state_stays_settled(self, memory, revision):
        """Guards against a vetoed version that gets requests once more."""
        found = memory.apply(build_order(2, revision), SOON_S)
        assert found.is_settled
        assert found.state == "rolled_back"

    def test_order_of_the_same_era_is_a_new_attempt(self, memory):
        assert not memory.apply(build_order(1, 60), SOON_S).is_settled
        assert not memory.apply(build_order(2, 60), SOON_S).is_settled

    def test_order_long_after_the_restore_is_a_new_attempt(self, memory):
        order = build_order(2, 70)
        assert not memory.apply(order, REPEAT_S + 1.0).is_settled
        assert not memory.apply(order, SOON_S).is_settled

    def test_order_of_another_target_is_open(self, memory):
        assert not memory.apply(build_order(2, 70, "v3"), SOON_S).is_settled

    def test_state_in_the_restored_store_counts(self, memory):
        memory.apply(build_order(2, 50, state="rolled_back"), SOON_S)
        assert not memory.apply(build_order(2, 70), SOON_S).is_settled

    def test_memory_is_bounded(self, memory):
        for number in range(MAX_SETTLED):
            order = build_order(1, 9, "v", "completed", str(number))
            memory.apply(order, SOON_S)
        assert not memory.apply(build_order(2, 70), SOON_S).is_settled


class TestRepeatedOrders:
    def test_same_target_after_a_restore_is_the_same_order(self):
        known = build_order(1, 50)
        assert is_repeated(build_order(2, 70), known)
        assert is_repeated(build_order(1, 50), known)

    def test_other_target_or_creation_is_another_order(self):
        known = build_order(1, 50)
        assert not is_repeated(build_order(2, 70, "v3"), known)
        assert not is_repeated(build_order(1, 60), known)
