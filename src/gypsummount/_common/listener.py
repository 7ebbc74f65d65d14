"""An HTTP server with a limit on open connections."""

from collections import OrderedDict
from itertools import islice
from socket import MSG_DONTWAIT
from socket import MSG_PEEK
from typing import final

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

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
        request_callback: object,
        *,
        max_connections: int,
        **options: object,
    ) -> None:
        """Set up the server.

        ``options`` are passed to ``HTTPServer.initialize``.  Tornado
        calls this method instead of ``__init__``.
        """
        super().initialize(request_callback, **options)
        self.open_connections = 0
        self.idle_closed = 0
        self._max_connections = max_connections
        self._idle: OrderedDict[IOStream, None] = OrderedDict()

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection, closing an idle one if over the limit."""
        self.open_connections += 1
        if self.open_connections > self._max_connections:
            self._close_idle()
        self.mark_idle(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Remove a closed connection from the counts."""
        self.open_connections -= 1
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
