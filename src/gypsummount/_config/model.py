"""Typed rules of a configuration; fields are named as in rule files."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


class Access(Enum):
    """Whether requests on a route need a key."""

    KEYED = "keyed"
    OPEN = "open"


class StalePolicy(Enum):
    """What a keyed route does while key withdrawals may be missed."""

    SERVE = "serve"
    REFUSE = "refuse"


@dataclass(slots=True, frozen=True)
class Domain:
    """A failure domain inside a region."""

    name: str
    region: str


@dataclass(slots=True, frozen=True)
class Link:
    """Capacity between two regions, each way, in bytes per second."""

    name: str
    first: str
    second: str
    bytes_per_s: float


@dataclass(slots=True, frozen=True)
class Service:
    """Upstreams that answer the same requests.

    Requests that are forwarded from elsewhere are served only while less
    than the fraction ``headroom`` of the slots is in use.
    """

    name: str
    timeout_s: float
    headroom: float


@dataclass(slots=True, frozen=True)
class Route:
    """A path prefix and how requests under it are handled.

    A ``repeatable`` request may be sent to upstreams more than once.
    ``workspace`` is charged for requests without a key; it is None on a
    keyed route.
    """

    prefix: str
    service: str
    methods: tuple[str, ...]
    repeatable: bool
    access: Access
    workspace: str | None


@dataclass(slots=True, frozen=True)
class Pool:
    """Upstreams of one service version in one failure domain.

    Each server runs at most ``slots`` requests at once.
    """

    service: str
    domain: str
    version: str
    servers: tuple[str, ...]
    slots: int


@dataclass(slots=True, frozen=True)
class Workspace:
    """A workspace with its fleet-wide rate (1/s) and burst.

    ``weight`` is its weight among the workspaces that wait for a slot.
    """

    name: str
    rate: float
    burst: float
    weight: float


@dataclass(slots=True, frozen=True)
class ShiftCap:
    """Limit on how much of a service one rollout step may move.

    ``share`` is the largest fraction of the service's requests by which
    a step may raise the share of the new version.
    """

    service: str
    share: float


@dataclass(slots=True, frozen=True)
class RolloutPlan:
    """Steps in which a rollout moves a service to a new version.

    Each of ``steps`` is the share of the new version, and each lasts at
    least ``bake_s`` seconds.  The rollout must finish in ``deadline_s``
    seconds.
    """

    name: str
    service: str
    old: str
    new: str
    steps: tuple[float, ...]
    bake_s: float
    deadline_s: float


@dataclass(slots=True, frozen=True)
class KeyPolicy:
    """How keys are treated without contact with the store.

    After ``stale_s`` seconds, withdrawals may be missed, and
    ``when_stale`` decides whether keyed routes are served.
    """

    stale_s: float
    when_stale: StalePolicy


DEFAULT_KEY_POLICY = KeyPolicy(30.0, StalePolicy.SERVE)


@dataclass(slots=True)
class RuleSet:
    """All rules of one configuration, indexed by name."""

    domains: dict[str, Domain] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    caps: dict[str, ShiftCap] = field(default_factory=dict)
    rollouts: dict[str, RolloutPlan] = field(default_factory=dict)
    key_policies: dict[str, KeyPolicy] = field(default_factory=dict)

    @property
    def key_policy(self) -> KeyPolicy:
        """Return the key policy of the rules, or the default policy."""
        return self.key_policies.get("keys", DEFAULT_KEY_POLICY)

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        A prefix matches complete path segments only.
        """
        best: Route | None = None
        for route in self.routes.values():
            if method not in route.methods:
                continue
            if not _matches_prefix(route.prefix, path):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best

    def get_region(self, domain: str) -> str:
        """Return the region of a domain, or an empty string."""
        found = self.domains.get(domain)
        return found.region if found else ""

    def find_link(self, first: str, second: str) -> Link | None:
        """Return the link between two regions in either order, or None."""
        name = build_link_name(first, second)
        return self.links.get(name)

    def count_slots(self, service: str, domain: str) -> int:
        """Return the total slots of a service's versions in a domain."""
        return sum(
            pool.slots * len(pool.servers)
            for pool in self.pools.values()
            if pool.service == service and pool.domain == domain
        )


def build_link_name(first: str, second: str) -> str:
    """Return the name of a link, which is the same both ways."""
    return "~".join(sorted((first, second)))


def _matches_prefix(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    remainder = path[len(prefix) :]
    return not remainder or prefix.endswith("/") or remainder.startswith("/")
