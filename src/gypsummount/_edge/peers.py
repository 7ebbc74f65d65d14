"""The other instances as this one hears them."""

from dataclasses import dataclass

from gypsummount._core.quotas import PeerQuotas
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import Echo
from gypsummount._edge.digests import LEAVING
from gypsummount._edge.digests import NO_ECHO
from gypsummount._edge.digests import SERVING

LIVE_S = 1.7
NAMED_ALONE_S = 5.0
FORGET_S = 40.0
LEAVING_S = 6.0


@dataclass(slots=True)
class Peer:
    """A peer's newest digest and when it was heard (boot clock, s)."""

    digest: Digest
    heard_at: float


class Peers:
    """Who is heard, and what they said last."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}
        self.heard_at = float("-inf")

    def take(self, digest: Digest, now: float) -> bool:
        """Record a digest; False for one that is out of date."""
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

    def find_echo(self, name: str) -> Echo:
        """Return what a peer is told of its latest digest."""
        known = self._peers.get(name)
        if known is None:
            return NO_ECHO
        return Echo(known.digest.incarnation, known.digest.sent_at)

    def list_live(self, now: float) -> list[Digest]:
        """Return the digests of the peers that are heard and stay."""
        return [
            peer.digest
            for peer in self._peers.values()
            if now - peer.heard_at <= LIVE_S and peer.digest.phase != LEAVING
        ]

    def list_known(self) -> list[Digest]:
        """Return the latest digest of every peer that may still live."""
        return [peer.digest for peer in self._peers.values()]

    def list_named(self, now: float) -> list[Digest]:
        """Return the peers that callers may be sent to.

        An instance that hears nobody does not trust its own view and
        goes on naming the others for :data:`NAMED_ALONE_S`.
        """
        span = LIVE_S
        if now - self.heard_at > LIVE_S:
            span = NAMED_ALONE_S
        return [
            peer.digest
            for peer in self._peers.values()
            if now - peer.heard_at <= span and peer.digest.phase == SERVING
        ]

    def list_quotas(self, now: float) -> list[PeerQuotas]:
        """Return what peers said of quotas, heard or not."""
        return [
            PeerQuotas(now - peer.heard_at <= LIVE_S, peer.digest.quotas)
            for peer in self._peers.values()
        ]

    def count_region(self, region: str) -> int:
        """Return how many known peers a region has, heard or not."""
        return sum(
            1
            for peer in self._peers.values()
            if peer.digest.region == region and peer.digest.phase != LEAVING
        )

    def forget_old(self, now: float) -> None:
        """Drop peers that were silent for :data:`FORGET_S`."""
        for name, peer in list(self._peers.items()):
            is_leaving = peer.digest.phase == LEAVING
            span = LEAVING_S if is_leaving else FORGET_S
            if now - peer.heard_at > span:
                del self._peers[name]
