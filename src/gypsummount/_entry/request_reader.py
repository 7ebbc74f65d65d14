"""Validation of callers' requests: route, key, deadline, headers."""

from dataclasses import dataclass
from urllib.parse import unquote

from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.clocks import read_wall
from gypsummount._config.model import Access
from gypsummount._config.model import Route
from gypsummount._core.keys import KeyRecord
from gypsummount._core.sanitizing import check_path
from gypsummount._core.sanitizing import clean_headers
from gypsummount._core.sanitizing import clean_query
from gypsummount._core.sanitizing import Header
from gypsummount._entry.requests import SteeredRequest
from gypsummount._entry.snapshot import Snapshot
from gypsummount.errors import KeyMissing
from gypsummount.errors import KeyRefused
from gypsummount.errors import KeyStale
from gypsummount.errors import NotReady
from gypsummount.errors import RequestInvalid
from gypsummount.errors import RouteNotFound

DEADLINE_HEADER = "Gypsummount-Deadline-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_DEADLINE_MS = 60_000
MAX_IDEMPOTENCY_KEY_CHARS = 200
MS_PER_S = 1000
_BEARER_PREFIX = "bearer "


@dataclass(slots=True, frozen=True)
class Caller:
    """Workspace and key of a caller.

    ``key_digest`` is empty on routes that need no key.
    """

    workspace: str
    key_digest: str


class RequestReader:
    """Turns valid HTTP requests into steered requests."""

    def __init__(self, snapshot: Snapshot, incarnation: str) -> None:
        self._snapshot = snapshot
        self._incarnation = incarnation
        self._request_count = 0

    def authenticate(self, headers: HTTPHeaders) -> KeyRecord:
        """Return the record of the caller's key.

        :raises KeyMissing: when the request has no key.
        :raises RequestInvalid: when it has several different keys.
        :raises KeyRefused: when the key is not valid.
        :raises KeyStale: when withdrawals may have been missed and the
            key policy refuses keys then.
        """
        key = read_key(headers)
        record = self._snapshot.keys.find(key, read_wall())
        if record is None:
            raise KeyRefused(
                "the key is not granted, has ended or was withdrawn; "
                "ask your operator for a new one"
            )
        if self._snapshot.must_refuse_keys(read_monotonic()):
            raise KeyStale(
                "key withdrawals may have been missed here; ask an entry "
                "in another failure domain"
            )
        return record

    def read(
        self, request: HTTPServerRequest, arrived: float
    ) -> SteeredRequest:
        """Return the request to steer.

        Its timeout counts from ``arrived`` (boot clock, s).

        :raises RequestError: when the request is refused; the message
            says what to do.
        """
        if not self._snapshot.is_ready:
            raise NotReady("no configuration has arrived; try again in 1 s")
        route = self._find_route(request)
        caller = self._get_caller(request, route)
        timeout_s = self._snapshot.rules.services[route.service].timeout_s
        effective_timeout_s = min(
            timeout_s, _read_deadline(request.headers, timeout_s)
        )
        self._request_count += 1
        return SteeredRequest(
            caller.workspace,
            caller.key_digest,
            route,
            request.method,
            request.path,
            clean_query(request.query),
            clean_headers(
                Header(name, value)
                for name, value in request.headers.get_all()
            ),
            bytes(request.body),
            arrived + effective_timeout_s,
            f"{self._incarnation}-{self._request_count}",
            read_idempotency_key(request.headers),
        )

    def _find_route(self, request: HTTPServerRequest) -> Route:
        check_path(request.path)
        # An upstream that decodes and normalizes the path could serve it
        # outside of its route, so ".." is refused in any encoding.
        if ".." in unquote(unquote(request.path)).split("/"):
            raise RequestInvalid("the path contains '..'; send it resolved")
        route = self._snapshot.rules.find_route(request.method, request.path)
        if route is None:
            raise RouteNotFound(
                f"no route accepts {request.method} on this path; "
                "check the operator's rules"
            )
        return route

    def _get_caller(self, request: HTTPServerRequest, route: Route) -> Caller:
        if route.access is Access.OPEN:
            return Caller(route.workspace, "")
        record = self.authenticate(request.headers)
        if record.workspace not in self._snapshot.rules.workspaces:
            raise KeyRefused(
                "the key's workspace has no rule; ask your operator to add one"
            )
        return Caller(record.workspace, record.digest)


def read_key(headers: HTTPHeaders) -> str:
    """Return the key from the X-Api-Key or Authorization header.

    :raises KeyMissing: when there is none.
    :raises RequestInvalid: when there are several different keys.
    """
    keys = {value.strip() for value in headers.get_list("X-Api-Key")}
    for value in headers.get_list("Authorization"):
        if value.lower().startswith(_BEARER_PREFIX):
            keys.add(value[len(_BEARER_PREFIX) :].strip())
    keys.discard("")
    if not keys:
        raise KeyMissing("no key was sent; use 'Authorization: Bearer KEY'")
    if len(keys) > 1:
        raise RequestInvalid("several keys were sent; send one")
    return keys.pop()


def read_idempotency_key(headers: HTTPHeaders) -> str:
    """Return the idempotency key, or an empty string.

    :raises RequestInvalid: when there are several or it is too long.
    """
    values = headers.get_list(IDEMPOTENCY_HEADER)
    if len(values) > 1:
        raise RequestInvalid("several Idempotency-Keys were sent; send one")
    key = values[0].strip() if values else ""
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise RequestInvalid(
            f"the Idempotency-Key is longer than {MAX_IDEMPOTENCY_KEY_CHARS} "
            "characters; send a shorter one"
        )
    return key


def _read_deadline(headers: HTTPHeaders, default_s: float) -> float:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return default_s
    if not text.isdecimal() or not 1 <= int(text) <= MAX_DEADLINE_MS:
        raise RequestInvalid(
            f"{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS} milliseconds"
        )
    return int(text) / MS_PER_S
