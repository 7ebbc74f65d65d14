"""A minimal HTTP server that calls one asynchronous request handler."""

from asyncio import create_task
from asyncio import Task
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from json import dumps

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest
from tornado.httputil import responses
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(slots=True)
class Reply:
    """An HTTP response.

    ``sent_bytes`` truncates the body: the connection is closed after
    this number of its bytes.  None sends the complete body.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    sent_bytes: int | None = None

    @classmethod
    def from_json(cls, value: object) -> "Reply":
        """Return a reply with status 200 and the value as its JSON body."""
        headers = {"Content-Type": "application/json"}
        return cls(200, dumps(value).encode(), headers)


Handler = Callable[[HTTPServerRequest], Awaitable[Reply | None]]


class SingleHandlerServer:
    """Passes each request on its bound sockets to one handler.

    A handler that returns None closes the connection without an answer.
    It is cancelled when its client disconnects.
    """

    def __init__(self, handler: Handler, sockets: list) -> None:
        self._handler = handler
        self._tasks: set[Task[None]] = set()
        self._server = HTTPServer(self._receive, max_body_size=MAX_BODY_BYTES)
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening, cancel running handlers, close all connections."""
        self._server.stop()
        for task in list(self._tasks):
            task.cancel()
        await self._server.close_all_connections()

    def _receive(self, request: HTTPServerRequest) -> None:
        task = create_task(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        request.connection.set_close_callback(task.cancel)

    async def _serve(self, request: HTTPServerRequest) -> None:
        reply = await self._handler(request)
        try:
            if reply is None:
                request.connection.stream.close()
                return
            await send_reply(request, reply)
        except StreamClosedError:
            return


async def send_reply(request: HTTPServerRequest, reply: Reply) -> None:
    """Write a reply to its connection; status 304 is sent without a body."""
    request.connection.set_close_callback(None)
    headers = HTTPHeaders(reply.headers)
    if reply.status != 304:
        headers["Content-Length"] = str(len(reply.body))
    reason = responses.get(reply.status, "Unknown")
    start_line = ResponseStartLine("HTTP/1.1", reply.status, reason)
    body = reply.body if reply.status != 304 else b""
    if reply.sent_bytes is not None:
        truncated = body[: reply.sent_bytes]
        await request.connection.write_headers(start_line, headers, truncated)
        request.connection.stream.close()
        return
    await request.connection.write_headers(start_line, headers, body)
    request.connection.finish()
