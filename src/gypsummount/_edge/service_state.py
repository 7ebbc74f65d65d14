"""Demand, region plan and upstreams of one service."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from gypsummount._core.placement import RegionPlan
from gypsummount._core.processing_times import ProcessingTimes
from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Need


@dataclass(slots=True)
class ServiceState:
    """Demand, region plan and upstreams of one service."""

    plan: RegionPlan
    by_region: dict[str, list[Backend]] = field(default_factory=dict)
    slots: Counter[str] = field(default_factory=Counter)
    new_requests: int = 0
    demand: float = 0.0
    work: ProcessingTimes = field(default_factory=ProcessingTimes)

    def clear_backends(self) -> None:
        """Remove all upstreams, before they are grouped again."""
        self.by_region = {}
        self.slots = Counter()

    def add_backend(self, backend: Backend) -> None:
        """Add an upstream that is in use."""
        self.by_region.setdefault(backend.region, []).append(backend)
        self.slots[backend.region] += backend.record.slots

    def has_fitting(self, need: Need) -> bool:
        """Tell whether any fits, even if it is ejected, paused or full."""
        return any(
            backend.fits(need, frozenset())
            for backends in self.by_region.values()
            for backend in backends
        )

    def has_available(self, need: Need, region: str, now: float) -> bool:
        """Tell whether any fits that isn't ejected or paused, full or not."""
        return any(
            backend.fits(need, frozenset()) and backend.load.is_available(now)
            for backend in self.by_region.get(region, ())
        )

    def choose_region(self, need: Need, own_region: str) -> str:
        """Return the planned region, or a home region if it is none."""
        region = self.plan.choose(need.object_hash)
        if not need.regions or region in need.regions:
            return region
        if own_region in need.regions:
            return own_region
        names = [name for name in self.by_region if name in need.regions]
        return min(names, default=own_region)

    def list_other_regions(
        self, need: Need, planned: str, own_region: str
    ) -> list[str]:
        """Return the permitted regions besides the planned one, own first."""
        names = [
            name
            for name in self.by_region
            if name != planned and (not need.regions or name in need.regions)
        ]
        names.sort(key=lambda name: name != own_region)
        return names
