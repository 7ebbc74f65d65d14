"""Choice of the peer from which an instance copies its records."""

from dataclasses import dataclass
from random import shuffle

from gypsummount._core.groups import Member
from gypsummount._core.groups import MIN_RELAYED_MEMBERS
from gypsummount._core.groups import rank_relays
from gypsummount._core.readers import choose_reader
from gypsummount._core.readers import Contact
from gypsummount._core.readers import ReaderCandidate
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import SERVING
from gypsummount._edge.settings import EdgeSettings


@dataclass(slots=True, frozen=True)
class Source:
    """A peer whose records are copied; the name of a seed is not known."""

    name: str
    host: str


class Sources:
    """Chooses between the region's reader, a relay and the store.

    In a large fleet the members of a domain copy from its relay, which
    copies from the region's reader.
    """

    def __init__(self, settings: EdgeSettings) -> None:
        self._settings = settings
        self._live: list[Digest] = []
        self._is_grouped = False
        self._retry_at: dict[str, float] = {}

    @property
    def is_grouped(self) -> bool:
        """Tell whether the fleet is large."""
        return self._is_grouped

    @property
    def live(self) -> list[Digest]:
        """Return the latest digests of the live peers."""
        return self._live

    def set_live_peers(self, live: list[Digest], *, is_grouped: bool) -> None:
        """Set the live peers; ``is_grouped`` tells of a large fleet."""
        self._live = live
        self._is_grouped = is_grouped

    def mark_failed(self, host: str, until: float) -> None:
        """Choose no peer at a host until a time (boot clock, s)."""
        self._retry_at[host] = until

    def is_available(self, host: str, now: float) -> bool:
        """Tell whether the peer at a host has not failed recently."""
        return self._retry_at.get(host, 0.0) <= now

    def choose(
        self, contact: Contact, now: float, *, is_reading: bool
    ) -> Source | None:
        """Return the peer to copy from, or None to read the store.

        ``contact`` is this instance's own contact with the store.  One
        that ``is_reading`` goes on until the region's reader reads, as
        two that follow each other would both miss all changes.
        """
        own = self._settings
        peers = self._find_candidates(now)
        candidates = [
            ReaderCandidate(peer.name, Contact(peer.contact), peer.capacity)
            for peer in peers.values()
        ]
        candidates.append(ReaderCandidate(own.instance, contact, own.capacity))
        reader = peers.get(choose_reader(candidates) or "")
        if reader is None:
            return None
        if is_reading and Contact(reader.contact) is not Contact.CONNECTED:
            return None
        chosen = self._find_relay(peers, reader) or reader
        return Source(chosen.name, chosen.host)

    def choose_for_start(self, now: float) -> Source | None:
        """Return a peer or seed to copy from before digests have come."""
        found = [
            Source(peer.name, peer.host)
            for peer in self._find_candidates(now).values()
        ]
        if not found:
            found = [Source("", host) for host in self._settings.seeds]
        available = [
            source for source in found if self.is_available(source.host, now)
        ]
        shuffle(available)
        return available[0] if available else None

    def _find_candidates(self, now: float) -> dict[str, Digest]:
        return {
            peer.name: peer
            for peer in self._live
            if peer.region == self._settings.region
            and peer.phase == SERVING
            and self.is_available(peer.host, now)
        }

    def _find_relay(
        self, peers: dict[str, Digest], reader: Digest
    ) -> Digest | None:
        """Return the relay to use instead of the reader, if any."""
        own = self._settings
        if not self._is_grouped or reader.domain == own.domain:
            return None
        members = [Member(own.instance, own.capacity)]
        members.extend(
            Member(peer.name, peer.capacity)
            for peer in peers.values()
            if peer.domain == own.domain
        )
        if len(members) < MIN_RELAYED_MEMBERS:
            return None
        return peers.get(rank_relays(members)[0])
