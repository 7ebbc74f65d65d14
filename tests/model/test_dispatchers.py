"""Dispatchers in a large fleet in virtual time, with seeded faults."""

from asyncio import sleep

import pytest

from gypsummount._edge.selection import Selection
from tests.model.run import build_large_layout
from tests.model.run import run_seed

SIZE = 60
SETTLE_S = 6.0
MEASURE_S = 6.0
# Requests per second of one instance in the calm fleet.
LOAD = 4.0


@pytest.fixture(autouse=True)
def speeds(monkeypatch):
    """Upstreams state their speed, as far as the selection can tell."""
    monkeypatch.setattr(Selection, "has_speed", lambda self, service: True)


def sum_gauge(fleet, name):
    return sum(
        instance.process._dispatch.list_gauges()[name]
        for instance in fleet.instances.values()
        if instance.is_alive
    )


def count_dispatchers(fleet):
    regions = []
    for instance in fleet.instances.values():
        if instance.is_alive:
            own = instance.process._dispatch._ranks.list_own()
            regions += [instance.links.region] * own.count("s")
    return sorted(regions)


class TestFaults:
    @pytest.mark.parametrize("seed", range(3))
    def test_invariants_hold_with_dispatchers(self, seed):
        """Guards against floods of cold upstreams and lost requests."""
        assert run_seed(seed, layout=build_large_layout(40)) == []


class TestCalmFleet:
    def test_nearly_every_request_is_dispatched(self):
        found = {}

        async def measure(fleet, operator, random):
            await sleep(SETTLE_S)
            found["dispatchers"] = count_dispatchers(fleet)
            before = sum_gauge(fleet, "dispatch_asked")
            await sleep(MEASURE_S)
            found["asked"] = sum_gauge(fleet, "dispatch_asked") - before
            found["timed_out"] = sum_gauge(fleet, "dispatch_timed_out")
            found["expired"] = sum_gauge(fleet, "dispatch_expired")

        layout = build_large_layout(SIZE)
        assert run_seed(1, script=measure, load=LOAD, layout=layout) == []
        assert found["dispatchers"] == ["central", "guanacaste", "sur"]
        # Two requests a second each, less those of the dispatchers.
        assert found["asked"] > SIZE * 2.0 * MEASURE_S * 0.7
        assert found["timed_out"] == 0
        assert found["expired"] == 0
