"""An HTTP server whose requests run as tasks that end with it."""

from abc import ABC
from abc import abstractmethod
from asyncio import create_task
from asyncio import Task

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.iostream import IOStream

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.rounds import Rounds

IDLE_LIMIT_S = 75


class _Listener(HTTPServer):
    """Counts the connections that are open."""

    def initialize(self, *arguments: object, **options: object) -> None:
        super().initialize(*arguments, **options)
        self.open = 0

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        self.open += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        self.open -= 1
        super().on_close(server_conn)


class RequestServer(ABC):
    """Runs a task a request; a caller that leaves cancels its task."""

    def __init__(
        self, max_body_bytes: int, rounds: Rounds | None = None
    ) -> None:
        self._rounds = rounds or Rounds()
        self._tasks: set[Task[None]] = set()
        self._server = _Listener(
            self._receive,
            max_body_size=max_body_bytes,
            idle_connection_timeout=IDLE_LIMIT_S,
        )
        self.is_closing = False

    @property
    def in_flight(self) -> int:
        """Return the number of requests under way."""
        return len(self._tasks)

    @property
    def connections(self) -> int:
        """Return the number of open connections of callers."""
        return self._server.open

    def listen(self, sockets: list) -> None:
        """Begin to accept connections."""
        self._server.add_sockets(sockets)

    def stop_listening(self) -> None:
        """Accept no further connections."""
        self._server.stop()

    async def close(self) -> None:
        """Drop all connections."""
        self._server.stop()
        for task in list(self._tasks):
            task.cancel()
        await self._server.close_all_connections()

    def _receive(self, request: HTTPServerRequest) -> None:
        if self._answer_at_once(request):
            return
        unread_s = self._rounds.find_unread(read_monotonic())
        task = create_task(self._serve(request, unread_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        request.connection.set_close_callback(task.cancel)

    @abstractmethod
    def _answer_at_once(self, request: HTTPServerRequest) -> bool:
        """Answer a request that needs no task; False for the others."""

    @abstractmethod
    async def _serve(
        self, request: HTTPServerRequest, unread_s: float
    ) -> None:
        """Answer a request that was unread for so long (s), at most."""
