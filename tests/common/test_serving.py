"""Callers that disconnect, and the limit on open connections."""

from asyncio import CancelledError
from asyncio import Event
from asyncio import open_connection
from asyncio import sleep
from contextlib import AsyncExitStack
import socket

import pytest
from tornado.netutil import bind_sockets

from gypsummount._common.serving import RequestServer

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
# Wait until a disconnect must be noticed.  It is well below the 0.5 s after
# which work for a disconnected caller counts as wasted.
NOTICED_S = 0.2


class _Server(RequestServer):
    """Keeps each request running until it is cancelled or released."""

    def __init__(self, most_connections):
        super().__init__(1000, most_connections=most_connections)
        self.started = 0
        self.cancelled = 0
        self.finished = 0
        self.released = Event()

    def _answer_at_once(self, request):
        return False

    async def _serve(self, request, arrived):
        self.started += 1
        try:
            await self.released.wait()
        except CancelledError:
            self.cancelled += 1
            raise
        self.finished += 1


class Place:
    def __init__(self, stack, most_connections=100):
        self.stack = stack
        self.server = _Server(most_connections)
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.listen(sockets)
        stack.push_async_callback(self.server.close)
        self.address = sockets[0].getsockname()

    def leave_unread(self, data):
        """Send on a new connection and close it before data is read."""
        with self.connect() as caller:
            caller.sendall(data)

    def connect(self):
        caller = socket.create_connection(self.address)
        self.stack.callback(caller.close)
        return caller


@pytest.fixture
async def place():
    async with AsyncExitStack() as stack:
        yield Place(stack)


class TestCallersThatLeave:
    async def test_request_whose_caller_closed_before_it_was_read_is_dropped(
        self, place
    ):
        """Guards against work for callers that closed before the read.

        The data and the close are already in the socket when the event
        loop accepts the connection.
        """
        for _ in range(10):
            place.leave_unread(REQUEST)
        await sleep(NOTICED_S)
        place.server.released.set()
        await sleep(NOTICED_S)
        assert place.server.finished == 0
        assert place.server.in_flight == 0

    async def test_request_and_close_on_a_kept_connection_are_read_together(
        self, place
    ):
        """Guards against a close reported before its callback is set.

        On a kept-alive connection, one event loop iteration reads the
        request and the close.
        """
        callers = [place.connect() for _ in range(10)]
        await sleep(NOTICED_S)
        for caller in callers:
            caller.sendall(REQUEST)
            caller.close()
        await sleep(NOTICED_S)
        place.server.released.set()
        await sleep(NOTICED_S)
        assert place.server.finished == 0
        assert place.server.in_flight == 0

    async def test_bytes_behind_a_request_hide_no_close(self, place):
        """Guards against missing a close behind unread bytes.

        A second request is sent before the close, and the event loop
        reports the close only once these bytes are read.
        """
        for _ in range(10):
            place.leave_unread(REQUEST + REQUEST)
        await sleep(NOTICED_S)
        place.server.released.set()
        await sleep(NOTICED_S)
        assert place.server.finished == 0

    async def test_close_is_seen_behind_bytes_while_the_request_runs(
        self, place
    ):
        """Guards against missing a close while a request runs.

        Nothing reads the bytes of the second request meanwhile, so the
        event loop does not report the close behind them.
        """
        _, writer = await open_connection(*place.address)
        writer.write(REQUEST)
        await sleep(NOTICED_S)
        assert place.server.started == 1
        writer.write(REQUEST)
        await writer.drain()
        await sleep(0.05)
        writer.close()
        await sleep(0.05)
        place.server.drop_left()
        await sleep(0.05)
        assert place.server.cancelled == 1

    async def test_close_while_it_runs_cancels_it(self, place):
        _, writer = await open_connection(*place.address)
        writer.write(REQUEST)
        await sleep(NOTICED_S)
        writer.close()
        await sleep(NOTICED_S)
        assert place.server.cancelled == 1

    async def test_caller_that_waits_is_kept(self, place):
        _, writer = await open_connection(*place.address)
        writer.write(REQUEST + REQUEST)
        await sleep(NOTICED_S)
        place.server.drop_left()
        await sleep(0.05)
        place.server.released.set()
        await sleep(0.05)
        assert place.server.finished == 1
        writer.close()


def has_ended(caller):
    """Return whether the server has closed a caller's connection."""
    caller.setblocking(False)
    try:
        return caller.recv(1) == b""
    except BlockingIOError:
        return False


class TestManyConnections:
    @pytest.fixture
    async def narrow(self):
        async with AsyncExitStack() as stack:
            yield Place(stack, most_connections=5)

    async def test_idle_connections_take_no_descriptors_without_limit(
        self, narrow
    ):
        """Guards against idle connections using up all descriptors."""
        callers = []
        for _ in range(12):
            callers.append(narrow.connect())
            await sleep(0.01)
        await sleep(NOTICED_S)
        assert narrow.server.connections <= 5
        assert [has_ended(one) for one in callers] == [True] * 7 + [False] * 5

    async def test_busy_connections_are_kept(self, narrow):
        callers = [narrow.connect() for _ in range(4)]
        for caller in callers:
            caller.sendall(REQUEST)
        await sleep(NOTICED_S)
        for _ in range(6):
            narrow.connect()
            await sleep(0.01)
        await sleep(NOTICED_S)
        assert not any(has_ended(one) for one in callers)
        assert narrow.server.in_flight == 4

    async def test_connection_with_an_unread_request_is_kept(self, narrow):
        """Guards against closing a connection whose request is unread."""
        callers = [narrow.connect() for _ in range(5)]
        await sleep(NOTICED_S)
        callers[0].sendall(REQUEST)
        narrow.connect()
        await sleep(NOTICED_S)
        ended = [has_ended(one) for one in callers]
        assert ended == [False, True, False, False, False]
        assert narrow.server.started == 1

    async def test_new_callers_are_served_while_others_close(self, narrow):
        """Guards against counting closed connections towards the limit.

        Connections that close soon after the accept would add up in the
        count, and new callers would be cut off.
        """
        for _ in range(20):
            callers = [narrow.connect() for _ in range(4)]
            await sleep(0)
            for caller in callers:
                caller.close()
        caller = narrow.connect()
        caller.sendall(REQUEST)
        await sleep(NOTICED_S)
        assert narrow.server.in_flight == 1
        assert narrow.server.connections == 1
