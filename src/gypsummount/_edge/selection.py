"""Selection of an upstream for each request, with a queue if all are full."""

from gypsummount._common.body_account import BodyAccount
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.placement import add_expected
from gypsummount._core.placement import RegionLoad
from gypsummount._core.placement import RegionPlan
from gypsummount._core.slow_start import SlowStartPlan
from gypsummount._core.upstream_load import ColdReason
from gypsummount._core.upstream_load import LoadObservation
from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Backends
from gypsummount._edge.backends import Need
from gypsummount._edge.cold_limits import ColdLimits
from gypsummount._edge.load_policy import LoadPolicy
from gypsummount._edge.probing import Prober
from gypsummount._edge.replica import Replica
from gypsummount._edge.selection_policy import build_no_capacity
from gypsummount._edge.selection_policy import PolicyTools
from gypsummount._edge.selection_policy import QueueReport
from gypsummount._edge.selection_policy import SelectionPolicy
from gypsummount._edge.selector import ExchangeResult
from gypsummount._edge.selector import Selector
from gypsummount._edge.service_state import ServiceState
from gypsummount._edge.upstream_orders import UpstreamOrders
from gypsummount._edge.waiting import Pick
from gypsummount._edge.wire import LoadReport
from gypsummount._edge.work_policy import WorkPolicy
from gypsummount._edge.work_queue import QueueLimit
from gypsummount.errors import NoCapacity

DEMAND_WEIGHT = 0.3  # smoothing factor of the average demand
MIN_DEMAND_PER_S = 1.0
# For this long after the start, region plans jump to their targets.
SETTLE_S = 3.0
# A longer gap between two calls means that the process was suspended.
SUSPENSION_GAP_S = 1.0
# How often an isolated instance suspects a restart of all upstreams.
ISOLATION_INTERVAL_S = 0.5

