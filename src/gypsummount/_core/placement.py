"""Placement of objects on regions and upstreams.

Objects are placed by rendezvous hashing, so an upstream that joins or
leaves moves only its own objects.  A region serves the requests that
its slots can take and sends the others, chosen by object, to regions
with spare capacity.  The fractions change by a bounded step per second.

Source: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", 1998.
"""

from dataclasses import dataclass
from dataclasses import field
from hashlib import blake2b
from zlib import crc32

# Number of values of a 32-bit hash.
HASH_SPAN = 1 << 32
# Utilisation of its slots up to which a region keeps its own requests.
LOCAL_UTILISATION = 0.6
# Fraction of a region's requests that may change region per second.
MAX_STEP_PER_S = 0.04
# A smaller excess (fraction of the demand) stays in its region.
MIN_EXCESS_FRACTION = 0.03
# Fraction of the requests to move at which a move towards the target begins,
# and at which it ends.
MOVE_START_GAP = 0.08
MOVE_STOP_GAP = 0.01
# Utilisation that is assumed where no demand has been seen yet.
EXPECTED_UTILISATION = 0.4


def hash_object(text: str) -> int:
    """Return the hash of an object's key, the same on all instances."""
    return crc32(text.encode())


def hash_name(name: str) -> int:
    """Return the hash seed of an upstream, region or instance name."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest())


def combine_hashes(first: int, second: int) -> float:
    """Combine two hashes into a uniform number in [0, 1)."""
    mixed = (first * 0x9E3779B1 ^ second) & 0xFFFFFFFFFFFF
    mixed ^= mixed >> 23
    mixed = mixed * 0x2127599BF4325C37 & 0xFFFFFFFFFFFFFFFF
    mixed ^= mixed >> 29
    return (mixed & (HASH_SPAN - 1)) / HASH_SPAN


@dataclass(slots=True, frozen=True)
class RegionLoad:
    """Demand (requests/s) and slots of a service in one region."""

    demand: float
    slots: float


@dataclass(slots=True)
class RegionPlan:
    """Fractions of one region's requests by the region that serves them.

    ``planned_at`` is the time (s) of the last update.
    """

    region: str
    fractions: dict[str, float] = field(default_factory=dict)
    planned_at: float = 0.0
    is_moving: bool = False

    def update(
        self, loads: dict[str, RegionLoad], work_s: float, now: float
    ) -> None:
        """Move the fractions towards the target by a bounded step.

        ``work_s`` is the processing time of a request.  The first
        update sets the target at once.
        """
        target = compute_target(self.region, loads, work_s)
        if not self.fractions:
            self.fractions = target
            self.planned_at = now
            return
        step = MAX_STEP_PER_S * max(0.0, now - self.planned_at)
        self.planned_at = now
        self._redistribute_lost(loads)
        self._move_towards(target, step)

    def reset(self) -> None:
        """Let the next update set the target at once.

        Used at start and for a service with few requests, where a jump to
        the target changes the region of few requests.
        """
        self.fractions = {}

    def choose(self, object_hash: int) -> str:
        """Return the region that serves the requests for an object."""
        point = combine_hashes(object_hash, 1)
        order = sorted(self.fractions, key=lambda name: name != self.region)
        for name in order:
            point -= self.fractions[name]
            if point < 0:
                return name
        return self.region

    def _redistribute_lost(self, loads: dict[str, RegionLoad]) -> None:
        """Redistribute the fractions of regions without slots at once."""
        lost = [
            name
            for name in self.fractions
            if name not in loads or loads[name].slots <= 0
        ]
        if not lost or len(lost) == len(self.fractions):
            return
        freed = sum(self.fractions.pop(name) for name in lost)
        spare = {
            name: load.slots for name, load in loads.items() if load.slots > 0
        }
        total = sum(spare.values())
        for name, slots in spare.items():
            previous = self.fractions.get(name, 0.0)
            self.fractions[name] = previous + freed * slots / total

    def _move_towards(self, target: dict[str, float], step: float) -> None:
        names = set(self.fractions) | set(target)
        gaps = {
            name: target.get(name, 0.0) - self.fractions.get(name, 0.0)
            for name in names
        }
        distance = sum(gap for gap in gaps.values() if gap > 0)
        # Hysteresis: small changes of demand move no objects, and a move
        # that has begun continues until the target is reached.
        if distance < (MOVE_STOP_GAP if self.is_moving else MOVE_START_GAP):
            self.is_moving = False
            return
        self.is_moving = True
        scale = min(1.0, step / distance)
        for name, gap in gaps.items():
            self.fractions[name] = self.fractions.get(name, 0.0) + gap * scale


def add_expected(
    loads: dict[str, RegionLoad], work_s: float
) -> dict[str, RegionLoad]:
    """Return the loads with at least an expected total demand.

    The missing demand is divided equally among the regions.  It replaces
    demand that has not been seen yet, so that a start or a period of few
    requests does not change the plan.
    """
    slots = sum(load.slots for load in loads.values())
    demand = sum(load.demand for load in loads.values())
    expected = EXPECTED_UTILISATION * slots / max(0.01, work_s)
    missing = max(0.0, expected - demand) / max(1, len(loads))
    return {
        name: RegionLoad(load.demand + missing, load.slots)
        for name, load in loads.items()
    }


def compute_target(
    region: str, loads: dict[str, RegionLoad], work_s: float
) -> dict[str, float]:
    """Return the target fractions of a region's requests by region.

    A region keeps what its slots serve at :data:`LOCAL_UTILISATION`, or
    at the fleet's mean utilisation if that is higher.  Other regions get
    its remaining requests in proportion to their spare capacity.
    """
    own = loads.get(region, RegionLoad(0.0, 0.0))
    slots = sum(load.slots for load in loads.values())
    if slots <= 0:
        return {region: 1.0}
    demand = sum(load.demand for load in loads.values())
    per_slot = max(LOCAL_UTILISATION / max(0.01, work_s), demand / slots)
    spare = {
        name: max(0.0, load.slots * per_slot - load.demand)
        for name, load in loads.items()
        if name != region and load.slots > 0
    }
    total = sum(spare.values())
    kept = own.slots * per_slot
    if own.demand > 0:
        excess = max(0.0, own.demand - kept) / own.demand
    else:
        excess = 0.0 if own.slots > 0 else 1.0
    if own.slots > 0 and excess < MIN_EXCESS_FRACTION:
        excess = 0.0
    if excess <= 0 or (total <= 0 and own.slots > 0):
        return {region: 1.0}
    if total <= 0:
        spare = {
            name: load.slots
            for name, load in loads.items()
            if name != region and load.slots > 0
        }
        total = sum(spare.values())
    if total <= 0:
        return {region: 1.0}
    fractions = {name: excess * free / total for name, free in spare.items()}
    fractions[region] = 1.0 - excess
    return fractions
