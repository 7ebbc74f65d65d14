"""Processor time of one selection, compared between the policies."""

from itertools import cycle

import pytest

from benchmarks.test_decisions import check_ratio
from benchmarks.test_decisions import time_best
from gypsummount._common.clocks import read_monotonic
from gypsummount._core.catalog import CallerLimits
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import EdgeService
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.freshness import FreshnessProof
from gypsummount._core.slow_start import SlowStartPlan
from gypsummount._edge.backends import Need
from gypsummount._edge.probing import Prober
from gypsummount._edge.replica import Replica
from gypsummount._edge.selection import Selection
from gypsummount._edge.wire import LoadReport

# A selection by work may take this multiple of the time of one by load.
MAX_RATIO = 1.5
SLOTS = 4
OBJECTS = 200
COUNT = 4_000


def create_selection(upstreams, in_flight, *, with_speed):
    """Return a selection that has seen answers for all objects."""
    replica = Replica(None, FreshnessProof(4.0))
    replica.catalog = Catalog(1, CallerLimits(15.0, 1000))
    replica.catalog.services["s"] = EdgeService("s", 0.0, None)
    for number in range(upstreams):
        name = f"u{number}"
        address = f"127.0.0.1:{9000 + number}"
        replica.upstreams[name] = UpstreamRecord(
            name, "s", address, "a1", "v1", SLOTS, True
        )
    replica.changes = 1
    prober = Prober(replica, None, "a")
    selection = Selection(replica, "a", {"a1": "a"}, prober)
    selection.apply_fleet_state({}, SlowStartPlan("n1", {"a": ("n1",)}))
    selection.update()
    now = read_monotonic()
    for number, backend in enumerate(selection._backends):
        figure = 70 + number % 8 * 10 if with_speed else None
        backend.load.in_flight = in_flight
        report = LoadReport(in_flight, 0, figure)
        selection.record_load(backend, report, now)
        backend.load.record_health_check(now, 0.0)
    selection.update()
    return selection


def measure(upstreams, in_flight, *, with_speed):
    """Return the seconds to select an upstream and to release it."""
    selection = create_selection(upstreams, in_flight, with_speed=with_speed)
    due_at = read_monotonic() + 1e6
    needs = [
        Need("s", frozenset(), frozenset(), number, 1, due_at, 0.4, "r", "w")
        for number in range(OBJECTS)
    ]
    following = cycle(needs)
    tried = frozenset()

    def select():
        need = next(following)
        try:
            selection.acquire(need, tried, due_at).send(None)
        except StopIteration as stop:
            pick = stop.value
        selection.release(pick.backend, pick)
        pick.backend.load.record_success(0.1, need.object_hash)
        selection.record_latency(need, pick, 0.1)
        selection.record_load(
            pick.backend, LoadReport(in_flight, 0, 100), read_monotonic()
        )

    measured_s = time_best(select, COUNT)
    selection.close()
    return measured_s


class TestSelection:
    @pytest.mark.parametrize("upstreams", [16, 78])
    @pytest.mark.parametrize("in_flight", [1, 4], ids=["free", "busy"])
    def test_selection_by_work(self, upstreams, in_flight):
        baseline_s = measure(upstreams, in_flight, with_speed=False)
        measured_s = measure(upstreams, in_flight, with_speed=True)
        name = f"selection of {upstreams}, {in_flight} in flight"
        check_ratio(name, measured_s, baseline_s, MAX_RATIO)
