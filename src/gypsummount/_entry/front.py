"""HTTP server of an entry for callers."""

from asyncio import CancelledError
from dataclasses import dataclass
from json import dumps
from typing import final

from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest
from tornado.httputil import responses
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._common.metrics import Metrics
from gypsummount._common.metrics import Series
from gypsummount._common.request_server import RequestServer
from gypsummount._core.draining import Drain
from gypsummount._core.keys import KeyRecord
from gypsummount._core.lookups import CallerLocation
from gypsummount._core.lookups import rank_entries
from gypsummount._core.outcomes import StoredAnswer
from gypsummount._entry.exchanges import REQUEST_ID_HEADER
from gypsummount._entry.homes import HomeRunner
from gypsummount._entry.request_reader import IDEMPOTENCY_HEADER
from gypsummount._entry.request_reader import RequestReader
from gypsummount._entry.requests import SteeredRequest
from gypsummount._entry.snapshot import Snapshot
from gypsummount.errors import InstanceLeaving
from gypsummount.errors import NotReady
from gypsummount.errors import Outcome
from gypsummount.errors import RequestError
from gypsummount.errors import RequestInvalid

LOOKUP_PATH = "/v1/lookup"
API_PREFIX = "/v1"
OUTCOME_HEADER = "Gypsummount-Outcome"
MAX_BODY_BYTES = 16 * 1024 * 1024
BODYLESS_STATUSES = (204, 304)

_log = get_logger("front")


@dataclass(slots=True, frozen=True)
class _LookupKey:
    workspace: str
    service: str


