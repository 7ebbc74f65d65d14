"""Memory, descriptors and service beside clients that waste resources.

Every test has one instance with little memory and a crowd of one kind of
client.  The connections of the crowd stay open until the end of the test.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import open_connection
from asyncio import sleep
from asyncio import StreamWriter
from asyncio import timeout
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from itertools import islice
from itertools import product
import os
import socket
from string import ascii_lowercase

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._entry.exchanges import ExchangeError
from tests.platform.heads import build_head
from tests.platform.test_memory import read_peak_mb

MEMORY_MB = 100
MAX_PEAK_MB = 70
MAX_DESCRIPTORS = 800
# Time within which a client of the crowd sends, if the instance reads.
SEND_LIMIT_S = 4.0
# Time within which an ordinary request must have been answered.
ANSWER_LIMIT_S = 30.0
RETRY_PAUSE_S = 0.5
ORDINARY_BODY = b"x" * 20_000
SMALL_RECEIVE_BUFFER = 4096
LARGE_ANSWER_BYTES = 6_000_000
PIECE = b"x" * 65_536
# With the names of three letters, the head has less than 16,384 bytes.
FIELDS = 2700
MANY_FIELDS = b"".join(
    f"{''.join(name)}:\r\n".encode()
    for name in islice(product(ascii_lowercase, repeat=3), FIELDS)
)
ONE_BYTE_CHUNKS = b"1\r\nx\r\n" * 70_000
WITHOUT_ROUTE = b"GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n"
LARGE_CHUNKS = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)


def build_field_head() -> bytes:
    """Return a head that is legal in size, of a request without its body."""
    start = build_head("fields", 5000, "Content-Length: 10")[:-2]
    return start + MANY_FIELDS + b"\r\n"


@dataclass(slots=True, frozen=True)
class Crowd:
    """Clients that send the same bytes to one port and read nothing."""

    port: str
    data: Callable[[], bytes]
    clients: int = 40
    pause_s: float = 0.0


def _start_upload(size: int) -> bytes:
    return build_head("upload", 5000, f"Content-Length: {size}")


CHUNKED = "Transfer-Encoding: chunked"
CROWDS = {
    "many fields": Crowd("front", build_field_head, 160),
    "many fields at the readiness port": Crowd("ready", build_field_head, 160),
    "chunks of one byte": Crowd(
        "front",
        lambda: build_head("c", 5000, CHUNKED) + ONE_BYTE_CHUNKS,
        200,
    ),
    "unfinished bodies at the readiness port": Crowd(
        "ready", lambda: _start_upload(64 * len(PIECE) + 1) + PIECE * 64
    ),
    "unfinished bodies at the directory port": Crowd(
        "directory", lambda: _start_upload(64 * len(PIECE) + 1) + PIECE * 64
    ),
    "long chunked bodies": Crowd(
        "front",
        lambda: build_head("c", 5000, CHUNKED) + LARGE_CHUNKS * 128,
        200,
    ),
    "pipelined requests": Crowd("front", lambda: WITHOUT_ROUTE * 20_000, 600),
    "slow readers": Crowd(
        "front", lambda: build_head("s", 5000, "X: y"), 20, 0.1
    ),
}


def _abort(writer: StreamWriter) -> None:
    if not writer.transport.is_closing():
        writer.transport.abort()


class TestCrowds:
    @pytest.fixture
    async def limited(self, deployment):
        deployment.start(1, memory_mb=MEMORY_MB)
        await deployment.wait_ready(1)
        return deployment

    async def send(self, stack, deployment, crowd) -> None:
        """Send what one client of a crowd sends, and stay connected."""
        port = getattr(deployment.ports, crowd.port)
        client = socket.socket()
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER
        )
        client.connect(("127.0.0.2", port))
        reader, writer = await open_connection(sock=client, limit=1)
        stack.callback(_abort, writer)
        await self._write(writer, crowd.data())

    async def _write(self, writer: StreamWriter, data: bytes) -> None:
        try:
            async with timeout(SEND_LIMIT_S):
                for start in range(0, len(data), len(PIECE)):
                    writer.write(data[start : start + len(PIECE)])
                    await writer.drain()
        except (OSError, TimeoutError):
            pass

    async def call_until_answered(self, deployment) -> int | str:
        """Repeat an ordinary request; return its last status or error."""
        until = read_monotonic() + ANSWER_LIMIT_S
        result: int | str = "not sent"
        number = 0
        while result != 200 and read_monotonic() < until:
            number += 1
            try:
                answer = await deployment.call(
                    1,
                    "POST",
                    "/book/x",
                    request_id=f"ordinary-{number}",
                    deadline_ms=4000,
                    body=ORDINARY_BODY,
                )
                result = answer.status
            except ExchangeError as error:
                result = str(error)
            if result != 200:
                await sleep(RETRY_PAUSE_S)
        return result

    @pytest.mark.parametrize("kind", CROWDS)
    async def test_process_lives_and_answers_an_ordinary_request(
        self, limited, kind
    ):
        """Guards against clients that use up memory or processor time."""
        crowd = CROWDS[kind]
        if kind == "slow readers":
            for server in limited.servers.values():
                server.answer_bytes = LARGE_ANSWER_BYTES
        process = limited.processes[1]
        async with AsyncExitStack() as stack:
            sends = []
            for _ in range(crowd.clients):
                send = self.send(stack, limited, crowd)
                sends.append(create_task(send))
                await sleep(crowd.pause_s)
            await gather(*sends)
            result = await self.call_until_answered(limited)
            descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        assert process.poll() is None
        assert result == 200
        assert read_peak_mb(process) < MAX_PEAK_MB
        assert descriptors < MAX_DESCRIPTORS


class TestPortsWithoutBodies:
    @pytest.mark.parametrize("framing", ["Content-Length: 1", CHUNKED])
    async def test_body_is_refused(self, instance, framing):
        """Guards against bodies at ports that have no use for them."""
        lines = []
        for port in ("ready", "directory", "control", "metrics", "peer"):
            reader, writer = await open_connection(
                "127.0.0.2", getattr(instance.ports, port)
            )
            writer.write(build_head("b", 5000, framing) + b"1\r\nx\r\n")
            lines.append(await reader.readline())
            writer.close()
        assert lines == [b"HTTP/1.1 400 Bad Request\r\n"] * 5
