"""Upstreams of one service in two regions, for tests of the selection."""

from gypsummount._core.catalog import CallerLimits
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import EdgeService
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.freshness import FreshnessProof
from gypsummount._edge.backends import Need
from gypsummount._edge.replica import Replica

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
SLOTS = 4
LOCAL_UPSTREAMS = 6


def create_record(name, domain, *, is_ready=True, cold_s=0.0, started_ms=0):
    return UpstreamRecord(
        name,
        "s",
        f"127.0.0.1:{9000 + int(name)}",
        domain,
        "v1",
        SLOTS,
        is_ready,
        cold_s,
        started_ms,
    )


def create_need(
    object_hash, *, due_at=float("inf"), regions=frozenset(), rank=1
):
    return Need("s", frozenset(), regions, object_hash, rank, due_at, 0.3)


def create_replica():
    created = Replica(None, FreshnessProof(4.0))
    created.catalog = Catalog(1, CallerLimits(15.0, 1000))
    created.catalog.services["s"] = EdgeService("s", 3.0, 24.0)
    for number in range(8):
        domain = ("a1", "a2")[number % 2] if number < 6 else "b1"
        created.upstreams[str(number)] = create_record(str(number), domain)
    created.changes = 1
    return created


async def acquire(selection, need, tried=frozenset()):
    return await selection.acquire(need, tried, need.due_at)
