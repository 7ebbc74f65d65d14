"""Interface of the policies that select upstreams for a service."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from random import random

from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Need
from gypsummount._edge.cold_limits import ColdLimits
from gypsummount._edge.service_state import ServiceState
from gypsummount._edge.upstream_orders import UpstreamOrders
from gypsummount._edge.waiting import Pick
from gypsummount._edge.wire import LoadReport
from gypsummount._edge.work_queue import QueueLimit
from gypsummount.errors import NoCapacity

RETRY_AFTER_S = 0.2
RETRY_AFTER_JITTER_S = 0.3


@dataclass(slots=True, frozen=True)
class PolicyTools:
    """What the policies of all services share.

    ``region`` is the region of this instance.  ``release_pick`` releases
    an upstream that was assigned to a request just as its caller
    disconnected.  ``queue_limit`` is that of the queues by work.
    """

    region: str
    release_pick: Callable[[Pick], None]
    orders: UpstreamOrders
    cold_limits: ColdLimits
    queue_limit: QueueLimit


@dataclass(slots=True, frozen=True)
class QueueReport:
    """Waiting requests, their expected wait (s), and refusals so far.

    ``refused_early`` were refused at once or soon, ``refused_late`` after
    a longer wait.
    """

    waiting: int
    expected_wait_s: float
    refused_early: int
    refused_late: int


class SelectionPolicy(ABC):
    """Selects upstreams for one service and queues what finds no room.

    ``state`` holds the service's upstreams and region plan.  All times
    are boot-clock seconds.  ``uses_speed`` tells whether the policy uses
    the speed that upstreams report.
    """

    uses_speed = False

    def __init__(self, state: ServiceState, tools: PolicyTools) -> None:
        self.state = state
        self._tools = tools

    @abstractmethod
    async def acquire(
        self, need: Need, tried: frozenset[str], deadline: float, now: float
    ) -> Pick:
        """Return an upstream with free capacity; wait if all are full.

        :raises NoCapacity: if none is free in time.
        """

    @abstractmethod
    def release(self, backend: Backend, pick: Pick | None, now: float) -> None:
        """Serve waiting requests after the end of an exchange.

        ``pick`` is what :meth:`acquire` returned, or None if unknown.
        """

    @abstractmethod
    def update(self, now: float) -> None:
        """Serve waiting requests, as capacity may have become free."""

    def start_granted(self, pick: Pick, need: Need, now: float) -> Pick:
        """Start a request at an upstream that a dispatcher has selected."""
        pick.backend.load.record_start(now)
        return pick

    def get_queue_report(self) -> QueueReport | None:
        """Return figures about the queue, or None if none are kept."""
        return None

    def check_capacity(self, need: Need, deadline: float, now: float) -> None:
        """Check that waiting for an upstream is not known to be in vain.

        :raises NoCapacity: if it is.
        """
        return

    def record_load(
        self, backend: Backend, report: LoadReport, now: float
    ) -> None:
        """Record the load that an upstream reported with an answer."""
        backend.load.record_load_report(report.running, report.waiting, now)

    def record_latency(self, pick: Pick, need: Need, latency_s: float) -> None:
        """Record how long (s) an upstream in this region took to answer.

        Latencies that include a wait in the upstream's queue are ignored.
        """
        has_waited = pick.load + 1 > pick.backend.record.slots
        if not has_waited and pick.backend.region == self._tools.region:
            self.state.work.observe(pick.position, latency_s)

    def _choose(
        self, need: Need, tried: frozenset[str], now: float
    ) -> Pick | None:
        """Return an upstream of the planned region, or of others.

        Other regions are used only while the planned one has no upstream
        that is available, full or not.
        """
        state = self.state
        own = self._tools.region
        planned = state.choose_region(need, own)
        found = self._choose_in(planned, need, tried, now)
        if found is not None or state.has_available(need, planned, now):
            return found
        for region in state.list_other_regions(need, planned, own):
            found = self._choose_in(region, need, tried, now)
            if found is not None:
                return found
        return None

    @abstractmethod
    def _choose_in(
        self, region: str, need: Need, tried: frozenset[str], now: float
    ) -> Pick | None:
        """Return the best upstream of a region that has room, or None."""


def build_no_capacity(need: Need) -> NoCapacity:
    """Return the error for a request that found no upstream with room."""
    error = NoCapacity(
        f"no upstream of {need.service} has room; come back later"
    )
    error.retry_after_s = RETRY_AFTER_S + random() * RETRY_AFTER_JITTER_S
    return error
