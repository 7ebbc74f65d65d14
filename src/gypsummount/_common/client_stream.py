"""The socket of a client, with the figures that its limits need."""

from __future__ import annotations

from fcntl import ioctl
from socket import socket
from struct import unpack
from termios import TIOCOUTQ
from typing import final
from typing import TYPE_CHECKING

from tornado.concurrent import Future
from tornado.httputil import HTTPInputError
from tornado.iostream import IOStream

from gypsummount._common.client_limits import ClientLimits

if TYPE_CHECKING:
    from gypsummount._common.client_account import ClientAccount

# Size of one read; a larger one makes every open connection cost more.
READ_BYTES = 16_384
# Parsed fields need several times the bytes that were sent.
FIELD_BYTES = 400


@final
class ClientStream(IOStream):
    """Counts the bytes of a client and what it currently costs.

    ``head_bytes`` are those of a head that is not complete.
    ``is_reading_body`` is set from the end of the head to that of the body.
    ``stalled_since`` and ``head_since`` belong to the account's checks.
    """

    def __init__(
        self, client_socket: socket, account: ClientAccount, address: str
    ) -> None:
        self.address = address
        self.received = 0
        self.sent = 0
        self.head_bytes = 0
        self.body_bytes = 0
        self.is_reading_head = True
        self.is_reading_body = False
        self.checked_bytes = 0
        self.stalled_since: float | None = None
        self.head_since: float | None = None
        self._chunks = 0
        self._body_start = 0
        self._account = account
        super().__init__(client_socket, read_chunk_size=READ_BYTES)

    @property
    def limits(self) -> ClientLimits:
        """Return the limits of this client."""
        return self._account.limits

    @property
    def cost_bytes(self) -> int:
        """Return the memory that this connection uses."""
        # Tornado has no public API for the sizes of its buffers.
        if self.closed():
            return 0
        unread = len(self._write_buffer)
        return self._read_buffer_size + self.body_bytes + unread

    @property
    def is_transferring(self) -> bool:
        """Tell whether a request or an answer is partly transferred."""
        if self.is_reading_body or self.writing():
            return True
        return self.is_reading_head and self._read_buffer_size > 0

    def count_moved(self) -> int:
        """Return the bytes received, and sent and acknowledged, so far."""
        moved = self.received + self.sent
        if not self.writing() or self.closed():
            return moved
        try:
            queued = unpack("i", ioctl(self.socket, TIOCOUTQ, bytes(4)))[0]
        except OSError:
            # Where the size of the queue is unknown, it counts as sent.
            return moved
        return moved - queued

    def start_head(self) -> None:
        """Expect the head of the next request."""
        self.is_reading_head = True
        self.is_reading_body = False
        self.body_bytes = 0
        self._count_head(self._read_buffer_size)

    def end_head(self) -> None:
        """Note that a head is complete; its body follows."""
        self._count_head(0)
        self.is_reading_head = False
        self.is_reading_body = True
        self.head_since = None
        self._chunks = 0
        self._body_start = self.received - self._read_buffer_size

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket and count."""
        size = super().read_from_fd(buf)
        if size:
            self.received += size
            if self.is_reading_head:
                self._count_head(self.head_bytes + size)
        return size

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket and count."""
        size = super().write_to_fd(data)
        self.sent += size
        return size

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Future[bytes]:
        """Read the size of a chunk.

        :raises HTTPInputError: when the body has too many chunks.
        """
        self._chunks += 1
        received = self.received - self._body_start
        if not self.limits.allows_chunks(self._chunks, received):
            self._account.count_closed("chunks")
            raise HTTPInputError("the chunks of the body are too small")
        return super().read_until(delimiter, max_bytes)

    def _count_head(self, size: int) -> None:
        self._account.add_head_bytes(self, size - self.head_bytes)
