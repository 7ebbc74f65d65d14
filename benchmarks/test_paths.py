"""Look-ups and the request path, against bare servers in the same run.

The rules of the test entry name the service "rondas".
"""

from asyncio import create_subprocess_exec
from asyncio.subprocess import PIPE
from contextlib import AsyncExitStack
from dataclasses import dataclass
import sys

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine

from gypsummount._common.sockets import bind_address
from gypsummount._core.sanitizing import Header
from gypsummount._demo.fleet import Ports
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount._proto import peer_pb2
from gypsummount._standin.http import Reply
from gypsummount._standin.http import SingleHandlerServer
from tests.entry.standalone import StandaloneEntry

# Minimum rate of look-ups, as a fraction of a bare server's request rate.
MIN_LOOKUP_RATIO = 0.6
# Maximum latency that an entry adds, as a multiple of what a bare relay adds.
MAX_ADDED_RATIO = 3.0
CALLER_COUNT = 16
DURATION_S = 3.0


@dataclass(slots=True)
class Measurement:
    requests_per_s: float
    median_ms: float


async def measure(address, path, key, count=CALLER_COUNT):
    host, _, port = address.rpartition(":")
    process = await create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.client",
        host,
        port,
        path,
        key,
        str(count),
        str(DURATION_S),
        stdout=PIPE,
    )
    output, _ = await process.communicate()
    requests_per_s, median_ms = output.split()
    return Measurement(float(requests_per_s), float(median_ms))


def send_two_bytes(request):
    headers = HTTPHeaders({"Content-Length": "2"})
    line = ResponseStartLine("HTTP/1.1", 200, "OK")
    request.connection.write_headers(line, headers, b"ok")
    request.connection.finish()


class TestLookups:
    async def test_rate_against_a_bare_server(self):
        async with AsyncExitStack() as stack:
            standalone = StandaloneEntry(stack)
            await standalone.start()
            key = standalone.grant_key("w")
            member = peer_pb2.Member(
                instance="i", domain="a", region="r", phase="serving"
            )
            member.entries.add(
                name="e", token="t.0", http_address="a:1", phase="serving"
            )
            standalone.update(members=[member])
            bare_server = HTTPServer(send_two_bytes)
            address = Ports().reserve()
            bare_server.add_sockets(bind_address("--listen", address))
            path = "/v1/lookup?service=rondas"
            bare = await measure(address, path, key)
            entry = await measure(standalone.listen, path, key)
            bare_server.stop()
        ratio = entry.requests_per_s / bare.requests_per_s
        print(
            f"look-ups {entry.requests_per_s:.0f}/s, "
            f"bare {bare.requests_per_s:.0f}/s"
        )
        print(f"ratio {ratio:.2f}, at least {MIN_LOOKUP_RATIO}")
        assert ratio >= MIN_LOOKUP_RATIO


class TestRequestPath:
    async def test_added_latency_against_a_bare_relay(self):
        async with AsyncExitStack() as stack:
            standalone = StandaloneEntry(stack, servers=2, slots=64)
            await standalone.start()
            key = standalone.grant_key("w")
            standalone.grant_large_shares()
            standalone.set_switches("rondas", latency_s=0.0)
            pool = ConnectionPool(
                standalone.list_upstreams("rondas")[0].server
            )
            stack.callback(pool.close)

            async def relay(request):
                answer = await pool.send(
                    UpstreamRequest(
                        "GET", request.uri, (Header("A", "b"),), b"", "1"
                    ),
                    5.0,
                    repeatable=True,
                )
                return Reply(answer.status, answer.body)

            address = Ports().reserve()
            sockets = bind_address("--listen", address)
            server = SingleHandlerServer(relay, sockets)
            stack.push_async_callback(server.close)
            upstream_address = standalone.list_upstreams("rondas")[0].server
            await measure(standalone.listen, "/rondas", key)
            direct = await measure(upstream_address, "/rondas", key)
            relayed = await measure(address, "/rondas", key)
            opened_before = (
                standalone.entry.selection.count_opened_connections()
            )
            entry = await measure(standalone.listen, "/rondas", key)
            new_connections = (
                standalone.entry.selection.count_opened_connections()
                - opened_before
            )
        added_by_entry = entry.median_ms - direct.median_ms
        added_by_relay = relayed.median_ms - direct.median_ms
        print(
            f"median ms: direct {direct.median_ms:.2f}, "
            f"relay {relayed.median_ms:.2f}, entry {entry.median_ms:.2f}; "
            f"ratio {added_by_entry / added_by_relay:.2f}, "
            f"new connections {new_connections} "
            f"for {entry.requests_per_s * DURATION_S:.0f} requests"
        )
        assert new_connections <= CALLER_COUNT
        assert added_by_entry <= MAX_ADDED_RATIO * added_by_relay
