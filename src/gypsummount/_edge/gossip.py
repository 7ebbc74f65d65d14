"""Exchange of digests between instances over UDP."""

from asyncio import DatagramProtocol
from asyncio import DatagramTransport
from asyncio import get_running_loop
from collections.abc import Callable

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.groups import Member
from gypsummount._core.rotation import Rotation
from gypsummount._core.upstream_load import LoadObservation
from gypsummount._edge.bundles import Bundle
from gypsummount._edge.bundles import decode_bundle
from gypsummount._edge.bundles import encode_bundle
from gypsummount._edge.bundles import forward_bundle
from gypsummount._edge.bundles import is_bundle
from gypsummount._edge.bundles import is_forwarded
from gypsummount._edge.bundles import RelayedDigest
from gypsummount._edge.bundles import split_members
from gypsummount._edge.digests import build_datagram
from gypsummount._edge.digests import decode_digest
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import encode_body
from gypsummount._edge.digests import KnownPeer
from gypsummount._edge.peers import MAX_SAME_DOMAIN
from gypsummount._edge.peers import Peers
from gypsummount.errors import RecordInvalid

MARK_BYTES = 2
MAX_KNOWN_PEERS = 12
# Instances without a known domain that get a digest in one round.
MAX_UNKNOWN = 6
# Times between two bundles (s) of the first and the second relay of a domain.
BUNDLE_INTERVALS_S = (1.0, 2.0)

_log = get_logger("gossip")

DigestBuilder = Callable[[tuple[KnownPeer, ...]], Digest]
# Gets a digest and when it was sent (this instance's boot clock, s).
DigestHandler = Callable[[Digest, float], None]
DatagramHandler = Callable[[bytes, str], None]
# Gets loads of upstreams and the time to which their ages refer (this
# instance's boot clock, s).
LoadsHandler = Callable[[dict[str, LoadObservation], float], None]


