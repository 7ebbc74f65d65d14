"""Versions that requests may use while orders follow each other."""

from dataclasses import replace

import pytest

from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.freshness import FreshnessProof
from gypsummount._edge.replica import Replica
from gypsummount._edge.rollouts import COMPLETED
from gypsummount._edge.rollouts import ROLLED_BACK
from gypsummount._edge.rollouts import Rollouts
from gypsummount._edge.rollouts import RUNNING
from tests.edge.test_selection import create_record


class Service:
    """A service whose upstreams and orders change."""

    def __init__(self):
        self.replica = Replica(None, FreshnessProof(4.0))
        self.rollouts = Rollouts("n1", self.replica, None)

    def add_upstreams(self, version, first, count=4):
        for number in range(first, first + count):
            record = create_record(str(number), "a1")
            self.replica.upstreams[str(number)] = replace(
                record, version=version
            )
        self.replica.changes += 1

    def order(self, target, state="", state_version=""):
        """Write the entry of the order; its creation stays the same."""
        self.replica.rollouts["s"] = RolloutOrder(
            "s", target, 16.0, 1, 1, state, state_version
        )
        self.replica.changes += 1

    @property
    def versions(self):
        return self.rollouts.get_versions("s")


@pytest.fixture
def service():
    created = Service()
    created.add_upstreams("v1", 0)
    assert created.versions == {"v1"}
    return created


class TestBaseline:
    def test_replaced_target_does_not_become_an_old_version(self, service):
        """Guards against full traffic to a version that was never proved."""
        service.order("v2")
        service.add_upstreams("v2", 10)
        assert service.versions == {"v1"}
        service.order("v3", RUNNING, "v2")
        service.add_upstreams("v3", 20)
        assert service.versions == {"v1"}

    def test_completed_target_is_the_old_version_of_the_next(self, service):
        service.order("v2")
        service.add_upstreams("v2", 10)
        service.order("v2", COMPLETED, "v2")
        assert service.versions == {"v2"}
        service.order("v3", COMPLETED, "v2")
        service.add_upstreams("v3", 20)
        assert service.versions == {"v2"}

    def test_old_version_returns_after_a_rollback(self, service):
        service.order("v2")
        service.add_upstreams("v2", 10)
        service.order("v2", ROLLED_BACK, "v2")
        assert service.versions == {"v1"}

    def test_target_serves_if_it_is_the_only_version(self, service):
        service.order("v2")
        service.add_upstreams("v2", 10)
        for number in range(4):
            del service.replica.upstreams[str(number)]
        service.replica.changes += 1
        assert service.versions == {"v2"}
