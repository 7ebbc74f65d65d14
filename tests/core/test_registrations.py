"""Heartbeats of upstreams that arrive out of order."""

from dataclasses import replace

import pytest

from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.registrations import RegistrationOrder

FIRST = UpstreamRecord(
    "u", "s", "10.0.0.1:80", "a1", "v1", 4, True, 0.0, 1000, 7
)
SECOND = replace(FIRST, started_ms=9000, sequence=1)


@pytest.fixture
def order():
    return RegistrationOrder()


class TestRegistrationOrder:
    def test_heartbeat_of_an_earlier_start_is_outdated(self, order):
        """Guards against cold upstreams that are taken for warm ones.

        This happens when a delayed heartbeat of an earlier start
        replaces the registration of the present one.
        """
        assert not order.is_outdated(SECOND, FIRST)
        assert order.is_outdated(FIRST, SECOND)

    def test_earlier_heartbeat_of_the_same_start_is_outdated(self, order):
        """Guards against draining upstreams that are used again.

        This happens when a delayed heartbeat that reports readiness
        replaces the later one that does not.
        """
        draining = replace(FIRST, is_ready=False, sequence=8)
        assert order.is_outdated(FIRST, draining)
        assert not order.is_outdated(draining, FIRST)

    def test_start_by_a_clock_that_was_set_back_is_accepted(self, order):
        started = replace(SECOND, started_ms=500)
        following = replace(started, sequence=2)
        assert order.is_outdated(started, FIRST)
        assert not order.is_outdated(following, FIRST)

    def test_old_heartbeat_that_is_read_twice_is_not_accepted(self, order):
        assert order.is_outdated(FIRST, SECOND)
        assert order.is_outdated(FIRST, SECOND)

    def test_unknown_starts_are_not_compared(self, order):
        unknown = replace(FIRST, started_ms=0, sequence=0)
        assert not order.is_outdated(unknown, SECOND)
