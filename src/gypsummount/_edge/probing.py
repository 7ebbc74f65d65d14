"""Health probes of upstreams that may have restarted unnoticed."""

from asyncio import Queue
from asyncio import sleep
from asyncio import TaskGroup
from random import random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._edge.backends import Backend
from gypsummount._edge.replica import Replica
from gypsummount._edge.wire import Wire
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamAnswer

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
# Limit for the probes of one upstream by the instances of its region, and
# again for those by all other instances.
MAX_PROBES_PER_S = 8.0

_log = get_logger("probing")


class Prober:
    """Probes the health of suspected upstreams at a limited rate.

    Only upstreams that a request would go to are probed.  In a large
    fleet the probes are spread over time, because they are work for a
    cold upstream.
    """

    def __init__(self, replica: Replica, wire: Wire, region: str) -> None:
        self._replica = replica
        self._wire = wire
        self._region = region
        self._local_count = 1
        self._total_count = 1
        self._queue: Queue[Backend] = Queue()

    def set_fleet_size(self, local_count: int, total_count: int) -> None:
        """Set the number of instances in this region and in the fleet."""
        self._local_count = local_count
        self._total_count = total_count

    def request_probe(self, backend: Backend, now: float) -> None:
        """Queue a probe, at most one per upstream and probe interval."""
        if now - backend.probed_at < PROBE_INTERVAL_S:
            return
        backend.probed_at = now
        self._queue.put_nowait(backend)

    async def run(self) -> None:
        """Send the queued probes until cancelled."""
        async with TaskGroup() as group:
            while True:
                backend = await self._queue.get()
                group.create_task(self._run_probe(backend))

    async def _run_probe(self, backend: Backend) -> None:
        try:
            await self._probe(backend)
        except ExchangeError as error:
            _log.info(
                "Health probe of %s failed; its state is unchanged: %s",
                backend.record.name,
                error,
            )
        except Exception:
            _log.exception(
                "Health probe of %s failed unexpectedly.", backend.record.name
            )

    async def _probe(self, backend: Backend) -> None:
        is_local = backend.region == self._region
        instances = self._local_count if is_local else self._total_count
        spread_s = instances / MAX_PROBES_PER_S - 1.0
        if spread_s > 0:
            await sleep(random() * spread_s)
        if not backend.load.is_suspected(read_monotonic()):
            return
        path = self._get_health_path(backend)
        if not path or not backend.may_send(read_monotonic()):
            return
        request = self._wire.build_health_request(path)
        answer = await backend.pool.send(
            request, PROBE_TIMEOUT_S, repeatable=True, new_only=True
        )
        self._apply_answer(backend, answer)

    def _apply_answer(self, backend: Backend, answer: UpstreamAnswer) -> None:
        report = self._wire.read_health(answer)
        if report is None or report.upstream != backend.record.name:
            return
        # An evacuation began meanwhile: the upstream is cold when it ends.
        if not backend.is_usable:
            return
        backend.load.record_health_check(read_monotonic(), report.cold_s)
        if report.cold_s > 0:
            _log.info(
                "Upstream %s says that it is cold.",
                backend.record.name,
                extra={"for_s": round(report.cold_s, 2)},
            )

    def _get_health_path(self, backend: Backend) -> str:
        catalog = self._replica.catalog
        service = catalog.services.get(backend.record.service)
        return service.health_path if service is not None else ""
