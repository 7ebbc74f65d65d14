"""Bodies in memory, counted against a limit of the process."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

# Bodies of requests up to this size (bytes) may use the reserved share.
SMALL_BODY_BYTES = 65_536
# Fraction of the memory for bodies of requests that is reserved for them.
RESERVED_FRACTION = 0.125


class BodyAccount:
    """Counts the bytes of all bodies that the process holds.

    ``limit_bytes`` bounds them together.  Bodies of answers may use all of
    it, those of requests only ``request_fraction``, since a request can be
    refused before it runs and an answer cannot.  A part of that is
    reserved for the small bodies of ordinary callers.  ``dropped`` counts the
    answers that were given up for lack of memory.
    """

    __slots__ = (
        "_receiving",
        "dropped",
        "held_bytes",
        "limit_bytes",
        "request_fraction",
    )

    def __init__(
        self, limit_bytes: float = inf, request_fraction: float = 1.0
    ) -> None:
        self.limit_bytes = limit_bytes
        self.request_fraction = request_fraction
        self.held_bytes = 0
        self.dropped = 0
        self._receiving: dict[int, AnswerBody] = {}

    def has_room_for_request(self, size: int, total_size: int) -> bool:
        """Tell whether a request's body may take ``size`` more bytes.

        ``total_size`` is what the body has then.
        """
        limit_bytes = self.limit_bytes * self.request_fraction
        if total_size > SMALL_BODY_BYTES:
            limit_bytes *= 1 - RESERVED_FRACTION
        return self.held_bytes + size <= limit_bytes

    def make_room_for_answer(self, body: AnswerBody, size: int) -> bool:
        """Make room for ``size`` more bytes of an answer's body.

        If there is none, the largest answers that are being received are
        dropped, because those of a faulty upstream grow without end.
        Returns False if that is ``body`` itself.
        """
        while self.held_bytes + size > self.limit_bytes:
            largest = max(self._receiving.values(), key=len, default=body)
            if largest is body:
                return False
            largest.drop()
        return True

    def add_receiving(self, body: AnswerBody) -> None:
        """Count an answer's body as being received."""
        self._receiving[id(body)] = body

    def remove_receiving(self, body: AnswerBody) -> None:
        """Count an answer's body as complete, or as given up."""
        self._receiving.pop(id(body), None)


class Body(bytearray):
    """A body that is counted until its memory is freed."""

    __slots__ = ("_account", "_counted")

    def __init__(self, account: BodyAccount) -> None:
        super().__init__()
        self._account = account
        self._counted = 0

    def __del__(self) -> None:
        self._count(0)

    def try_reserve(self, size: int) -> bool:
        """Count the body of a request with its final size (bytes).

        Returns False if there is not enough memory.
        """
        missing = size - self._counted
        if missing <= 0:
            return True
        if not self._account.has_room_for_request(missing, size):
            return False
        self._count(size)
        return True

    def append_bytes(self, chunk: bytes) -> None:
        """Append received bytes."""
        self.extend(chunk)
        self._count(max(self._counted, len(self)))

    def _count(self, size: int) -> None:
        self._account.held_bytes += size - self._counted
        self._counted = size


class AnswerBody(Body):
    """The body of an answer that is being received.

    ``abort`` is called when the body is dropped to make room for others.
    """

    __slots__ = ("_abort", "is_dropped")

    def __init__(
        self, account: BodyAccount, abort: Callable[[], None]
    ) -> None:
        super().__init__(account)
        self._abort = abort
        self.is_dropped = False

    def drop(self) -> None:
        """Give the body up and free its memory."""
        self.is_dropped = True
        self._account.dropped += 1
        self._account.remove_receiving(self)
        self.clear()
        self._count(0)
        self._abort()
