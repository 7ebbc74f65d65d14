"""Interface to the headers that callers and upstreams exchange."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

from tornado.httputil import HTTPServerRequest

from gypsummount._core.sanitizing import Header
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.errors import RequestError


@dataclass(slots=True)
class Arrival:
    """A caller's request; ``remaining_s`` is its remaining time, if any."""

    request_id: str
    host: str
    method: str
    target: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    key: str | None
    affinity: str | None
    remaining_s: float | None


@dataclass(slots=True, frozen=True)
class HealthReport:
    """An upstream's name and the remaining time (s) of its slow start."""

    upstream: str
    cold_s: float


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Numbers of requests running and waiting at an upstream.

    ``speed`` is the current service time on its machine, where 100 is
    normal, or None if the upstream does not report it.
    """

    running: int
    waiting: int
    speed: int | None = None


@dataclass(slots=True, frozen=True)
class AnswerReport:
    """What the headers of an answer state about its upstream.

    ``ran`` is False only if the upstream states that it did not run
    the request.  ``is_other_upstream`` is True if a different upstream than
    expected answered at the address.  ``is_leaving`` is True if the upstream
    states that it is leaving, and ``retry_after_s`` is the time (s) for which
    it wants no further requests.
    """

    ran: bool
    is_other_upstream: bool
    load: LoadReport | None
    is_leaving: bool = False
    retry_after_s: float | None = None


class Wire(ABC):
    """Reads and writes the headers of one deployment's protocol."""

    id_header: str

    @abstractmethod
    def read_arrival(self, request: HTTPServerRequest) -> Arrival:
        """Return the parsed request of a caller.

        :raises RequestInvalid: when a header cannot be parsed.
        """

    @abstractmethod
    def build_request(
        self,
        arrival: Arrival,
        upstream: str,
        workspace: str | None,
        remaining_s: float,
    ) -> UpstreamRequest:
        """Return an upstream's request; ``remaining_s`` is the time left."""

    @abstractmethod
    def build_health_request(self, path: str) -> UpstreamRequest:
        """Return the request of a health check."""

    @abstractmethod
    def read_health(self, answer: UpstreamAnswer) -> HealthReport | None:
        """Return the upstream's health report, or None without one."""

    @abstractmethod
    def read_verdict(self, answer: UpstreamAnswer) -> AnswerReport:
        """Return what the answer's headers state about the upstream."""

    @abstractmethod
    def list_answer_headers(self, answer: UpstreamAnswer) -> list[Header]:
        """Return the headers of the answer that the caller gets."""

    @abstractmethod
    def get_status(self, error: RequestError) -> int:
        """Return the HTTP status with which an error is answered."""
