"""Callers that have closed their connection before their answer."""

from collections.abc import Iterable
from select import poll
from select import POLLRDHUP
from typing import final

from tornado.iostream import IOStream


def find_left(streams: Iterable[IOStream]) -> list[IOStream]:
    """Return the streams whose far end has closed.

    Asks the kernel, so a close counts also while bytes before it are
    unread or the event loop has not come to it.
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
    """The far end of a connection that waits for an answer."""

    __slots__ = ("_stream",)

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream

    def has_left(self) -> bool:
        """Tell whether the caller has closed its connection."""
        return bool(find_left((self._stream,)))
