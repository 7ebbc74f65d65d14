"""Copies of the store's records that instances give each other."""

from dataclasses import dataclass
from json import dumps
from json import loads

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._edge.belief import Belief
from gypsummount._edge.belief import REQUIRED
from gypsummount._edge.digests import Digest
from gypsummount._edge.feed import Kind
from gypsummount._edge.feed import Listing
from gypsummount._edge.feed import Record
from gypsummount._edge.front import write_plain
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.connections import ExchangeError
from gypsummount._entry.connections import UpstreamRequest

RECORDS_PATH = "/v1/records"
PULL_LIMIT_S = 1.0
LAG_S = 0.4

_log = get_logger("copies")


@dataclass(slots=True, frozen=True)
class _Lag:
    kind: Kind
    revision: int


class Copies:
    """Serves this instance's records and fetches those of a peer."""

    def __init__(self, belief: Belief, port: int) -> None:
        self._belief = belief
        self._port = port
        self._lags: dict[_Lag, float] = {}
        self._server = HTTPServer(self._receive)

    def listen(self, sockets: list) -> None:
        """Begin to accept connections."""
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Drop all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    async def catch_up(self, live: list[Digest], *, has_store: bool) -> None:
        """Fetch a peer's records if it has known of changes for longer.

        Without the store the difference counts at once.
        """
        now = read_monotonic()
        ahead = self._find_ahead(live, now)
        if ahead is None:
            return
        lag, digest = ahead
        since = self._lags.setdefault(lag, now)
        if has_store and now - since < LAG_S:
            return
        self._lags.clear()
        await self._pull(digest)

    def _find_ahead(
        self, live: list[Digest], now: float
    ) -> tuple[_Lag, Digest] | None:
        for kind in REQUIRED:
            known = self._belief.changed.get(kind, 0)
            if not self._belief.is_known(kind):
                known = -1
            best = max(
                live,
                key=lambda one: one.revisions.get(kind.value, -1),
                default=None,
            )
            if best is None:
                continue
            revision = best.revisions.get(kind.value, -1)
            if revision > known:
                return _Lag(kind, revision), best
        return None

    async def _pull(self, digest: Digest) -> None:
        pool = ConnectionPool(f"{digest.host}:{self._port}")
        request = UpstreamRequest("GET", RECORDS_PATH, (), b"", digest.name)
        try:
            answer = await pool.send(request, PULL_LIMIT_S, repeatable=True)
        except ExchangeError as error:
            _log.warning("No records from %s: %s", digest.name, error)
            return
        finally:
            pool.close()
        now = read_monotonic()
        for kind, listing in _decode_copy(answer.body):
            self._belief.take_listing(kind, listing, now)
        _log.info("Took over the records of %s.", digest.name)

    def _receive(self, request: HTTPServerRequest) -> None:
        if request.path != RECORDS_PATH:
            write_plain(request, 404, "text/plain", b"not found\n")
            return
        body = _encode_copy(self._belief)
        write_plain(request, 200, "application/json", body)


def _encode_copy(belief: Belief) -> bytes:
    return dumps(
        [
            {
                "kind": kind.value,
                "revision": belief.revisions[kind],
                "records": [
                    [one.name, one.revision, one.payload.decode()]
                    for one in belief.list_records(kind)
                ],
            }
            for kind in REQUIRED
            if belief.is_known(kind)
        ]
    ).encode()


def _decode_copy(body: bytes) -> list[tuple[Kind, Listing]]:
    copies = []
    for part in loads(body):
        kind = Kind(part["kind"])
        records = tuple(
            Record(kind, name, revision, payload.encode())
            for name, revision, payload in part["records"]
        )
        copies.append((kind, Listing(records, part["revision"])))
    return copies
