"""Dispatchers of services in a large fleet, and the grants that they give.

In each region one instance, the dispatcher of a service, selects upstreams
for all instances of the region.  Weighted rendezvous hashing over the live
instances names it, so there is no election, and a change of the fleet moves
few services.  Two dispatchers at once, while views of the fleet differ, do
no lasting harm: each counts its own grants, and the load that upstreams
report covers the others'.

Source: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", 1998.
"""

from collections import Counter
from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from math import log
from typing import Generic
from typing import TypeVar

from gypsummount._core.groups import Member
from gypsummount._core.placement import combine_hashes
from gypsummount._core.placement import hash_name

# Instances that may dispatch a service, in order; the others follow while
# the first does not answer.
RANKED_COUNT = 3
# Capacity (cores) of an instance that announces none.
MIN_CAPACITY = 0.1
# The longest lease of a grant; a longer exchange renews it.
MAX_LEASE_S = 4.0
# Added to a lease, as the release takes some time to arrive.
LEASE_MARGIN_S = 0.25
MAX_GRANTS = 4096
# Ended grants whose repeated or late messages are recognised.
MAX_ENDED = 4096
_MIN_UNIFORM = 1e-12

_Item = TypeVar("_Item")
# The address of the instance that asked, and its number of the request.
GrantKey = tuple[str, int]


def assign_dispatchers(
    services: Iterable[str], members: Sequence[Member]
) -> dict[str, tuple[str, ...]]:
    """Return the dispatcher of each service, followed by its substitutes.

    No instance is the first for more services than an equal number each.
    The pairs of service and instance are taken by score, so the result
    depends on neither order.
    """
    ranked = {service: _rank(service, members) for service in services}
    if not members:
        return dict.fromkeys(ranked, ())
    limit = -(-len(ranked) // len(members))
    pairs = sorted(
        (score, service, name)
        for service, scored in ranked.items()
        for score, name in scored
    )
    taken: Counter[str] = Counter()
    first: dict[str, str] = {}
    for _, service, name in pairs:
        if service not in first and taken[name] < limit:
            first[service] = name
            taken[name] += 1
    return {
        service: _put_first(first[service], scored)
        for service, scored in ranked.items()
    }


def compute_lease(remaining_s: float) -> float:
    """Return the lease (s) of a grant for a request's remaining time."""
    return min(max(0.0, remaining_s), MAX_LEASE_S) + LEASE_MARGIN_S


def _rank(service: str, members: Sequence[Member]) -> list[tuple[float, str]]:
    """Return scores and names; the lowest score comes first."""
    seed = hash_name(service)
    return sorted(
        (_compute_score(seed, member), member.name) for member in members
    )


def _compute_score(seed: int, member: Member) -> float:
    """Return a score that is lowest with a probability by capacity."""
    uniform = combine_hashes(seed, hash_name(member.name))
    weight = max(MIN_CAPACITY, member.capacity)
    return -log(max(_MIN_UNIFORM, uniform)) / weight


def _put_first(first: str, scored: list[tuple[float, str]]) -> tuple[str, ...]:
    others = [name for _, name in scored if name != first]
    return (first, *others[: RANKED_COUNT - 1])


@dataclass(slots=True)
class Grant(Generic[_Item]):
    """What was granted, and when the grant expires (boot clock, s)."""

    item: _Item
    expires_at: float


class GrantTable(Generic[_Item]):
    """The grants in use, and which ones have ended.

    A request that has ended is never granted again, so late, repeated and
    reordered messages change nothing.  ``expired`` counts the grants that
    were neither released nor renewed.
    """

    def __init__(self) -> None:
        self._grants: dict[GrantKey, Grant[_Item]] = {}
        self._ended: OrderedDict[GrantKey, float | None] = OrderedDict()
        self.expired = 0

    def __len__(self) -> int:
        return len(self._grants)

    @property
    def is_full(self) -> bool:
        """Tell whether no further grant may be added."""
        return len(self._grants) >= MAX_GRANTS

    def add(self, key: GrantKey, item: _Item, expires_at: float) -> None:
        """Add a grant."""
        self._grants[key] = Grant(item, expires_at)

    def find(self, key: GrantKey) -> _Item | None:
        """Return what was granted to a request, if it is in use."""
        grant = self._grants.get(key)
        return grant.item if grant is not None else None

    def renew(self, key: GrantKey, expires_at: float) -> bool:
        """Set when a grant expires; return False if it is not in use."""
        grant = self._grants.get(key)
        if grant is None:
            return False
        grant.expires_at = expires_at
        return True

    def end(
        self, key: GrantKey, retry_after_s: float | None = None
    ) -> _Item | None:
        """End a request; return what was granted to it, if it is in use.

        ``retry_after_s`` is given if it ended with a refusal.
        """
        grant = self._grants.pop(key, None)
        if key not in self._ended:
            self._ended[key] = retry_after_s
            if len(self._ended) > MAX_ENDED:
                self._ended.popitem(last=False)
        return grant.item if grant is not None else None

    def has_ended(self, key: GrantKey) -> bool:
        """Tell whether a request has ended."""
        return key in self._ended

    def get_refusal(self, key: GrantKey) -> float | None:
        """Return after which time (s) a refused request may come again."""
        return self._ended.get(key)

    def end_expired(self, now: float) -> list[_Item]:
        """End the grants whose lease has expired; return them."""
        keys = [
            key
            for key, grant in self._grants.items()
            if grant.expires_at <= now
        ]
        self.expired += len(keys)
        return [item for key in keys if (item := self.end(key)) is not None]
