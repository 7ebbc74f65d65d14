"""HTTP/1.1 exchanges with an upstream over one connection."""

from asyncio import timeout
from dataclasses import dataclass
from socket import MSG_DONTWAIT
from socket import MSG_PEEK

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from gypsummount._common.body_account import AnswerBody
from gypsummount._common.body_account import BodyAccount
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.messages import write_message
from gypsummount._core.sanitizing import Header
from gypsummount.errors import GypsummountError

MAX_ANSWER_BYTES = 32 * 1024 * 1024
REQUEST_ID_HEADER = "X-Request-Id"
# HTTP/1.1 defines no other status codes.
VALID_STATUSES = range(100, 600)


class ExchangeError(GypsummountError):
    """An exchange with an upstream failed.

    ``sent`` is True if any byte of the request may have been sent.
    """

    code = "exchange_failed"

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ExchangeTimeout(ExchangeError):
    """No complete answer came within the time limit."""

    code = "exchange_timeout"


@dataclass(slots=True, frozen=True)
class UpstreamRequest:
    """A request as it is written to an upstream.

    ``id_header`` names the header with the request id; an upstream may
    echo it in its answer.  ``host`` is the caller's Host header; if it is
    empty, the address of the upstream is sent.  ``accepts_unframed`` accepts
    a body that only the end of the connection delimits.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes | bytearray
    request_id: str
    id_header: str = REQUEST_ID_HEADER
    host: str = ""
    accepts_unframed: bool = False


@dataclass(slots=True)
class UpstreamAnswer:
    """A complete answer of an upstream, with all headers as received."""

    status: int
    reason: str
    headers: list[Header]
    body: bytes | bytearray


class _AnswerReader(HTTPMessageDelegate):
    """Collects the head and body of one answer.

    ``is_complete`` is set once the end of the answer was received, and
    ``invalid_status`` if the status code is not one of HTTP.
    """

    def __init__(self, body: AnswerBody, account: BodyAccount) -> None:
        self.start_line: ResponseStartLine | None = None
        self.headers = HTTPHeaders()
        self.body = body
        self.is_complete = False
        self.invalid_status: int | None = None
        self._account = account

    def headers_received(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if start_line.code not in VALID_STATUSES:
            self.invalid_status = start_line.code
            raise HTTPInputError(f"invalid status {start_line.code:03}")
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        if not self._account.make_room_for_answer(self.body, len(chunk)):
            self.body.drop()
        if self.body.is_dropped:
            raise HTTPInputError("no memory is left for the answer")
        self.body.append_bytes(chunk)

    def finish(self) -> None:
        self.is_complete = True

    @property
    def is_framed(self) -> bool:
        """Tell whether a truncated body can be detected."""
        if self.start_line is None or self.start_line.code in (204, 304):
            return True
        chunked = "chunked" in self.headers.get("Transfer-Encoding", "")
        return chunked or "Content-Length" in self.headers

    @property
    def keeps_alive(self) -> bool:
        """Tell whether the upstream keeps the connection open for reuse."""
        if self.start_line is None or self.start_line.version != "HTTP/1.1":
            return False
        if not self.is_framed:
            return False
        return self.headers.get("Connection", "").lower() != "close"


class UpstreamConnection:
    """A connection to an upstream; carries one exchange at a time.

    ``used_at`` is when it was opened or last used (boot clock, s).
    """

    __slots__ = ("_account", "_stream", "exchanges", "used_at")

    def __init__(
        self, stream: IOStream, now: float, account: BodyAccount
    ) -> None:
        self._stream = stream
        self._account = account
        self.exchanges = 0
        self.used_at = now

    def close(self) -> None:
        """Close the connection; the upstream sees a cancellation."""
        self._stream.close()

    def is_reusable(self) -> bool:
        """Tell whether the connection is open and has no unexpected bytes.

        Bytes after the end of an answer would be read as the answer to
        the next request.
        """
        if self._stream.closed():
            return False
        # Tornado has no public API for the bytes in its read buffer.
        if self._stream._read_buffer_size:
            return False
        try:
            self._stream.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def exchange(
        self, request: UpstreamRequest, host: str, limit_s: float
    ) -> UpstreamAnswer:
        """Send a request and return its complete answer.

        ``host`` is used if the request names none.  The connection stays
        open only if the complete request was written, the answer was
        accepted, and the upstream keeps the connection open.

        :raises ExchangeTimeout: when no complete answer came within
            ``limit_s`` seconds.
        :raises ExchangeError: when the connection broke, or the answer
            is truncated, malformed or belongs to another request.  In
            all errors, ``sent`` is True.
        """
        is_clean = False
        body = AnswerBody(self._account, self._stream.close)
        reader = _AnswerReader(body, self._account)
        self._account.add_receiving(body)
        try:
            async with timeout(limit_s):
                await self._send_and_receive(request, host, reader)
            answer = self._build_answer(request, reader)
            is_clean = self._may_be_kept(request, reader)
        except TimeoutError:
            raise ExchangeTimeout(
                f"{host} gave no complete answer in {limit_s:.3f} s; "
                "look at its health",
                sent=True,
            ) from None
        except (OSError, HTTPInputError, StreamClosedError) as error:
            raise ExchangeError(
                f"the exchange with {host} broke ({error}); "
                "look at its health",
                sent=True,
            ) from None
        finally:
            self._account.remove_receiving(body)
            self.exchanges += 1
            self.used_at = read_monotonic()
            if not is_clean:
                self.close()
        return answer

    def _build_answer(
        self, request: UpstreamRequest, reader: _AnswerReader
    ) -> UpstreamAnswer:
        if reader.body.is_dropped:
            raise ExchangeError(
                "no memory was left for the answer; look at the sizes of the "
                "upstreams' answers",
                sent=True,
            )
        if reader.invalid_status is not None:
            raise ExchangeError(
                f"the answer has the status {reader.invalid_status:03}; "
                "look at the upstream",
                sent=True,
            )
        if reader.start_line is None or not reader.is_complete:
            raise ExchangeError(
                "the answer was cut short or is not HTTP; "
                "look at the upstream",
                sent=True,
            )
        if not reader.is_framed and request.method != "HEAD":
            self._check_unframed(request)
        self._check_echo(request, reader)
        headers = [
            Header(name, value) for name, value in reader.headers.get_all()
        ]
        return UpstreamAnswer(
            reader.start_line.code,
            reader.start_line.reason,
            headers,
            reader.body,
        )

    def _check_echo(
        self, request: UpstreamRequest, reader: _AnswerReader
    ) -> None:
        """Refuse an answer that may belong to another request.

        A kept connection may carry a second copy of an earlier answer, so
        an answer on it must echo the id of its request.
        """
        echoed = reader.headers.get(request.id_header)
        if echoed == request.request_id or not request.request_id:
            return
        if echoed or self.exchanges:
            raise ExchangeError(
                "the answer belongs to another request; look at the upstream",
                sent=True,
            )

    def _may_be_kept(
        self, request: UpstreamRequest, reader: _AnswerReader
    ) -> bool:
        """Tell whether the connection may carry a further exchange.

        A copy of an answer without an id could not be told from the answer
        to the next request.
        """
        if not reader.keeps_alive or self._stream.writing():
            return False
        return not request.request_id or request.id_header in reader.headers

    def _check_unframed(self, request: UpstreamRequest) -> None:
        """Refuse a body without a length, unless that is allowed.

        Even then, a connection that ended with an error is refused.
        """
        if request.accepts_unframed and self._stream.error is None:
            return
        raise ExchangeError(
            "the answer has no length, so a cut cannot be told; let the "
            "upstream send Content-Length or chunks",
            sent=True,
        )

    async def _send_and_receive(
        self, request: UpstreamRequest, host: str, reader: _AnswerReader
    ) -> None:
        parameters = HTTP1ConnectionParameters(max_body_size=MAX_ANSWER_BYTES)
        connection = HTTP1Connection(self._stream, True, parameters)
        headers = _build_headers(request, request.host or host)
        start_line = RequestStartLine(
            request.method, request.target, "HTTP/1.1"
        )
        write_message(connection, start_line, headers, request.body)
        connection.finish()
        await connection.read_response(reader)


def _build_headers(request: UpstreamRequest, host: str) -> HTTPHeaders:
    headers = HTTPHeaders()
    headers.add("Host", host)
    for header in request.headers:
        headers.add(header.name, header.value)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(request.body))
    headers[request.id_header] = request.request_id
    return headers
