"""An HTTP server with a limit on open connections."""

from collections import OrderedDict
from itertools import islice
from socket import MSG_DONTWAIT
from socket import MSG_PEEK
from typing import final

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream

from gypsummount._common.body_account import BodyAccount
from gypsummount._common.request_receiver import RequestHandler
from gypsummount._common.request_receiver import RequestReceiver

# Number of idle connections checked for one that can be closed.
MAX_IDLE_CHECKS = 8


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
        account: BodyAccount,
        **options: object,
    ) -> None:
        """Set up the server.

        ``account`` counts the bodies of requests.  ``options`` are passed
        to ``HTTPServer.initialize``.  Tornado calls this method instead of
        ``__init__``.
        """
        super().initialize(handler.receive, **options)
        self._handler = handler
        self._account = account
        self.idle_closed = 0
        self._max_connections = max_connections
        self._streams: set[IOStream] = set()
        self._receiving: set[HTTP1Connection] = set()
        self._idle: OrderedDict[IOStream, None] = OrderedDict()

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._streams)

    def is_transferring(self) -> bool:
        """Tell whether a request or an answer is partly transferred."""
        if self._receiving:
            return True
        return any(stream.writing() for stream in self._streams)

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the delegate that receives the next request."""
        return RequestReceiver(
            self._handler, request_conn, self._receiving, self._account
        )

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection, closing an idle one if over the limit."""
        self._streams.add(stream)
        if self.open_connections > self._max_connections:
            self._close_idle()
        self.mark_idle(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Remove a closed connection from the counts."""
        self._streams.discard(server_conn.stream)
        self._idle.pop(server_conn.stream, None)
        super().on_close(server_conn)

    def mark_busy(self, stream: IOStream) -> None:
        """Mark a connection as serving a request, so that it stays open."""
        self._idle.pop(stream, None)

    def mark_idle(self, stream: IOStream) -> None:
        """Mark an open connection as the most recent idle one."""
        if not stream.closed():
            self._idle[stream] = None
            self._idle.move_to_end(stream)

    def _close_idle(self) -> None:
        """Close the longest idle connection without a pending request."""
        for stream in list(islice(self._idle, MAX_IDLE_CHECKS)):
            if stream.closed():
                del self._idle[stream]
                continue
            if not _awaits_request(stream):
                self._idle.move_to_end(stream)
                continue
            self.idle_closed += 1
            stream.close()
            return


def _awaits_request(stream: IOStream) -> bool:
    """Return whether no byte of a request has arrived, read or unread."""
    if not stream.reading():
        return False
    try:
        return not stream.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
    except OSError:
        return True
