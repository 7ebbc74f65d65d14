"""Slow start: which instances may send to a cold upstream, at what rate.

An upstream that has just started can take few requests per second from
the whole fleet.  That rate is divided among instances of its region, but
only among so many that each one gets a useful part of it.  Rendezvous
hashing chooses them.
"""

from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache

from gypsummount._core.placement import combine_hashes
from gypsummount._core.placement import hash_name

# A rate is divided only so far that each instance gets at least this (1/s).
MIN_RATE_PER_INSTANCE = 4.0
# Choices of senders that are kept; one for each upstream of a large fleet.
MAX_CACHED_CHOICES = 1024


@dataclass(slots=True, frozen=True)
class SlowStartPlan:
    """The instances that may send to the cold upstreams of each region.

    ``own`` is the name of this instance.
    """

    own: str
    by_region: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def compute_rate_limit(
        self, region: str, seed: int, rate: float, sender: str = ""
    ) -> float:
        """Return this instance's part of a cold upstream's rate (1/s).

        ``region`` and ``seed`` are the upstream's, and ``rate`` is what
        it can take from the whole fleet.  For a request that another
        instance will send, ``sender`` is its name; the whole rate is the
        limit then, as the sender keeps to its own part.
        """
        if sender:
            names = self._list_senders(region, seed, rate)
            return rate if sender in names else 0.0
        names = self.by_region.get(region, ())
        if self.own not in names:
            return 0.0
        sender_count = max(
            1, min(len(names), int(rate / MIN_RATE_PER_INSTANCE))
        )
        if sender_count < len(names):
            names = _choose_senders(names, seed, sender_count)
        return rate / sender_count if self.own in names else 0.0

    def _list_senders(
        self, region: str, seed: int, rate: float
    ) -> tuple[str, ...]:
        names = self.by_region.get(region, ())
        sender_count = max(
            1, min(len(names), int(rate / MIN_RATE_PER_INSTANCE))
        )
        return _choose_senders(names, seed, sender_count)


def plan_slow_start(
    own: str,
    known: dict[str, tuple[str, ...]],
    registered: tuple[str, ...],
    *,
    knows_all_peers: bool,
) -> SlowStartPlan:
    """Return which instances may send to each region's cold upstreams.

    ``known`` holds, by region, the instances that have sent a message,
    this one included, and ``registered`` all that the store lists.  The
    upstreams of a region without instances are shared by all instances.

    Without ``knows_all_peers``, this instance may not know all others yet.  It
    then divides the rate among all registered instances.  Until it has read
    the registrations, it may send nothing.
    """
    all_names = tuple(name for names in known.values() for name in names)
    if not knows_all_peers:
        names = tuple(sorted({*registered, *all_names}))
        by_region = dict.fromkeys(known, names if registered else ())
        return SlowStartPlan(own, by_region)
    return SlowStartPlan(
        own, {region: names or all_names for region, names in known.items()}
    )


@lru_cache(maxsize=MAX_CACHED_CHOICES)
def _choose_senders(
    names: tuple[str, ...], seed: int, sender_count: int
) -> tuple[str, ...]:
    ranked = sorted(
        names,
        key=lambda name: combine_hashes(seed, hash_name(name)),
        reverse=True,
    )
    return tuple(ranked[:sender_count])
