"""What an edge process derives from the state of the other instances."""

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.quotas import PeerQuotas
from gypsummount._core.quotas import QuotaShares
from gypsummount._core.slow_start import plan_slow_start
from gypsummount._core.slow_start import SlowStartPlan
from gypsummount._edge.digests import Digest
from gypsummount._edge.peers import Peers
from gypsummount._edge.probing import Prober
from gypsummount._edge.replica import Replica
from gypsummount._edge.retry_budgets import RetryBudgets
from gypsummount._edge.selection import Selection
from gypsummount._edge.settings import EdgeSettings
from gypsummount._edge.tokens import Tokens


class FleetState:
    """Divides limits of the fleet and plans by the peers' announcements.

    Until all running instances have had time to be heard, those that are
    registered count as running, so that no part of a limit is used twice.
    """

    def __init__(
        self, settings: EdgeSettings, replica: Replica, peers: Peers
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._peers = peers
        self._started_at = read_monotonic()

    def update_quotas(
        self, quotas: QuotaShares, tokens: Tokens, now: float
    ) -> None:
        """Update the rate shares; reserve those of unknown instances."""
        quotas.update_demand(now)
        unknown = self._count_unknown(now)
        tokens.update(unknown, now)
        if self._peers.is_grouped:
            quotas.update_shares(self._peers.list_region_quotas(now), now)
            return
        peers = self._peers.list_quotas(now)
        # A registry without any instance lacks at least this one.
        if not peers and not self._replica.instances:
            return
        reserved = [PeerQuotas(is_live=False)] * unknown
        quotas.update_shares([*peers, *reserved], now)

    def update_selection(
        self, selection: Selection, live: list[Digest], now: float
    ) -> None:
        """Update the peers' demand and the plan for cold upstreams.

        ``live`` are the latest digests of the live peers.
        """
        demand: dict[str, dict[str, float]] = {}
        for digest in live:
            by_service = demand.setdefault(digest.region, {})
            for service, rate in digest.demand.items():
                by_service[service] = by_service.get(service, 0.0) + rate
        selection.apply_fleet_state(demand, self._plan_slow_start(now))

    def update_sizes(
        self, retry_budgets: RetryBudgets, prober: Prober
    ) -> None:
        """Update the numbers of instances that share a limit."""
        fleet_size = max(
            len(self._peers.list_known()) + 1, len(self._replica.instances)
        )
        region_size = len(self._peers.list_own_region_names()) + 1
        retry_budgets.set_fleet_size(fleet_size)
        prober.set_fleet_size(region_size, fleet_size)

    def _count_unknown(self, now: float) -> int:
        """Return how many registered instances may not be known yet."""
        if self._is_discovery_complete(now):
            return 0
        known = {peer.name for peer in self._peers.list_known()}
        known.add(self._settings.instance)
        return len(self._replica.instances.keys() - known)

    def _is_discovery_complete(self, now: float) -> bool:
        """Tell whether all running instances have had time to send digests."""
        if not self._peers.list_known():
            return False
        waited_s = now - self._started_at
        return waited_s >= self._peers.compute_discovery_time()

    def _plan_slow_start(self, now: float) -> SlowStartPlan:
        """Return which instances may send to cold upstreams, by region."""
        own = self._settings.instance
        known = {}
        for region in set(self._settings.regions.values()):
            names = self._peers.list_region_names(region)
            if region == self._settings.region:
                names = [*names, own]
            known[region] = tuple(names)
        return plan_slow_start(
            own,
            known,
            tuple(self._replica.instances),
            knows_all_peers=self._is_discovery_complete(now),
        )
