"""Test upstreams that run a script on each connection.

The scripts of a test decide what is sent and when the connection ends,
so that each fault of an upstream can be produced.
"""

from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from collections.abc import Awaitable
from collections.abc import Callable
import re

Script = Callable[[StreamReader, StreamWriter], Awaitable[None]]
_CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
_REQUEST_ID = re.compile(rb"x-request-id: (\S+)", re.IGNORECASE)


async def read_request(reader: StreamReader) -> bytes:
    """Read a request with its body and return its head."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = _CONTENT_LENGTH.search(head)
    if length:
        await reader.readexactly(int(length.group(1)))
    return head


def read_id(head: bytes) -> bytes:
    """Return the id of a request from its head."""
    return _REQUEST_ID.search(head).group(1)


def build_answer(head: bytes, body: bytes, **changes: str) -> bytes:
    """Return an answer that echoes the request id.

    ``changes`` may replace ``request_id`` and ``length``.
    """
    request_id = changes.get("request_id") or read_id(head).decode()
    length = changes.get("length") or str(len(body))
    lines = [
        "HTTP/1.1 200 OK",
        f"Content-Length: {length}",
        f"X-Request-Id: {request_id}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


class ScriptedUpstream:
    """Upstream that runs a script on each connection.

    ``connections`` counts the connections.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._server = None
        self._writers: list[StreamWriter] = []
        self.connections = 0
        self.requests = 0
        self.address = ""

    async def __aenter__(self) -> "ScriptedUpstream":
        self._server = await start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *failure: object) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.connections += 1
        self._writers.append(writer)
        try:
            await self._script(reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()
