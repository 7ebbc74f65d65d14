"""The requests on one connection of a client, one after the other."""

from __future__ import annotations

from asyncio import CancelledError
from asyncio import create_task
from asyncio import sleep
from asyncio import Task
from collections.abc import Callable
from typing import final

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import StreamClosedError
from tornado.iostream import UnsatisfiableReadError

from gypsummount._common.client_account import ClientAccount
from gypsummount._common.client_stream import ClientStream
from gypsummount._common.client_stream import FIELD_BYTES
from gypsummount._common.logs import get_logger

# Lines of a head that are not fields: the first and the last.
OTHER_LINES = 2

_log = get_logger("clients")


@final
class ClientConnection(HTTP1Connection):
    """One request of a client and its answer.

    ``head_cost`` is the memory (bytes) that the parsed head needs, and
    ``is_pipelined`` tells that bytes followed the request before its answer.
    """

    def __init__(
        self,
        stream: ClientStream,
        parameters: HTTP1ConnectionParameters,
        account: ClientAccount,
    ) -> None:
        super().__init__(stream, False, parameters)
        self._account = account
        self.head_cost = 0
        self.is_pipelined = False

    def finish(self) -> None:
        """End the answer, and note whether a request came before it.

        Bytes that arrive after the answer was written are not pipelined.
        """
        # Tornado has no public API for the bytes in its read buffer.
        self.is_pipelined = (
            self._read_finished and self.stream._read_buffer_size > 0
        )
        super().finish()

    def _parse_headers(self, data: bytes) -> tuple[str, HTTPHeaders]:
        """Parse a head, unless it has too many fields."""
        self.stream.end_head()
        fields = data.count(b"\n") - OTHER_LINES
        if fields > self._account.limits.fields:
            self._account.count_closed("fields")
            raise HTTPInputError("the head has too many fields")
        self.head_cost = len(data) + fields * FIELD_BYTES
        return super()._parse_headers(data)


@final
class ClientSession:
    """Reads the requests of one connection until it is closed.

    ``start_request`` returns the delegate of each request.
    """

    def __init__(
        self,
        stream: ClientStream,
        parameters: HTTP1ConnectionParameters,
        account: ClientAccount,
        start_request: Callable[[ClientConnection], HTTPMessageDelegate],
        on_close: Callable[[ClientSession], None],
    ) -> None:
        self.stream = stream
        self._parameters = parameters
        self._account = account
        self._start_request = start_request
        self._on_close = on_close
        self._pipelined = 0
        self._task: Task[None] | None = None

    def start(self) -> None:
        """Begin to serve the connection."""
        self._task = create_task(self._serve())

    async def close(self) -> None:
        """Close the connection and wait until nothing serves it."""
        self.stream.close()
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        try:
            while await self._serve_request():
                await sleep(0)
        except (CancelledError, StreamClosedError, UnsatisfiableReadError):
            return
        except Exception:
            _log.exception("A connection of a client ends: internal error.")
        finally:
            self.stream.close()
            self._on_close(self)

    async def _serve_request(self) -> bool:
        """Serve a request; return whether another one may follow."""
        self.stream.start_head()
        connection = ClientConnection(
            self.stream, self._parameters, self._account
        )
        delegate = self._start_request(connection)
        is_open = await connection.read_response(delegate)
        self._count_pipelined(connection)
        return is_open

    def _count_pipelined(self, connection: ClientConnection) -> None:
        """End a connection on which too many requests are pipelined."""
        if connection.is_pipelined:
            self._pipelined += 1
        elif self._pipelined:
            self._pipelined -= 1
        if self._pipelined > self._account.limits.pipelined:
            self._account.close_stream(self.stream, "pipelined")
