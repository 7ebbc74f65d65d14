"""Health probes of suspected upstreams, and the effect of answers."""

from asyncio import create_task
from asyncio import sleep
from types import SimpleNamespace

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.catalog import EdgeService
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.sanitizing import Header
from gypsummount._core.upstream_load import ColdReason
from gypsummount._core.upstream_load import UpstreamLoad
from gypsummount._edge.backends import Backend
from gypsummount._edge.probing import PROBE_INTERVAL_S
from gypsummount._edge.probing import Prober
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount.platform.wire import PlatformWire

SERVICE = EdgeService("s", 3.0, 24.0, "/health")


class AnsweringPool:
    """Gives the same answer, or raises the same error, for every probe."""

    def __init__(self, outcome, before=None):
        self._outcome = outcome
        self._before = before
        self.probes = 0

    async def send(self, request, timeout_s, *, repeatable, new_only):
        self.probes += 1
        if self._before is not None:
            self._before()
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome


def create_answer(upstream="u", cold_ms=0):
    headers = [
        Header("Gypsummount-Instance-Id", upstream),
        Header("Gypsummount-Cold-Milliseconds", str(cold_ms)),
    ]
    return UpstreamAnswer(200, "OK", headers, b"")


def create_backend(pool):
    record = UpstreamRecord("u", "s", "10.0.0.1:80", "a1", "v1", 4, True)
    backend = Backend(UpstreamLoad(record), pool, "a")
    backend.load.mark_suspected(read_monotonic(), 3.0, ColdReason.FIRST_SIGHT)
    return backend


@pytest.fixture
async def prober():
    catalog = SimpleNamespace(services={"s": SERVICE})
    created = Prober(SimpleNamespace(catalog=catalog), PlatformWire(), "a")
    task = create_task(created.run())
    yield created
    task.cancel()


async def probe(prober, backend, now=None):
    prober.request_probe(backend, read_monotonic() if now is None else now)
    await sleep(0.02)


class TestProber:
    async def test_report_of_a_warm_upstream_ends_the_suspicion(self, prober):
        backend = create_backend(AnsweringPool(create_answer()))
        await probe(prober, backend)
        assert not backend.load.is_cold(read_monotonic())

    async def test_report_of_a_cold_upstream_is_applied(self, prober):
        backend = create_backend(AnsweringPool(create_answer(cold_ms=2000)))
        await probe(prober, backend)
        now = read_monotonic()
        assert backend.load.is_cold(now + 1.9)
        assert not backend.load.is_cold(now + 2.1)

    async def test_report_of_another_upstream_is_ignored(self, prober):
        backend = create_backend(AnsweringPool(create_answer("other")))
        await probe(prober, backend)
        assert backend.load.is_cold(read_monotonic())

    async def test_report_that_crosses_an_evacuation_is_ignored(self, prober):
        """Guards against overload of upstreams after an evacuation.

        An answer sent before it began would end the cold state that
        has to apply after its end.
        """

        def evacuate():
            backend.is_usable = False
            backend.load.cold_until = float("inf")

        pool = AnsweringPool(create_answer(), evacuate)
        backend = create_backend(pool)
        await probe(prober, backend)
        assert backend.load.cold_until == float("inf")

    async def test_upstream_is_probed_once_per_interval(self, prober):
        pool = AnsweringPool(create_answer(cold_ms=2000))
        backend = create_backend(pool)
        now = read_monotonic()
        for step in range(10):
            await probe(prober, backend, now + step * PROBE_INTERVAL_S / 10)
        assert pool.probes == 1

    async def test_large_fleet_spreads_its_probes(self, prober):
        """Guards against overload of a cold upstream by health probes."""
        prober.set_fleet_size(local_count=400, total_count=1200)
        pools = [AnsweringPool(create_answer()) for _ in range(50)]
        for pool in pools:
            prober.request_probe(create_backend(pool), read_monotonic())
        await sleep(0.1)
        assert sum(pool.probes for pool in pools) <= 5

    async def test_cleared_upstream_is_not_probed(self, prober):
        pool = AnsweringPool(create_answer())
        backend = create_backend(pool)
        backend.load.record_health_check(read_monotonic(), 0.0)
        await probe(prober, backend)
        assert pool.probes == 0

    @pytest.mark.parametrize(
        "fault", [ExchangeError("x", sent=True), TypeError("x")]
    )
    async def test_prober_continues_after_any_error(self, prober, fault):
        await probe(prober, create_backend(AnsweringPool(fault)))
        backend = create_backend(AnsweringPool(create_answer()))
        await probe(prober, backend)
        assert not backend.load.is_cold(read_monotonic())
