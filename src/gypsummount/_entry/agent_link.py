"""Connection of an entry to the agent of its instance."""

from asyncio import sleep
from collections.abc import Callable

from grpc.aio import AioRpcError

from gypsummount._common.logs import get_logger
from gypsummount._common.rpc import CALL_TIMEOUT_S
from gypsummount._common.rpc import ChannelPool
from gypsummount._proto import peer_pb2
from gypsummount._proto.peer_pb2_grpc import AgentStub

REPORT_PERIOD_S = 0.5
RECONNECT_DELAY_S = 0.5
# Longer than other calls, since the agent writes a claim to the store.
CLAIM_TIMEOUT_S = 6.0

_log = get_logger("link")


class AgentLink:
    """Sends reports to the agent and receives its updates.

    While the agent is down, the entry serves from the last update.
    """

    def __init__(
        self,
        channels: ChannelPool,
        address: str,
        build_report: Callable[[], peer_pb2.EntryReport],
        apply_update: Callable[[peer_pb2.EntryUpdate], None],
    ) -> None:
        self._stub = AgentStub(channels.find(address))
        self._build_report = build_report
        self._apply_update = apply_update
        self._is_connected = False

    async def follow(self) -> None:
        """Receive updates until cancelled; reconnect when the stream ends."""
        while True:
            try:
                async for update in self._stub.Exchange(self._build_report()):
                    self._set_connected(connected=True)
                    self._apply_update(update)
            except AioRpcError:
                self._set_connected(connected=False)
            await sleep(RECONNECT_DELAY_S)

    async def report(self) -> bool:
        """Send one report; return whether the agent has received it."""
        try:
            await self._stub.Report(
                self._build_report(), timeout=CALL_TIMEOUT_S
            )
        except AioRpcError:
            return False
        return True

    async def claim(self, workspace: str, key: str, token: str) -> str | None:
        """Bind an idempotency key to an entry by its token.

        Returns the token that the key is bound to, which differs if it
        was bound before, or None if the binding is not known.
        """
        message = peer_pb2.ClaimRequest(
            workspace=workspace, key=key, token=token
        )
        try:
            reply = await self._stub.Claim(message, timeout=CLAIM_TIMEOUT_S)
        except AioRpcError:
            return None
        return reply.token if reply.known else None

    def _set_connected(self, *, connected: bool) -> None:
        if connected == self._is_connected:
            return
        self._is_connected = connected
        if connected:
            _log.info("Connected to the agent.")
        else:
            _log.warning(
                "Disconnected from the agent; serving from its last update."
            )
