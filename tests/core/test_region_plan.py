"""The region plan: target fractions, bounded steps, starts and losses."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsummount._core.placement import add_expected
from gypsummount._core.placement import compute_target
from gypsummount._core.placement import hash_object
from gypsummount._core.placement import MAX_STEP_PER_S
from gypsummount._core.placement import RegionLoad
from gypsummount._core.placement import RegionPlan

WORK_S = 0.1
MAX_SHIFT = 0.15
WINDOW_S = 2.0
OBJECTS = [hash_object(str(number)) for number in range(2000)]


def create_loads(small=0.0, large=0.0):
    return {
        "small": RegionLoad(small, 8.0),
        "large": RegionLoad(large, 64.0),
    }


class TestTarget:
    def test_region_with_room_keeps_its_requests(self):
        assert compute_target("large", create_loads(10, 50), WORK_S) == {
            "large": 1.0
        }

    def test_region_without_room_gives_the_rest(self):
        fractions = compute_target("small", create_loads(96, 50), WORK_S)
        assert fractions["small"] == pytest.approx(0.5)
        assert fractions["large"] == pytest.approx(0.5)

    @given(
        st.lists(
            st.tuples(st.floats(0, 500), st.integers(0, 100)),
            min_size=1,
            max_size=5,
        )
    )
    def test_parts_always_add_up_to_one(self, rows):
        loads = {
            str(number): RegionLoad(demand, float(slots))
            for number, (demand, slots) in enumerate(rows)
        }
        fractions = compute_target("0", add_expected(loads, WORK_S), WORK_S)
        assert sum(fractions.values()) == pytest.approx(1.0)
        assert all(fraction >= -1e-9 for fraction in fractions.values())


class TestSteps:
    def test_plan_moves_by_bounded_steps(self):
        plan = RegionPlan("small")
        plan.update(create_loads(10, 10), WORK_S, 0.0)
        before = {
            object_hash: plan.choose(object_hash) for object_hash in OBJECTS
        }
        now = 0.0
        while now < WINDOW_S:
            now += 0.1
            plan.update(create_loads(300, 10), WORK_S, now)
        moved = sum(
            plan.choose(object_hash) != before[object_hash]
            for object_hash in OBJECTS
        )
        assert 0 < moved / len(OBJECTS) <= MAX_STEP_PER_S * WINDOW_S + 0.03
        assert moved / len(OBJECTS) < MAX_SHIFT

    def test_small_changes_move_nothing(self):
        plan = RegionPlan("small")
        plan.update(create_loads(96, 50), WORK_S, 0.0)
        before = dict(plan.fractions)
        for step in range(1, 30):
            plan.update(create_loads(96 + step % 3, 50), WORK_S, step / 10)
        assert plan.fractions == before

    def test_start_without_requests_takes_the_target_at_once(self):
        """Guards against a plan that sticks to the upstreams known first.

        At start the upstreams register one after the other, before any
        traffic.  The plan must not move slowly from such a first view.
        """
        plan = RegionPlan("large")
        only_small = {
            "small": RegionLoad(0.0, 8.0),
            "large": RegionLoad(0.0, 0.0),
        }
        plan.update(add_expected(only_small, WORK_S), WORK_S, 0.0)
        assert plan.fractions["small"] == pytest.approx(1.0)
        plan.reset()
        plan.update(add_expected(create_loads(), WORK_S), WORK_S, 1.0)
        assert plan.fractions == {"large": 1.0}

    def test_region_that_lost_all_upstreams_is_left_at_once(self):
        plan = RegionPlan("small")
        plan.update(create_loads(96, 50), WORK_S, 0.0)
        lost = {
            "small": RegionLoad(96.0, 0.0),
            "large": RegionLoad(50.0, 64.0),
        }
        plan.update(lost, WORK_S, 0.1)
        assert {plan.choose(object_hash) for object_hash in OBJECTS} == {
            "large"
        }