@final
class Front(RequestServer):
    """Answers look-ups from memory and steers all other requests.

    Look-up answers are ranked by ``location``, the location of this entry.
    The cached look-up answers are dropped when the snapshot changes.
    """

    def __init__(
        self,
        snapshot: Snapshot,
        reader: RequestReader,
        homes: HomeRunner,
        metrics: Metrics,
        location: CallerLocation,
        lookup_ttl_s: float,
        drain: Drain,
        loop_timer: LoopTimer | None = None,
    ) -> None:
        super().__init__(MAX_BODY_BYTES, loop_timer)
        self._drain = drain
        self._snapshot = snapshot
        self._reader = reader
        self._homes = homes
        self._metrics = metrics
        self._location = location
        self._lookup_ttl_s = lookup_ttl_s
        self._lookup_answers: dict[_LookupKey, bytes] = {}
        self._lookups_version = -1

    def _answer_at_once(self, request: HTTPServerRequest) -> bool:
        if self.is_refusing:
            error = InstanceLeaving("the entry is leaving; use another one")
            outcome = self._get_key_outcome(request, None, error)
            self._write_error(request, error, outcome)
            return True
        if request.path != LOOKUP_PATH or request.method != "GET":
            return False
        self._answer_lookup(request)
        return True

    def _answer_lookup(self, request: HTTPServerRequest) -> None:
        try:
            body = self._get_lookup_answer(request)
        except RequestError as error:
            self._write_error(request, error, Outcome.NOT_RUN)
            return
        headers = HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                "Cache-Control": f"private, max-age={int(self._lookup_ttl_s)}",
            }
        )
        start_line = ResponseStartLine("HTTP/1.1", 200, "OK")
        request.connection.write_headers(start_line, headers, body)
        request.connection.finish()
        self._metrics.count("lookups.answered")

    def _get_lookup_answer(self, request: HTTPServerRequest) -> bytes:
        if not self._snapshot.is_ready:
            raise NotReady("no configuration has arrived; try again in 1 s")
        record = self._reader.authenticate(request.headers)
        values = request.arguments.get("service", [])
        service = values[0].decode("utf-8", "replace") if values else ""
        if service not in self._snapshot.rules.services:
            raise RequestInvalid("no such service; send ?service=NAME")
        if self._lookups_version != self._snapshot.changes:
            self._lookup_answers.clear()
            self._lookups_version = self._snapshot.changes
        key = _LookupKey(record.workspace, service)
        body = self._lookup_answers.get(key)
        if body is None:
            body = self._build_lookup_answer(record, service)
            self._lookup_answers[key] = body
        return body

    def _build_lookup_answer(self, record: KeyRecord, service: str) -> bytes:
        ranked = rank_entries(
            self._snapshot.members, record.workspace, self._location
        )
        if not ranked:
            raise NotReady("no entry is serving yet; try again in 1 s")
        return dumps(
            {
                "service": service,
                "ttl_s": self._lookup_ttl_s,
                "entries": [
                    {
                        "address": entry.address,
                        "incarnation": entry.token,
                        "weight": entry.weight,
                    }
                    for entry in ranked
                ],
            }
        ).encode()

    async def _serve(
        self, request: HTTPServerRequest, arrived_at: float
    ) -> None:
        steered: SteeredRequest | None = None
        try:
            if request.path.startswith(f"{API_PREFIX}/"):
                raise RequestInvalid(
                    f"no such resource; use GET {LOOKUP_PATH}?service=NAME"
                )
            steered = self._read(request, arrived_at)
            answer = await self._homes.run(steered)
            self._write_answer(request, answer)
            series = Series(steered.workspace, steered.route.prefix)
            self._metrics.record(series, read_monotonic() - arrived_at)
            self._metrics.count("steering.answered")
        except RequestError as error:
            outcome = self._get_key_outcome(request, steered, error)
            self._write_error(request, error, outcome)
        except StreamClosedError:
            self._metrics.count("steering.callers_lost")
        except CancelledError:
            self._metrics.count("steering.callers_lost")
            raise
        except Exception:
            _log.exception(
                "A request failed with an unexpected error; its outcome is "
                "reported as unknown."
            )
            error = RequestError(
                "internal error; check the outcome of the request"
            )
            self._write_error(request, error, Outcome.UNKNOWN)

    def _read(
        self, request: HTTPServerRequest, arrived_at: float
    ) -> SteeredRequest:
        """Return the request to steer.

        :raises RequestError: if it is refused, or may outlast this entry.
        """
        steered = self._reader.read(request, arrived_at)
        if not self._drain.covers(steered.deadline):
            raise InstanceLeaving("the entry is leaving; use another one")
        return steered

    def _get_key_outcome(
        self,
        request: HTTPServerRequest,
        steered: SteeredRequest | None,
        error: RequestError,
    ) -> Outcome:
        """Return the outcome for all requests with the same key.

        Without a steered request, the refusal came before the home of
        the idempotency key was asked.  An earlier request with that key
        may have run, so "not-run" would be wrong.
        """
        if steered is not None:
            return error.outcome
        key = request.headers.get(IDEMPOTENCY_HEADER)
        if not key or error.outcome is not Outcome.NOT_RUN:
            return error.outcome
        if self._is_repeatable(request):
            return error.outcome
        return Outcome.UNKNOWN

    def _is_repeatable(self, request: HTTPServerRequest) -> bool:
        rules = self._snapshot.rules
        route = rules.find_route(request.method, request.path)
        return route is not None and route.repeatable

    def _write_answer(
        self, request: HTTPServerRequest, answer: StoredAnswer
    ) -> None:
        request.connection.set_close_callback(None)
        headers = HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        _echo_request_id(request, headers)
        body = answer.body
        if request.method == "HEAD" or answer.status in BODYLESS_STATUSES:
            body = b""
        if answer.status not in BODYLESS_STATUSES:
            headers["Content-Length"] = str(len(body))
        if self.is_closing:
            headers["Connection"] = "close"
        start_line = ResponseStartLine(
            "HTTP/1.1", answer.status, answer.reason
        )
        request.connection.write_headers(start_line, headers, body)
        request.connection.finish()

    def _write_error(
        self,
        request: HTTPServerRequest,
        error: RequestError,
        outcome: Outcome,
    ) -> None:
        self._metrics.count(f"steering.refused.{error.code}")
        request.connection.set_close_callback(None)
        body = dumps(
            {
                "code": error.code,
                "message": str(error),
                "outcome": outcome.value,
            }
        ).encode()
        if request.method == "HEAD":
            body = b""
        headers = HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                OUTCOME_HEADER: outcome.value,
            }
        )
        _echo_request_id(request, headers)
        if error.retry_after_s is not None:
            headers["Retry-After"] = str(error.retry_after_s)
        if self.is_closing:
            headers["Connection"] = "close"
        reason = responses.get(error.status, "Unknown")
        start_line = ResponseStartLine("HTTP/1.1", error.status, reason)
        try:
            request.connection.write_headers(start_line, headers, body)
            request.connection.finish()
        except StreamClosedError:
            self._metrics.count("steering.callers_lost")


def _echo_request_id(request: HTTPServerRequest, headers: HTTPHeaders) -> None:
    request_id = request.headers.get(REQUEST_ID_HEADER)
    if request_id is not None:
        headers[REQUEST_ID_HEADER] = request_id
