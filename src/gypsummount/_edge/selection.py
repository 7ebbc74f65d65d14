"""Selection of an upstream for each request, with a queue if all are full."""

from dataclasses import dataclass
from dataclasses import field
from random import random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.backlog import ColdSign
from gypsummount._core.backlog import ServiceWork
from gypsummount._core.placement import add_expected
from gypsummount._core.placement import mix_hashes
from gypsummount._core.placement import RegionLoad
from gypsummount._core.placement import RegionPlan
from gypsummount._core.warming import Warming
from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Backends
from gypsummount._edge.backends import Need
from gypsummount._edge.belief import Belief
from gypsummount._edge.probing import Prober
from gypsummount._edge.waiting import Pick
from gypsummount._edge.waiting import WaitingQueue
from gypsummount._edge.waiting import Wish
from gypsummount.errors import NoCapacity

WAIT_PART = 0.6  # of the latency objective
LATE_RANK = 1_000_000  # serves late requests after all others
DEMAND_WEIGHT = 0.3  # of the latest sample in the average
MOST_PLACES = 2
LEAST_DEMAND = 1.0
SETTLE_S = 3.0  # after a start, plans take their target at once
RETRY_S = 0.2
RETRY_SPREAD_S = 0.3
MAX_RANKS = 20_000
# A longer gap between two calls means that the process was suspended.
WAKE_GAP_S = 1.0
# How often an isolated instance suspects a restart of all upstreams.
ISOLATION_GAP_S = 0.5

_log = get_logger("selection")


@dataclass(slots=True, frozen=True)
class _RankName:
    service: str
    region: str
    hashed: int


@dataclass(slots=True)
class _ServiceView:
    """Demand, region plan, queue and upstreams of one service."""

    plan: RegionPlan
    waiting: WaitingQueue
    by_region: dict[str, list[Backend]] = field(default_factory=dict)
    asked: int = 0
    demand: float = 0.0
    work: ServiceWork = field(default_factory=ServiceWork)


