"""Stand-in upstreams with slots, slow start, load reports and faults."""

from asyncio import CancelledError
from asyncio import sleep
from dataclasses import asdict
from dataclasses import dataclass
from json import loads
from random import Random
from time import monotonic

from tornado.httputil import HTTPServerRequest

from gypsummount._standin.http import Reply

# Latency factor at the start; it falls linearly to 1 over the number of
# requests below.
COLD_LATENCY_FACTOR = 3.0
SLOW_START_REQUESTS = 20
SHED_STATUS = 503
MAX_RECORDED_RUNS = 200_000


@dataclass(slots=True)
class UpstreamSwitches:
    """How one stand-in upstream behaves.

    Each ``_share`` is the probability of a fault for a request, from 0
    to 1: ``error_share`` answers 500, ``truncate_share`` sends half of
    the body, ``silent_share`` never answers, ``drop_share`` closes the
    connection, ``cross_share`` answers with the answer to another
    request.  ``extra_bytes_share`` is not used.  ``slow_factor``
    multiplies the latency.  ``fails_above`` answers 500 to requests that
    begin while more than this number of requests, themselves included,
    are in flight; zero turns it off.  ``fault_prefix`` limits all of
    these to paths that begin with it.

    ``leaving`` announces in each answer that the upstream is leaving.
    ``healthy`` decides whether a health check gets 200 or 503.
    ``reported_load`` replaces the load in answers; below zero the
    requests in flight are reported.  With ``pushback_s``, every request is
    refused with this time (s) as its Retry-After.
    """

    latency_s: float = 0.005
    error_share: float = 0.0
    truncate_share: float = 0.0
    silent_share: float = 0.0
    drop_share: float = 0.0
    cross_share: float = 0.0
    extra_bytes_share: float = 0.0
    slow_factor: float = 1.0
    fault_prefix: str = "/"
    leaving: bool = False
    healthy: bool = True
    reported_load: float = -1.0
    fails_above: int = 0
    pushback_s: float = 0.0


@dataclass(slots=True, frozen=True)
class RecordedRequest:
    """One request that reached the upstream, refused ones included.

    ``at`` is in monotonic seconds.
    """

    server: str
    version: str
    workspace: str
    method: str
    path: str
    request_id: str
    idempotency_key: str
    at: float


class UpstreamStandin:
    """One upstream server; refuses requests while all slots are in use."""

    def __init__(
        self, server: str, version: str, slots: int, seed: int
    ) -> None:
        self.server = server
        self.version = version
        self.slots = slots
        self.switches = UpstreamSwitches()
        self.runs: list[RecordedRequest] = []
        self.headers_seen: list[str] = []
        self.in_flight = 0
        self.max_in_flight = 0
        self.cancelled = 0
        self.shed = 0
        self.failed = 0
        self._begun = 0
        self._random = Random(f"{seed}/{server}")

    async def answer(self, request: HTTPServerRequest) -> Reply | None:
        """Answer a request, or fail it according to the switches."""
        if request.path == "/healthz":
            return Reply(200 if self.switches.healthy else 503)
        self._record(request)
        if self.in_flight >= self.slots or self.switches.pushback_s:
            self.shed += 1
            return Reply(SHED_STATUS, b"shed", self._build_headers(request))
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            return await self._run(request)
        except CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    async def _run(self, request: HTTPServerRequest) -> Reply | None:
        switches = self.switches
        is_over_limit = 0 < switches.fails_above < self.in_flight
        await sleep(self._compute_latency_s(request.path))
        headers = self._build_headers(request)
        body = b" ".join(
            (
                self.server.encode(),
                self.version.encode(),
                request.method.encode(),
                request.uri.encode(),
                str(len(request.body)).encode(),
            )
        )
        if not request.path.startswith(switches.fault_prefix):
            return Reply(200, body, headers)
        if self._draw_fault(switches.silent_share):
            await sleep(3600)
        if self._draw_fault(switches.drop_share):
            return None
        if is_over_limit or self._draw_fault(switches.error_share):
            self.failed += 1
            return Reply(500, b"failed", headers)
        if self._draw_fault(switches.truncate_share):
            return Reply(200, body, headers, sent_bytes=len(body) // 2)
        if self._draw_fault(switches.cross_share):
            headers["X-Request-Id"] = "of-another-request"
            return Reply(200, b"the answer to another request", headers)
        return Reply(200, body, headers)

    def _record(self, request: HTTPServerRequest) -> None:
        headers = request.headers
        self.headers_seen.append(f"{request.uri} {dict(headers)}")
        if len(self.runs) >= MAX_RECORDED_RUNS:
            return
        self.runs.append(
            RecordedRequest(
                self.server,
                self.version,
                headers.get("X-Workspace", ""),
                request.method,
                request.path,
                headers.get("X-Request-Id", ""),
                headers.get("Idempotency-Key", ""),
                monotonic(),
            )
        )

    def _compute_latency_s(self, path: str) -> float:
        switches = self.switches
        self._begun += 1
        latency_s = switches.latency_s * self._random.uniform(0.8, 1.2)
        if self._begun <= SLOW_START_REQUESTS:
            cold_fraction = 1 - self._begun / SLOW_START_REQUESTS
            latency_s *= 1 + (COLD_LATENCY_FACTOR - 1) * cold_fraction
        if path.startswith(switches.fault_prefix):
            latency_s *= switches.slow_factor
        return latency_s

    def _build_headers(self, request: HTTPServerRequest) -> dict[str, str]:
        load = self.switches.reported_load
        headers = {
            "Content-Type": "text/plain",
            "X-Request-Id": request.headers.get("X-Request-Id", ""),
            "X-Upstream-Load": f"{load if load >= 0 else self.in_flight:g}",
        }
        if self.switches.leaving:
            headers["X-Upstream-State"] = "leaving"
        if self.switches.pushback_s:
            headers["Retry-After"] = f"{self.switches.pushback_s:g}"
        return headers

    def _draw_fault(self, share: float) -> bool:
        return share > 0 and self._random.random() < share


class UpstreamControl:
    """HTTP control interface to all upstreams of a stand-in process."""

    def __init__(self, upstreams: list[UpstreamStandin]) -> None:
        self._upstreams = {upstream.server: upstream for upstream in upstreams}

    async def answer(self, request: HTTPServerRequest) -> Reply:
        """Set switches, or return runs, statistics or received headers."""
        match request.path:
            case "/switches":
                return self._switch(loads(request.body))
            case "/runs":
                return Reply.from_json(
                    [
                        asdict(run)
                        for upstream in self._upstreams.values()
                        for run in upstream.runs
                    ]
                )
            case "/headers":
                return Reply.from_json(
                    [
                        line
                        for upstream in self._upstreams.values()
                        for line in upstream.headers_seen
                    ]
                )
            case "/statistics":
                return Reply.from_json(
                    {
                        name: {
                            "slots": upstream.slots,
                            "most_in_flight": upstream.max_in_flight,
                            "cancelled": upstream.cancelled,
                            "shed": upstream.shed,
                            "failed": upstream.failed,
                            "runs": len(upstream.runs),
                        }
                        for name, upstream in self._upstreams.items()
                    }
                )
        return Reply(404)

    def _switch(self, change: dict[str, object]) -> Reply:
        servers = change.pop("servers", None) or list(self._upstreams)
        for server in servers:
            for name, value in change.items():
                setattr(self._upstreams[server].switches, name, value)
        return Reply.from_json({"servers": servers})
