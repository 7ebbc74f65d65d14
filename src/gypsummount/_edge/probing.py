"""Health probes of upstreams that may have restarted unnoticed."""

from asyncio import Queue
from asyncio import sleep
from asyncio import TaskGroup
from random import random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._edge.backends import Backend
from gypsummount._edge.belief import Belief
from gypsummount._edge.wire import Wire
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamAnswer

ASK_GAP_S = 0.5
ANSWER_LIMIT_S = 1.0
# Probes of one upstream by instances of its region, and by all others.
ASKED_PER_S = 8.0

_log = get_logger("probing")


class Prober:
    """Probes the health of suspected upstreams at a limited rate.

    Only upstreams that a request would go to are probed.  In a large
    fleet the probes are spread over time, because they are work for a
    cold upstream.
    """

    def __init__(self, belief: Belief, wire: Wire, region: str) -> None:
        self._belief = belief
        self._wire = wire
        self._region = region
        self._near = 1
        self._all = 1
        self._wanted: Queue[Backend] = Queue()

    def follow_fleet(self, near: int, everywhere: int) -> None:
        """Set the number of instances in this region and in the fleet."""
        self._near = near
        self._all = everywhere

    def ask(self, backend: Backend, now: float) -> None:
        """Queue a probe of an upstream, unless one was queued lately."""
        if now - backend.asked_at < ASK_GAP_S:
            return
        backend.asked_at = now
        self._wanted.put_nowait(backend)

    async def run(self) -> None:
        """Send the queued probes, for ever."""
        async with TaskGroup() as group:
            while True:
                backend = await self._wanted.get()
                group.create_task(self._ask(backend))

    async def _ask(self, backend: Backend) -> None:
        try:
            await self._ask_later(backend)
        except ExchangeError as error:
            _log.info(
                "Health probe of %s failed: %s", backend.record.name, error
            )
        except Exception:
            _log.exception(
                "Health probe of %s failed unexpectedly.", backend.record.name
            )

    async def _ask_later(self, backend: Backend) -> None:
        is_near = backend.region == self._region
        asking = self._near if is_near else self._all
        spread_s = asking / ASKED_PER_S - 1.0
        if spread_s > 0:
            await sleep(random() * spread_s)
        if not backend.load.is_doubted(read_monotonic()):
            return
        path = self._find_path(backend)
        if not path or not backend.is_usable:
            return
        request = self._wire.build_health_request(path)
        answer = await backend.pool.send(
            request, ANSWER_LIMIT_S, repeatable=True, new_only=True
        )
        self._take_answer(backend, answer)

    def _take_answer(self, backend: Backend, answer: UpstreamAnswer) -> None:
        report = self._wire.read_health(answer)
        if report is None or report.upstream != backend.record.name:
            return
        # An evacuation began meanwhile: the upstream is cold when it ends.
        if not backend.is_usable:
            return
        backend.load.note_health(read_monotonic(), report.cold_s)
        if report.cold_s > 0:
            _log.info(
                "Upstream %s says that it is cold.",
                backend.record.name,
                extra={"for_s": round(report.cold_s, 2)},
            )

    def _find_path(self, backend: Backend) -> str:
        catalog = self._belief.catalog
        service = catalog.services.get(backend.record.service)
        return service.health_path if service is not None else ""
