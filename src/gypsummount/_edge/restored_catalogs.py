"""Search for a peer with a configuration that a restored store has lost.

Such a peer knows the configuration of the new era and keeps one of an
earlier era in force.  Its digest tells both.
"""

from gypsummount._core.positions import get_era
from gypsummount._edge.digests import Digest
from gypsummount._edge.replica import Replica
from gypsummount._edge.store_feed import Kind

# The readers of the store ask at once, and their followers copy from them.
# An instance that still lacks the configuration then asks itself.
FOLLOWER_DELAY_S = 1.0
RETRY_DELAY_S = 2.0


class KeeperSearch:
    """Finds the peer whose configuration should be fetched, if any."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._seen_at: float | None = None
        # Whether a peer may keep a configuration that is unknown here.  One
        # that does not know the new era yet has not compared it either.
        self.is_pending = False
        self._due_at = float("-inf")

    def find(
        self, live: list[Digest], now: float, *, is_reading: bool
    ) -> Digest | None:
        """Return the peer to ask now, or None."""
        era = get_era(self._replica.changed.get(Kind.CATALOG, 0))
        if era == 0:
            return None
        keeper = max(
            (peer for peer in live if self._may_keep(peer, era)),
            key=lambda peer: peer.catalog_revision,
            default=None,
        )
        self.is_pending = any(_is_earlier(peer, era) for peer in live)
        if keeper is None:
            self._seen_at = None
            return None
        if self._seen_at is None:
            self._seen_at = now
        delay_s = 0.0 if is_reading else FOLLOWER_DELAY_S
        if now < max(self._due_at, self._seen_at + delay_s):
            return None
        self._due_at = now + RETRY_DELAY_S
        return keeper

    def _may_keep(self, peer: Digest, era: int) -> bool:
        """Tell whether a peer keeps a configuration that is unknown here."""
        if get_era(peer.revisions.get(Kind.CATALOG.value, 0)) < era:
            return False
        if not _is_earlier(peer, era):
            return False
        return (
            not self._replica.is_catalog_withheld
            or peer.catalog_revision > self._replica.catalog_revision
        )


def _is_earlier(peer: Digest, era: int) -> bool:
    """Tell whether a peer has a configuration of an earlier era in force."""
    return 0 != peer.catalog_revision and get_era(peer.catalog_revision) < era
