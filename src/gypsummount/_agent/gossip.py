"""Gossip between agents, and fetching of newer documents from peers."""

from asyncio import gather
from random import Random

from grpc.aio import AioRpcError

from gypsummount._agent.documents import ConfigDocument
from gypsummount._agent.documents import KeysDocument
from gypsummount._agent.state import AgentState
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.peer_messages import pack_beat
from gypsummount._common.peer_messages import pack_member
from gypsummount._common.peer_messages import unpack_beat
from gypsummount._common.peer_messages import unpack_key
from gypsummount._common.peer_messages import unpack_member
from gypsummount._common.rpc import CALL_TIMEOUT_S
from gypsummount._common.rpc import ChannelPool
from gypsummount._core.membership import get_phases
from gypsummount._core.membership import Phases
from gypsummount._core.membership import RecordVersion
from gypsummount._proto import peer_pb2
from gypsummount._proto.peer_pb2_grpc import AgentStub

PEERS_PER_ROUND = 2
# Used for one round after a change of phase of the agent or its entries.
PEERS_ON_CHANGE = 32
GOSSIP_PERIOD_S = 0.5

_log = get_logger("gossip")


class Gossip:
    """Exchanges member tables with a few random peers in each round."""

    def __init__(
        self, state: AgentState, channels: ChannelPool, random: Random
    ) -> None:
        self._state = state
        self._channels = channels
        self._random = random
        self._peer_versions: dict[str, dict[str, RecordVersion]] = {}
        self._announced_phases: Phases | None = None

    async def run_round(self) -> None:
        """Remove expired members, and exchange tables with random peers."""
        self._state.refresh_own_record()
        self._state.members.remove_expired(read_monotonic())
        addresses = self._list_addresses()
        count = min(self._count_peers(), len(addresses))
        chosen = self._random.sample(addresses, count)
        await gather(*(self._exchange(address) for address in chosen))
        await self._channels.close_unused(set(addresses))

    def _count_peers(self) -> int:
        """Return how many peers to contact in this round.

        A change of phase is sent to many peers at once: look-ups must
        leave out a leaving entry well before it stops, and gossip with
        a few peers in each round would spread the change too slowly.
        """
        phases = get_phases(self._state.members.own)
        if phases == self._announced_phases:
            return PEERS_PER_ROUND
        self._announced_phases = phases
        return PEERS_ON_CHANGE

    def answer(self, digest: peer_pb2.Digest) -> peer_pb2.Digest:
        """Merge a peer's digest and return the digest for the peer."""
        self._merge(digest)
        return self._build_digest(digest.sender)

    def _build_digest(self, peer: str) -> peer_pb2.Digest:
        """Return all heartbeats, and the records that the peer lacks.

        Which records it has is known from its last digest; a peer from
        which no digest has come gets all records.
        """
        now = read_monotonic()
        members = self._state.members
        versions = self._peer_versions.get(peer, {})
        return peer_pb2.Digest(
            members=[
                pack_member(member)
                for member in members.list_newer(versions, now)
            ],
            beats=[pack_beat(beat) for beat in members.list_beats(now)],
            sender=self._state.settings.address,
        )

    def _merge(self, digest: peer_pb2.Digest) -> None:
        now = read_monotonic()
        table = self._state.members
        beats = [unpack_beat(beat) for beat in digest.beats]
        self._peer_versions[digest.sender] = {
            beat.instance: beat.version for beat in beats
        }
        before = table.collect_urgent()
        table.merge([unpack_member(member) for member in digest.members], now)
        table.merge_beats(beats, now)
        if table.collect_urgent() != before:
            self._state.notify()

    async def _exchange(self, address: str) -> None:
        stub = AgentStub(self._channels.find(address))
        try:
            digest = await stub.Gossip(
                self._build_digest(address), timeout=CALL_TIMEOUT_S
            )
            self._merge(digest)
            if self._is_behind(digest):
                await self._fetch(stub)
        except AioRpcError:
            # The peer may have restarted without any records, so the next
            # digest for it contains all of them.
            self._peer_versions.pop(address, None)

    def _is_behind(self, digest: peer_pb2.Digest) -> bool:
        for member in self._state.members.list_known():
            if member.address == digest.sender:
                return (
                    member.config_serial > self._state.config.serial
                    or member.keys_serial > self._state.keys.serial
                )
        return False

    async def _fetch(self, stub: AgentStub) -> None:
        request = peer_pb2.FetchRequest(
            config_serial=self._state.config.serial,
            keys_serial=self._state.keys.serial,
        )
        reply = await stub.Fetch(request, timeout=CALL_TIMEOUT_S)
        if reply.HasField("config"):
            document = ConfigDocument(
                reply.config.serial, "peer", reply.config.text
            )
            if self._state.apply_config(document):
                _log.info(
                    "Applied configuration %d, fetched from a peer.",
                    document.serial,
                )
        if reply.HasField("keys"):
            records = [unpack_key(record) for record in reply.keys.records]
            self._state.apply_keys(
                KeysDocument(reply.keys.serial, "peer", records)
            )

    def _list_addresses(self) -> list[str]:
        own = self._state.settings.address
        known = {member.address for member in self._state.members.list_known()}
        known.update(self._state.settings.seeds)
        known.update(self._state.listed_instances.values())
        known.discard(own)
        return sorted(known)
