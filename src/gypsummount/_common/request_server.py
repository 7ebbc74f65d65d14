"""An HTTP server that handles each request in a task of its own."""

from abc import abstractmethod
from asyncio import create_task
from asyncio import sleep
from asyncio import Task
from collections.abc import Callable

from tornado.httputil import HTTPServerRequest
from tornado.iostream import IOStream

from gypsummount._common.client_account import ClientAccount
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.disconnects import CallerConnection
from gypsummount._common.disconnects import find_disconnected
from gypsummount._common.listener import Listener
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._common.request_receiver import RequestHandler

IDLE_TIMEOUT_S = 75
DISCONNECT_CHECK_PERIOD_S = 0.1
MAX_CONNECTIONS = 2048
DRAIN_CHECK_PERIOD_S = 0.05


class RequestServer(RequestHandler):
    """Runs one task per request; a caller's disconnect cancels its task.

    ``disconnected_unread`` counts the callers that disconnected before their
    request was read.
    """

    def __init__(
        self,
        max_body_bytes: int,
        loop_timer: LoopTimer | None = None,
        max_connections: int = MAX_CONNECTIONS,
        account: ClientAccount | None = None,
    ) -> None:
        self._loop_timer = loop_timer or LoopTimer()
        self._running: dict[Task[None], IOStream] = {}
        self.disconnected_unread = 0
        self._server = Listener(
            self,
            max_connections=max_connections,
            account=account or ClientAccount(),
            max_body_size=max_body_bytes,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        self.is_closing = False
        self.is_refusing = False

    @property
    def in_flight(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    @property
    def is_quiet(self) -> bool:
        """Tell whether no request is received, running or being answered.

        An answer counts until its last byte has left the process.
        """
        return not self._running and not self._server.is_transferring()

    @property
    def connections(self) -> int:
        """Return the number of open caller connections."""
        return self._server.open_connections

    @property
    def idle_closed(self) -> int:
        """Return how many idle connections the connection limit closed."""
        return self._server.idle_closed

    def listen(self, sockets: list) -> None:
        """Start accepting connections on bound sockets."""
        self._server.add_sockets(sockets)

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay."""
        self._server.stop()

    def refuse_requests(self) -> None:
        """Refuse further requests, as not run, until the server is closed."""
        self.is_refusing = True

    async def drain(
        self, until: float, is_idle: Callable[[], bool] = lambda: True
    ) -> None:
        """Accept no more connections, and let the open requests end.

        Waits until no request is left and ``is_idle`` holds, but not beyond
        ``until`` (boot clock, s).  Further requests are refused then.
        """
        self.is_closing = True
        self.stop_listening()
        while read_monotonic() < until:
            if self.is_quiet and is_idle():
                break
            await sleep(DRAIN_CHECK_PERIOD_S)
        self.refuse_requests()

    async def close(self) -> None:
        """Cancel all requests and close all connections."""
        self._server.stop()
        for task in list(self._running):
            task.cancel()
        await self._server.close_all_connections()

    async def watch_disconnects(self) -> None:
        """Periodically drop the requests of disconnected callers."""
        while True:
            await sleep(DISCONNECT_CHECK_PERIOD_S)
            self.drop_disconnected()

    def drop_disconnected(self) -> None:
        """Close connections of running requests whose callers disconnected.

        The event loop reports a close only once the bytes received
        before it are read, and while a request runs, nothing reads a
        further request on the same connection.  Therefore the sockets
        themselves are checked for disconnects here.
        """
        for stream in find_disconnected(self._running.values()):
            stream.close()

    def receive(self, request: HTTPServerRequest) -> None:
        """Serve a request, unless its caller has disconnected."""
        stream = request.connection.stream
        if CallerConnection(stream).has_disconnected():
            self.disconnected_unread += 1
            stream.close()
            return
        if self._answer_at_once(request):
            self._server.mark_idle(stream)
            return
        now = read_monotonic()
        arrived_at = now - self._loop_timer.get_max_read_delay(now)
        task = create_task(self._serve(request, arrived_at))
        self._running[task] = stream
        self._server.mark_busy(stream)
        task.add_done_callback(self._on_task_done)
        request.connection.set_close_callback(task.cancel)

    def refuse_body(self, request: HTTPServerRequest) -> None:
        """Close the connection, as no answer says what is wrong."""
        request.connection.stream.close()

    def _on_task_done(self, task: Task[None]) -> None:
        self._server.mark_idle(self._running.pop(task))

    @abstractmethod
    def _answer_at_once(self, request: HTTPServerRequest) -> bool:
        """Answer a request without a task, if possible.

        Return whether it was answered; otherwise a task serves it.
        """

    @abstractmethod
    async def _serve(
        self, request: HTTPServerRequest, arrived_at: float
    ) -> None:
        """Answer a request.

        ``arrived_at`` is the earliest time at which the request can have
        reached the socket (boot clock, s).
        """
