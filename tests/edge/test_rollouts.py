"""Versions that requests may use while orders follow each other."""

from dataclasses import replace

import pytest

from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.freshness import FreshnessProof
from gypsummount._edge.digests import build_datagram
from gypsummount._edge.digests import decode_digest
from gypsummount._edge.digests import encode_body
from gypsummount._edge.digests import NO_ECHO
from gypsummount._edge.replica import Replica
from gypsummount._edge.rollouts import COMPLETED
from gypsummount._edge.rollouts import ROLLED_BACK
from gypsummount._edge.rollouts import Rollouts
from gypsummount._edge.rollouts import RUNNING
from tests.edge.test_peers import build_digest
from tests.edge.upstreams import create_record


class Service:
    """A service whose upstreams and orders change."""

    def __init__(self):
        self.replica = Replica(None, FreshnessProof(4.0))
        self.rollouts = Rollouts("n1", self.replica, None)

    def add_upstreams(self, version, first, *, count=4, started_ms=0):
        for number in range(first, first + count):
            record = create_record(
                str(number),
                "a1",
                started_ms=started_ms and started_ms + number,
            )
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


class TestStart:
    """A process that starts while a service has several versions."""

    @pytest.fixture
    def started(self):
        created = Service()
        created.add_upstreams("v2", 0, count=5, started_ms=2000)
        created.add_upstreams("v1", 10, started_ms=1000)
        return created

    def tell(self, service, versions):
        """Apply a peer's digest with the old versions of the service."""
        digest = build_digest(2, "r1")
        digest = replace(digest, old_versions={"s": frozenset(versions)})
        datagram = build_datagram(NO_ECHO, encode_body(digest))
        service.rollouts.apply_old_versions(decode_digest(datagram))

    def test_version_that_started_first_is_the_old_one(self, started):
        """Guards against full traffic to upstreams ahead of their order."""
        assert started.versions == {"v1"}

    def test_peers_know_the_old_version(self, started):
        self.tell(started, ["v2"])
        assert started.versions == {"v2"}
        started.add_upstreams("v3", 20, started_ms=3000)
        assert started.versions == {"v2"}

    def test_known_old_version_is_not_changed_by_peers(self, service):
        service.add_upstreams("v2", 10)
        self.tell(service, ["v2"])
        assert service.versions == {"v1"}

    def test_peers_are_told_what_is_known_but_no_guess(self, started, service):
        service.add_upstreams("v2", 10)
        assert service.rollouts.list_old_versions() == {"s": {"v1"}}
        assert started.rollouts.list_old_versions() == {}

    def test_order_tells_the_target_but_not_the_old_version(self, started):
        started.add_upstreams("v3", 20, started_ms=3000)
        started.order("v3")
        assert started.versions == {"v1"}
