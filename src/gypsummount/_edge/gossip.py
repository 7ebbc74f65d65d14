"""Exchange of digests between instances over UDP."""

from asyncio import DatagramProtocol
from asyncio import DatagramTransport
from asyncio import get_running_loop
from collections.abc import Callable

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.rotation import Rotation
from gypsummount._edge.digests import build_datagram
from gypsummount._edge.digests import decode_digest
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import encode_body
from gypsummount._edge.digests import KnownPeer
from gypsummount._edge.peers import Peers
from gypsummount.errors import RecordInvalid

MAX_KNOWN_PEERS = 12

_log = get_logger("gossip")

DigestBuilder = Callable[[tuple[KnownPeer, ...]], Digest]
DigestHandler = Callable[[Digest], None]


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
    ) -> None:
        self._name = name
        self._host = host
        self._port = port
        self._peers = peers
        self._build_digest = build_digest
        self._handle_digest = handle_digest
        self._same_region = Rotation()
        self._other_regions = Rotation()
        self._hosts: dict[str, str] = {}
        self._transport: DatagramTransport | None = None

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

    def send_to_next(self) -> None:
        """Send the digest to the next peers in rotation."""
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

    def send_to_all(self) -> None:
        """Send the digest to every peer at once, as before a shutdown."""
        self._send(list(self._hosts))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and handle a peer's digest; ignore outdated ones."""
        try:
            digest = decode_digest(data)
        except RecordInvalid as error:
            _log.warning("Ignored a datagram from %s: %s", addr[0], error)
            return
        now = read_monotonic()
        if digest.name == self._name or not self._peers.accept(digest, now):
            return
        self.add_host(digest.name, digest.host)
        for peer in digest.known:
            if peer.host not in self._hosts:
                self.add_host(peer.name, peer.host)
        self._handle_digest(digest)

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
        body = encode_body(self._build_digest(known))
        for host in hosts:
            echo = self._peers.get_echo(self._hosts[host])
            self._transport.sendto(
                build_datagram(echo, body), (host, self._port)
            )
