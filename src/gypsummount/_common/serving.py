"""An HTTP server whose requests run as tasks that end with it."""

from abc import ABC
from abc import abstractmethod
from asyncio import create_task
from asyncio import Task

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

IDLE_LIMIT_S = 75


class RequestServer(ABC):
    """Runs a task a request; a caller that leaves cancels its task."""

    def __init__(self, max_body_bytes: int) -> None:
        self._tasks: set[Task[None]] = set()
        self._server = HTTPServer(
            self._receive,
            max_body_size=max_body_bytes,
            idle_connection_timeout=IDLE_LIMIT_S,
        )
        self.is_closing = False

    @property
    def in_flight(self) -> int:
        """Return the number of requests under way."""
        return len(self._tasks)

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
        task = create_task(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        request.connection.set_close_callback(task.cancel)

    @abstractmethod
    def _answer_at_once(self, request: HTTPServerRequest) -> bool:
        """Answer a request that needs no task; False for the others."""

    @abstractmethod
    async def _serve(self, request: HTTPServerRequest) -> None:
        """Answer a request."""
