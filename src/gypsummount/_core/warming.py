"""Which instances may send to a cold upstream, and how much.

An upstream that has just started bears few requests a second from the
whole fleet.  The rate is divided among as many instances of its region
as still get a useful part; which ones follows from rendezvous hashing.
"""

from dataclasses import dataclass
from dataclasses import field

from gypsummount._core.placement import hash_name
from gypsummount._core.placement import mix_hashes

LEAST_PART_PER_S = 4.0


@dataclass(slots=True, frozen=True)
class Warming:
    """The instances by the region whose cold upstreams they warm."""

    own: str
    by_region: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def find_pace(self, region: str, seed: int, rate: float) -> float:
        """Return this instance's part of an upstream's rate (1/s).

        ``seed`` is the upstream's, ``rate`` what it bears from all.
        """
        names = self.by_region.get(region, ())
        if self.own not in names:
            return 0.0
        owners = max(1, min(len(names), int(rate / LEAST_PART_PER_S)))
        if owners < len(names):
            names = _choose(names, seed, owners)
        return rate / owners if self.own in names else 0.0


def divide_regions(
    own: str,
    known: dict[str, tuple[str, ...]],
    registered: tuple[str, ...],
    *,
    has_heard: bool,
) -> Warming:
    """Return which instances warm the upstreams of each region.

    ``known`` are those heard in each region, the own one included, and
    ``registered`` all that the store lists.  A region without instances
    is warmed by all.  An instance that may not have heard all takes its
    part of all registered ones; until it has read these it warms
    nothing.
    """
    everyone = tuple(one for names in known.values() for one in names)
    if not has_heard:
        names = tuple(sorted({*registered, *everyone}))
        by_region = dict.fromkeys(known, names if registered else ())
        return Warming(own, by_region)
    return Warming(
        own, {region: names or everyone for region, names in known.items()}
    )


def _choose(names: tuple[str, ...], seed: int, owners: int) -> tuple[str, ...]:
    ranked = sorted(
        names,
        key=lambda name: mix_hashes(seed, hash_name(name)),
        reverse=True,
    )
    return tuple(ranked[:owners])
