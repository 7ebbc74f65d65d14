"""The other instances, as known from their digests."""

from dataclasses import dataclass

from gypsummount._core.quotas import PeerQuotas
from gypsummount._core.rotation import count_rounds
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import Echo
from gypsummount._edge.digests import LEAVING
from gypsummount._edge.digests import NO_ECHO
from gypsummount._edge.digests import SERVING

GOSSIP_S = 0.4
LIVE_S = 1.7
MISSED_TURNS = 3
MOST_NEAR = 12
MOST_TARGETS = 16
LEAST_FAR = 6
NAMED_ALONE_S = 5.0
FORGET_S = 40.0
# Time to read the registered instances and get their first digests.
HEARING_S = 2.0
LEAVING_S = 6.0


@dataclass(slots=True)
class Peer:
    """A peer's newest digest and when it was received (boot clock, s)."""

    digest: Digest
    heard_at: float


@dataclass(slots=True, frozen=True)
class Turns:
    """Peers of the own and of other regions in one gossip round."""

    near: int
    far: int


@dataclass(slots=True, frozen=True)
class _Spans:
    """How long (s) a peer counts as live after its last digest."""

    near: float
    far: float

    def find(self, digest: Digest, region: str) -> float:
        return self.near if digest.region == region else self.far


class Peers:
    """The known peers and the latest digest of each.

    In a large fleet a peer gets a digest only every few gossip rounds,
    and peers of other regions get them less often.  A peer therefore
    counts as live for longer the more peers there are.
    """

    def __init__(self, region: str) -> None:
        self._region = region
        self._peers: dict[str, Peer] = {}
        self.heard_at = float("-inf")

    def take(self, digest: Digest, now: float) -> bool:
        """Record a digest; return False if it is outdated."""
        known = self._peers.get(digest.name)
        if known is not None:
            old = known.digest
            if digest.incarnation < old.incarnation:
                return False
            same = digest.incarnation == old.incarnation
            if same and digest.sent_at <= old.sent_at:
                return False
        self._peers[digest.name] = Peer(digest, now)
        self.heard_at = now
        return True

    def is_far(self, name: str) -> bool:
        """Tell whether a peer is known to be in another region."""
        known = self._peers.get(name)
        return known is not None and known.digest.region != self._region

    def find_turns(self) -> Turns:
        """Return how many peers get a digest in one gossip round."""
        near = self.count_region(self._region)
        return Turns(MOST_NEAR, max(LEAST_FAR, MOST_TARGETS - near))

    def find_gap(self, *, is_far: bool) -> float:
        """Return the longest time (s) between two digests of a peer."""
        near = self.count_region(self._region)
        turns = self.find_turns()
        if is_far:
            rounds = count_rounds(len(self._peers) - near, turns.far)
        else:
            rounds = count_rounds(near, turns.near)
        return rounds * GOSSIP_S

    def find_hearing(self) -> float:
        """Return the time (s) from a start until all peers are known."""
        return max(HEARING_S, GOSSIP_S + self.find_gap(is_far=True))

    def _find_spans(self) -> _Spans:
        return _Spans(
            max(LIVE_S, MISSED_TURNS * self.find_gap(is_far=False)),
            max(LIVE_S, MISSED_TURNS * self.find_gap(is_far=True)),
        )

    def find_echo(self, name: str) -> Echo:
        """Return the echo that is sent to a peer with the next digest."""
        known = self._peers.get(name)
        if known is None:
            return NO_ECHO
        return Echo(known.digest.incarnation, known.digest.sent_at)

    def list_live(self, now: float) -> list[Digest]:
        """Return the digests of live peers that are not leaving."""
        spans = self._find_spans()
        return [
            peer.digest
            for peer in self._peers.values()
            if self._is_heard(peer, spans, now)
            and peer.digest.phase != LEAVING
        ]

    def _is_heard(self, peer: Peer, spans: _Spans, now: float) -> bool:
        span = spans.find(peer.digest, self._region)
        return now - peer.heard_at <= span

    def list_known(self) -> list[Digest]:
        """Return the latest digest of every known peer, live or not."""
        return [peer.digest for peer in self._peers.values()]

    def list_named(self, now: float) -> list[Digest]:
        """Return the digests of peers that callers may connect to.

        An instance that receives no digests at all may itself be cut
        off, so it keeps listing its peers for :data:`NAMED_ALONE_S`.
        """
        spans = self._find_spans()
        if now - self.heard_at > LIVE_S:
            longest = max(NAMED_ALONE_S, spans.near)
            spans = _Spans(longest, max(longest, spans.far))
        return [
            peer.digest
            for peer in self._peers.values()
            if self._is_heard(peer, spans, now)
            and peer.digest.phase == SERVING
        ]

    def list_quotas(self, now: float) -> list[PeerQuotas]:
        """Return the quotas that each known peer announced, live or not."""
        spans = self._find_spans()
        return [
            PeerQuotas(self._is_heard(peer, spans, now), peer.digest.quotas)
            for peer in self._peers.values()
        ]

    def list_region(self, region: str) -> list[str]:
        """Return the names of a region's peers that are not leaving."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.digest.region == region and peer.digest.phase != LEAVING
        ]

    def count_region(self, region: str) -> int:
        """Return how many known peers of a region are not leaving."""
        return len(self.list_region(region))

    def forget_old(self, now: float) -> None:
        """Drop peers without a digest for :data:`FORGET_S`.

        Peers that are leaving are dropped after :data:`LEAVING_S`.
        """
        for name, peer in list(self._peers.items()):
            is_leaving = peer.digest.phase == LEAVING
            span = LEAVING_S if is_leaving else FORGET_S
            if now - peer.heard_at > span:
                del self._peers[name]
