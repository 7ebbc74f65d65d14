"""Settings of an edge process in the product's own terms."""

from dataclasses import dataclass

PROOF_MARGIN_S = 1.2
DESCRIPTORS = 4096
# The rest is for upstreams, peers and the store.
CALLERS_PART = 0.5


@dataclass(slots=True, frozen=True)
class EdgeBounds:
    """Times (s) and shares that a deployment asks for."""

    revoke_s: float
    grace_s: float
    lookup_ttl_s: float

    @property
    def proof_limit_s(self) -> float:
        """Return how old a proof of the newest keys may be."""
        return self.revoke_s - PROOF_MARGIN_S


@dataclass(slots=True, frozen=True)
class EdgeSettings:
    """Where an edge listens and where it stands.

    ``regions`` maps each failure domain to its region; ``seeds`` are
    IPs of instances that may know others, ``descriptors`` how many a
    process may open.
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
    descriptors: int = DESCRIPTORS

    @property
    def most_connections(self) -> int:
        """Return how many connections of callers are kept."""
        return int(self.descriptors * CALLERS_PART)
