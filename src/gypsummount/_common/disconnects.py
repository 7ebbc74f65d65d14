"""Detection of callers that disconnect before their answer is sent."""

from collections.abc import Iterable
from select import poll
from select import POLLRDHUP
from typing import final

from tornado.iostream import IOStream


def find_disconnected(streams: Iterable[IOStream]) -> list[IOStream]:
    """Return the streams whose remote end has closed the connection.

    Polls the sockets for ``POLLRDHUP``, which detects a close even if
    bytes received before it are still unread or the event loop has not
    yet processed it.
    """
    streams_by_descriptor = {}
    disconnected = []
    poller = poll()
    for stream in streams:
        if stream.closed():
            disconnected.append(stream)
            continue
        descriptor = stream.socket.fileno()
        streams_by_descriptor[descriptor] = stream
        poller.register(descriptor, POLLRDHUP)
    if streams_by_descriptor:
        disconnected += [
            streams_by_descriptor[ready] for ready, _ in poller.poll(0)
        ]
    return disconnected


@final
class CallerConnection:
    """The remote end of a connection on which a request is served."""

    __slots__ = ("_stream",)

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream

    def has_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        return bool(find_disconnected((self._stream,)))
