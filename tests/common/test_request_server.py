"""Callers that disconnect, and the limit on open connections."""

from asyncio import CancelledError
from asyncio import Event
from asyncio import open_connection
from asyncio import sleep
from contextlib import AsyncExitStack
import socket

import pytest
from tornado.netutil import bind_sockets

from gypsummount._common.request_server import RequestServer

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
# Wait until a disconnect must be noticed.  It is well below the 0.5 s after
# which work for a disconnected caller counts as wasted.
NOTICE_WAIT_S = 0.2


class _Server(RequestServer):
    """Keeps each request running until it is cancelled or released."""

    def __init__(self, max_connections):
        super().__init__(1000, max_connections=max_connections)
        self.started = 0
        self.cancelled = 0
        self.finished = 0
        self.released = Event()

    def _answer_at_once(self, request):
        return False

    async def _serve(self, request, arrived_at):
        self.started += 1
        try:
            await self.released.wait()
        except CancelledError:
            self.cancelled += 1
            raise
        self.finished += 1


class RunningServer:
    def __init__(self, stack, max_connections=100):
        self.stack = stack
        self.server = _Server(max_connections)
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.listen(sockets)
        stack.push_async_callback(self.server.close)
        self.address = sockets[0].getsockname()

    def send_and_close(self, data):
        """Send on a new connection and close it before data is read."""
        with self.connect() as caller:
            caller.sendall(data)

    def connect(self):
        caller = socket.create_connection(self.address)
        self.stack.callback(caller.close)
        return caller


@pytest.fixture
async def running():
    async with AsyncExitStack() as stack:
        yield RunningServer(stack)


class TestDisconnects:
    async def test_request_whose_caller_closed_before_it_was_read_is_dropped(
        self, running
    ):
        """Guards against work for callers that closed before the read.

        The data and the close are already in the socket when the event
        loop accepts the connection.
        """
        for _ in range(10):
            running.send_and_close(REQUEST)
        await sleep(NOTICE_WAIT_S)
        running.server.released.set()
        await sleep(NOTICE_WAIT_S)
        assert running.server.finished == 0
        assert running.server.in_flight == 0

    async def test_close_read_together_with_its_request_drops_it(
        self, running
    ):
        """Guards against a close reported before its callback is set.

        On a kept-alive connection, one event loop iteration reads the
        request and the close.
        """
        callers = [running.connect() for _ in range(10)]
        await sleep(NOTICE_WAIT_S)
        for caller in callers:
            caller.sendall(REQUEST)
            caller.close()
        await sleep(NOTICE_WAIT_S)
        running.server.released.set()
        await sleep(NOTICE_WAIT_S)
        assert running.server.finished == 0
        assert running.server.in_flight == 0

    async def test_close_behind_unread_bytes_is_noticed(self, running):
        """Guards against missing a close behind unread bytes.

        A second request is sent before the close, and the event loop
        reports the close only once these bytes are read.
        """
        for _ in range(10):
            running.send_and_close(REQUEST + REQUEST)
        await sleep(NOTICE_WAIT_S)
        running.server.released.set()
        await sleep(NOTICE_WAIT_S)
        assert running.server.finished == 0

    async def test_close_behind_unread_bytes_cancels_a_running_request(
        self, running
    ):
        """Guards against missing a close while a request runs.

        Nothing reads the bytes of the second request meanwhile, so the
        event loop does not report the close behind them.
        """
        _, writer = await open_connection(*running.address)
        writer.write(REQUEST)
        await sleep(NOTICE_WAIT_S)
        assert running.server.started == 1
        writer.write(REQUEST)
        await writer.drain()
        await sleep(0.05)
        writer.close()
        await sleep(0.05)
        running.server.drop_disconnected()
        await sleep(0.05)
        assert running.server.cancelled == 1

    async def test_close_cancels_a_running_request(self, running):
        _, writer = await open_connection(*running.address)
        writer.write(REQUEST)
        await sleep(NOTICE_WAIT_S)
        writer.close()
        await sleep(NOTICE_WAIT_S)
        assert running.server.cancelled == 1

    async def test_request_of_a_waiting_caller_keeps_running(self, running):
        _, writer = await open_connection(*running.address)
        writer.write(REQUEST + REQUEST)
        await sleep(NOTICE_WAIT_S)
        running.server.drop_disconnected()
        await sleep(0.05)
        running.server.released.set()
        await sleep(0.05)
        assert running.server.finished == 1
        writer.close()


def is_closed(caller):
    """Return whether the server has closed a caller's connection."""
    caller.setblocking(False)
    try:
        return caller.recv(1) == b""
    except BlockingIOError:
        return False


class TestManyConnections:
    @pytest.fixture
    async def limited(self):
        async with AsyncExitStack() as stack:
            yield RunningServer(stack, max_connections=5)

    async def test_idle_connections_over_the_limit_are_closed(self, limited):
        """Guards against idle connections using up all descriptors."""
        callers = []
        for _ in range(12):
            callers.append(limited.connect())
            await sleep(0.01)
        await sleep(NOTICE_WAIT_S)
        assert limited.server.connections <= 5
        assert [is_closed(connection) for connection in callers] == [
            True
        ] * 7 + [False] * 5

    async def test_busy_connections_are_kept(self, limited):
        callers = [limited.connect() for _ in range(4)]
        for caller in callers:
            caller.sendall(REQUEST)
        await sleep(NOTICE_WAIT_S)
        for _ in range(6):
            limited.connect()
            await sleep(0.01)
        await sleep(NOTICE_WAIT_S)
        assert not any(is_closed(connection) for connection in callers)
        assert limited.server.in_flight == 4

    async def test_connection_with_an_unread_request_is_kept(self, limited):
        """Guards against closing a connection whose request is unread."""
        callers = [limited.connect() for _ in range(5)]
        await sleep(NOTICE_WAIT_S)
        callers[0].sendall(REQUEST)
        limited.connect()
        await sleep(NOTICE_WAIT_S)
        closed = [is_closed(connection) for connection in callers]
        assert closed == [False, True, False, False, False]
        assert limited.server.started == 1

    async def test_new_callers_are_served_while_others_close(self, limited):
        """Guards against errors at the limit that cut off new callers.

        Connections that callers close at once may still be counted when
        the next callers connect.
        """
        for _ in range(20):
            callers = [limited.connect() for _ in range(4)]
            await sleep(0)
            for caller in callers:
                caller.close()
        caller = limited.connect()
        caller.sendall(REQUEST)
        await sleep(NOTICE_WAIT_S)
        assert limited.server.in_flight == 1
        assert limited.server.connections == 1
