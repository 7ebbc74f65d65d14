"""Types of the configuration that is in force at an edge instance."""

from dataclasses import dataclass
from dataclasses import field
from math import isfinite

from gypsummount.errors import ConfigError

NO_HOMES: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Destination:
    """A service that takes a part of a route, by relative weight."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class EdgeRoute:
    """What happens to requests of one host below one path prefix.

    A lower ``priority`` is more urgent.  An empty ``home_regions``
    allows every region.
    """

    name: str
    host: str
    prefix: str
    destinations: tuple[Destination, ...]
    repeatable: bool
    is_open: bool
    is_sticky: bool
    timeout_s: float
    objective_s: float
    attempts: int
    priority: int
    home_regions: frozenset[str] = NO_HOMES


@dataclass(slots=True, frozen=True)
class EdgeService:
    """Limits of the upstreams of one service.

    Upstreams answer for their health on ``health_path``; an empty one
    means that they can't be asked.
    """

    name: str
    cold_s: float
    cold_rate: float
    health_path: str = ""


@dataclass(slots=True, frozen=True)
class EdgeWorkspace:
    """Quota and rank of one workspace; a rate of zero is unlimited."""

    name: str
    rate: float
    burst: float
    priority: int
    home_regions: frozenset[str] = NO_HOMES


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """How long (s) callers may stay idle and how much they may send."""

    idle_s: float
    body_bytes: int


@dataclass(slots=True)
class Catalog:
    """One complete configuration, indexed for look-up."""

    version: int
    limits: CallerLimits
    services: dict[str, EdgeService] = field(default_factory=dict)
    workspaces: dict[str, EdgeWorkspace] = field(default_factory=dict)
    owners: dict[str, str] = field(default_factory=dict)
    hosts: dict[str, dict[str, EdgeRoute]] = field(default_factory=dict)

    def add_route(self, route: EdgeRoute) -> None:
        """Index a route by its host and prefix.

        :raises ConfigError: when another route has both.
        """
        routes = self.hosts.setdefault(route.host, {})
        if route.prefix in routes:
            raise ConfigError(
                f"two routes of {route.host} have the prefix "
                f"{route.prefix}; remove one"
            )
        routes[route.prefix] = route

    def add_key(self, key: str, workspace: str) -> None:
        """Let a workspace hold a key.

        :raises ConfigError: when another workspace holds it.
        """
        owner = self.owners.setdefault(key, workspace)
        if owner != workspace:
            raise ConfigError(
                f"the workspaces {owner} and {workspace} hold the same key; "
                "give each its own"
            )

    def check(self) -> None:
        """Check what only the whole configuration shows.

        :raises ConfigError: when a route can't be served.
        """
        for routes in self.hosts.values():
            for route in routes.values():
                self._check_route(route)

    def _check_route(self, route: EdgeRoute) -> None:
        for name, value in (
            ("time-out", route.timeout_s),
            ("objective", route.objective_s),
            ("number of attempts", route.attempts),
        ):
            if not isfinite(value) or value <= 0:
                raise ConfigError(
                    f"route {route.name} has {value} as its {name}; "
                    "give a positive number"
                )
        if not route.destinations:
            raise ConfigError(
                f"no service of route {route.name} has a weight; give one"
            )
        for one in route.destinations:
            if not isfinite(one.weight) or one.weight < 0:
                raise ConfigError(
                    f"route {route.name} gives {one.service} the weight "
                    f"{one.weight}; give a positive number"
                )
            if one.service not in self.services:
                raise ConfigError(
                    f"route {route.name} leads to {one.service}, which is "
                    "no service; add it or change the route"
                )

    def find_route(self, host: str, path: str) -> EdgeRoute | None:
        """Return the route with the longest prefix of the path.

        Prefixes end with a slash, so only the parts of the path up to a
        slash can match.
        """
        routes = self.hosts.get(host)
        if routes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_owner(self, key: str) -> EdgeWorkspace | None:
        """Return the workspace that holds a key."""
        name = self.owners.get(key)
        return self.workspaces.get(name) if name is not None else None


@dataclass(slots=True, frozen=True)
class UpstreamRecord:
    """An upstream as it registered itself.

    ``cold_s`` is how much longer it stays cold, ``started_ms`` the Unix
    millisecond of its start (0 when it is not known) and ``sequence``
    the count of its heartbeats since then.
    """

    name: str
    service: str
    address: str
    domain: str
    version: str
    slots: int
    is_ready: bool
    cold_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """An order to move a service to a version within a time (s).

    ``state`` is the last one written: empty, ``running``, ``completed``
    or ``rolled_back``; ``state_version`` is the version it speaks of.
    """

    service: str
    target: str
    duration_s: float
    revision: int
    created: int
    state: str = ""
    state_version: str = ""

    @property
    def is_settled(self) -> bool:
        """Tell whether the order was carried out or taken back."""
        if self.state_version != self.target:
            return False
        return self.state in ("completed", "rolled_back")
