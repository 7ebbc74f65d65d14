"""Detection of callers that disconnect before their answer is sent."""

from collections.abc import Iterable
from select import poll
from select import POLLRDHUP
from typing import final

from tornado.iostream import IOStream


def find_left(streams: Iterable[IOStream]) -> list[IOStream]:
    """Return the streams whose remote end has closed the connection.

    Polls the sockets for ``POLLRDHUP``, which detects a close even if
    bytes received before it are still unread or the event loop has not
    yet processed it.
    """
    watched = {}
    left = []
    poller = poll()
    for stream in streams:
        if stream.closed():
            left.append(stream)
            continue
        descriptor = stream.socket.fileno()
        watched[descriptor] = stream
        poller.register(descriptor, POLLRDHUP)
    if watched:
        left += [watched[found] for found, _ in poller.poll(0)]
    return left


@final
class Caller:
    """The remote end of a connection on which a request is served."""

    __slots__ = ("_stream",)

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream

    def has_left(self) -> bool:
        """Return whether the caller has closed its connection."""
        return bool(find_left((self._stream,)))
