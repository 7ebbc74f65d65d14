"""What the edge needs of the protocol of callers and upstreams."""

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
    """A caller's request; ``patience_s`` is how long it will wait."""

    request_id: str
    host: str
    method: str
    target: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    key: str | None
    affinity: str | None
    patience_s: float | None


@dataclass(slots=True, frozen=True)
class HealthReport:
    """Which upstream answers, and how much longer (s) it is cold."""

    upstream: str
    cold_s: float


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Requests running and waiting at an upstream."""

    running: int
    waiting: int


@dataclass(slots=True, frozen=True)
class Verdict:
    """What an answer tells of its upstream.

    ``ran`` is False only if the upstream states that it did not run
    the request; ``is_other`` if another upstream has the address.
    """

    ran: bool
    is_other: bool
    load: LoadReport | None


class Wire(ABC):
    """Reads and writes the headers of one deployment's protocol."""

    id_header: str

    @abstractmethod
    def read_arrival(self, request: HTTPServerRequest) -> Arrival:
        """Return the caller's request.

        :raises RequestInvalid: when a header cannot be read.
        """

    @abstractmethod
    def build_request(
        self,
        arrival: Arrival,
        upstream: str,
        workspace: str | None,
        left_s: float,
    ) -> UpstreamRequest:
        """Return what is sent to an upstream."""

    @abstractmethod
    def build_health_request(self, path: str) -> UpstreamRequest:
        """Return the question for an upstream's health."""

    @abstractmethod
    def read_health(self, answer: UpstreamAnswer) -> HealthReport | None:
        """Return what an upstream says, or None if it says nothing."""

    @abstractmethod
    def read_verdict(self, answer: UpstreamAnswer) -> Verdict:
        """Return what the answer's head tells."""

    @abstractmethod
    def list_answer_headers(self, answer: UpstreamAnswer) -> list[Header]:
        """Return the headers that go back to the caller."""

    @abstractmethod
    def find_status(self, error: RequestError) -> int:
        """Return the status that callers are told of an error."""