_log = get_logger("selection")


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
        self._region = region
        self._regions = regions
        self._backends = Backends(replica, region, regions, account)
        self._cold_limits = ColdLimits(replica, self._backends, prober)
        self._orders = UpstreamOrders()
        self._tools = PolicyTools(
            region,
            self._release_pick,
            self._orders,
            self._cold_limits,
            QueueLimit(),
        )
        self._policies: dict[str, SelectionPolicy] = {}
        self._seen_changes = -1
        self._peer_demand: dict[str, dict[str, float]] = {}
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
            name: round(policy.state.demand, 2)
            for name, policy in self._policies.items()
        }

    def apply_fleet_state(
        self,
        demand: dict[str, dict[str, float]],
        slow_start_plan: SlowStartPlan,
    ) -> None:
        """Apply peers' demand by region and service, and a slow start plan."""
        self._peer_demand = demand
        if slow_start_plan != self._cold_limits.plan:
            _log.info(
                "The instances that send to cold upstreams have changed.",
                extra={
                    "instances": {
                        region: len(names)
                        for region, names in slow_start_plan.by_region.items()
                    }
                },
            )
        self._cold_limits.plan = slow_start_plan

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
        policy = self._policies.get(backend.record.service)
        work_s = policy.state.work.first_s if policy is not None else 0.0
        return backend.load.has_no_recent_answer(now, work_s)

    def update(self) -> None:
        """Measure demand, update the region plans and serve the queues."""
        now = read_monotonic()
        self._refresh(now)
        interval_s = max(0.05, now - self._measured_at)  # avoids extreme rates
        self._measured_at = now
        for name, policy in self._policies.items():
            state = policy.state
            current = state.new_requests / interval_s
            state.new_requests = 0
            state.demand += (current - state.demand) * DEMAND_WEIGHT
            loads = self._compute_region_loads(name, state)
            demand = sum(load.demand for load in loads.values())
            if demand < MIN_DEMAND_PER_S or now < self._settled_at:
                state.plan.reset()
            expected = add_expected(loads, state.work.first_s)
            state.plan.update(expected, state.work.first_s, now)
            policy.update(now)

    def record_load(
        self, backend: Backend, report: LoadReport, now: float
    ) -> None:
        """Record the load that an upstream reported with an answer."""
        service = backend.record.service
        policy = self._policies.get(service)
        if policy is None:
            return
        if report.speed is not None and not policy.uses_speed:
            policy = WorkPolicy(service, policy, self._tools, now)
            self._policies[service] = policy
        policy.record_load(backend, report, now)

    def record_latency(self, need: Need, pick: Pick, latency_s: float) -> None:
        """Record how long (s) an upstream took to give a good answer."""
        policy = self._policies.get(need.service)
        if policy is not None:
            policy.record_latency(pick, need, latency_s)

    def check_capacity(self, need: Need, deadline: float) -> None:
        """Check that an upstream is expected to take a request in time.

        :raises NoCapacity: if none is, as far as is known.
        """
        policy = self._policies.get(need.service)
        if policy is None or not policy.uses_speed:
            return
        try:
            policy.check_capacity(need, deadline, read_monotonic())
        except NoCapacity:
            # Refused requests are demand, as those refused later are.
            policy.state.new_requests += 1
            raise

    def list_queues(self) -> dict[str, QueueReport]:
        """Return the figures of the queues that are kept, by service."""
        reports = {
            name: policy.get_queue_report()
            for name, policy in self._policies.items()
        }
        return {
            name: report
            for name, report in reports.items()
            if report is not None
        }

    async def acquire(
        self, need: Need, tried: frozenset[str], deadline: float
    ) -> Pick:
        """Return an upstream with free capacity; wait if all are full.

        :raises NoCapacity: if none is free in time, which the service's
            policy decides.
        """
        now = read_monotonic()
        self._refresh(now)
        policy = self._policies.get(need.service)
        if policy is None:
            raise build_no_capacity(need)
        policy.state.work.assume(need.objective_s)
        if not tried:
            policy.state.new_requests += 1
        return await policy.acquire(need, tried, deadline, now)

    def has_speed(self, service: str) -> bool:
        """Tell whether a service's upstreams are selected by their work."""
        policy = self._policies.get(service)
        return policy is not None and policy.uses_speed

    def scale_queues(self, instances: int) -> None:
        """Set for how many instances this one may queue requests."""
        self._tools.queue_limit.scale(instances)

    def knows(self, service: str) -> bool:
        """Tell whether any upstream of a service is known."""
        self._refresh(read_monotonic())
        return service in self._policies

    def find_backend(self, upstream: str) -> Backend | None:
        """Return the backend of an upstream, or None."""
        return self._backends.find(upstream)

    def start_granted(
        self,
        upstream: str,
        position: int,
        load: float,
        need: Need,
        tried: frozenset[str],
    ) -> Pick | None:
        """Start a request at an upstream that a dispatcher has selected.

        ``position`` and ``load`` are those of the dispatcher's pick.
        Returns None if this instance may not send it there now.
        """
        now = read_monotonic()
        self._refresh(now)
        backend = self._backends.find(upstream)
        policy = self._policies.get(need.service)
        if backend is None or policy is None:
            return None
        if backend.record.service != need.service:
            return None
        if not backend.fits(need, tried):
            return None
        if not backend.load.is_available(now):
            return None
        work_s = policy.state.work.first_s
        if not self._cold_limits.permits(backend, work_s, now, need.sender):
            return None
        pick = Pick(backend, position, load)
        return policy.start_granted(pick, need, now)

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

    def release(self, backend: Backend, pick: Pick | None = None) -> None:
        """Record the end of an exchange and serve waiting requests.

        ``pick`` is what :meth:`acquire` returned for the request.
        """
        backend.load.record_end()
        policy = self._policies.get(backend.record.service)
        if policy is not None:
            policy.release(backend, pick, read_monotonic())

    def finish(self, pick: Pick, result: ExchangeResult) -> None:
        """Record the end of an exchange; the proxy records its result."""
        self.release(pick.backend, pick)

    def _release_pick(self, pick: Pick) -> None:
        self.release(pick.backend, pick)

    def _compute_region_loads(
        self, service: str, state: ServiceState
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
        for policy in self._policies.values():
            policy.state.clear_backends()
        for backend in self._backends:
            service = backend.record.service
            policy = self._policies.get(service)
            if policy is None:
                state = ServiceState(RegionPlan(self._region))
                policy = LoadPolicy(state, self._tools)
                self._policies[service] = policy
            if backend.is_usable:
                policy.state.add_backend(backend)
