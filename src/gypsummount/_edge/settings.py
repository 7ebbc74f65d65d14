"""Settings of an edge process, independent of any deployment."""

from dataclasses import dataclass
from math import inf

from gypsummount._common.client_limits import ClientLimits

PROOF_MARGIN_S = 1.2
DEFAULT_CONFIG_APPLY_S = 2.5
DEFAULT_DESCRIPTORS = 4096
# The other file descriptors are for upstreams, peers and the store.
CALLER_FRACTION = 0.5
# Each of the readiness, directory, control and metrics ports has this part.
AUXILIARY_FRACTION = 1 / 16
# Memory of a process that holds no bodies, with its connections.
BASE_MEMORY_BYTES = 80_000_000
# Fraction of the other memory that bodies may use; the allocator and the
# sockets need the rest.
BODY_MEMORY_FRACTION = 0.75
# Fraction of the bodies' memory that requests may use.
REQUEST_BODY_FRACTION = 0.75
MIN_BODY_BYTES = 8_000_000


@dataclass(slots=True, frozen=True)
class EdgeBounds:
    """Time limits (s) that the deployment sets.

    A withdrawn key is refused after ``revoke_s`` at the latest, a
    shutdown takes up to ``grace_s``, and callers may cache addresses
    from the directory for ``lookup_ttl_s``.  A new configuration is in
    force everywhere ``config_apply_s`` after it was written.
    """

    revoke_s: float
    grace_s: float
    lookup_ttl_s: float
    config_apply_s: float = DEFAULT_CONFIG_APPLY_S

    @property
    def max_proof_age_s(self) -> float:
        """Return how old (s) a freshness proof for keyed requests may be."""
        return self.revoke_s - PROOF_MARGIN_S


@dataclass(slots=True, frozen=True)
class DutySettings:
    """Duties that one instance of the fleet holds at a time.

    ``address`` is the ``host:port`` of the endpoint, which takes
    ``calls_per_s`` calls a second from all instances together.  A lease
    lasts ``lease_s``.  ``requires_fencing`` tells that the endpoint checks
    tokens; they are sent in any case.  A call that leaves the process up
    to ``thaw_s`` after the end of a freeze is tolerated.  Usage is reported
    by windows of ``report_window_s``, at most ``usage_delay_s`` after the
    end of the window and within ``usage_off`` (a fraction) of the true
    value.
    """

    address: str
    duties: tuple[str, ...]
    calls_per_s: float = 50.0
    requests_per_s: float = 50.0
    requires_fencing: bool = True
    lease_s: float = 3.0
    thaw_s: float = 0.3
    report_window_s: float = 5.0
    usage_off: float = 0.05
    usage_delay_s: float = 10.0


@dataclass(slots=True, frozen=True)
class EdgeSettings:
    """Identity, location, addresses and limits of an edge process.

    ``regions`` maps each failure domain to its region.  ``seeds`` are
    IPs of instances to contact first.  ``descriptors`` is the number of
    file descriptors that the process may open, ``capacity`` its share of
    the processor (cores), and ``memory_bytes`` the memory that it may use,
    0 without a limit.  ``duties`` is None where no duty is configured.
    ``client_limits`` bound what one client costs.  With
    ``uses_dispatchers``, one instance of a region selects the upstreams of
    a service for the others, where the upstreams state their speed.
    """

    instance: str
    host: str
    domain: str
    region: str
    regions: dict[str, str]
    listen: str
    ready_listen: str
    directory_listen: str
    control_listen: str
    peer_port: int
    seeds: tuple[str, ...]
    bounds: EdgeBounds
    descriptors: int = DEFAULT_DESCRIPTORS
    capacity: float = 0.0
    memory_bytes: int = 0
    duties: DutySettings | None = None
    client_limits: ClientLimits = ClientLimits()
    uses_dispatchers: bool = False

    @property
    def max_connections(self) -> int:
        """Return the maximum number of open connections of callers."""
        return int(self.descriptors * CALLER_FRACTION)

    @property
    def max_auxiliary_connections(self) -> int:
        """Return the maximum number of connections of an auxiliary port."""
        return int(self.descriptors * AUXILIARY_FRACTION)

    @property
    def max_body_bytes(self) -> float:
        """Return how many bytes all bodies in memory may have together."""
        if not self.memory_bytes:
            return inf
        spare_bytes = self.memory_bytes - BASE_MEMORY_BYTES
        return max(MIN_BODY_BYTES, spare_bytes * BODY_MEMORY_FRACTION)
