"""Fixtures of a selection among upstreams that are warm."""

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.slow_start import SlowStartPlan
from gypsummount._edge.probing import Prober
from gypsummount._edge.selection import Selection
from tests.edge.upstreams import create_replica
from tests.edge.upstreams import REGIONS


@pytest.fixture
def replica():
    return create_replica()


@pytest.fixture
def selection(replica):
    created = Selection(replica, "a", REGIONS, Prober(replica, None, "a"))
    created.apply_fleet_state({}, SlowStartPlan("n1", {"a": ("n1",)}))
    created.update()
    for backend in created._backends:
        backend.load.record_health_check(read_monotonic(), 0.0)
    yield created
    created.close()
