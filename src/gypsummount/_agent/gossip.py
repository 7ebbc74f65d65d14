"""Gossip between agents, and fetching of newer documents."""

from asyncio import gather
from random import Random

from grpc.aio import AioRpcError

from gypsummount._agent.documents import ConfigDocument
from gypsummount._agent.documents import KeysDocument
from gypsummount._agent.state import AgentState
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.rpc import CALL_LIMIT_S
from gypsummount._common.rpc import Channels
from gypsummount._common.wire import pack_member
from gypsummount._common.wire import unpack_key
from gypsummount._common.wire import unpack_member
from gypsummount._proto import peer_pb2
from gypsummount._proto.peer_pb2_grpc import AgentStub

PEERS_A_ROUND = 2
GOSSIP_PERIOD_S = 0.5

_log = get_logger("gossip")


class Gossip:
    """Exchanges member tables with a few peers each round."""

    def __init__(
        self, state: AgentState, channels: Channels, random: Random
    ) -> None:
        self._state = state
        self._channels = channels
        self._random = random

    async def run_round(self) -> None:
        """Exchange with a few peers and forget old members."""
        self._state.refresh_own()
        self._state.members.forget_old(read_monotonic())
        addresses = self._list_addresses()
        count = min(PEERS_A_ROUND, len(addresses))
        chosen = self._random.sample(addresses, count)
        await gather(*(self._exchange(address) for address in chosen))
        await self._channels.close_unused(set(addresses))
        self._state.notify()

    def answer(self, digest: peer_pb2.Digest) -> peer_pb2.Digest:
        """Merge a peer's digest and return the own one."""
        self._merge(digest)
        return self._build_digest()

    def _build_digest(self) -> peer_pb2.Digest:
        members = self._state.members.list_digest(read_monotonic())
        return peer_pb2.Digest(
            members=[pack_member(member) for member in members]
        )

    def _merge(self, digest: peer_pb2.Digest) -> None:
        members = [unpack_member(member) for member in digest.members]
        before = self._state.members.collect_vetoes()
        self._state.members.merge(members, read_monotonic())
        if self._state.members.collect_vetoes() != before:
            self._state.notify()

    async def _exchange(self, address: str) -> None:
        stub = AgentStub(self._channels.find(address))
        try:
            digest = await stub.Gossip(
                self._build_digest(), timeout=CALL_LIMIT_S
            )
            self._merge(digest)
            if self._is_behind(digest):
                await self._fetch(stub)
        except AioRpcError:
            return

    def _is_behind(self, digest: peer_pb2.Digest) -> bool:
        if not digest.members:
            return False
        peer = digest.members[0]
        return (
            peer.config_serial > self._state.config.serial
            or peer.keys_serial > self._state.keys.serial
        )

    async def _fetch(self, stub: AgentStub) -> None:
        request = peer_pb2.FetchRequest(
            config_serial=self._state.config.serial,
            keys_serial=self._state.keys.serial,
        )
        reply = await stub.Fetch(request, timeout=CALL_LIMIT_S)
        if reply.HasField("config"):
            document = ConfigDocument(
                reply.config.serial, "peer", reply.config.text
            )
            if self._state.take_config(document):
                _log.info("Took configuration %d of a peer.", document.serial)
        if reply.HasField("keys"):
            records = [unpack_key(record) for record in reply.keys.records]
            self._state.take_keys(
                KeysDocument(reply.keys.serial, "peer", records)
            )

    def _list_addresses(self) -> list[str]:
        own = self._state.settings.listen
        known = {member.address for member in self._state.members.list_known()}
        known.update(self._state.settings.seeds)
        known.update(self._state.listed.values())
        known.discard(own)
        return sorted(known)
