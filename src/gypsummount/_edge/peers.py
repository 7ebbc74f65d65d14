"""The other instances, as known from their digests."""

from dataclasses import dataclass

from gypsummount._core.quotas import PeerQuotas
from gypsummount._core.rotation import count_rounds
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import Echo
from gypsummount._edge.digests import LEAVING
from gypsummount._edge.digests import NO_ECHO
from gypsummount._edge.digests import SERVING

GOSSIP_INTERVAL_S = 0.4
# A peer is live for this many of its longest intervals between digests,
# and for MIN_LIVE_S at least.
MIN_LIVE_S = 1.7
MISSED_DIGESTS = 3
# Limits for the peers that get a digest in one gossip round.
MAX_SAME_REGION = 12
MAX_TARGETS = 16
MIN_OTHER_REGIONS = 6
ISOLATED_ADVERTISE_S = 5.0
PEER_EXPIRY_S = 40.0
# Time to read the registered instances and get their first digests.
MIN_DISCOVERY_S = 2.0
LEAVING_EXPIRY_S = 6.0


@dataclass(slots=True)
class Peer:
    """A peer's newest digest and when it was received (boot clock, s)."""

    digest: Digest
    received_at: float


@dataclass(slots=True, frozen=True)
class Fanout:
    """Numbers of peers that get a digest in one gossip round."""

    same_region: int
    other_regions: int


@dataclass(slots=True, frozen=True)
class _LiveSpans:
    """How long (s) a peer counts as live after its last digest."""

    same_region: float
    other_regions: float

    def get(self, digest: Digest, region: str) -> float:
        return (
            self.same_region if digest.region == region else self.other_regions
        )


class Peers:
    """The known peers and the latest digest of each.

    In a large fleet a peer gets a digest only every few gossip rounds,
    and peers of other regions get them less often.  A peer therefore
    counts as live for longer the more peers there are.
    """

    def __init__(self, region: str) -> None:
        self._region = region
        self._peers: dict[str, Peer] = {}
        self.last_received_at = float("-inf")

    def accept(self, digest: Digest, now: float) -> bool:
        """Record a digest; return False if it is outdated."""
        known = self._peers.get(digest.name)
        if known is not None:
            old = known.digest
            if digest.incarnation < old.incarnation:
                return False
            is_same_start = digest.incarnation == old.incarnation
            if is_same_start and digest.sent_at <= old.sent_at:
                return False
        self._peers[digest.name] = Peer(digest, now)
        self.last_received_at = now
        return True

    def is_other_region(self, name: str) -> bool:
        """Tell whether a peer is known to be in another region."""
        known = self._peers.get(name)
        return known is not None and known.digest.region != self._region

    def get_fanout(self) -> Fanout:
        """Return how many peers get a digest in one gossip round."""
        same_region = self.count_region(self._region)
        return Fanout(
            MAX_SAME_REGION, max(MIN_OTHER_REGIONS, MAX_TARGETS - same_region)
        )

    def compute_max_interval(self, *, is_other_region: bool) -> float:
        """Return the longest time (s) between two digests of a peer."""
        same_region = self.count_region(self._region)
        fanout = self.get_fanout()
        if is_other_region:
            rounds = count_rounds(
                len(self._peers) - same_region, fanout.other_regions
            )
        else:
            rounds = count_rounds(same_region, fanout.same_region)
        return rounds * GOSSIP_INTERVAL_S

    def compute_discovery_time(self) -> float:
        """Return the time (s) from a start until all peers are known."""
        return max(
            MIN_DISCOVERY_S,
            GOSSIP_INTERVAL_S
            + self.compute_max_interval(is_other_region=True),
        )

    def _compute_live_spans(self) -> _LiveSpans:
        return _LiveSpans(
            max(
                MIN_LIVE_S,
                MISSED_DIGESTS
                * self.compute_max_interval(is_other_region=False),
            ),
            max(
                MIN_LIVE_S,
                MISSED_DIGESTS
                * self.compute_max_interval(is_other_region=True),
            ),
        )

    def get_echo(self, name: str) -> Echo:
        """Return the echo that is sent to a peer with the next digest."""
        known = self._peers.get(name)
        if known is None:
            return NO_ECHO
        return Echo(known.digest.incarnation, known.digest.sent_at)

    def list_live(self, now: float) -> list[Digest]:
        """Return the digests of live peers that are not leaving."""
        spans = self._compute_live_spans()
        return [
            peer.digest
            for peer in self._peers.values()
            if self._is_live(peer, spans, now) and peer.digest.phase != LEAVING
        ]

    def _is_live(self, peer: Peer, spans: _LiveSpans, now: float) -> bool:
        span = spans.get(peer.digest, self._region)
        return now - peer.received_at <= span

    def list_known(self) -> list[Digest]:
        """Return the latest digest of every known peer, live or not."""
        return [peer.digest for peer in self._peers.values()]

    def list_advertised(self, now: float) -> list[Digest]:
        """Return the digests of peers that callers may connect to.

        An instance that receives no digests at all may itself be isolated,
        so it keeps listing its peers for :data:`ISOLATED_ADVERTISE_S`.
        """
        spans = self._compute_live_spans()
        if now - self.last_received_at > MIN_LIVE_S:
            min_span_s = max(ISOLATED_ADVERTISE_S, spans.same_region)
            spans = _LiveSpans(
                min_span_s, max(min_span_s, spans.other_regions)
            )
        return [
            peer.digest
            for peer in self._peers.values()
            if self._is_live(peer, spans, now) and peer.digest.phase == SERVING
        ]

    def list_quotas(self, now: float) -> list[PeerQuotas]:
        """Return the quotas that each known peer announced, live or not."""
        spans = self._compute_live_spans()
        return [
            PeerQuotas(self._is_live(peer, spans, now), peer.digest.quotas)
            for peer in self._peers.values()
        ]

    def list_region_names(self, region: str) -> list[str]:
        """Return the names of a region's peers that are not leaving."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.digest.region == region and peer.digest.phase != LEAVING
        ]

    def count_region(self, region: str) -> int:
        """Return how many known peers of a region are not leaving."""
        return len(self.list_region_names(region))

    def remove_expired(self, now: float) -> None:
        """Drop peers without a digest for :data:`PEER_EXPIRY_S`.

        Peers that are leaving are dropped after :data:`LEAVING_EXPIRY_S`.
        """
        for name, peer in list(self._peers.items()):
            is_leaving = peer.digest.phase == LEAVING
            span = LEAVING_EXPIRY_S if is_leaving else PEER_EXPIRY_S
            if now - peer.received_at > span:
                del self._peers[name]
