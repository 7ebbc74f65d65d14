"""Limits of single clients, and the account of all of them."""

from asyncio import sleep
from asyncio import to_thread
from contextlib import AsyncExitStack
import socket
import time

import pytest
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine
from tornado.netutil import bind_sockets

from gypsummount._common.client_account import ClientAccount
from gypsummount._common.client_limits import ClientLimits
from gypsummount._common.request_server import RequestServer

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
UPLOAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
LIMITS = ClientLimits(
    fields=20,
    head_s=0.3,
    stall_s=0.4,
    free_chunks=50,
    pipelined=5,
)
CHECK_PERIOD_S = 0.05
LARGE_ANSWER = b"x" * 10_000_000
END_LIMIT_S = 3.0


class _Server(RequestServer):
    """Answers each request in a task."""

    def __init__(self, account):
        super().__init__(1_000_000, account=account)
        self.answered = 0
        self.answer = b"ok"
        self.pause_s = 0.0

    def _answer_at_once(self, request):
        return False

    async def _serve(self, request, arrived_at):
        self.answered += 1
        headers = HTTPHeaders({"Content-Length": str(len(self.answer))})
        line = ResponseStartLine("HTTP/1.1", 200, "OK")
        request.connection.write_headers(line, headers, self.answer)
        request.connection.finish()
        # A busy process reads the next request late.
        time.sleep(self.pause_s)


class Running:
    def __init__(self, stack, limit_bytes):
        self.stack = stack
        self.account = ClientAccount(limit_bytes, 1.0, LIMITS)
        self.server = _Server(self.account)
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.listen(sockets)
        stack.push_async_callback(self.server.close)
        self.address = sockets[0].getsockname()

    def connect(self, data):
        client = socket.create_connection(self.address)
        self.stack.callback(client.close)
        client.sendall(data)
        return client

    async def check(self, duration_s):
        """Check all clients periodically, as a process does."""
        for _ in range(int(duration_s / CHECK_PERIOD_S)):
            await sleep(CHECK_PERIOD_S)
            await self.account.check()

    async def wait_closed(self, reason):
        for _ in range(int(END_LIMIT_S / CHECK_PERIOD_S)):
            await self.check(CHECK_PERIOD_S)
            if self.account.closed[reason]:
                return
        raise AssertionError(f"no connection was closed: {reason}")


@pytest.fixture
async def running():
    async with AsyncExitStack() as stack:
        yield Running(stack, 1e9)


class TestOrdinaryClients:
    async def test_fast_client_is_not_pipelining(self, running):
        """Guards against ending kept connections of a fast client.

        It sends its next request as soon as it has the answer, before the
        busy process has noticed that the answer is written.
        """
        running.server.pause_s = 0.003
        client = running.connect(b"")

        def call_repeatedly():
            for _ in range(40):
                client.sendall(REQUEST)
                assert client.recv(1000).endswith(b"ok")

        await to_thread(call_repeatedly)
        assert running.server.answered == 40
        assert not running.account.closed

    async def test_idle_connection_is_kept(self, running):
        """Guards against ending connections that wait for a request."""
        client = running.connect(REQUEST)
        await running.check(4 * LIMITS.stall_s)
        client.sendall(REQUEST)
        await running.check(0.2)
        assert running.server.answered == 2
        assert not running.account.closed

    async def test_steady_upload_is_kept(self, running):
        client = running.connect(UPLOAD)
        for _ in range(20):
            client.sendall(b"x" * 5000)
            await running.check(CHECK_PERIOD_S)
        await running.check(0.2)
        assert running.server.answered == 1
        assert not running.account.closed

    async def test_chunks_of_ordinary_size_are_read(self, running):
        chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
        running.connect(CHUNKED + chunk * 500 + b"0\r\n\r\n")
        await running.check(0.5)
        assert running.server.answered == 1

    async def test_nothing_is_counted_when_all_are_gone(self, running):
        """Guards against an account that fills up over time."""
        for data in (REQUEST, UPLOAD + b"x", b"GET /x HTT", CHUNKED):
            running.connect(data).close()
        await running.check(0.3)
        account = running.account
        assert (account.head_bytes, account.held_bytes) == (0, 0)
        assert not account.streams

    async def test_refused_body_is_read_to_its_end(self):
        """Guards against refusals that a reset destroys, and miscounts."""
        async with AsyncExitStack() as stack:
            running = Running(stack, 10_000)
            running.server.refuse_body = lambda request: None
            clients = [running.connect(UPLOAD) for _ in range(3)]
            await sleep(0.1)
            assert running.account.discarding == 3
            for client in clients[1:]:
                client.sendall(b"x" * 100_000)
            clients[0].close()
            await running.check(0.3)
            assert running.account.discarding == 0


