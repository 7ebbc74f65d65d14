"""Replication of a peer's records, which saves calls to the store."""

from asyncio import sleep

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.lags import Lag
from gypsummount._core.readers import choose_reader
from gypsummount._core.readers import Contact
from gypsummount._core.readers import ReaderCandidate
from gypsummount._edge.copies import apply_copy
from gypsummount._edge.copies import Copy
from gypsummount._edge.copies import Cursor
from gypsummount._edge.copies import decode_copy
from gypsummount._edge.copies import NO_CURSOR
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import SERVING
from gypsummount._edge.record_server import RECORDS_PATH
from gypsummount._edge.replica import Replica
from gypsummount._edge.replica import REQUIRED_KINDS
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_reader import StoreReader
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.errors import RecordInvalid

LONG_POLL_S = 0.6
LONG_POLL_TIMEOUT_S = 1.1
FETCH_TIMEOUT_S = 1.0
# When a peer has been ahead for this long, its records are fetched.
MAX_LAG_S = 0.4
# When the freshness proof is older, the store is read.
MAX_PROOF_AGE_S = 1.8
CHECK_INTERVAL_S = 0.1
RETRY_DELAY_S = 2.0

_log = get_logger("following")


class Follower:
    """Replicates the records of the region's reader.

    The reader is the instance that reads the store for its region.  Any
    other instance reads the store itself only until it is ready, while
    the reader does not answer, and while its freshness proof is too old.
    """

    def __init__(
        self,
        name: str,
        region: str,
        port: int,
        replica: Replica,
        store_reader: StoreReader,
    ) -> None:
        self._name = name
        self._region = region
        self._port = port
        self._replica = replica
        self._store_reader = store_reader
        self._lags: dict[Kind, Lag] = {}
        self._live_peers: list[Digest] = []
        self._retry_at: dict[str, float] = {}
        self._cursor = NO_CURSOR
        self._reader_name = ""
        self._pool: ConnectionPool | None = None

    def close(self) -> None:
        """Close the connection to the reader."""
        if self._pool is not None:
            self._pool.close()
            self._pool = None

    def set_live_peers(self, live: list[Digest]) -> None:
        """Set the latest digests of the live peers."""
        self._live_peers = live

    async def run(self) -> None:
        """Replicate from the region's reader until cancelled."""
        while True:
            reader = self._choose_reader(read_monotonic())
            if reader is None:
                self._store_reader.is_reading = True
                await sleep(CHECK_INTERVAL_S)
                continue
            await self._replicate_from(reader)

    def _choose_reader(self, now: float) -> Digest | None:
        """Return the region's reader, or None to read the store here."""
        if not self._replica.is_ready:
            return None
        peers = {
            peer.name: peer
            for peer in self._live_peers
            if peer.region == self._region
            and peer.phase == SERVING
            and self._is_available(peer, now)
        }
        candidates = [
            ReaderCandidate(peer.name, Contact(peer.contact))
            for peer in peers.values()
        ]
        candidates.append(
            ReaderCandidate(self._name, self._store_reader.get_contact())
        )
        return peers.get(choose_reader(candidates) or "")

    def _is_available(self, digest: Digest, now: float) -> bool:
        return self._retry_at.get(digest.name, 0.0) <= now

    def _mark_failed(self, digest: Digest) -> None:
        """Send no requests to a failed peer for :data:`RETRY_DELAY_S`."""
        self._retry_at[digest.name] = read_monotonic() + RETRY_DELAY_S

    async def _replicate_from(self, reader: Digest) -> None:
        if reader.name != self._reader_name:
            self.close()
            self._reader_name = reader.name
            self._cursor = NO_CURSOR
        if self._pool is None:
            self._pool = ConnectionPool(f"{reader.host}:{self._port}")
        try:
            await self._pull_changes(self._pool)
        except (ExchangeError, RecordInvalid) as error:
            _log.warning(
                "No records from reader %s; reading the store: %s",
                reader.name,
                error,
            )
            self._store_reader.is_reading = True
            self._mark_failed(reader)
            self.close()
            self._reader_name = ""
            return
        self._store_reader.is_reading = not self._is_proof_recent(
            read_monotonic()
        )

    async def _pull_changes(self, pool: ConnectionPool) -> None:
        requested_at = read_monotonic()
        copy = await self._request_copy(
            pool, self._cursor, LONG_POLL_S, LONG_POLL_TIMEOUT_S
        )
        apply_copy(self._replica, copy, read_monotonic())
        self._cursor = copy.cursor
        self._record_proof(copy, requested_at)

    def _record_proof(self, copy: Copy, requested_at: float) -> None:
        if copy.catalog_revision == self._replica.catalog_revision:
            self._replica.proof.record_peer_proof(
                copy.catalog_revision, requested_at, copy.proof_age_s
            )

    async def _request_copy(
        self,
        pool: ConnectionPool,
        cursor: Cursor,
        wait_s: float,
        timeout_s: float,
    ) -> Copy:
        """Return a copy of a peer's changes after a cursor.

        The peer answers after ``wait_s`` at the latest, changes or not.

        :raises ExchangeError: when no complete answer came in time.
        :raises RecordInvalid: when the answer cannot be decoded.
        """
        path = (
            f"{RECORDS_PATH}?incarnation={cursor.incarnation}"
            f"&sequence={cursor.sequence}&wait={wait_s}"
        )
        request = UpstreamRequest("GET", path, (), b"", self._name)
        answer = await pool.send(request, timeout_s, repeatable=True)
        return decode_copy(answer.body)

    def check_proof(self, now: float) -> None:
        """Begin to read the store when the freshness proof is too old.

        This also runs while a request to the reader is pending: waiting
        for the answer could delay a change for too long.
        """
        if not self._store_reader.is_reading and not self._is_proof_recent(
            now
        ):
            _log.info("The freshness proof is too old; reading the store.")
            self._store_reader.is_reading = True

    def _is_proof_recent(self, now: float) -> bool:
        age_s = self._replica.proof.get_age(now)
        return age_s is not None and age_s <= MAX_PROOF_AGE_S

    async def catch_up(self) -> None:
        """Fetch the records of a peer that has been ahead for too long.

        While the store is unreachable, the records are fetched at once.
        """
        now = read_monotonic()
        is_lost = self._store_reader.get_contact() is Contact.LOST
        for kind in REQUIRED_KINDS:
            peer = self._find_peer_ahead(kind, now)
            if peer is None:
                continue
            behind_s = self._measure_lag(kind, peer, now)
            if is_lost or behind_s >= MAX_LAG_S:
                self._log_lag(kind, peer, behind_s)
                await self._fetch_all(peer)
                return

    def _get_known_revision(self, kind: Kind) -> int:
        if not self._replica.is_known(kind):
            return -1
        return self._replica.changed.get(kind, 0)

    def _find_peer_ahead(self, kind: Kind, now: float) -> Digest | None:
        """Return the peer with the latest change, unless it is known here."""
        peers = [
            peer for peer in self._live_peers if self._is_available(peer, now)
        ]
        newest = max(
            peers,
            key=lambda peer: peer.revisions.get(kind.value, -1),
            default=None,
        )
        if newest is None:
            return None
        revision = newest.revisions.get(kind.value, -1)
        return newest if revision > self._get_known_revision(kind) else None

    def _measure_lag(self, kind: Kind, peer: Digest, now: float) -> float:
        lag = self._lags.setdefault(kind, Lag())
        revision = peer.revisions[kind.value]
        return lag.measure(self._get_known_revision(kind), revision, now)

    def _log_lag(self, kind: Kind, peer: Digest, behind_s: float) -> None:
        _log.info(
            "Peer %s has newer records of kind %s; fetching its records.",
            peer.name,
            kind.value,
            extra={
                "revision": peer.revisions[kind.value],
                "known": self._get_known_revision(kind),
                "behind_s": round(behind_s, 2),
            },
        )

    async def _fetch_all(self, digest: Digest) -> None:
        pool = ConnectionPool(f"{digest.host}:{self._port}")
        try:
            copy = await self._request_copy(
                pool, NO_CURSOR, 0.0, FETCH_TIMEOUT_S
            )
        except (ExchangeError, RecordInvalid) as error:
            _log.warning(
                "Could not fetch the records of peer %s: %s",
                digest.name,
                error,
            )
            self._mark_failed(digest)
            return
        finally:
            pool.close()
        apply_copy(self._replica, copy, read_monotonic())
        _log.info("Applied the newer records of peer %s.", digest.name)
