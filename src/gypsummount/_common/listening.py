"""An HTTP listener that keeps no more connections than it may."""

from collections import OrderedDict
from itertools import islice
from socket import MSG_DONTWAIT
from socket import MSG_PEEK
from typing import final

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

# How many idle connections are looked at to find one that can end.
MOST_LOOKS = 8


@final
class Listener(HTTPServer):
    """Ends the longest idle connection when there are too many.

    A caller that is refused may come back on a new connection each time
    and leave the old ones open.  Without a limit they take all
    descriptors, and then neither callers nor upstreams can be reached.
    """

    def initialize(
        self,
        request_callback: object,
        *,
        most_connections: int,
        **options: object,
    ) -> None:
        """Prepare the listener; the options are those of the base."""
        super().initialize(request_callback, **options)
        self.open = 0
        self.ended_idle = 0
        self._most = most_connections
        self._idle: OrderedDict[IOStream, None] = OrderedDict()

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection."""
        self.open += 1
        if self.open > self._most:
            self._end_idle()
        self.note_idle(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Forget a connection that has ended."""
        self.open -= 1
        self._idle.pop(server_conn.stream, None)
        super().on_close(server_conn)

    def note_busy(self, stream: IOStream) -> None:
        """Record that a request runs on a connection."""
        self._idle.pop(stream, None)

    def note_idle(self, stream: IOStream) -> None:
        """Record that a connection waits for a request."""
        if not stream.closed():
            self._idle[stream] = None
            self._idle.move_to_end(stream)

    def _end_idle(self) -> None:
        """End the longest idle connection on which nothing has come."""
        for stream in list(islice(self._idle, MOST_LOOKS)):
            if stream.closed():
                del self._idle[stream]
                continue
            if not _awaits_request(stream):
                self._idle.move_to_end(stream)
                continue
            self.ended_idle += 1
            stream.close()
            return


def _awaits_request(stream: IOStream) -> bool:
    """Tell whether no byte of a request has come, read or unread."""
    if not stream.reading():
        return False
    try:
        return not stream.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
    except OSError:
        return True
