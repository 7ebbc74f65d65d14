"""Writing of whole HTTP messages."""

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine

# A larger body is written apart from the head, so that it is not copied.
MAX_JOINED_BYTES = 65_536


def write_message(
    connection: HTTP1Connection,
    start_line: RequestStartLine | ResponseStartLine,
    headers: HTTPHeaders,
    body: bytes | bytearray,
) -> None:
    """Write the head and the body of a message.

    The caller finishes the message.  The body must not change any more.

    :raises StreamClosedError: if the connection has been closed.
    """
    if len(body) <= MAX_JOINED_BYTES:
        connection.write_headers(start_line, headers, body or None)
        return
    connection.write_headers(start_line, headers)
    connection.write(memoryview(body))
