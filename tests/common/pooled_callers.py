"""Callers that use kept-alive connections until the process has ended."""

from asyncio import get_running_loop
from asyncio import IncompleteReadError
from asyncio import open_connection
from asyncio import sleep
from asyncio import StreamReader
from asyncio import StreamWriter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
import socket

from gypsummount._common.clocks import read_monotonic

SMALL_WINDOW_BYTES = 65_536
CHUNKS = 4
# A request whose connection closes within this time (s) has crossed the
# close and has not been read.
CROSSING_S = 0.2


async def read_head(reader: StreamReader) -> tuple[int, dict[str, str]]:
    """Read the head of an answer; return its status and headers.

    :raises IncompleteReadError: if the connection ended before.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode().split("\r\n")
    headers = dict(
        line.lower().split(": ", 1) for line in lines if ": " in line
    )
    return int(start_line.split()[1]), headers


async def connect_slowly(address: tuple) -> tuple:
    """Open a connection with a small receive window."""
    connected = socket.socket()
    connected.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES
    )
    connected.setblocking(False)
    await get_running_loop().sock_connect(connected, address)
    return await open_connection(sock=connected)


async def read_slowly(reader: StreamReader, bytes_per_s: int) -> int:
    """Read a whole answer at a limited rate; return its status.

    :raises IncompleteReadError: if the connection ended before.
    """
    status, headers = await read_head(reader)
    remaining = int(headers["content-length"])
    while remaining:
        piece = min(SMALL_WINDOW_BYTES, remaining)
        await reader.readexactly(piece)
        remaining -= piece
        await sleep(piece / bytes_per_s)
    return status


@dataclass(slots=True)
class Attempt:
    """One request of a caller; times are of the boot clock (s).

    ``sent_at`` is when its last byte was sent.  ``status`` is None if the
    connection ended without a whole answer.
    """

    request_id: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int | None = None


class PooledCaller:
    """A caller with idle connections, of which each request uses another.

    A connection that an answer closes is not used again, and no new one is
    opened, so that requests go on until all connections are used up or the
    process has closed them.  ``build_head`` returns the head of a request
    with an id and a header line for the framing of the body.
    """

    def __init__(
        self,
        name: str,
        address: tuple,
        build_head: Callable[[str, str], bytes],
        random: Random,
    ) -> None:
        self._build_head = build_head
        self.attempts: list[Attempt] = []
        self._name = name
        self._address = address
        self._random = random
        self._idle: list[tuple] = []

    async def connect(self, count: int) -> None:
        """Open idle connections."""
        for _ in range(count):
            self._idle.append(await open_connection(*self._address))

    async def run(self, max_pause_s: float) -> None:
        """Send requests after random pauses until no connection is left."""
        while self._idle:
            await sleep(self._random.uniform(0.0, max_pause_s))
            self._drop_closed()
            if self._idle:
                await self.send()

    def _drop_closed(self) -> None:
        """Forget the idle connections that the process has closed."""
        closed = [link for link in self._idle if link[0].at_eof()]
        for link in closed:
            link[1].close()
            self._idle.remove(link)

    async def send(self) -> Attempt:
        """Send one request, with a length or in chunks."""
        reader, writer = self._idle.pop(0)
        attempt = Attempt(f"{self._name}-{len(self.attempts)}")
        self.attempts.append(attempt)
        try:
            await self._write_request(writer, attempt)
            attempt.sent_at = read_monotonic()
            attempt.status = await self._read_answer(reader, writer)
        except (OSError, IncompleteReadError):
            attempt.sent_at = attempt.sent_at or read_monotonic()
        attempt.ended_at = read_monotonic()
        if writer.is_closing():
            return attempt
        self._idle.append((reader, writer))
        return attempt

    async def _write_request(
        self, writer: StreamWriter, attempt: Attempt
    ) -> None:
        body = b"x" * self._random.randrange(1, 4000)
        is_chunked = self._random.random() < 0.5
        framing = (
            "Transfer-Encoding: chunked"
            if is_chunked
            else f"Content-Length: {len(body)}"
        )
        writer.write(self._build_head(attempt.request_id, framing))
        if not is_chunked:
            writer.write(body)
            return
        size = max(1, len(body) // CHUNKS)
        for start in range(0, len(body), size):
            chunk = body[start : start + size]
            writer.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            await sleep(self._random.uniform(0.0, 0.05))
        writer.write(b"0\r\n\r\n")

    async def _read_answer(
        self, reader: StreamReader, writer: StreamWriter
    ) -> int:
        """Read a whole answer and return its status.

        :raises IncompleteReadError: if the connection ended before.
        """
        status, headers = await read_head(reader)
        await reader.readexactly(int(headers["content-length"]))
        if headers.get("connection") == "close":
            writer.close()
        return status


def list_lost(attempts: list[Attempt], runs: set[str]) -> list[Attempt]:
    """Return the attempts that ran, or were read, without an answer.

    ``runs`` has the ids of all requests that ran.  An attempt that did not
    run may end without an answer if it crossed the close.
    """
    lost = []
    for attempt in attempts:
        ran = attempt.request_id in runs
        wait_s = attempt.ended_at - attempt.sent_at
        is_cut = attempt.status is None and wait_s > CROSSING_S
        if ran != (attempt.status == 200) or is_cut:
            lost.append(attempt)
    return lost