class Gossip(DatagramProtocol):
    """Sends this instance's digest to peers and receives theirs."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        peers: Peers,
        build_digest: DigestBuilder,
        handle_digest: DigestHandler,
        handle_loads: LoadsHandler,
    ) -> None:
        self._name = name
        self._host = host
        self._port = port
        self._peers = peers
        self._build_digest = build_digest
        self._handle_digest = handle_digest
        self._handle_loads = handle_loads
        self._handlers: dict[bytes, DatagramHandler] = {}
        self._same_region = Rotation()
        self._other_regions = Rotation()
        self._members = Rotation()
        self._unknown = Rotation()
        self._relays: tuple[str, ...] = ()
        self._bundle_due_at = float("-inf")
        self._hosts: dict[str, str] = {}
        self._transport: DatagramTransport | None = None

    @property
    def is_relay(self) -> bool:
        """Tell whether this instance is a relay of its domain."""
        return self._peers.is_grouped and self._name in self._relays

    async def open(self) -> None:
        """Bind the UDP socket to the peer port."""
        loop = get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )

    def close(self) -> None:
        """Close the UDP socket, if it is open."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: DatagramTransport) -> None:
        """Keep the transport of the bound socket, for sending."""
        self._transport = transport

    def add_host(self, name: str, host: str) -> None:
        """Add the instance with an IP to those that get digests."""
        if host != self._host:
            self._hosts[host] = name

    def add_handler(self, mark: bytes, handler: DatagramHandler) -> None:
        """Pass datagrams that begin with a mark of two bytes to a handler.

        The handler also gets the sender's IP.
        """
        self._handlers[mark] = handler

    def add_handlers(self, handlers: dict[bytes, DatagramHandler]) -> None:
        """Add handlers by the marks of their datagrams."""
        self._handlers.update(handlers)

    def send(self, data: bytes, host: str) -> None:
        """Send a datagram to the peer port of a host."""
        if self._transport is not None:
            self._transport.sendto(data, (host, self._port))

    def send_to_next(self) -> None:
        """Send the digest to the next peers in rotation.

        In a large fleet these are members of the own domain, always its
        relays, and instances of which nothing is known yet.
        """
        if self._peers.is_grouped:
            self._send_to_group()
            return
        same_region = []
        other_regions = []
        for host, name in self._hosts.items():
            (
                other_regions
                if self._peers.is_other_region(name)
                else same_region
            ).append(host)
        fanout = self._peers.get_fanout()
        self._send(self._same_region.select(same_region, fanout.same_region))
        self._send(
            self._other_regions.select(other_regions, fanout.other_regions)
        )

    def _send_to_group(self) -> None:
        now = read_monotonic()
        own = self._build_digest(())
        body = encode_body(own)
        self._relays = self._peers.rank_own_relays(
            Member(own.name, own.capacity), now
        )
        members = []
        unknown = []
        relays = []
        for host, name in self._hosts.items():
            if name in self._relays:
                relays.append(host)
            elif self._peers.is_same_domain(name):
                members.append(host)
            elif not self._peers.is_known(name):
                unknown.append(host)
        self._send_body(
            body,
            [
                *relays,
                *self._members.select(members, MAX_SAME_DOMAIN - len(relays)),
                *self._unknown.select(unknown, MAX_UNKNOWN),
            ],
        )
        self._send_bundles(own, now)

    def _send_bundles(self, own: Digest, now: float) -> None:
        """Send the domain's state to other domains, if this is a relay."""
        if self._name not in self._relays or now < self._bundle_due_at:
            return
        rank = self._relays.index(self._name)
        self._bundle_due_at = now + BUNDLE_INTERVALS_S[rank]
        parts = self._build_bundles(own, now)
        for relays in self._peers.rank_relays(now).values():
            relay = relays[min(rank, len(relays) - 1)]
            self._send_parts(parts, [relay.host])

    def _build_bundles(self, own: Digest, now: float) -> list[bytes]:
        members = [RelayedDigest(own, 0.0), *self._peers.list_members(now)]
        return [
            encode_bundle(Bundle(own.domain, part))
            for part in split_members(members)
        ]

    def _send_parts(self, parts: list[bytes], hosts: list[str]) -> None:
        for host in hosts:
            for part in parts:
                self._transport.sendto(part, (host, self._port))

    def send_to_all(self) -> None:
        """Send the digest to every peer at once, as before a shutdown."""
        self._send(list(self._hosts))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram; ignore outdated digests."""
        handler = self._handlers.get(data[:MARK_BYTES])
        try:
            if handler is not None:
                handler(data, addr[0])
            elif is_bundle(data):
                self._receive_bundle(data)
            else:
                self._receive_digest(decode_digest(data))
        except RecordInvalid as error:
            _log.warning("Ignored a datagram from %s: %s", addr[0], error)

    def _receive_digest(self, digest: Digest) -> None:
        now = read_monotonic()
        if digest.name == self._name or not self._peers.accept(digest, now):
            return
        self.add_host(digest.name, digest.host)
        for peer in digest.known:
            if peer.host not in self._hosts:
                self.add_host(peer.name, peer.host)
        self._handle_digest(digest, now)

    def _receive_bundle(self, data: bytes) -> None:
        bundle = decode_bundle(data, self._peers.is_newer)
        now = read_monotonic()
        for member in self._peers.accept_bundle(bundle, now):
            digest = member.digest
            self.add_host(digest.name, digest.host)
            self._handle_digest(digest, now - member.age_s)
        self._handle_loads(bundle.loads, now)
        if self._name in self._relays and not is_forwarded(data):
            hosts = [
                host
                for host, name in self._hosts.items()
                if self._peers.is_same_domain(name)
            ]
            self._send_parts([forward_bundle(data)], hosts)

    def error_received(self, exc: Exception) -> None:
        """Log that a peer's host refused a datagram."""
        _log.debug("A peer refused a datagram; gossip continues: %s", exc)

    def _send(self, hosts: list[str]) -> None:
        if not hosts:
            return
        known = tuple(
            KnownPeer(peer.name, peer.host)
            for peer in self._peers.list_known()[:MAX_KNOWN_PEERS]
        )
        self._send_body(encode_body(self._build_digest(known)), hosts)

    def _send_body(self, body: bytes, hosts: list[str]) -> None:
        for host in hosts:
            echo = self._peers.get_echo(self._hosts[host])
            self._transport.sendto(
                build_datagram(echo, body), (host, self._port)
            )
