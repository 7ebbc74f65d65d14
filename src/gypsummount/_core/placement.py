"""Placement: which region and which upstreams an object belongs to.

Objects are spread by rendezvous hashing, so that joining and leaving
upstreams move only their own objects.  A region keeps what it can serve
and gives the rest, by object, to regions with room; its parts move by a
bounded step a second.

Source: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", 1998.
"""

from dataclasses import dataclass
from dataclasses import field
from hashlib import blake2b
from zlib import crc32

HASH_SPAN = 1 << 32
LOCAL_UTILISATION = 0.6
MAX_STEP_PER_S = 0.04
LEAST_MOVE = 0.03
START_GAP = 0.08
STOP_GAP = 0.01
EXPECTED_UTILISATION = 0.4


def hash_object(text: str) -> int:
    """Return a hash of an object's key that all instances agree on."""
    return crc32(text.encode())


def hash_name(name: str) -> int:
    """Return the seed of an upstream's or a region's name."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest())


def mix_hashes(first: int, second: int) -> float:
    """Return a number in [0, 1) from two hashes."""
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
    """Parts of one region's requests by the region where they run."""

    region: str
    parts: dict[str, float] = field(default_factory=dict)
    planned_at: float = 0.0
    is_moving: bool = False

    def update(
        self, loads: dict[str, RegionLoad], work_s: float, now: float
    ) -> None:
        """Move the parts towards the target, by a bounded step."""
        target = find_target(self.region, loads, work_s)
        if not self.parts:
            self.parts = target
            self.planned_at = now
            return
        step = MAX_STEP_PER_S * max(0.0, now - self.planned_at)
        self.planned_at = now
        self._drop_lost(loads)
        self._step(target, step)

    def reset(self) -> None:
        """Let the next update take the target at once.

        That is for a start and for a service without requests, where
        no request changes its region by it.
        """
        self.parts = {}

    def choose(self, hashed: int) -> str:
        """Return the region in which an object's requests run."""
        place = mix_hashes(hashed, 1)
        order = sorted(self.parts, key=lambda name: name != self.region)
        for name in order:
            place -= self.parts[name]
            if place < 0:
                return name
        return self.region

    def _drop_lost(self, loads: dict[str, RegionLoad]) -> None:
        """Give up the parts of regions without any slot at once."""
        lost = [
            name
            for name in self.parts
            if name not in loads or loads[name].slots <= 0
        ]
        if not lost or len(lost) == len(self.parts):
            return
        freed = sum(self.parts.pop(name) for name in lost)
        room = {
            name: load.slots for name, load in loads.items() if load.slots > 0
        }
        total = sum(room.values())
        for name, slots in room.items():
            before = self.parts.get(name, 0.0)
            self.parts[name] = before + freed * slots / total

    def _step(self, target: dict[str, float], step: float) -> None:
        names = set(self.parts) | set(target)
        gaps = {
            name: target.get(name, 0.0) - self.parts.get(name, 0.0)
            for name in names
        }
        moved = sum(gap for gap in gaps.values() if gap > 0)
        # Hysteresis keeps objects from moving with every small change
        # of demand; once begun, a move goes on to its end.
        if moved < (STOP_GAP if self.is_moving else START_GAP):
            self.is_moving = False
            return
        self.is_moving = True
        scale = min(1.0, step / moved)
        for name, gap in gaps.items():
            self.parts[name] = self.parts.get(name, 0.0) + gap * scale


def add_expected(
    loads: dict[str, RegionLoad], work_s: float
) -> dict[str, RegionLoad]:
    """Return loads with an expected demand mixed in, equal by region.

    It stands for demand that is not measured yet, so that a start or a
    lull does not undo the plan.
    """
    slots = sum(load.slots for load in loads.values())
    demand = sum(load.demand for load in loads.values())
    usual = EXPECTED_UTILISATION * slots / max(0.01, work_s)
    missing = max(0.0, usual - demand) / max(1, len(loads))
    return {
        name: RegionLoad(load.demand + missing, load.slots)
        for name, load in loads.items()
    }


def find_target(
    region: str, loads: dict[str, RegionLoad], work_s: float
) -> dict[str, float]:
    """Return the parts of a region's requests by region.

    A region keeps what its slots take at :data:`LOCAL_UTILISATION`, or
    at the fleet's mean if that is more; others get the rest in
    proportion to their room.
    """
    own = loads.get(region, RegionLoad(0.0, 0.0))
    slots = sum(load.slots for load in loads.values())
    if slots <= 0:
        return {region: 1.0}
    demand = sum(load.demand for load in loads.values())
    per_slot = max(LOCAL_UTILISATION / max(0.01, work_s), demand / slots)
    room = {
        name: max(0.0, load.slots * per_slot - load.demand)
        for name, load in loads.items()
        if name != region and load.slots > 0
    }
    total = sum(room.values())
    kept = own.slots * per_slot
    if own.demand > 0:
        excess = max(0.0, own.demand - kept) / own.demand
    else:
        excess = 0.0 if own.slots > 0 else 1.0
    if own.slots > 0 and excess < LEAST_MOVE:
        excess = 0.0
    if excess <= 0 or (total <= 0 and own.slots > 0):
        return {region: 1.0}
    if total <= 0:
        room = {
            name: load.slots
            for name, load in loads.items()
            if name != region and load.slots > 0
        }
        total = sum(room.values())
    if total <= 0:
        return {region: 1.0}
    parts = {name: excess * free / total for name, free in room.items()}
    parts[region] = 1.0 - excess
    return parts
