"""An HTTP server with a limit on open connections."""

from collections import Counter
from collections import OrderedDict
from itertools import islice
from socket import MSG_DONTWAIT
from socket import MSG_PEEK
from socket import socket
from typing import final

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer

from gypsummount._common.client_account import ClientAccount
from gypsummount._common.client_session import ClientConnection
from gypsummount._common.client_session import ClientSession
from gypsummount._common.client_stream import ClientStream
from gypsummount._common.client_stream import READ_BYTES
from gypsummount._common.request_receiver import RequestHandler
from gypsummount._common.request_receiver import RequestReceiver

# Number of idle connections checked for one that can be closed.
MAX_IDLE_CHECKS = 8
# Connections with a request may exceed the limit by this factor.
BUSY_FACTOR = 1.25


@final
class Listener(HTTPServer):
    """Closes the longest idle connection when the limit is exceeded.

    A refused caller may retry on a new connection each time and leave
    the old ones open.  Without a limit, these connections use up all
    file descriptors, after which the process can neither accept callers
    nor connect to upstreams.  ``idle_closed`` counts the connections
    closed because of the limit.
    """

    def initialize(
        self,
        handler: RequestHandler,
        *,
        max_connections: int,
        account: ClientAccount,
        **options: object,
    ) -> None:
        """Set up the server.

        ``account`` counts what the clients cost.  ``options`` are passed
        to ``HTTPServer.initialize``.  Tornado calls this method instead of
        ``__init__``.
        """
        super().initialize(
            handler.receive,
            chunk_size=READ_BYTES,
            max_header_size=account.limits.head_bytes,
            **options,
        )
        self._handler = handler
        self._account = account
        self.idle_closed = 0
        self._max_connections = max_connections
        self._max_of_address = account.limits.get_address_connections(
            max_connections
        )
        self._streams: set[ClientStream] = set()
        self._addresses: Counter[str] = Counter()
        self._receiving: set[HTTP1Connection] = set()
        self._idle: OrderedDict[ClientStream, None] = OrderedDict()

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._streams)

    def is_transferring(self) -> bool:
        """Tell whether a request or an answer is partly transferred."""
        if self._receiving:
            return True
        return any(stream.writing() for stream in self._streams)

    def _handle_connection(self, connection: socket, address: tuple) -> None:
        """Accept a connection, as tornado does with streams of its own."""
        try:
            stream = ClientStream(connection, self._account, str(address[0]))
        except OSError:
            connection.close()
            return
        self.handle_stream(stream, address)

    def handle_stream(self, stream: ClientStream, address: tuple) -> None:
        """Serve a new connection, unless there are too many.

        An idle one ends for it if possible.
        """
        self._streams.add(stream)
        self._addresses[stream.address] += 1
        self._account.add_stream(stream)
        self._make_room(stream)
        self.mark_idle(stream)
        session = ClientSession(
            stream,
            self.conn_params,
            self._account,
            self._receive_request,
            self._remove_session,
        )
        self._connections.add(session)
        session.start()

    def _receive_request(
        self, connection: ClientConnection
    ) -> RequestReceiver:
        return RequestReceiver(
            self._handler, connection, self._receiving, self._account
        )

    def _remove_session(self, session: ClientSession) -> None:
        """Remove a closed connection from the counts."""
        stream = session.stream
        self._streams.discard(stream)
        self._idle.pop(stream, None)
        self._addresses[stream.address] -= 1
        if not self._addresses[stream.address]:
            del self._addresses[stream.address]
        self._account.remove_stream(stream)
        self._connections.discard(session)

    def _make_room(self, stream: ClientStream) -> None:
        """Close a connection if there are too many, at worst the new one."""
        held = self._addresses[stream.address]
        is_address_over = held > self._max_of_address
        if not is_address_over and len(self._streams) <= self._max_connections:
            return
        if self._close_idle(stream.address if is_address_over else None):
            return
        if held > self._max_of_address * BUSY_FACTOR:
            self._account.close_stream(stream, "address")
        elif len(self._streams) > self._max_connections * BUSY_FACTOR:
            self._account.close_stream(stream, "connections")

    def mark_busy(self, stream: ClientStream) -> None:
        """Mark a connection as serving a request, so that it stays open."""
        self._idle.pop(stream, None)

    def mark_idle(self, stream: ClientStream) -> None:
        """Mark an open connection as the most recent idle one."""
        if not stream.closed():
            self._idle[stream] = None
            self._idle.move_to_end(stream)

    def _close_idle(self, address: str | None) -> bool:
        """Close the longest idle connection without a pending request.

        ``address`` restricts that to connections of one address.  Return
        whether there was one.
        """
        idle = (
            stream
            for stream in self._idle
            if address is None or stream.address == address
        )
        for stream in list(islice(idle, MAX_IDLE_CHECKS)):
            if stream.closed():
                del self._idle[stream]
                continue
            if not _awaits_request(stream):
                self._idle.move_to_end(stream)
                continue
            self.idle_closed += 1
            stream.close()
            return True
        return False


def _awaits_request(stream: ClientStream) -> bool:
    """Return whether no complete head and no unread byte has arrived.

    A body without progress counts as nothing, so that it can be closed.
    """
    if not stream.reading():
        return False
    if stream.is_reading_body and stream.stalled_since is None:
        return False
    try:
        return not stream.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
    except OSError:
        return True
