"""Rollouts go on when the store was restored from an older copy."""

import pytest

from gypsummount._core.canary_analysis import Evidence
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.positions import combine_position
from gypsummount._core.restores import RESTORE_HOLD_S
from gypsummount._edge import rollouts as rollouts_module
from gypsummount._edge.rollouts import COMPLETED
from gypsummount._edge.rollouts import ROLLED_BACK
from gypsummount._edge.rollouts import Rollouts
from gypsummount._edge.rollouts import RUNNING
from gypsummount._edge.store_feed import Kind
from gypsummount.errors import StoreConflict
from tests.edge.test_restores import build_order
from tests.edge.test_restores import build_replica
from tests.edge.test_restores import build_upstream
from tests.edge.test_restores import change
from tests.edge.test_restores import list_kind
from tests.edge.test_restores import NOW

ANSWERS = 40


class WritingFeed:
    """Records the states that are written; the first may conflict."""

    def __init__(self):
        self.written = []
        self.conflicts = 0

    async def write_rollout_state(self, order, state):
        if self.conflicts:
            self.conflicts -= 1
            raise StoreConflict("the object has changed")
        self.written.append((order.revision, state))


class Clock:
    """The boot clock of the module under test."""

    def __init__(self, monkeypatch):
        self.now = NOW
        monkeypatch.setattr(
            rollouts_module, "read_monotonic", lambda: self.now
        )


class Service:
    """A service with upstreams of two versions and an order."""

    def __init__(self, clock):
        self.clock = clock
        self.feed = WritingFeed()
        self.replica = build_replica()
        self.rollouts = Rollouts("n1", self.replica, self.feed)
        change(self.replica, build_upstream(1, 101))
        assert self.rollouts.get_versions("s") == {"v1"}

    def order(self, era, revision, target="v2", state=""):
        change(self.replica, build_order(era, revision, target, state))
        self.refresh()

    def refresh(self):
        """Look at the orders, as the process does three times a second."""
        return self.rollouts.is_active

    def restore(self, *records, era=2):
        list_kind(
            self.replica,
            Kind.ROLLOUT,
            era,
            99,
            *records,
            now=self.clock.now,
        )
        self.refresh()

    def pass_time(self, seconds):
        self.clock.now += seconds
        self.replica.remove_expired(self.clock.now)
        self.refresh()

    def get_canary(self):
        return self.rollouts.get_canary("s")

    async def advance(self, *, is_first=True):
        await self.rollouts.advance([], is_first=is_first)


@pytest.fixture
def service(monkeypatch):
    return Service(Clock(monkeypatch))


def build_evidence(created, answers, failures=0):
    return Evidence("s", created, "read", answers, failures, 0, 0, 100, 0)


class TestRunningOrders:
    def test_order_written_again_goes_on(self, service):
        """Guards against a rollout that begins anew with all its time."""
        service.order(1, 110)
        canary = service.get_canary()
        evidence = build_evidence(combine_position(1, 110), ANSWERS)
        canary.add_evidence("n2", evidence)
        service.pass_time(2.0)
        service.restore()
        assert service.get_canary() is canary
        service.pass_time(1.0)
        service.order(2, 105)
        assert service.get_canary() is canary
        assert canary.order.revision == combine_position(2, 105)
        assert canary.compute_elapsed(service.clock.now) == 3.0

    def test_order_written_again_after_the_hold_goes_on(self, service):
        service.order(1, 110)
        canary = service.get_canary()
        service.restore()
        service.pass_time(RESTORE_HOLD_S + 1.0)
        assert service.get_canary() is None
        service.order(2, 105)
        assert service.get_canary() is canary

    def test_veto_survives(self, service):
        service.order(1, 110)
        service.get_canary().veto = Veto("s", 1, "too many errors")
        service.restore()
        service.order(2, 105)
        assert not service.get_canary().choose_new(service.clock.now)

    def test_other_target_is_another_rollout(self, service):
        service.order(1, 110)
        service.get_canary().veto = Veto("s", 1, "too many errors")
        service.restore()
        service.order(2, 105, "v3")
        assert service.get_canary().veto is None

    def test_evidence_counts_under_both_creations(self, service):
        """Guards against a veto that waits until all know the restore."""
        service.order(1, 110)
        service.restore()
        service.order(2, 105)
        canary = service.get_canary()
        for created in (combine_position(1, 110), combine_position(2, 105)):
            canary.add_evidence(
                f"n{created}", build_evidence(created, ANSWERS, ANSWERS)
            )
        assert canary.veto is not None
        other = build_evidence(combine_position(1, 77), 1000)
        canary.add_evidence("n9", other)
        assert canary._analyser.answers == 2 * ANSWERS

    async def test_state_that_is_lost_is_written_again(self, service):
        service.order(1, 110)
        service.order(1, 111, state=RUNNING)
        service.restore(build_order(2, 98, "v2"))
        await service.advance()
        assert service.feed.written == [(combine_position(2, 98), RUNNING)]

    async def test_nothing_is_written_while_the_order_is_lost(self, service):
        service.order(1, 110)
        service.restore()
        await service.advance()
        assert service.feed.written == []


class TestSettledOrders:
    @pytest.mark.parametrize("state", [COMPLETED, ROLLED_BACK])
    async def test_lost_state_is_written_again(self, service, state):
        """Guards against a settled rollout that is reopened."""
        service.order(1, 110)
        service.order(1, 111, state=state)
        versions = service.rollouts.get_versions("s")
        service.restore(build_order(2, 98, "v2", RUNNING))
        assert service.get_canary() is None
        assert service.rollouts.get_versions("s") == versions
        assert service.rollouts.is_active
        await service.advance()
        assert service.feed.written == [(combine_position(2, 98), state)]
        service.order(2, 106, state=state)
        assert not service.rollouts.is_active

    async def test_order_written_again_stays_settled(self, service):
        service.order(1, 110)
        service.order(1, 111, state=ROLLED_BACK)
        service.restore()
        service.pass_time(RESTORE_HOLD_S + 1.0)
        service.order(2, 105)
        assert service.get_canary() is None
        await service.advance()
        assert service.feed.written == [
            (combine_position(2, 105), ROLLED_BACK)
        ]

    async def test_first_instance_that_does_not_know_is_replaced(
        self, service
    ):
        """Guards against a state that nobody writes.

        The first instance has started after the restore.
        """
        service.order(1, 111, state=ROLLED_BACK)
        service.restore(build_order(2, 98, "v2"))
        await service.advance(is_first=False)
        assert service.feed.written == []
        service.pass_time(rollouts_module.REPEAT_DELAY_S)
        await service.advance(is_first=False)
        assert len(service.feed.written) == 1

    async def test_conflict_is_tried_again(self, service):
        service.order(1, 111, state=ROLLED_BACK)
        service.restore(build_order(2, 98, "v2"))
        service.feed.conflicts = 1
        await service.advance()
        await service.advance()
        assert len(service.feed.written) == 1


class TestStoreWithoutEras:
    def test_order_created_anew_is_a_new_attempt(self, service):
        replica = service.replica
        replica.revisions.clear()
        replica.rollouts["s"] = RolloutOrder("s", "v2", 16.0, 8, 8)
        replica.changes += 1
        first = service.get_canary()
        replica.rollouts["s"] = RolloutOrder("s", "v2", 16.0, 9, 9)
        replica.changes += 1
        assert service.get_canary() is not first
