"""Readers of requests and responses get any input (hypothesis).

``FUZZ_EXAMPLES`` sets the number of examples for a long run by hand; the
short run in CI always takes the same ones.
"""

from asyncio import Runner
from asyncio import sleep
from asyncio import timeout
from contextlib import AsyncExitStack
import logging
from os import environ

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamRequest
from tests.common.test_client_limits import REQUEST
from tests.common.test_client_limits import Running
from tests.entry.wires import read_request
from tests.entry.wires import ScriptedUpstream

LONG_EXAMPLES = environ.get("FUZZ_EXAMPLES")
FUZZ = settings(
    max_examples=int(LONG_EXAMPLES or 150),
    derandomize=not LONG_EXAMPLES,
    deadline=None,
    database=None,
)
LIMIT_S = 5.0
NEW_CLIENT_CHECKS = 100
LINE_ENDS = (b"\r\n", b"\n", b"\r", b"")
FIELDS = (
    b"Host: h",
    b"Content-Length: 5",
    b"Content-Length: 0",
    b"Content-Length: -1",
    b"Content-Length: 99999999999999999999",
    b"Content-Length: " + b"9" * 5000,
    b"Content-Length: 5, 6",
    b"Content-Length: \xb2",
    b"Transfer-Encoding: chunked",
    b"Transfer-Encoding: gzip",
    b"Connection: close",
    b"Expect: 100-continue",
    b": x",
    b"x",
    b"X: \x00",
    b" folded",
    b"a:b\r\n" * 300,
    b"",
)
BODIES = (
    b"hello",
    b"5\r\nhello\r\n0\r\n\r\n",
    b"1\r\nx\r\n" * 100,
    b"ffffffffffffffffff\r\n",
    b"-1\r\n",
    b"0\r\n\r\n",
    b"5;extension\r\nhello\r\n",
)
REQUEST_LINES = (
    b"GET /x HTTP/1.1",
    b"POST /x HTTP/1.1",
    b"POST /%ff?a=%zz HTTP/1.0",
    b"GET http://h/x HTTP/1.1",
    b"GET /x HTTP/2.0",
    b"PRI * HTTP/2.0",
    b"HEAD /\xff HTTP/1.1",
    b"GET /x",
)
STATUS_LINES = (
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 204 None",
    b"HTTP/1.1 304 Same",
    b"HTTP/1.1 100 Continue",
    b"HTTP/1.1 101 Switching",
    b"HTTP/1.1 000 x",
    b"HTTP/1.1 999 x",
    b"HTTP/1.0 200 OK",
    b"HTTP/3.0 200 OK",
    b"200",
)
NOISE = st.binary(max_size=40)


def build_messages(lines):
    """Return a strategy for messages that are mostly near valid ones."""
    line = st.tuples(
        st.sampled_from(lines) | NOISE, st.sampled_from(LINE_ENDS)
    )
    field = st.tuples(
        st.sampled_from(FIELDS) | NOISE, st.sampled_from(LINE_ENDS)
    )
    fields = st.lists(field, max_size=5)
    body = st.lists(st.sampled_from(BODIES) | NOISE, max_size=3)
    end = st.sampled_from((b"\r\n", b""))
    message = st.builds(
        lambda line, fields, end, body: b"".join(
            [*line, *(part for field in fields for part in field), end, *body]
        ),
        line,
        fields,
        end,
        body,
    )
    return st.lists(message, min_size=1, max_size=3).map(b"".join)


class TestRequests:
    async def send(self, running, data, cut) -> None:
        """Send bytes in two pieces, then check the server."""
        client = running.connect(data[:cut])
        await sleep(0)
        try:
            client.sendall(data[cut:])
        except OSError:
            pass
        await sleep(0.002)
        client.close()
        before = running.server.answered
        other = running.connect(REQUEST)
        for _ in range(NEW_CLIENT_CHECKS):
            await sleep(0.002)
            if running.server.answered > before:
                break
        other.close()
        assert running.server.answered > before
        account = running.account
        for _ in range(NEW_CLIENT_CHECKS):
            await running.check(0.05)
            if not account.streams:
                break
        assert (account.head_bytes, account.held_bytes) == (0, 0)
        assert not account.streams

    def test_any_bytes_leave_the_server_working(self, caplog):
        """Guards against internal errors and leaks by malformed requests."""

        async def open_server(stack):
            return Running(stack, 1e9)

        with Runner() as runner:
            stack = AsyncExitStack()
            running = runner.run(open_server(stack))

            @FUZZ
            @given(build_messages(REQUEST_LINES), st.integers(0, 200))
            def check(data, cut):
                runner.run(self.send(running, data, cut))

            check()
            runner.run(stack.aclose())
        errors = [
            record.getMessage()
            for record in caplog.records
            if record.levelno >= logging.ERROR
        ]
        assert errors == []


class TestResponses:
    async def exchange(self, data) -> None:
        async def answer(reader, writer):
            await read_request(reader)
            writer.write(data)

        request = UpstreamRequest(
            "GET", "/x", (), b"", "", accepts_unframed=True
        )
        async with timeout(LIMIT_S), ScriptedUpstream(answer) as upstream:
            pool = ConnectionPool(upstream.address)
            try:
                answered = await pool.send(request, 1.0, repeatable=True)
            except ExchangeError:
                return
            finally:
                pool.close()
        assert 200 <= answered.status <= 599

    def test_any_bytes_give_an_answer_or_a_failed_exchange(self):
        """Guards against other errors, and statuses that HTTP lacks."""
        with Runner() as runner:

            @FUZZ
            @given(build_messages(STATUS_LINES))
            def check(data):
                runner.run(self.exchange(data))

            check()