class Selection:
    """Chooses upstreams by region plan, affinity, load and rate limit."""

    def __init__(
        self,
        belief: Belief,
        region: str,
        regions: dict[str, str],
        prober: Prober,
    ) -> None:
        self._belief = belief
        self._prober = prober
        self._region = region
        self._regions = regions
        self._backends = Backends(belief, region, regions)
        self._services: dict[str, _ServiceView] = {}
        self._ranks: dict[_RankName, list[Backend]] = {}
        self._seen_changes = -1
        self._number = 0
        self._peer_demand: dict[str, dict[str, float]] = {}
        self._warming = Warming("")
        self._measured_at = read_monotonic()
        self._settled_at = self._measured_at + SETTLE_S
        self._looked_at = self._measured_at
        self._isolated_at = float("-inf")

    def close(self) -> None:
        """Close all connections."""
        self._backends.close()

    def list_demand(self) -> dict[str, float]:
        """Return this instance's smoothed demand (requests/s) by service."""
        return {
            name: round(view.demand, 2)
            for name, view in self._services.items()
        }

    def follow_fleet(
        self,
        demand: dict[str, dict[str, float]],
        warming: Warming,
    ) -> None:
        """Apply peers' demand by region and service, and the warming plan."""
        self._peer_demand = demand
        if warming != self._warming:
            _log.info(
                "The instances that send to cold upstreams have changed.",
                extra={"instances": warming.by_region},
            )
        self._warming = warming

    def update(self) -> None:
        """Measure demand, update the region plans and serve the queues."""
        now = read_monotonic()
        self._refresh(now)
        span_s = max(0.05, now - self._measured_at)
        self._measured_at = now
        for name, view in self._services.items():
            current = view.asked / span_s
            view.asked = 0
            view.demand += (current - view.demand) * DEMAND_WEIGHT
            loads = self._list_loads(name, view)
            demand = sum(load.demand for load in loads.values())
            if demand < LEAST_DEMAND or now < self._settled_at:
                view.plan.reset()
            expected = add_expected(loads, view.work.first_s)
            view.plan.update(expected, view.work.first_s, now)
            self._serve_queue(view, now)

    def note_work(self, service: str, pick: Pick, work_s: float) -> None:
        """Record how long an upstream in this region took to answer.

        Latencies that include a wait in the upstream's queue are ignored.
        """
        view = self._services.get(service)
        has_waited = pick.load + 1 > pick.backend.record.slots
        if view is None or has_waited:
            return
        if pick.backend.region == self._region:
            view.work.observe(pick.position, work_s)

    async def take(
        self, need: Need, tried: frozenset[str], deadline: float
    ) -> Pick:
        """Return an upstream with free capacity, waiting a little for one.

        :raises NoCapacity: when none becomes free in time.
        """
        now = read_monotonic()
        self._refresh(now)
        view = self._services.get(need.service)
        if view is None:
            raise _build_full(need)
        if not tried:
            view.asked += 1
        pick = self._choose(view, need, tried, now)
        if pick is not None:
            pick.backend.load.note_start(now)
            return pick
        limit_s = min(need.objective_s * WAIT_PART, deadline - now)
        if limit_s <= 0 or not self._has_any(view, need):
            raise _build_full(need)
        pick = await view.waiting.wait(
            Wish(need, tried), _find_rank(view, need, now), limit_s
        )
        if pick is None:
            raise _build_full(need)
        return pick

    def note_isolation(self, now: float) -> None:
        """Suspect a restart of all upstreams while no updates arrive.

        An upstream is cold after an evacuation that this instance missed.
        """
        if now - self._isolated_at >= ISOLATION_GAP_S:
            self._isolated_at = now
            self._backends.doubt_all(now, ColdSign.ISOLATION)

    def note_unreachable(self, backend: Backend, now: float) -> None:
        """Record that no connection to an upstream could be opened."""
        cold_s = self._backends.find_cold(backend.record)
        backend.load.note_unreachable(now, cold_s)

    def note_broken(self, backend: Backend, now: float) -> None:
        """Record a broken exchange: the upstream may have restarted."""
        cold_s = self._backends.find_cold(backend.record)
        backend.load.note_doubt(now, cold_s, ColdSign.BROKEN_EXCHANGE)

    def release(self, backend: Backend) -> None:
        """Record the end of an exchange and serve waiting requests."""
        backend.load.note_end()
        view = self._services.get(backend.record.service)
        if view is not None:
            self._serve_queue(view, read_monotonic())

    def _give_back(self, pick: Pick) -> None:
        """Release an upstream that was assigned to a disconnected caller."""
        self.release(pick.backend)

    def _serve_queue(self, view: _ServiceView, now: float) -> None:
        """Assign upstreams with free capacity to waiting requests."""

        def choose(wish: Wish) -> Pick | None:
            pick = self._choose(view, wish.need, wish.tried, now)
            if pick is not None:
                pick.backend.load.note_start(now)
            return pick

        view.waiting.serve(choose)

    def _has_any(self, view: _ServiceView, need: Need) -> bool:
        return any(
            backend.fits(need, frozenset())
            for backends in view.by_region.values()
            for backend in backends
        )

    def _choose(
        self,
        view: _ServiceView,
        need: Need,
        tried: frozenset[str],
        now: float,
    ) -> Pick | None:
        home = self._choose_region(view, need)
        found = self._search(view, need, home, tried, now)
        if found is not None:
            return found
        if self._has_able(view, need, home, now):
            return None
        others = [name for name in view.by_region if name != home]
        others.sort(key=lambda name: name != self._region)
        for region in others:
            if need.regions and region not in need.regions:
                continue
            found = self._search(view, need, region, tried, now)
            if found is not None:
                return found
        return None

    def _choose_region(self, view: _ServiceView, need: Need) -> str:
        region = view.plan.choose(need.hashed)
        if not need.regions or region in need.regions:
            return region
        if self._region in need.regions:
            return self._region
        names = [name for name in view.by_region if name in need.regions]
        return min(names, default=self._region)

    def _search(
        self,
        view: _ServiceView,
        need: Need,
        region: str,
        tried: frozenset[str],
        now: float,
    ) -> Pick | None:
        """Return the upstream that is expected to answer first.

        The first upstream in an object's order usually knows the object
        (has answered for it recently) and so answers fast; the second
        helps out at the cost of extra work.  Others are considered only
        while neither knows the object.  An upstream that does not know
        it is used only while it is far from full: the extra work takes
        the place of several requests for objects that it knows.
        """
        best: Pick | None = None
        least_s = 0.0
        position = -1
        is_known = False
        for backend in self._rank(need, region):
            load = backend.load
            if not backend.fits(need, tried) or not load.can_take(now):
                continue
            position += 1
            if position >= MOST_PLACES and (is_known or best is not None):
                break
            knows = load.knows(need.hashed)
            is_known = is_known or knows
            estimate = load.estimate(now)
            if position > 0 and not knows and not load.has_spare(estimate):
                continue
            cost_s = view.work.find_cost(
                position, estimate, load.record.slots, need.due - now
            )
            if cost_s is None or (best is not None and cost_s >= least_s):
                continue
            if not self._has_pace(backend, now):
                continue
            best = Pick(backend, position, estimate)
            least_s = cost_s
        return best

    def _has_able(
        self, view: _ServiceView, need: Need, region: str, now: float
    ) -> bool:
        """Tell whether a region has working upstreams, full or not."""
        return any(
            backend.fits(need, frozenset()) and backend.load.can_take(now)
            for backend in view.by_region.get(region, ())
        )

    def _has_pace(self, backend: Backend, now: float) -> bool:
        """Tell whether a cold upstream's rate limit allows one request.

        Suspects silent upstreams and probes suspected ones.
        """
        load = backend.load
        if not load.is_cold(now):
            if not load.is_silent(now):
                return True
            cold_s = self._backends.find_cold(backend.record)
            load.note_doubt(now, cold_s, ColdSign.SILENCE)
        if load.is_doubted(now):
            self._prober.ask(backend, now)
        rate = self._find_cold_rate(backend)
        if rate <= 0:
            return True
        pace = self._warming.find_pace(backend.region, load.seed, rate)
        return load.has_pace(now, pace)

    def _find_cold_rate(self, backend: Backend) -> float:
        """Return a cold upstream's rate limit (1/s); 0 means no limit."""
        catalog = self._belief.catalog
        service = catalog.services.get(backend.record.service)
        return service.cold_rate if service is not None else 0.0

    def _rank(self, need: Need, region: str) -> list[Backend]:
        name = _RankName(need.service, region, need.hashed)
        ranked = self._ranks.get(name)
        if ranked is None:
            if len(self._ranks) > MAX_RANKS:
                self._ranks.clear()
            view = self._services[need.service]
            ranked = sorted(
                view.by_region.get(region, ()),
                key=lambda one: mix_hashes(need.hashed, one.load.seed),
                reverse=True,
            )
            self._ranks[name] = ranked
        return ranked

    def _list_loads(
        self, service: str, view: _ServiceView
    ) -> dict[str, RegionLoad]:
        loads = {}
        for region in set(self._regions.values()):
            backends = view.by_region.get(region, ())
            slots = sum(one.record.slots for one in backends)
            demand = self._peer_demand.get(region, {}).get(service, 0.0)
            if region == self._region:
                demand += view.demand
            loads[region] = RegionLoad(demand, float(slots))
        return loads

    def _refresh(self, now: float) -> None:
        """Apply what changed in the replica since the last call."""
        if now - self._looked_at > WAKE_GAP_S:
            self._backends.doubt_all(now, ColdSign.WAKING)
        self._looked_at = now
        if self._seen_changes == self._belief.changes:
            return
        self._seen_changes = self._belief.changes
        self._ranks.clear()
        self._backends.follow(now)
        self._follow_services()

    def _follow_services(self) -> None:
        for view in self._services.values():
            view.by_region = {}
        for backend in self._backends:
            service = backend.record.service
            view = self._services.get(service)
            if view is None:
                view = _ServiceView(
                    RegionPlan(self._region), WaitingQueue(self._give_back)
                )
                self._services[service] = view
            if backend.is_usable:
                view.by_region.setdefault(backend.region, []).append(backend)


def _find_rank(view: _ServiceView, need: Need, now: float) -> int:
    """Return the rank of a request, behind all others if it is late."""
    is_late = now + view.work.first_s > need.due
    return need.rank + (LATE_RANK if is_late else 0)


def _build_full(need: Need) -> NoCapacity:
    error = NoCapacity(
        f"no upstream of {need.service} has room; come back later"
    )
    error.retry_after_s = RETRY_S + random() * RETRY_SPREAD_S
    return error
