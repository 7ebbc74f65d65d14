"""Reception of a request, with a limit on the memory of its body."""

from abc import ABC
from abc import abstractmethod
from asyncio import sleep
from collections.abc import Awaitable
from typing import final

from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerRequest
from tornado.httputil import RequestStartLine

from gypsummount._common.body_account import Body
from gypsummount._common.client_account import ClientAccount
from gypsummount._common.client_session import ClientConnection

# Digits of a length that are read; longer ones are over every limit.
MAX_LENGTH_DIGITS = 18
# Heads that need less memory than this are not counted.
MIN_COUNTED_HEAD_BYTES = 32_768


class RequestHandler(ABC):
    """Takes the requests that a listener receives."""

    @abstractmethod
    def receive(self, request: HTTPServerRequest) -> None:
        """Take a request that was received completely."""

    @abstractmethod
    def refuse_body(self, request: HTTPServerRequest) -> None:
        """Write an answer to a request for whose body no memory is left.

        The body may still be on its way, so the answer is not finished.
        """


@final
class RequestReceiver(HTTPMessageDelegate):
    """Receives one request for a handler.

    The connection is in the set ``receiving`` from the head to the end of
    the body.  The rest of a refused body is read and discarded, because
    closing the connection before its end would discard the answer.
    """

    __slots__ = (
        "_account",
        "_body",
        "_connection",
        "_handler",
        "_head",
        "_is_refused",
        "_receiving",
        "_request",
    )

    def __init__(
        self,
        handler: RequestHandler,
        connection: ClientConnection,
        receiving: set[ClientConnection],
        account: ClientAccount,
    ) -> None:
        self._handler = handler
        self._connection = connection
        self._receiving = receiving
        self._account = account
        self._request: HTTPServerRequest | None = None
        self._body: Body | None = None
        self._head: Body | None = None
        self._is_refused = False

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Begin a request; refuse it if the announced body is too large."""
        self._request = HTTPServerRequest(
            connection=self._connection, start_line=start_line, headers=headers
        )
        self._receiving.add(self._connection)
        # Tornado checks the length itself, after this call.
        length = headers.get("Content-Length", "")
        size = 0
        if length.isdecimal() and len(length) <= MAX_LENGTH_DIGITS:
            size = int(length)
        self._reserve_head()
        if not self._is_refused:
            self._reserve(size)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Add a part of the body, or discard it slowly if it is refused."""
        if self._is_refused:
            return sleep(self._account.compute_discard_delay(len(chunk)))
        received = len(self._body) if self._body is not None else 0
        self._reserve(received + len(chunk))
        if self._body is not None:
            self._body.append_bytes(chunk)
        return None

    def finish(self) -> None:
        """Hand over the complete request."""
        self._end_body()
        if self._is_refused:
            self._connection.finish()
            return
        request = self._request
        if self._body is not None:
            request.body = self._body
        # The memory of the head counts as long as the request lives.
        request.head_memory = self._head
        self._request = self._body = self._head = None
        self._handler.receive(request)

    def on_connection_close(self) -> None:
        """Drop a request that will not become complete."""
        self._end_body()
        self._request = self._body = self._head = None

    def _end_body(self) -> None:
        if self._is_refused and self._connection in self._receiving:
            self._account.discarding -= 1
        self._receiving.discard(self._connection)
        self._connection.stream.is_reading_body = False

    def _reserve_head(self) -> None:
        """Reserve memory for a large head; without it, refuse."""
        cost = self._connection.head_cost
        if cost < MIN_COUNTED_HEAD_BYTES:
            return
        self._head = Body(self._account)
        if not self._head.try_reserve(cost):
            self._refuse()
            # Reading on would keep the head, which can need a megabyte.
            stream = self._connection.stream
            self._account.close_stream(stream, "head_memory")

    def _reserve(self, size: int) -> None:
        """Reserve memory for the whole body; without it, refuse."""
        if size == 0:
            return
        if self._body is None:
            self._body = Body(self._account)
        if self._body.try_reserve(size):
            stream = self._connection.stream
            stream.body_bytes = max(stream.body_bytes, size)
            return
        self._refuse()

    def _refuse(self) -> None:
        self._body = self._head = None
        self._is_refused = True
        self._account.discarding += 1
        self._handler.refuse_body(self._request)
        self._request = None
