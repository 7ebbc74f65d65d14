"""Configuration and records that an edge instance works with."""

from dataclasses import dataclass
from dataclasses import field
from math import isfinite

from gypsummount.errors import ConfigError

NO_HOME_REGIONS: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Destination:
    """A service that receives a share of a route's requests.

    ``weight`` is relative to the other destinations of the route.
    """

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class EdgeRoute:
    """Rule for the requests to one host below one path prefix.

    A lower ``priority`` is more urgent.  Requests may run only in
    ``home_regions``, or in any region if the set is empty.
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
    home_regions: frozenset[str] = NO_HOME_REGIONS


@dataclass(slots=True, frozen=True)
class EdgeService:
    """Slow start and health check of the upstreams of one service.

    An upstream is cold for ``cold_s`` after its start and then takes
    ``cold_rate`` requests per second from the whole fleet: none if that is
    zero, any number if it is None.  An empty ``health_path`` means that
    there is no health check.
    """

    name: str
    cold_s: float
    cold_rate: float | None
    health_path: str = ""


@dataclass(slots=True, frozen=True)
class EdgeWorkspace:
    """Quota and priority of one workspace; a rate of zero is unlimited.

    ``rate`` is in requests per second, ``burst`` in requests.
    """

    name: str
    rate: float
    burst: float
    priority: int
    home_regions: frozenset[str] = NO_HOME_REGIONS


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on callers: idle time (s) and size of a request body."""

    idle_s: float
    body_bytes: int


@dataclass(slots=True)
class Catalog:
    """One complete configuration, indexed for look-up.

    ``owners`` maps each API key to the name of its workspace, and
    ``hosts`` maps a host to its routes by path prefix.  With
    ``requires_keys``, all routes but the open ones need a key, also if no
    workspace is left that holds one.
    """

    version: int
    limits: CallerLimits
    requires_keys: bool = True
    services: dict[str, EdgeService] = field(default_factory=dict)
    workspaces: dict[str, EdgeWorkspace] = field(default_factory=dict)
    owners: dict[str, str] = field(default_factory=dict)
    hosts: dict[str, dict[str, EdgeRoute]] = field(default_factory=dict)

    def add_route(self, route: EdgeRoute) -> None:
        """Add a route to the index.

        :raises ConfigError: if another route has its host and prefix.
        """
        routes = self.hosts.setdefault(route.host, {})
        if route.prefix in routes:
            raise ConfigError(
                f"two routes of the host {route.host} have the prefix "
                f"{route.prefix}; remove one"
            )
        routes[route.prefix] = route

    def add_key(self, key: str, workspace: str) -> None:
        """Assign a key to a workspace.

        :raises ConfigError: if another workspace holds the key.
        """
        owner = self.owners.setdefault(key, workspace)
        if owner != workspace:
            raise ConfigError(
                f"the workspaces {owner} and {workspace} hold the same key; "
                "give each its own"
            )

    def check(self) -> None:
        """Check all routes against the complete configuration.

        :raises ConfigError: if a route cannot be served.
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
        for destination in route.destinations:
            if not isfinite(destination.weight) or destination.weight < 0:
                raise ConfigError(
                    f"route {route.name} gives {destination.service} "
                    f"the weight {destination.weight}; give a positive number"
                )
            if destination.service not in self.services:
                raise ConfigError(
                    f"route {route.name} leads to {destination.service}, "
                    "which is no service; add it or change the route"
                )

    def find_route(self, host: str, path: str) -> EdgeRoute | None:
        """Return the route whose prefix is the longest match, or None.

        Prefixes end with a slash, so it suffices to look up the path up
        to each of its slashes, the last one first.
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
        """Return the workspace that holds a key, or None."""
        name = self.owners.get(key)
        return self.workspaces.get(name) if name is not None else None


@dataclass(slots=True, frozen=True)
class UpstreamRecord:
    """Registration of an upstream.

    ``cold_s`` is the time (s) for which it stays cold, ``started_ms`` the
    Unix time (ms) of its start, or 0 if unknown, and ``sequence`` the
    number of its heartbeats since that start.
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

    ``state`` is the last state written: empty, ``running``,
    ``completed`` or ``rolled_back``.  ``state_version`` is the version
    that this state refers to.
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
        """Tell whether the order was completed or rolled back."""
        if self.state_version != self.target:
            return False
        return self.state in ("completed", "rolled_back")
