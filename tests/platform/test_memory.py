"""Memory of the program while bodies are larger than it can hold."""

from asyncio import create_task
from asyncio import gather
from asyncio import open_connection
from asyncio import sleep
from contextlib import AsyncExitStack
import re

import pytest

from gypsummount._common.clocks import read_monotonic
from tests.common.pooled_callers import read_head
from tests.entry.wires import read_request
from tests.entry.wires import ScriptedUpstream
from tests.platform.doubles import build_server
from tests.platform.heads import build_head

MEMORY_MB = 200
PIECE_BYTES = 65_536
CALLERS = 30
LOAD_S = 6.0
# Callers wait this long (s) after an answer that is not good.
RETRY_PAUSE_S = 0.2
FAULTY = 6
REQUEST_ID = re.compile(rb"gypsummount-request-id: (\S+)", re.IGNORECASE)


class EndlessServer:
    """An upstream that writes without end until the caller closes.

    Health checks get a good answer.  ``start`` is written before, with the
    request's id in place of ``ID``, and ``piece`` is written repeatedly.
    """

    def __init__(self, name, start, piece):
        self._name = name
        self._start = start
        self._piece = piece

    async def serve(self, reader, writer):
        while True:
            head = await read_request(reader)
            if b" /health " in head:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                    b"Gypsummount-Instance-Id: %b\r\n\r\n"
                    % self._name.encode()
                )
                continue
            request_id = REQUEST_ID.search(head).group(1)
            writer.write(self._start.replace(b"ID", request_id))
            while True:
                writer.write(self._piece)
                await writer.drain()


HEAD = b"HTTP/1.1 200 OK\r\nGypsummount-Request-Id: ID\r\n"
PIECE = b"x" * PIECE_BYTES
ENDLESS = {
    "body until the close": (HEAD + b"\r\n", PIECE),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (len(PIECE), PIECE),
    ),
    "long body": (HEAD + b"Content-Length: 30000000\r\n\r\n", PIECE),
    "head": (HEAD, b"X-Line: x\r\n" * 6000),
    "line of the head": (HEAD + b"X-Line: ", PIECE),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "no answer": (b"", PIECE),
}


def read_peak_mb(process):
    """Return the largest resident memory of a process so far."""
    with open(f"/proc/{process.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024 / 1e6


async def call_repeatedly(deployment, name, until):
    statuses = []
    while read_monotonic() < until:
        request_id = f"{name}-{len(statuses)}"
        answer = await deployment.call(
            1, "GET", "/read/x", request_id=request_id
        )
        statuses.append(answer.status)
        if answer.status != 200:
            await sleep(RETRY_PAUSE_S)
    return statuses


@pytest.fixture
async def limited(deployment):
    """A deployment whose instance has :data:`MEMORY_MB` of memory."""
    deployment.start(1, memory_mb=MEMORY_MB)
    await deployment.wait_ready(1)
    return deployment


class TestEndlessAnswers:
    @pytest.mark.parametrize("kind", ENDLESS)
    async def test_memory_is_bounded_and_others_are_served(
        self, limited, kind
    ):
        """Guards against running out of memory by what servers write."""
        async with AsyncExitStack() as stack:
            for number in range(FAULTY):
                name = f"i-endless-{number}"
                server = EndlessServer(name, *ENDLESS[kind])
                upstream = await stack.enter_async_context(
                    ScriptedUpstream(server.serve)
                )
                limited.store.put(
                    "servers", name, build_server(upstream.address)
                )
            await sleep(1.0)
            until = read_monotonic() + LOAD_S
            calls = [
                create_task(call_repeatedly(limited, f"c{number}", until))
                for number in range(CALLERS)
            ]
            statuses = [
                status for result in await gather(*calls) for status in result
            ]
        assert limited.processes[1].poll() is None
        assert read_peak_mb(limited.processes[1]) < MEMORY_MB
        assert statuses.count(200) > len(statuses) / 2


class TestLargeUploads:
    UPLOAD_BYTES = 20_000_000
    UPLOADS = 12

    async def upload(self, deployment, number):
        """Send a large body, with a length or in chunks; return the status."""
        address = ("127.0.0.2", deployment.ports.front)
        reader, writer = await open_connection(*address)
        is_chunked = number % 2
        framing = (
            "Transfer-Encoding: chunked"
            if is_chunked
            else f"Content-Length: {self.UPLOAD_BYTES}"
        )
        writer.write(build_head(f"up-{number}", 5000, framing))
        for _ in range(self.UPLOAD_BYTES // len(PIECE)):
            piece = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
            writer.write(piece if is_chunked else PIECE)
            await writer.drain()
        rest = self.UPLOAD_BYTES % len(PIECE)
        writer.write(b"0\r\n\r\n" if is_chunked else b"x" * rest)
        status, _ = await read_head(reader)
        writer.close()
        return status

    async def test_uploads_that_do_not_fit_are_refused_as_not_run(
        self, limited
    ):
        """Guards against running out of memory by many large uploads."""
        for server in limited.servers.values():
            server.delay_s = 0.5
        statuses = await gather(
            *(self.upload(limited, number) for number in range(self.UPLOADS))
        )
        assert limited.processes[1].poll() is None
        assert read_peak_mb(limited.processes[1]) < MEMORY_MB
        runs = [
            run for server in limited.servers.values() for run in server.runs
        ]
        assert set(statuses) == {200, 503}
        assert len(runs) == statuses.count(200)
