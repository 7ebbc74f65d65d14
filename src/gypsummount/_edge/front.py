"""HTTP server of an edge for callers, and plain answers of other servers."""

from asyncio import CancelledError
from random import random
from typing import final

from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest
from tornado.httputil import responses
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from gypsummount._common.client_account import ClientAccount
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.disconnects import CallerConnection
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._common.messages import write_message
from gypsummount._common.metrics import Metrics
from gypsummount._common.metrics import Series
from gypsummount._common.request_server import MAX_CONNECTIONS
from gypsummount._common.request_server import RequestServer
from gypsummount._core.shedding import LoadShedder
from gypsummount._edge.decisions import DecisionLog
from gypsummount._edge.proxy import Proxy
from gypsummount._edge.proxy import ProxyOutcome
from gypsummount._edge.wire import Arrival
from gypsummount._edge.wire import Wire
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount.errors import CallerDisconnected
from gypsummount.errors import InstanceBusy
from gypsummount.errors import InstanceLeaving
from gypsummount.errors import OutcomeUnknown
from gypsummount.errors import RequestError

MAX_BODY_BYTES = 64 * 1024 * 1024
STATUSES_WITHOUT_BODY = (204, 304)
BUSY_RETRY_AFTER_S = 0.2
BUSY_RETRY_JITTER_S = 0.3


@final
class EdgeFront(RequestServer):
    """Answers callers; every request gets exactly one final answer."""

    def __init__(
        self,
        proxy: Proxy,
        wire: Wire,
        metrics: Metrics,
        decisions: DecisionLog,
        loop_timer: LoopTimer | None = None,
        max_connections: int = MAX_CONNECTIONS,
        account: ClientAccount | None = None,
    ) -> None:
        super().__init__(MAX_BODY_BYTES, loop_timer, max_connections, account)
        self._proxy = proxy
        self._wire = wire
        self._metrics = metrics
        self._decisions = decisions
        self._shedder = LoadShedder()

    def _answer_at_once(self, request: HTTPServerRequest) -> bool:
        if self.is_refusing:
            error = InstanceLeaving("the instance is leaving; try another one")
            self._write_error(request, error)
            return True
        read_delay_s = self._loop_timer.get_max_read_delay(read_monotonic())
        if self._shedder.admit(self._loop_timer.number, read_delay_s):
            return False
        error = _build_busy_error("the instance is busy")
        self._write_error(request, error)
        self._log_overload(request, error, read_delay_s)
        return True

    def _log_overload(
        self,
        request: HTTPServerRequest,
        error: InstanceBusy,
        read_delay_s: float,
    ) -> None:
        request_id = request.headers.get(self._wire.id_header, "?")
        self._decisions.log_overload(request_id, error, read_delay_s)

    async def _serve(
        self, request: HTTPServerRequest, arrived_at: float
    ) -> None:
        read_delay_s = read_monotonic() - arrived_at
        arrival: Arrival | None = None
        try:
            arrival = self._wire.read_arrival(request)
            caller = CallerConnection(request.connection.stream)
            outcome = await self._proxy.run(arrival, caller, arrived_at)
            answer = outcome.answer
            self._write_answer(request, answer)
            self._record_answer(
                outcome, read_delay_s, read_monotonic() - arrived_at
            )
        except RequestError as error:
            self._write_error(request, error)
            self._decisions.log_refusal(
                arrival, error, read_delay_s, read_monotonic() - arrived_at
            )
        except CallerDisconnected:
            self._metrics.count("callers.left_unsent")
            request.connection.stream.close()
        except StreamClosedError:
            self._metrics.count("callers.lost")
        except CancelledError:
            self._metrics.count("callers.lost")
            raise
        except Exception:
            self._decisions.log_internal_error(arrival)
            error = OutcomeUnknown("an internal fault; look it up")
            self._write_error(request, error)

    def _record_answer(
        self, outcome: ProxyOutcome, read_delay_s: float, latency_s: float
    ) -> None:
        context = outcome.context
        self._metrics.count(f"answers.{outcome.answer.status // 100}xx")
        workspace = context.workspace_name or "open"
        self._metrics.record(Series(workspace, context.route.name), latency_s)
        status = outcome.answer.status
        self._decisions.log_answer(context, status, read_delay_s, latency_s)

    def _write_answer(
        self, request: HTTPServerRequest, answer: UpstreamAnswer
    ) -> None:
        request.connection.set_close_callback(None)
        headers = HTTPHeaders()
        for line in self._wire.list_answer_headers(answer):
            headers.add(line.name, line.value)
        body = answer.body
        if request.method == "HEAD" or answer.status in STATUSES_WITHOUT_BODY:
            body = b""
        if answer.status not in STATUSES_WITHOUT_BODY:
            headers["Content-Length"] = str(len(body))
        if self.is_closing:
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", answer.status, answer.reason)
        write_message(request.connection, line, headers, body)
        request.connection.finish()

    def refuse_body(self, request: HTTPServerRequest) -> None:
        """Answer that there is no memory left for the body of a request."""
        error = _build_busy_error("no memory is left for the body")
        self._write_error(request, error, is_received=False)
        self._log_overload(request, error, 0.0)

    def _write_error(
        self,
        request: HTTPServerRequest,
        error: RequestError,
        *,
        is_received: bool = True,
    ) -> None:
        """Write the answer that tells an error.

        An answer to a request that is still being received is not finished,
        and the connection is not to be used again.
        """
        self._metrics.count(f"refused.{error.code}")
        request.connection.set_close_callback(None)
        body = f"{error.code}: {error}\n".encode()
        headers = HTTPHeaders(
            {
                "Content-Type": "text/plain",
                "Content-Length": str(len(body)),
            }
        )
        given = request.headers.get(self._wire.id_header)
        if given is not None:
            headers[self._wire.id_header] = given
        if error.retry_after_s is not None:
            headers["Retry-After"] = f"{error.retry_after_s:.3g}"
        if self.is_closing or not is_received:
            headers["Connection"] = "close"
        if request.method == "HEAD":
            body = b""
        status = self._wire.get_status(error)
        reason = responses.get(status, "Unknown")
        line = ResponseStartLine("HTTP/1.1", status, reason)
        try:
            request.connection.write_headers(line, headers, body)
            if is_received or "Expect" in request.headers:
                request.connection.finish()
        except StreamClosedError:
            self._metrics.count("callers.lost")


def _build_busy_error(reason: str) -> InstanceBusy:
    error = InstanceBusy(f"{reason}; come back later")
    error.retry_after_s = BUSY_RETRY_AFTER_S + random() * BUSY_RETRY_JITTER_S
    return error


def write_answer(
    request: HTTPServerRequest, status: int, kind: str, body: bytes
) -> None:
    """Write a complete short answer, as for readiness or metrics."""
    headers = HTTPHeaders(
        {"Content-Type": kind, "Content-Length": str(len(body))}
    )
    reason = responses.get(status, "Unknown")
    line = ResponseStartLine("HTTP/1.1", status, reason)
    request.connection.write_headers(line, headers, body)
    request.connection.finish()
