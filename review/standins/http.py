"""Reading and writing of HTTP/1.1 messages over asyncio streams."""

from asyncio import IncompleteReadError
from asyncio import LimitOverrunError
from asyncio import StreamReader
from dataclasses import dataclass
from dataclasses import field
from json import dumps

REASONS = {200: "OK", 409: "Conflict", 421: "Misdirected Request"}
BROKEN = (IncompleteReadError, LimitOverrunError, OSError, ValueError)


@dataclass(slots=True)
class Message:
    """A request or answer: its start line, headers (lower case) and body."""

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start[1])

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.start[1]


async def read_message(reader: StreamReader) -> Message | None:
    """Return the next message, or None if the peer closed before it.

    :raises IncompleteReadError: when the message is cut short.
    """
    head = await read_head(reader)
    if head is None:
        return None
    length = int(head.headers.get("content-length", 0))
    head.body = await reader.readexactly(length) if length else b""
    return head


async def read_head(reader: StreamReader) -> Message | None:
    """Return the start line and headers of the next message.

    :raises IncompleteReadError: when the head is cut short.
    """
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = text.decode("latin1").split("\r\n")
    message = Message(lines[0].split(" ", 2))
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            message.headers[name.strip().lower()] = value.strip()
    return message


def build_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request; a POST always has a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + body


def build_answer(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of an answer with its length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + body


def build_json_answer(status: int, document: object) -> bytes:
    """Return the bytes of an answer with a JSON body."""
    body = dumps(document).encode()
    return build_answer(status, {"Content-Type": "application/json"}, body)
