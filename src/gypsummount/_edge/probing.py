"""Questions to upstreams that may be cold without our knowledge."""

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
# Questions that one upstream gets from its region, and from all others.
ASKED_PER_S = 8.0

_log = get_logger("probing")


class Prober:
    """Asks doubted upstreams for their health, each once in a while.

    Only those that a request would go to are asked.  In a large fleet
    the questions are spread out, since they are work for a cold one.
    """

    def __init__(self, belief: Belief, wire: Wire, region: str) -> None:
        self._belief = belief
        self._wire = wire
        self._region = region
        self._near = 1
        self._all = 1
        self._wanted: Queue[Backend] = Queue()

    def follow_fleet(self, near: int, everywhere: int) -> None:
        """Take how many instances the own region and the fleet have."""
        self._near = near
        self._all = everywhere

    def ask(self, backend: Backend, now: float) -> None:
        """Ask an upstream soon, unless it was asked lately."""
        if now - backend.asked_at < ASK_GAP_S:
            return
        backend.asked_at = now
        self._wanted.put_nowait(backend)

    async def run(self) -> None:
        """Ask whom requests would go to, for ever."""
        async with TaskGroup() as group:
            while True:
                backend = await self._wanted.get()
                group.create_task(self._ask(backend))

    async def _ask(self, backend: Backend) -> None:
        try:
            await self._ask_later(backend)
        except ExchangeError as error:
            _log.info("No word from %s: %s", backend.record.name, error)
        except Exception:
            _log.exception("Asking %s failed.", backend.record.name)

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
        # An evacuation that began meanwhile leaves it cold at its end.
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
