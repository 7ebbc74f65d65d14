"""Pools of keep-alive connections to upstreams.

A connection is reused only after an exchange whose answer was complete.
"""

from asyncio import CancelledError
from asyncio import timeout
from collections.abc import Callable
from dataclasses import dataclass
from socket import AF_INET
from socket import AF_INET6
from socket import IPPROTO_TCP
from socket import SO_KEEPALIVE
from socket import socket
from socket import SOL_SOCKET
from socket import TCP_KEEPCNT
from socket import TCP_KEEPIDLE
from socket import TCP_KEEPINTVL
from socket import TCP_NODELAY
from socket import TCP_USER_TIMEOUT

from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from gypsummount._common.body_account import BodyAccount
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.sockets import split_address
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout
from gypsummount._entry.exchanges import MAX_ANSWER_BYTES
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamConnection
from gypsummount._entry.exchanges import UpstreamRequest

CONNECT_TIMEOUT_S = 1.0
# Time without traffic before the first keep-alive probe, and the interval
# between probes.
KEEPALIVE_IDLE_S = 1
# Unanswered probes after which a connection is closed; Linux applies
# UNACKED_TIMEOUT_MS instead.
KEEPALIVE_COUNT = 2
# Time without an acknowledgement of sent bytes or probes after which a
# connection is closed.
UNACKED_TIMEOUT_MS = 2000
MAX_IDLE_CONNECTIONS = 64
MAX_IDLE_AGE_S = 60.0
# Longest idle time after which a request that must not be repeated may use
# a connection.
MAX_FRESH_AGE_S = 1.0
# Upstreams must keep idle connections longer than this, so an earlier close
# hints at a restart.
EARLY_CLOSE_S = 3.0
# An address may be malformed, with a port out of range for instance.
CONNECT_ERRORS = (
    TimeoutError,
    OSError,
    OverflowError,
    ValueError,
    StreamClosedError,
)


@dataclass(slots=True)
class LastTimeout:
    """Time of the last exchange timeout, shared by several pools.

    The cause of the timeout may also affect other connections, to any
    upstream, that were last used before ``at`` (boot clock, s).
    """

    at: float = 0.0


class ConnectionPool:
    """Connections to one upstream; the most recently used is reused first.

    ``opened`` counts the connections opened since the start.
    ``closed_early`` counts the idle connections that the upstream closed
    less than ``EARLY_CLOSE_S`` seconds after their last use.
    """

    __slots__ = (
        "_account",
        "_host_header",
        "_idle",
        "_last_timeout",
        "_max_fresh_age_s",
        "address",
        "closed_early",
        "opened",
    )

    def __init__(
        self,
        address: str,
        last_timeout: LastTimeout | None = None,
        max_fresh_age_s: float = MAX_FRESH_AGE_S,
        account: BodyAccount | None = None,
    ) -> None:
        self._account = account or BodyAccount()
        self._max_fresh_age_s = max_fresh_age_s
        self._last_timeout = last_timeout or LastTimeout()
        self.address = address
        self._host_header = address
        self._idle: list[UpstreamConnection] = []
        self.opened = 0
        self.closed_early = 0

    @property
    def idle(self) -> int:
        """Return the number of idle connections kept for reuse."""
        return len(self._idle)

    async def send(
        self,
        request: UpstreamRequest,
        timeout_s: float,
        *,
        repeatable: bool,
        new_only: bool = False,
    ) -> UpstreamAnswer:
        """Exchange over an idle connection, or over a new one.

        ``timeout_s`` includes the time to connect.  ``new_only`` skips the
        idle connections.

        :raises ExchangeTimeout: when no complete answer came in time.
        :raises ExchangeError: when no connection could be opened
            (``sent`` is False), or when the exchange failed (``sent`` is
            True, since the upstream may have received the request).
        """
        return await self.build_and_send(
            lambda _: request,
            timeout_s,
            repeatable=repeatable,
            new_only=new_only,
        )

    async def build_and_send(
        self,
        build: Callable[[float], UpstreamRequest],
        timeout_s: float,
        *,
        repeatable: bool,
        new_only: bool = False,
    ) -> UpstreamAnswer:
        """Exchange a request that is built once a connection is open.

        ``build`` gets the remaining time (s).  If it raises, nothing is
        sent and the connection stays in the pool.  A request that must
        not be repeated uses an idle connection only if that was last
        used within ``max_fresh_age_s`` seconds and after the last timeout.
        The path of an older connection may have failed without notice,
        which would leave the outcome of the request unknown.

        :raises ExchangeError: as :meth:`send`.
        """
        started = read_monotonic()
        connection = None
        if not new_only:
            connection = self._take_idle(fresh_only=not repeatable)
        if connection is None:
            connection = await self._open(min(timeout_s, CONNECT_TIMEOUT_S))
        remaining_s = timeout_s - (read_monotonic() - started)
        try:
            request = build(remaining_s)
        except Exception:
            self._return_to_pool(connection)
            raise
        try:
            answer = await connection.exchange(
                request, self._host_header, max(0.001, remaining_s)
            )
        except ExchangeTimeout:
            self._last_timeout.at = read_monotonic()
            self.close()
            raise
        self._return_to_pool(connection)
        return answer

    def close(self) -> None:
        """Close all idle connections; those in use are not affected."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self, *, fresh_only: bool) -> UpstreamConnection | None:
        now = read_monotonic()
        while self._idle:
            connection = self._idle.pop()
            age_s = now - connection.used_at
            if age_s > MAX_IDLE_AGE_S:
                connection.close()
                continue
            if fresh_only and not self._is_fresh(connection, age_s):
                self._idle.append(connection)
                return None
            if connection.is_reusable():
                return connection
            if age_s < EARLY_CLOSE_S:
                self.closed_early += 1
            connection.close()
        return None

    def _is_fresh(self, connection: UpstreamConnection, age_s: float) -> bool:
        is_recent = age_s <= self._max_fresh_age_s
        return is_recent and connection.used_at > self._last_timeout.at

    def _return_to_pool(self, connection: UpstreamConnection) -> None:
        if (
            len(self._idle) >= MAX_IDLE_CONNECTIONS
            or not connection.is_reusable()
        ):
            connection.close()
            return
        self._idle.append(connection)

    async def _open(self, limit_s: float) -> UpstreamConnection:
        host, port = split_address(self.address)
        family = AF_INET6 if ":" in host else AF_INET
        stream = IOStream(
            _create_socket(family), max_buffer_size=2 * MAX_ANSWER_BYTES
        )
        try:
            async with timeout(limit_s):
                await stream.connect((host, port))
        except CONNECT_ERRORS as error:
            stream.close()
            raise ExchangeError(
                f"cannot connect to {self.address} ({error!r}); "
                "look whether it is up",
                sent=False,
            ) from None
        except CancelledError:
            stream.close()
            raise
        self.opened += 1
        return UpstreamConnection(stream, read_monotonic(), self._account)


def _create_socket(family: int) -> socket:
    new_socket = socket(family)
    new_socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    new_socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    new_socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    new_socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    new_socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_COUNT)
    new_socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    return new_socket
