"""HTTP headers of the platform's callers and servers."""

from typing import final

from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._core.sanitizing import Header
from gypsummount._core.sanitizing import HOP_BY_HOP
from gypsummount._core.send_holds import parse_retry_after
from gypsummount._edge.wire import AnswerReport
from gypsummount._edge.wire import Arrival
from gypsummount._edge.wire import HealthReport
from gypsummount._edge.wire import LoadReport
from gypsummount._edge.wire import Wire
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.errors import KeyRefused
from gypsummount.errors import RequestError

REQUEST_ID_HEADER = "Gypsummount-Request-Id"
DEADLINE_HEADER = "Gypsummount-Deadline-Milliseconds"
EXPECTED_INSTANCE_HEADER = "Gypsummount-Expected-Instance"
TENANT_HEADER = "Gypsummount-Tenant-Name"
KEY_HEADER = "Api-Key"
AFFINITY_COOKIE = "Gypsummount-Affinity-Key"
NOT_EXECUTED_HEADER = "gypsummount-not-executed"
SERVER_LOAD_HEADER = "gypsummount-server-load"
INSTANCE_ID_HEADER = "gypsummount-instance-id"
COLD_HEADER = "gypsummount-cold-milliseconds"
LEAVING_HEADER = "server-leaving"
LEAVING_VALUE = "1"
RETRY_AFTER_HEADER = "retry-after"
OK = 200
UNAUTHORIZED = 401
MISDIRECTED = 421
UNAVAILABLE = 503
MS_PER_S = 1000
IGNORED_LINES_PER_S = 1.0
# The load header has this many fields if it contains the speed.
SPEED_FIELDS = 4
MAX_SPEED_FIGURE = 100_000
INVALID_SPEED = -1
MAX_DIGITS = 12  # longer numbers in the load header are malformed
# Request headers that are read or set by the edge, so that a caller's are
# not forwarded.
EDGE_HEADERS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID_HEADER,
        DEADLINE_HEADER,
        EXPECTED_INSTANCE_HEADER,
        TENANT_HEADER,
        KEY_HEADER,
    )
)
NOT_FORWARDED = EDGE_HEADERS | HOP_BY_HOP

_log = get_logger("wire")