class TestLimits:
    async def test_head_with_too_many_fields_is_refused(self, running):
        """Guards against heads that cost far more than their bytes."""
        client = running.connect(REQUEST[:-2] + b"a:b\r\n" * 21 + b"\r\n")
        await sleep(0.1)
        assert client.recv(100).startswith(b"HTTP/1.1 400")
        assert running.account.closed["fields"] == 1
        assert running.server.answered == 0

    async def test_small_chunks_are_refused(self, running):
        """Guards against chunks whose sizes are most of the work."""
        running.connect(CHUNKED + b"1\r\nx\r\n" * 500)
        await running.wait_closed("chunks")
        assert running.server.answered == 0

    async def test_pipelining_ends(self, running):
        """Guards against one client that occupies the event loop."""
        running.connect(REQUEST * 1000)
        await running.wait_closed("pipelined")
        assert running.server.answered == LIMITS.pipelined + 1

    async def test_trickled_head_ends(self, running):
        """Guards against heads that never become complete."""
        client = running.connect(REQUEST[:10])
        for _ in range(2):
            await running.check(0.1)
            client.sendall(b"x")
        await running.wait_closed("head")

    async def test_stalled_body_ends(self, running):
        running.connect(UPLOAD + b"x" * 1000)
        await running.wait_closed("stalled")
        await sleep(0.05)
        assert running.account.held_bytes == 0

    async def test_unread_answer_ends(self, running):
        """Guards against clients that never read their answers."""
        running.server.answer = LARGE_ANSWER
        client = running.connect(REQUEST)
        await running.wait_closed("stalled")
        client.close()

    async def test_long_incomplete_heads_end_first(self, running):
        """Guards against incomplete heads that fill the memory."""
        running.account.max_head_bytes = 100_000
        short = running.connect(REQUEST[:20])
        for _ in range(4):
            running.connect(REQUEST[:-2] + b"a: " + b"x" * 40_000)
        await sleep(0.3)
        assert running.account.closed["heads"] == 2
        assert running.account.head_bytes <= 100_000
        short.sendall(REQUEST[20:])
        await sleep(0.1)
        assert running.server.answered == 1

    async def test_costliest_without_progress_ends_first(self):
        """Guards against a shortage that ends all clients, or the wrong."""
        async with AsyncExitStack() as stack:
            running = Running(stack, 150_000)
            running.connect(
                UPLOAD.replace(b"100000", b"60000") + b"x" * 20_000
            )
            running.connect(UPLOAD.replace(b"100000", b"40000") + b"x" * 10)
            await sleep(0.1)
            stalled = list(running.account.streams)
            running.account._relieve(stalled)
            await sleep(0.1)
            assert running.account.closed["costly"] == 1
            assert running.account.held_bytes == 40_000

    async def test_refused_bodies_share_a_rate(self, running):
        """Guards against refused uploads that take all processor time."""
        account = running.account
        account.discarding = 10
        assert account.compute_discard_delay(1_000_000) == pytest.approx(0.1)


class TestAddresses:
    async def test_address_ends_its_own_connections(self):
        """Guards against one address that takes the place of others."""
        async with AsyncExitStack() as stack:
            running = Running(stack, 1e9)
            server = running.server
            server._server._max_of_address = 4
            clients = [running.connect(UPLOAD) for _ in range(4)]
            await sleep(0.1)
            clients += [running.connect(UPLOAD) for _ in range(3)]
            await sleep(0.1)
            assert server.connections == 5
            assert running.account.closed["address"] == 2
            clients[0].sendall(b"x" * 100_000)
            await sleep(0.2)
            assert server.answered == 1
