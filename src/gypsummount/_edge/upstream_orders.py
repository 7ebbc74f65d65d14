"""Order of the upstreams of a region for each object."""

from dataclasses import dataclass

from gypsummount._core.placement import combine_hashes
from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Need
from gypsummount._edge.service_state import ServiceState

MAX_CACHED_ORDERS = 20_000  # orders of upstreams kept before all are dropped


@dataclass(slots=True, frozen=True)
class _OrderKey:
    service: str
    region: str
    object_hash: int


class UpstreamOrders:
    """Keeps the rendezvous order of a region's upstreams by object."""

    def __init__(self) -> None:
        self._orders: dict[_OrderKey, list[Backend]] = {}

    def clear(self) -> None:
        """Drop all orders, as the upstreams have changed."""
        self._orders.clear()

    def get(
        self, state: ServiceState, need: Need, region: str
    ) -> list[Backend]:
        """Return a region's upstreams in the order of an object."""
        key = _OrderKey(need.service, region, need.object_hash)
        ordered = self._orders.get(key)
        if ordered is None:
            if len(self._orders) > MAX_CACHED_ORDERS:
                self._orders.clear()
            ordered = sorted(
                state.by_region.get(region, ()),
                key=lambda backend: combine_hashes(
                    need.object_hash, backend.load.seed
                ),
                reverse=True,
            )
            self._orders[key] = ordered
        return ordered