@final
class PlatformWire(Wire):
    """Translates the platform's requests and answers."""

    id_header = REQUEST_ID_HEADER

    def __init__(self) -> None:
        self._ignored = LineLimiter(IGNORED_LINES_PER_S, read_monotonic())

    def read_arrival(self, request: HTTPServerRequest) -> Arrival:
        """Return the caller's request.

        A deadline that is not a decimal number is ignored.
        """
        headers = request.headers
        key = headers.get(KEY_HEADER)
        return Arrival(
            request_id=headers.get(REQUEST_ID_HEADER, ""),
            host=headers.get("Host", "").partition(":")[0],
            method=request.method,
            target=request.uri,
            path=request.path,
            headers=_list_forwarded(headers, key),
            body=request.body,
            key=key,
            affinity=_read_affinity(headers.get("Cookie")),
            remaining_s=_read_remaining_time(headers.get(DEADLINE_HEADER)),
        )

    def build_request(
        self,
        arrival: Arrival,
        upstream: str,
        workspace: str | None,
        remaining_s: float,
    ) -> UpstreamRequest:
        """Return the request to send to a server.

        ``remaining_s`` is the remaining time (s); the server is told at least
        1 ms.  ``workspace`` is None if the request belongs to none.
        """
        remaining_ms = max(1, int(remaining_s * MS_PER_S))
        headers = [
            *arrival.headers,
            Header(DEADLINE_HEADER, str(remaining_ms)),
            Header(EXPECTED_INSTANCE_HEADER, upstream),
        ]
        if workspace is not None:
            headers.append(Header(TENANT_HEADER, workspace))
        return UpstreamRequest(
            arrival.method,
            arrival.target,
            tuple(headers),
            arrival.body,
            arrival.request_id,
            REQUEST_ID_HEADER,
            arrival.host,
            accepts_unframed=True,
        )

    def build_health_request(self, path: str) -> UpstreamRequest:
        """Return a health check request."""
        return UpstreamRequest("GET", path, (), b"", "", accepts_unframed=True)

    def read_health(self, answer: UpstreamAnswer) -> HealthReport | None:
        """Return the report of a health check.

        It is None if the server did not answer with status 200, as a
        server at capacity does, or if a header is missing or malformed.
        """
        if answer.status != OK:
            return None
        headers = {
            header.name.lower(): header.value for header in answer.headers
        }
        cold_ms = headers.get(COLD_HEADER, "0")
        if INSTANCE_ID_HEADER not in headers or not cold_ms.isdecimal():
            return None
        return HealthReport(
            headers[INSTANCE_ID_HEADER], int(cold_ms) / MS_PER_S
        )

    def read_verdict(self, answer: UpstreamAnswer) -> AnswerReport:
        """Return what the status and headers say about the execution.

        The request was not executed if the server says so, or if the
        status is 421: another server has taken over the address.  Such a
        server's own departure says nothing about the expected one.
        """
        is_other = answer.status == MISDIRECTED
        ran = not is_other
        load: LoadReport | None = None
        is_leaving = False
        retry_after_s: float | None = None
        for header in answer.headers:
            name = header.name.lower()
            if name == NOT_EXECUTED_HEADER:
                ran = False
            elif name == SERVER_LOAD_HEADER:
                load = self._read_load(header)
            elif name == LEAVING_HEADER and not is_other:
                is_leaving = self._read_leaving(header)
            elif name == RETRY_AFTER_HEADER and answer.status == UNAVAILABLE:
                retry_after_s = self._read_retry_after(header)
        return AnswerReport(ran, is_other, load, is_leaving, retry_after_s)

    def _read_load(self, header: Header) -> LoadReport | None:
        """Return the load, or None if the header is malformed.

        A speed that is out of range is ignored.
        """
        load = _parse_load(header.value)
        if load is None or load.speed == INVALID_SPEED:
            self._log_ignored(header)
        if load is not None and load.speed == INVALID_SPEED:
            return LoadReport(load.running, load.waiting)
        return load

    def _read_leaving(self, header: Header) -> bool:
        if header.value.strip() == LEAVING_VALUE:
            return True
        self._log_ignored(header)
        return False

    def _read_retry_after(self, header: Header) -> float | None:
        span_s = parse_retry_after(header.value)
        if span_s is None:
            self._log_ignored(header)
        return span_s

    def _log_ignored(self, header: Header) -> None:
        if self._ignored.try_take(read_monotonic()):
            _log.warning(
                "Ignored a server's header %s: '%.40s'.",
                header.name,
                header.value,
                extra={"left_out": self._ignored.dropped},
            )

    def list_answer_headers(self, answer: UpstreamAnswer) -> list[Header]:
        """Return the answer's end-to-end headers, for the caller."""
        return [
            header
            for header in answer.headers
            if header.name.lower() not in HOP_BY_HOP
        ]

    def get_status(self, error: RequestError) -> int:
        """Return the HTTP status for an error.

        The platform expects 401 for every key that is not accepted.
        """
        if isinstance(error, KeyRefused):
            return UNAUTHORIZED
        return error.status


def _list_forwarded(
    headers: HTTPHeaders, key: str | None
) -> tuple[Header, ...]:
    """Return the headers to forward to servers.

    Left out are hop-by-hop headers, headers that ``Connection`` names,
    headers that the edge sets itself, and any that contain the key.
    """
    connection_headers = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    return tuple(
        Header(name, value)
        for name, value in headers.get_all()
        if name.lower() not in NOT_FORWARDED
        and name.lower() not in connection_headers
        and not (key and key in value)
    )


def _read_affinity(cookie: str | None) -> str | None:
    if not cookie:
        return None
    for pair in cookie.split(";"):
        name, _, value = pair.strip().partition("=")
        if name == AFFINITY_COOKIE:
            return value
    return None


def _read_remaining_time(text: str | None) -> float | None:
    """Return the caller's remaining time (s) from a header value in ms.

    It is at least 1 ms, and None without a decimal number.
    """
    if text is None or not text.isdecimal():
        return None
    return max(1, int(text)) / MS_PER_S


def _parse_load(text: str) -> LoadReport | None:
    """Return the load from ``running,waiting,slots,speed``.

    The number of slots is not used; it and the speed may be missing.  A
    speed out of range becomes :data:`INVALID_SPEED`.
    """
    fields = text.split(",")
    if len(fields) < 2 or not all(
        field.strip().isdecimal() and len(field) <= MAX_DIGITS
        for field in fields
    ):
        return None
    if len(fields) < SPEED_FIELDS:
        return LoadReport(int(fields[0]), int(fields[1]))
    speed = int(fields[SPEED_FIELDS - 1])
    if not 0 < speed <= MAX_SPEED_FIGURE:
        speed = INVALID_SPEED
    return LoadReport(int(fields[0]), int(fields[1]), speed)
