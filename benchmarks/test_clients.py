"""Processor time of the limits of clients in an ordinary request.

The bounded server is compared with tornado's own, which reads and writes the
same request.
"""

from asyncio import open_connection
from contextlib import AsyncExitStack
from time import process_time

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest
from tornado.httputil import ResponseStartLine
from tornado.netutil import bind_sockets

from gypsummount._common.request_server import RequestServer

# Upper bound of the processor time, as a multiple of that of tornado's server.
MAX_RATIO = 1.3
ROUNDS = 20
REQUESTS = 200
REQUEST = (
    b"POST /book/x HTTP/1.1\r\nHost: h.example\r\n"
    b"Gypsummount-Deadline-Milliseconds: 5000\r\n"
    b"Content-Length: 20\r\n\r\n" + b"x" * 20
)


def answer(request: HTTPServerRequest) -> None:
    """Write a short answer."""
    line = ResponseStartLine("HTTP/1.1", 200, "OK")
    headers = HTTPHeaders({"Content-Length": "2"})
    request.connection.write_headers(line, headers, b"ok")
    request.connection.finish()


class _Server(RequestServer):
    def _answer_at_once(self, request: HTTPServerRequest) -> bool:
        answer(request)
        return True

    async def _serve(
        self, request: HTTPServerRequest, arrived_at: float
    ) -> None:
        """Do nothing, as every request was answered at once."""


class TestOrdinaryRequests:
    async def send_many(self, address: tuple) -> float:
        """Return the processor time of one request (us), client included."""
        reader, writer = await open_connection(*address)
        start = process_time()
        for _ in range(REQUESTS):
            writer.write(REQUEST)
            await reader.readuntil(b"ok")
        spent_s = process_time() - start
        writer.close()
        return spent_s / REQUESTS * 1e6

    async def test_cost_of_the_limits(self):
        """Guards against limits that make each request cost more."""
        async with AsyncExitStack() as stack:
            bounded = _Server(1000)
            plain = HTTPServer(answer)
            addresses = []
            for listen in (bounded.listen, plain.add_sockets):
                sockets = bind_sockets(0, "127.0.0.1")
                listen(sockets)
                addresses.append(sockets[0].getsockname())
            stack.push_async_callback(bounded.close)
            stack.push_async_callback(plain.close_all_connections)
            stack.callback(plain.stop)
            best = [float("inf"), float("inf")]
            for _ in range(ROUNDS):
                for index, address in enumerate(addresses):
                    spent_us = await self.send_many(address)
                    best[index] = min(best[index], spent_us)
        print(f"bounded {best[0]:.0f} us, plain {best[1]:.0f} us")
        assert best[0] < MAX_RATIO * best[1]
