"""Selection of an upstream for each request, with a queue if all are full."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from random import random

from gypsummount._common.body_account import BodyAccount
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.placement import add_expected
from gypsummount._core.placement import combine_hashes
from gypsummount._core.placement import RegionLoad
from gypsummount._core.placement import RegionPlan
from gypsummount._core.slow_start import SlowStartPlan
from gypsummount._core.upstream_load import ColdReason
from gypsummount._core.upstream_load import LoadObservation
from gypsummount._core.upstream_load import ProcessingTimes
from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Backends
from gypsummount._edge.backends import Need
from gypsummount._edge.probing import Prober
from gypsummount._edge.replica import Replica
from gypsummount._edge.selector import ExchangeResult
from gypsummount._edge.selector import Selector
from gypsummount._edge.waiting import Criteria
from gypsummount._edge.waiting import Pick
from gypsummount._edge.waiting import WaitingQueue
from gypsummount.errors import NoCapacity

# The longest wait for free capacity, relative to the latency objective.
MAX_WAIT_FRACTION = 0.6
LATE_RANK_OFFSET = 1_000_000  # serves late requests after all others
DEMAND_WEIGHT = 0.3  # smoothing factor of the average demand
MAX_PREFERRED = 2  # upstreams that an object prefers to all others
MIN_DEMAND_PER_S = 1.0
# For this long after the start, region plans jump to their targets.
SETTLE_S = 3.0
RETRY_AFTER_S = 0.2
RETRY_AFTER_JITTER_S = 0.3
MAX_CACHED_ORDERS = 20_000  # orders of upstreams kept before all are dropped
# A longer gap between two calls means that the process was suspended.
SUSPENSION_GAP_S = 1.0
# How often an isolated instance suspects a restart of all upstreams.
ISOLATION_INTERVAL_S = 0.5

_log = get_logger("selection")


@dataclass(slots=True, frozen=True)
class _OrderKey:
    service: str
    region: str
    object_hash: int


@dataclass(slots=True)
class _ServiceState:
    """Demand, region plan, queue and upstreams of one service."""

    plan: RegionPlan
    waiting: WaitingQueue
    by_region: dict[str, list[Backend]] = field(default_factory=dict)
    slots: Counter[str] = field(default_factory=Counter)
    new_requests: int = 0
    demand: float = 0.0
    work: ProcessingTimes = field(default_factory=ProcessingTimes)
    has_speed: bool = False


class Selection(Selector):
    """Chooses upstreams by region plan, affinity, load and rate limit."""

    def __init__(
        self,
        replica: Replica,
        region: str,
        regions: dict[str, str],
        prober: Prober,
        account: BodyAccount | None = None,
    ) -> None:
        self._replica = replica
        self._prober = prober
        self._region = region
        self._regions = regions
        self._backends = Backends(replica, region, regions, account)
        self._services: dict[str, _ServiceState] = {}
        self._orders: dict[_OrderKey, list[Backend]] = {}
        self._seen_changes = -1
        self._number = 0
        self._peer_demand: dict[str, dict[str, float]] = {}
        self._slow_start_plan = SlowStartPlan("")
        self._measured_at = read_monotonic()
        self._settled_at = self._measured_at + SETTLE_S
        self._refreshed_at = self._measured_at
        self._isolated_at = float("-inf")

    def close(self) -> None:
        """Close all connections."""
        self._backends.close()

    def list_demand(self) -> dict[str, float]:
        """Return this instance's smoothed demand (requests/s) by service."""
        return {
            name: round(state.demand, 2)
            for name, state in self._services.items()
        }

    def apply_fleet_state(
        self,
        demand: dict[str, dict[str, float]],
        slow_start_plan: SlowStartPlan,
    ) -> None:
        """Apply peers' demand by region and service, and a slow start plan."""
        self._peer_demand = demand
        if slow_start_plan != self._slow_start_plan:
            _log.info(
                "The instances that send to cold upstreams have changed.",
                extra={
                    "instances": {
                        region: len(names)
                        for region, names in slow_start_plan.by_region.items()
                    }
                },
            )
        self._slow_start_plan = slow_start_plan

    def list_loads(self) -> dict[str, LoadObservation]:
        """Return the loads of upstreams that were seen recently."""
        now = read_monotonic()
        observations = {
            backend.record.name: backend.load.get_report(now)
            for backend in self._backends
        }
        return {
            name: observation
            for name, observation in observations.items()
            if observation is not None
        }

    def apply_loads(
        self, loads: dict[str, LoadObservation], sent_at: float
    ) -> None:
        """Apply the loads that a peer saw.

        ``sent_at`` is when it sent them (this instance's boot clock, s).
        """
        for name, observation in loads.items():
            backend = self._backends.find(name)
            if backend is not None:
                backend.load.record_peer_report(
                    observation.load, sent_at - observation.age_s
                )

    def has_no_recent_answer(self, backend: Backend, now: float) -> bool:
        """Tell whether an upstream has not answered for too long."""
        state = self._services.get(backend.record.service)
        work_s = state.work.first_s if state is not None else 0.0
        return backend.load.has_no_recent_answer(now, work_s)

    def update(self) -> None:
        """Measure demand, update the region plans and serve the queues."""
        now = read_monotonic()
        self._refresh(now)
        interval_s = max(0.05, now - self._measured_at)  # avoids extreme rates
        self._measured_at = now
        for name, state in self._services.items():
            current = state.new_requests / interval_s
            state.new_requests = 0
            state.demand += (current - state.demand) * DEMAND_WEIGHT
            loads = self._compute_region_loads(name, state)
            demand = sum(load.demand for load in loads.values())
            if demand < MIN_DEMAND_PER_S or now < self._settled_at:
                state.plan.reset()
            expected = add_expected(loads, state.work.first_s)
            state.plan.update(expected, state.work.first_s, now)
            self._serve_queue(state, now)

    def record_latency(self, service: str, pick: Pick, work_s: float) -> None:
        """Record how long an upstream in this region took to answer.

        Latencies that include a wait in the upstream's queue are ignored.
        """
        state = self._services.get(service)
        has_waited = pick.load + 1 > pick.backend.record.slots
        if state is None or has_waited:
            return
        if pick.backend.region == self._region:
            state.work.observe(pick.position, work_s)

    async def acquire(
        self, need: Need, tried: frozenset[str], deadline: float
    ) -> Pick:
        """Return an upstream with free capacity; wait if all are full.

        :raises NoCapacity: when none is free at the deadline or after
            :data:`MAX_WAIT_FRACTION` of the latency objective.
        """
        now = read_monotonic()
        self._refresh(now)
        state = self._services.get(need.service)
        if state is None:
            raise _build_no_capacity(need)
        state.work.assume(need.objective_s)
        if not tried:
            state.new_requests += 1
        pick = self._choose(state, need, tried, now)
        if pick is not None:
            pick.backend.load.record_start(now)
            return pick
        limit_s = min(need.objective_s * MAX_WAIT_FRACTION, deadline - now)
        if limit_s <= 0 or not self._has_fitting(state, need):
            raise _build_no_capacity(need)
        pick = await state.waiting.wait(
            Criteria(need, tried), _compute_rank(state, need, now), limit_s
        )
        if pick is None:
            raise _build_no_capacity(need)
        return pick

    def has_speed(self, service: str) -> bool:
        """Tell whether a service's upstreams state their current speed."""
        state = self._services.get(service)
        return state is not None and state.has_speed

    def record_speed(self, service: str) -> None:
        """Record that an upstream of a service stated its current speed."""
        state = self._services.get(service)
        if state is not None:
            state.has_speed = True

    def knows(self, service: str) -> bool:
        """Tell whether any upstream of a service is known."""
        self._refresh(read_monotonic())
        return service in self._services

    def find_backend(self, upstream: str) -> Backend | None:
        """Return the backend of an upstream, or None."""
        return self._backends.find(upstream)

    def start_granted(
        self, upstream: str, need: Need, tried: frozenset[str], now: float
    ) -> Backend | None:
        """Start a request at an upstream that a dispatcher has selected.

        Returns None if this instance may not send it there now.
        """
        self._refresh(now)
        backend = self._backends.find(upstream)
        state = self._services.get(need.service)
        if backend is None or state is None:
            return None
        if backend.record.service != need.service:
            return None
        load = backend.load
        if not backend.fits(need, tried) or not load.is_available(now):
            return None
        if not self._is_within_rate_limit(state, backend, need, now):
            return None
        load.record_start(now)
        return backend

    def mark_isolated(self, now: float) -> None:
        """Suspect that all upstreams are cold while no updates arrive.

        This instance may miss an evacuation, after which they are cold.
        """
        if now - self._isolated_at >= ISOLATION_INTERVAL_S:
            self._isolated_at = now
            self._backends.suspect_all(now, ColdReason.ISOLATION)

    def mark_unreachable(self, backend: Backend, now: float) -> None:
        """Record that no connection to an upstream could be opened."""
        cold_s = self._backends.get_cold_duration(backend.record)
        backend.load.record_unreachable(now, cold_s)

    def record_broken_exchange(self, backend: Backend, now: float) -> None:
        """Record a broken exchange: the upstream may have restarted."""
        cold_s = self._backends.get_cold_duration(backend.record)
        backend.load.mark_suspected(now, cold_s, ColdReason.BROKEN_EXCHANGE)

    def release(self, backend: Backend) -> None:
        """Record the end of an exchange and serve waiting requests."""
        backend.load.record_end()
        state = self._services.get(backend.record.service)
        if state is not None:
            self._serve_queue(state, read_monotonic())

    def finish(self, pick: Pick, result: ExchangeResult) -> None:
        """Record the end of an exchange; the proxy records its result."""
        self.release(pick.backend)

    def _release_pick(self, pick: Pick) -> None:
        self.release(pick.backend)

    def _serve_queue(self, state: _ServiceState, now: float) -> None:
        def choose(criteria: Criteria) -> Pick | None:
            pick = self._choose(state, criteria.need, criteria.tried, now)
            if pick is not None:
                pick.backend.load.record_start(now)
            return pick

        state.waiting.serve(choose)

    def _has_fitting(self, state: _ServiceState, need: Need) -> bool:
        """Tell whether any fits, even if it is ejected, paused or full."""
        return any(
            backend.fits(need, frozenset())
            for backends in state.by_region.values()
            for backend in backends
        )

    def _choose(
        self,
        state: _ServiceState,
        need: Need,
        tried: frozenset[str],
        now: float,
    ) -> Pick | None:
        planned = self._choose_region(state, need)
        found = self._find_fastest(state, need, planned, tried, now)
        if found is not None:
            return found
        if self._has_available(state, need, planned, now):
            return None
        others = [name for name in state.by_region if name != planned]
        others.sort(key=lambda name: name != self._region)
        for region in others:
            if need.regions and region not in need.regions:
                continue
            found = self._find_fastest(state, need, region, tried, now)
            if found is not None:
                return found
        return None

    def _choose_region(self, state: _ServiceState, need: Need) -> str:
        region = state.plan.choose(need.object_hash)
        if not need.regions or region in need.regions:
            return region
        if self._region in need.regions:
            return self._region
        names = [name for name in state.by_region if name in need.regions]
        return min(names, default=self._region)

    def _find_fastest(
        self,
        state: _ServiceState,
        need: Need,
        region: str,
        tried: frozenset[str],
        now: float,
    ) -> Pick | None:
        """Return the upstream that is expected to answer first.

        The first upstream in an object's order usually knows the object
        (has answered for it recently) and so answers fast; the second may
        relieve it at the cost of extra work.  Others are considered only
        while neither knows the object.  An upstream that does not know it
        is used only while far from full: the extra work takes the place
        of several requests for objects that it knows.
        """
        best: Pick | None = None
        min_cost_s = 0.0
        position = -1
        is_known = False
        for backend in self._order_backends(need, region):
            load = backend.load
            if not backend.fits(need, tried) or not load.is_available(now):
                continue
            position += 1
            if position >= MAX_PREFERRED and (is_known or best is not None):
                break
            knows = load.has_answered_for(need.object_hash)
            is_known = is_known or knows
            estimate = load.estimate_load(now, state.work.first_s)
            if position > 0 and not knows and not load.has_spare(estimate):
                continue
            cost_s = state.work.compute_cost(
                position, estimate, load.record.slots, need.due_at - now
            )
            if cost_s is None or (best is not None and cost_s >= min_cost_s):
                continue
            if not self._is_within_rate_limit(state, backend, need, now):
                continue
            best = Pick(backend, position, estimate)
            min_cost_s = cost_s
        return best

    def _has_available(
        self, state: _ServiceState, need: Need, region: str, now: float
    ) -> bool:
        """Tell whether any fits that isn't ejected or paused, full or not."""
        return any(
            backend.fits(need, frozenset()) and backend.load.is_available(now)
            for backend in state.by_region.get(region, ())
        )

    def _is_within_rate_limit(
        self, state: _ServiceState, backend: Backend, need: Need, now: float
    ) -> bool:
        """Tell whether a cold upstream's rate limit allows one request.

        Suspects silent upstreams and probes suspected ones.
        """
        load = backend.load
        if not load.is_cold(now):
            if not load.is_unresponsive(now, state.work.first_s):
                return True
            cold_s = self._backends.get_cold_duration(backend.record)
            load.mark_suspected(now, cold_s, ColdReason.SILENCE)
        if load.is_suspected(now):
            self._prober.request_probe(backend, now)
        rate = self._get_cold_rate_limit(backend)
        if rate <= 0:
            return True
        rate_limit = self._slow_start_plan.compute_rate_limit(
            backend.region, load.seed, rate, need.sender
        )
        return load.is_within_rate(now, rate_limit)

    def _get_cold_rate_limit(self, backend: Backend) -> float:
        """Return a cold upstream's rate limit (1/s); 0 means no limit."""
        catalog = self._replica.catalog
        service = catalog.services.get(backend.record.service)
        return service.cold_rate if service is not None else 0.0

    def _order_backends(self, need: Need, region: str) -> list[Backend]:
        key = _OrderKey(need.service, region, need.object_hash)
        ordered = self._orders.get(key)
        if ordered is None:
            if len(self._orders) > MAX_CACHED_ORDERS:
                self._orders.clear()
            state = self._services[need.service]
            ordered = sorted(
                state.by_region.get(region, ()),
                key=lambda backend: combine_hashes(
                    need.object_hash, backend.load.seed
                ),
                reverse=True,
            )
            self._orders[key] = ordered
        return ordered

    def _compute_region_loads(
        self, service: str, state: _ServiceState
    ) -> dict[str, RegionLoad]:
        loads = {}
        for region in set(self._regions.values()):
            slots = state.slots.get(region, 0)
            demand = self._peer_demand.get(region, {}).get(service, 0.0)
            if region == self._region:
                demand += state.demand
            loads[region] = RegionLoad(demand, float(slots))
        return loads

    def _refresh(self, now: float) -> None:
        """Apply what changed in the replica since the last call."""
        if now - self._refreshed_at > SUSPENSION_GAP_S:
            self._backends.suspect_all(now, ColdReason.PROCESS_RESUMED)
        self._refreshed_at = now
        if self._seen_changes == self._replica.changes:
            return
        self._seen_changes = self._replica.changes
        self._orders.clear()
        self._backends.sync(now)
        self._group_backends()

    def _group_backends(self) -> None:
        for state in self._services.values():
            state.by_region = {}
            state.slots = Counter()
        for backend in self._backends:
            service = backend.record.service
            state = self._services.get(service)
            if state is None:
                state = _ServiceState(
                    RegionPlan(self._region), WaitingQueue(self._release_pick)
                )
                self._services[service] = state
            if backend.is_usable:
                state.by_region.setdefault(backend.region, []).append(backend)
                state.slots[backend.region] += backend.record.slots


def _compute_rank(state: _ServiceState, need: Need, now: float) -> int:
    """Return the rank of a request, behind all others if it is late."""
    is_late = now + state.work.first_s > need.due_at
    return need.rank + (LATE_RANK_OFFSET if is_late else 0)


def _build_no_capacity(need: Need) -> NoCapacity:
    error = NoCapacity(
        f"no upstream of {need.service} has room; come back later"
    )
    error.retry_after_s = RETRY_AFTER_S + random() * RETRY_AFTER_JITTER_S
    return error
