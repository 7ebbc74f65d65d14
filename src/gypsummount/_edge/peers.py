"""The other instances, as known from their digests."""

from dataclasses import dataclass

from gypsummount._core.groups import Member
from gypsummount._core.groups import MIN_FLEET
from gypsummount._core.groups import rank_relays
from gypsummount._core.quotas import PeerQuotas
from gypsummount._core.quotas import QuotaDemand
from gypsummount._core.rotation import count_rounds
from gypsummount._edge.bundles import Bundle
from gypsummount._edge.bundles import RelayedDigest
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
# Members of the own domain that get a digest in one round of a large fleet.
MAX_SAME_DOMAIN = 8
# How long a member of another domain counts as live after the digest that its
# relay passed on was sent.
RELAYED_LIVE_S = 4.0
ISOLATED_ADVERTISE_S = 5.0
PEER_EXPIRY_S = 40.0
# Time to read the registered instances and get their first digests.
MIN_DISCOVERY_S = 2.0
GROUP_DISCOVERY_S = 5.0
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
    """How long (s) a peer counts as live after its last digest.

    Peers that are near exchange digests more often than others.
    """

    near: float
    far: float

    def get(self, *, is_near: bool) -> float:
        return self.near if is_near else self.far


class Peers:
    """The known peers and the latest digest of each.

    A peer gets a digest only every few gossip rounds, and peers of other
    regions get them less often.  A peer therefore counts as live for longer
    the more peers there are.  In a large fleet only the members of a domain
    exchange digests, and relays pass the others on (:mod:`_core.groups`).
    """

    def __init__(self, region: str, domain: str = "") -> None:
        self._region = region
        self._domain = domain
        self._peers: dict[str, Peer] = {}
        self.last_received_at = float("-inf")

    def accept(self, digest: Digest, now: float) -> bool:
        """Record a digest; return False if it is outdated."""
        if not self.is_newer(digest.name, digest.incarnation, digest.sent_at):
            return False
        self._peers[digest.name] = Peer(digest, now)
        self.last_received_at = now
        return True

    def is_newer(self, name: str, incarnation: int, sent_at: float) -> bool:
        """Tell whether a digest is newer than the known one of a peer."""
        known = self._peers.get(name)
        if known is None:
            return True
        old = known.digest
        return (incarnation, sent_at) > (old.incarnation, old.sent_at)

    @property
    def is_grouped(self) -> bool:
        """Tell whether the fleet is large enough to be divided into groups."""
        return len(self._peers) + 1 >= MIN_FLEET

    def accept_bundle(self, bundle: Bundle, now: float) -> list[RelayedDigest]:
        """Record a domain's state; return the digests that are newer."""
        if bundle.domain == self._domain:
            return []
        return [
            member
            for member in bundle.members
            if self._accept_relayed(member, now)
        ]

    def _accept_relayed(self, member: RelayedDigest, now: float) -> bool:
        digest = member.digest
        if digest.domain == self._domain or not self.accept(digest, now):
            return False
        self._peers[digest.name].received_at = now - member.age_s
        return True

    def is_same_domain(self, name: str) -> bool:
        """Tell whether a peer is known to be in the own domain."""
        known = self._peers.get(name)
        return known is not None and known.digest.domain == self._domain

    def is_known(self, name: str) -> bool:
        """Tell whether a peer's digest has been received."""
        return name in self._peers

    def list_members(self, now: float) -> list[RelayedDigest]:
        """Return the digests of the own domain's peers and their ages."""
        return [
            RelayedDigest(peer.digest, now - peer.received_at)
            for peer in self._peers.values()
            if peer.digest.domain == self._domain
        ]

    def rank_relays(self, now: float) -> dict[str, tuple[Digest, ...]]:
        """Return the relays of each other domain, the ablest first."""
        by_domain: dict[str, list[Digest]] = {}
        for digest in self.list_live(now):
            if digest.phase == SERVING and digest.domain != self._domain:
                by_domain.setdefault(digest.domain, []).append(digest)
        return {
            domain: _rank(digests) for domain, digests in by_domain.items()
        }

    def rank_own_relays(self, own: Member, now: float) -> tuple[str, ...]:
        """Return the names of the own domain's relays, the ablest first."""
        members = [own]
        members.extend(
            Member(digest.name, digest.capacity)
            for digest in self.list_live(now)
            if digest.phase == SERVING and digest.domain == self._domain
        )
        return rank_relays(members)

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
        if self.is_grouped:
            return GROUP_DISCOVERY_S
        return max(
            MIN_DISCOVERY_S,
            GOSSIP_INTERVAL_S
            + self.compute_max_interval(is_other_region=True),
        )

    def _compute_live_spans(self) -> _LiveSpans:
        if self.is_grouped:
            rounds = count_rounds(self._count_members(), MAX_SAME_DOMAIN)
            interval_s = rounds * GOSSIP_INTERVAL_S
            return _LiveSpans(
                max(MIN_LIVE_S, MISSED_DIGESTS * interval_s), RELAYED_LIVE_S
            )
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

    def _count_members(self) -> int:
        return sum(
            1
            for peer in self._peers.values()
            if peer.digest.domain == self._domain
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
        near_since = now - spans.near
        far_since = now - spans.far
        is_grouped = self.is_grouped
        live = []
        for peer in self._peers.values():
            digest = peer.digest
            if is_grouped:
                is_near = digest.domain == self._domain
            else:
                is_near = digest.region == self._region
            if peer.received_at < (near_since if is_near else far_since):
                continue
            if digest.phase != LEAVING:
                live.append(digest)
        return live

    def _is_live(self, peer: Peer, spans: _LiveSpans, now: float) -> bool:
        digest = peer.digest
        if self.is_grouped:
            is_near = digest.domain == self._domain
        else:
            is_near = digest.region == self._region
        return now - peer.received_at <= spans.get(is_near=is_near)

    def list_known(self) -> list[Digest]:
        """Return the latest digest of every known peer, live or not."""
        return [peer.digest for peer in self._peers.values()]

    def list_ages(self, now: float) -> list[RelayedDigest]:
        """Return the latest digest of every known peer and its age."""
        return [
            RelayedDigest(peer.digest, now - peer.received_at)
            for peer in self._peers.values()
        ]

    def list_advertised(self, now: float) -> list[Digest]:
        """Return the digests of peers that callers may connect to.

        An instance that receives no digests at all may itself be isolated,
        so it keeps listing its peers for :data:`ISOLATED_ADVERTISE_S`.
        """
        spans = self._compute_live_spans()
        if now - self.last_received_at > MIN_LIVE_S:
            min_span_s = max(ISOLATED_ADVERTISE_S, spans.near)
            spans = _LiveSpans(min_span_s, max(min_span_s, spans.far))
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

    def list_region_quotas(self, now: float) -> list[PeerQuotas]:
        """Return the sums of what each other region announced.

        A region counts as live while any of its instances does, and then
        only those count.
        """
        live: dict[str, list[Digest]] = {}
        known: dict[str, list[Digest]] = {}
        spans = self._compute_live_spans()
        for peer in self._peers.values():
            region = peer.digest.region
            if region == self._region:
                continue
            known.setdefault(region, []).append(peer.digest)
            if self._is_live(peer, spans, now):
                live.setdefault(region, []).append(peer.digest)
        return [
            PeerQuotas(region in live, _add_up(live.get(region, digests)))
            for region, digests in known.items()
        ]

    def list_live_in_region(self, now: float) -> list[Digest]:
        """Return the digests of serving live peers of the own region."""
        return [
            digest
            for digest in self.list_live(now)
            if digest.region == self._region and digest.phase == SERVING
        ]

    def list_region_names(self, region: str) -> list[str]:
        """Return the names of a region's peers that are not leaving."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.digest.region == region and peer.digest.phase != LEAVING
        ]

    def list_own_region_names(self) -> list[str]:
        """Return the names of the own region's peers not leaving."""
        return self.list_region_names(self._region)

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


def _rank(digests: list[Digest]) -> tuple[Digest, ...]:
    by_name = {digest.name: digest for digest in digests}
    names = rank_relays(
        Member(digest.name, digest.capacity) for digest in digests
    )
    return tuple(by_name[name] for name in names)


def _add_up(digests: list[Digest]) -> dict[str, QuotaDemand]:
    """Return the sums of the demands and shares that digests announce."""
    sums: dict[str, QuotaDemand] = {}
    for digest in digests:
        for name, quota in digest.quotas.items():
            known = sums.get(name)
            if known is not None:
                sums[name] = QuotaDemand(
                    known.demand + quota.demand, known.share + quota.share
                )
            else:
                sums[name] = quota
    return sums
