"""gRPC servers and channels between the product's own processes."""

from contextlib import AsyncExitStack

from grpc.aio import Channel
from grpc.aio import insecure_channel
from grpc.aio import Server
from grpc.aio import server as create_server

from gypsummount._common.clocks import read_monotonic
from gypsummount.errors import SettingError

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
CALL_TIMEOUT_S = 1.0
# Time for calls in progress to complete when a server stops.
STOP_GRACE_S = 0.5
UNUSED_TIMEOUT_S = 90.0

_OPTIONS = (
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    # Makes it an error to listen on a port that another process uses.
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    # 0 means that idle connections are pinged without limit.
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.enable_http_proxy", 0),
)


class ChannelPool:
    """Shares one gRPC channel per peer address."""

    __slots__ = ("_channels", "_last_needed_at")

    def __init__(self) -> None:
        self._channels: dict[str, Channel] = {}
        self._last_needed_at: dict[str, float] = {}

    def find(self, address: str) -> Channel:
        """Return the channel to an address; open it if there is none."""
        channel = self._channels.get(address)
        if channel is None:
            channel = insecure_channel(address, options=_OPTIONS)
            self._channels[address] = channel
        self._last_needed_at[address] = read_monotonic()
        return channel

    async def close_unused(self, needed: set[str]) -> None:
        """Close channels that have not been needed for some time.

        A channel is closed when its address has neither been in
        ``needed`` nor passed to :meth:`find` for
        :data:`UNUSED_TIMEOUT_S` seconds.  It stays open that long because
        a peer that is only temporarily unreachable may still be
        answering a request.
        """
        now = read_monotonic()
        for address in list(self._channels):
            if address in needed:
                self._last_needed_at[address] = now
            elif now - self._last_needed_at[address] > UNUSED_TIMEOUT_S:
                await self._close_channel(address)

    async def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels):
            await self._close_channel(address)

    async def _close_channel(self, address: str) -> None:
        del self._last_needed_at[address]
        await self._channels.pop(address).close()


def open_server(flag: str, address: str) -> Server:
    """Return a server that is bound to an address but not started.

    ``flag`` is the setting to name in the error.

    :raises SettingError: when the port is in use or the address is not
        local.
    """
    server = create_server(options=_OPTIONS)
    try:
        bound_port = server.add_insecure_port(address)
    except RuntimeError:
        bound_port = 0
    if bound_port == 0:
        raise SettingError(
            f"{flag}: cannot listen on {address}; stop the other process "
            "or choose another port"
        )
    return server


async def start_server(stack: AsyncExitStack, server: Server) -> None:
    """Start a server; it is stopped when the stack closes."""
    await server.start()
    stack.push_async_callback(server.stop, STOP_GRACE_S)
