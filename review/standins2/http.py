"""A minimal HTTP/1.1 server and client on asyncio streams.

Heads and bodies are kept as raw bytes, so that a case can compare what was
sent with what arrived, byte by byte.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

MAX_HEAD_BYTES = 65_536


@dataclass(slots=True)
class Message:
    """A request or an answer; header names are in lower case.

    ``first`` and ``second`` are the method and target of a request, or the
    version and status of an answer.  ``is_cut`` tells that the connection was
    reset in a body that only its end delimits.
    """

    first: bytes
    second: bytes
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_cut: bool = False

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.second)


async def read_message(
    reader: asyncio.StreamReader, *, is_answer: bool = False
) -> Message:
    """Read one whole message.

    :raises EOFError: when the connection ends before the message does.
    """
    message = await read_head(reader)
    message.body = await _read_body(reader, message, is_answer=is_answer)
    return message


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; its body stays unread.

    :raises EOFError: when the connection ends before the head does.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].split(b"\r\n")
    first, second = lines[0].split(b" ")[:2]
    message = Message(first, second)
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        message.headers[name.decode("latin-1").lower()] = value.strip().decode(
            "latin-1"
        )
    return message


async def _read_body(
    reader: asyncio.StreamReader, message: Message, *, is_answer: bool
) -> bytes:
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        return await _read_chunks(reader)
    length = message.headers.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    if not is_answer:
        return b""
    try:
        return await reader.read()
    except OSError:
        message.is_cut = True
        return b""


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


def build_message(
    first_line: bytes, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a message with a Content-Length."""
    lines = [first_line]
    for name, value in headers.items():
        lines.append(f"{name}: {value}".encode("latin-1"))
    lines.append(f"Content-Length: {len(body)}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    answer: Callable[[Message], Awaitable[bytes | None]],
) -> None:
    """Answer the requests of one connection, one after the other.

    ``answer`` returns the bytes to write; None closes the connection.
    It ends with the case, which cancels it.
    """
    try:
        while True:
            request = await read_message(reader)
            data = await answer(request)
            if data is None:
                return
            writer.write(data)
            await writer.drain()
    except (EOFError, OSError, asyncio.LimitOverrunError):
        return
    except asyncio.CancelledError:
        # asyncio would print that the task was cancelled.
        return
    finally:
        writer.close()
