"""Selection of upstreams that are cold, or may be."""

import asyncio

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.catalog import EdgeService
from gypsummount._core.slow_start import SlowStartPlan
from gypsummount._core.upstream_load import ColdReason
from gypsummount._core.upstream_load import MIN_SILENCE_S
from gypsummount.errors import NoCapacity
from tests.edge.upstreams import acquire
from tests.edge.upstreams import create_need
from tests.edge.upstreams import create_record


class TestColdUpstreams:
    async def test_cold_upstream_is_rate_limited(self, selection, replica):
        for name, known in list(replica.upstreams.items()):
            replica.upstreams[name] = create_record(
                name, known.domain, cold_s=3.0
            )
        replica.changes += 1
        selection.apply_fleet_state(
            {}, SlowStartPlan("n1", {"a": ("n1", "n2", "n3")})
        )
        counts = {}
        for object_hash in range(400):
            try:
                pick = await asyncio.wait_for(
                    selection.acquire(
                        create_need(object_hash), frozenset(), 0.0
                    ),
                    1,
                )
            except NoCapacity:
                continue
            name = pick.backend.record.name
            counts[name] = counts.get(name, 0) + 1
            selection.release(pick.backend)
        assert max(counts.values()) <= 24 / 3
        assert "6" not in counts

    @pytest.mark.parametrize("started_ms", [0, 5])
    async def test_sends_before_the_registration_count_for_the_limit(
        self, selection, replica, started_ms
    ):
        """Guards against overload of an upstream just after its start.

        Its registration arrives late: requests sent before then count
        for the rate limit as well.
        """
        name = ""
        for _ in range(12):
            pick = await acquire(selection, create_need(7))
            name = pick.backend.record.name
            selection.release(pick.backend)
        domain = replica.upstreams[name].domain
        replica.upstreams[name] = create_record(
            name, domain, cold_s=3.0, started_ms=started_ms
        )
        replica.changes += 1
        selection.apply_fleet_state(
            {}, SlowStartPlan("n1", {"a": ("n1", "n2")})
        )
        for _ in range(20):
            pick = await acquire(selection, create_need(7))
            assert pick.backend.record.name != name
            selection.release(pick.backend)


class TestSuspectedUpstreams:
    def find_cold_names(self, selection):
        now = read_monotonic()
        return [
            backend.record.name
            for backend in selection._backends
            if backend.load.is_cold(now)
        ]

    async def test_upstream_counts_as_cold_when_first_seen(
        self, selection, replica
    ):
        """Guards against overload of cold upstreams by a new instance.

        It does not know yet which upstreams have just started.
        """
        replica.upstreams["9"] = create_record("9", "a1")
        replica.changes += 1
        selection.update()
        assert self.find_cold_names(selection) == ["9"]

    async def test_broken_exchange_makes_an_upstream_count_as_cold(
        self, selection
    ):
        """Guards against overload of an upstream that restarts unnoticed.

        A broken exchange may be the only sign of the restart.
        """
        pick = await acquire(selection, create_need(7))
        selection.record_broken_exchange(pick.backend, read_monotonic())
        assert self.find_cold_names(selection) == [pick.backend.record.name]

    async def test_silent_upstream_counts_as_cold(
        self, selection, monkeypatch
    ):
        """Guards against overload after a restart that breaks no exchange.

        The only sign is that an upstream stops answering.
        """
        first = await acquire(selection, create_need(7))
        later = read_monotonic() + 2 * MIN_SILENCE_S
        monkeypatch.setattr(
            "gypsummount._edge.selection.read_monotonic", lambda: later
        )
        await acquire(selection, create_need(7))
        assert first.backend.load.is_suspected(later)
        first.backend.load.record_health_check(later, 0.0)
        await acquire(selection, create_need(7))
        assert not first.backend.load.is_suspected(later)

    async def test_suspended_instance_suspects_all_upstreams(
        self, selection, monkeypatch
    ):
        """Guards against overload of cold upstreams by a resumed instance.

        Upstreams may have restarted while it was suspended.
        """
        later = read_monotonic() + 2.0
        monkeypatch.setattr(
            "gypsummount._edge.selection.read_monotonic", lambda: later
        )
        selection.update()
        assert len(selection._backends._by_name) == 8
        assert all(
            backend.load.is_cold(later) for backend in selection._backends
        )

    async def test_health_report_ends_the_suspicion(self, selection):
        pick = await acquire(selection, create_need(7))
        now = read_monotonic()
        selection.record_broken_exchange(pick.backend, now)
        pick.backend.load.record_health_check(now, 0.0)
        assert self.find_cold_names(selection) == []
        pick.backend.load.record_health_check(now, 1.5)
        assert pick.backend.load.cold_until == now + 1.5

    async def test_upstream_without_a_limit_is_never_limited(
        self, selection, replica
    ):
        replica.catalog.services["s"] = EdgeService("s", 3.0, None)
        for backend in selection._backends:
            selection.record_broken_exchange(backend, read_monotonic())
        selection.apply_fleet_state({}, SlowStartPlan("n1", {}))
        await acquire(selection, create_need(7))

    @pytest.mark.parametrize("services", [["s"], []])
    async def test_cold_upstream_with_a_limit_of_zero_gets_nothing(
        self, selection, replica, services
    ):
        """Guards against floods of upstreams that take no cold requests.

        It is the same for a service that the configuration has dropped.
        """
        replica.catalog.services.clear()
        for name in services:
            replica.catalog.services[name] = EdgeService(name, 3.0, 0.0)
        for backend in selection._backends:
            now = read_monotonic()
            backend.load.mark_cold(now, now + 3.0, ColdReason.REGISTRATION)
        with pytest.raises(NoCapacity):
            await acquire(selection, create_need(7))
