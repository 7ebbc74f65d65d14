"""Replication of a peer's records, which saves calls to the store."""

from asyncio import sleep

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.lags import Lag
from gypsummount._core.readers import Candidate
from gypsummount._core.readers import choose_reader
from gypsummount._core.readers import Contact
from gypsummount._edge.belief import Belief
from gypsummount._edge.belief import REQUIRED
from gypsummount._edge.copies import apply_copy
from gypsummount._edge.copies import Copy
from gypsummount._edge.copies import Cursor
from gypsummount._edge.copies import decode_copy
from gypsummount._edge.copies import NO_CURSOR
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import SERVING
from gypsummount._edge.feed import Kind
from gypsummount._edge.mirror import Mirror
from gypsummount._edge.sharing import RECORDS_PATH
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.errors import RecordInvalid

WAIT_S = 0.6
ANSWER_LIMIT_S = 1.1
PULL_LIMIT_S = 1.0
LAG_S = 0.4
PROOF_LIMIT_S = 1.8
LOOK_S = 0.1
DISTRUST_S = 2.0

_log = get_logger("following")


class Following:
    """Replicates the records of the region's reader.

    The reader is the instance that reads the store for its region.  Any
    other instance reads the store itself only until it is ready, while
    the reader does not answer, and while the proof of freshness that it
    has from the reader is too old.
    """

    def __init__(
        self,
        name: str,
        region: str,
        port: int,
        belief: Belief,
        mirror: Mirror,
    ) -> None:
        self._name = name
        self._region = region
        self._port = port
        self._belief = belief
        self._mirror = mirror
        self._lags: dict[Kind, Lag] = {}
        self._live: list[Digest] = []
        self._distrusted: dict[str, float] = {}
        self._cursor = NO_CURSOR
        self._reader = ""
        self._pool: ConnectionPool | None = None

    def close(self) -> None:
        """Close the connection to the reader."""
        if self._pool is not None:
            self._pool.close()
            self._pool = None

    def follow_fleet(self, live: list[Digest]) -> None:
        """Set the latest digests of the live peers."""
        self._live = live

    async def run(self) -> None:
        """Replicate from the region's reader until cancelled."""
        while True:
            reader = self._find_reader(read_monotonic())
            if reader is None:
                self._mirror.is_reading = True
                await sleep(LOOK_S)
                continue
            await self._follow(reader)

    def _find_reader(self, now: float) -> Digest | None:
        """Return the region's reader, or None to read the store here."""
        if not self._belief.is_ready:
            return None
        peers = {
            one.name: one
            for one in self._live
            if one.region == self._region
            and one.phase == SERVING
            and self._is_trusted(one, now)
        }
        candidates = [
            Candidate(one.name, Contact(one.contact)) for one in peers.values()
        ]
        candidates.append(Candidate(self._name, self._mirror.find_contact()))
        return peers.get(choose_reader(candidates) or "")

    def _is_trusted(self, digest: Digest, now: float) -> bool:
        return self._distrusted.get(digest.name, 0.0) <= now

    def _distrust(self, digest: Digest) -> None:
        """Send no requests to a failed peer for :data:`DISTRUST_S`."""
        self._distrusted[digest.name] = read_monotonic() + DISTRUST_S

    async def _follow(self, reader: Digest) -> None:
        if reader.name != self._reader:
            self.close()
            self._reader = reader.name
            self._cursor = NO_CURSOR
        if self._pool is None:
            self._pool = ConnectionPool(f"{reader.host}:{self._port}")
        try:
            await self._take_next(self._pool)
        except (ExchangeError, RecordInvalid) as error:
            _log.warning(
                "No records from reader %s; reading the store: %s",
                reader.name,
                error,
            )
            self._mirror.is_reading = True
            self._distrust(reader)
            self.close()
            self._reader = ""
            return
        self._mirror.is_reading = not self._is_vouched(read_monotonic())

    async def _take_next(self, pool: ConnectionPool) -> None:
        asked_at = read_monotonic()
        copy = await self._ask(pool, self._cursor, WAIT_S, ANSWER_LIMIT_S)
        apply_copy(self._belief, copy, read_monotonic())
        self._cursor = copy.cursor
        self._note_proof(copy, asked_at)

    def _note_proof(self, copy: Copy, asked_at: float) -> None:
        if copy.catalog_revision == self._belief.catalog_revision:
            self._belief.proof.note_peer(
                copy.catalog_revision, asked_at, copy.proof_age_s
            )

    async def _ask(
        self,
        pool: ConnectionPool,
        cursor: Cursor,
        wait_s: float,
        limit_s: float,
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
        answer = await pool.send(request, limit_s, repeatable=True)
        return decode_copy(answer.body)

    def check_proof(self, now: float) -> None:
        """Begin to read the store when the freshness proof is too old.

        This also runs while a request to the reader is pending, which
        can take longer than a change may be delayed.
        """
        if not self._mirror.is_reading and not self._is_vouched(now):
            _log.info("The freshness proof is too old; reading the store.")
            self._mirror.is_reading = True

    def _is_vouched(self, now: float) -> bool:
        age_s = self._belief.proof.find_age(now)
        return age_s is not None and age_s <= PROOF_LIMIT_S

    async def catch_up(self) -> None:
        """Fetch the records of a peer that has been ahead for too long.

        While the store is unreachable, any lead leads to a fetch.
        """
        now = read_monotonic()
        is_lost = self._mirror.find_contact() is Contact.LOST
        for kind in REQUIRED:
            ahead = self._find_ahead(kind, now)
            if ahead is None:
                continue
            behind_s = self._measure_lag(kind, ahead, now)
            if is_lost or behind_s >= LAG_S:
                self._log_lag(kind, ahead, behind_s)
                await self._pull(ahead)
                return

    def _find_known(self, kind: Kind) -> int:
        if not self._belief.is_known(kind):
            return -1
        return self._belief.changed.get(kind, 0)

    def _find_ahead(self, kind: Kind, now: float) -> Digest | None:
        """Return the peer with the latest change, unless it is known here."""
        peers = [one for one in self._live if self._is_trusted(one, now)]
        best = max(
            peers,
            key=lambda one: one.revisions.get(kind.value, -1),
            default=None,
        )
        if best is None:
            return None
        revision = best.revisions.get(kind.value, -1)
        return best if revision > self._find_known(kind) else None

    def _measure_lag(self, kind: Kind, ahead: Digest, now: float) -> float:
        lag = self._lags.setdefault(kind, Lag())
        revision = ahead.revisions[kind.value]
        return lag.measure(self._find_known(kind), revision, now)

    def _log_lag(self, kind: Kind, ahead: Digest, behind_s: float) -> None:
        _log.info(
            "Peer %s has newer records of kind %s; fetching its records.",
            ahead.name,
            kind.value,
            extra={
                "revision": ahead.revisions[kind.value],
                "known": self._find_known(kind),
                "behind_s": round(behind_s, 2),
            },
        )

    async def _pull(self, digest: Digest) -> None:
        pool = ConnectionPool(f"{digest.host}:{self._port}")
        try:
            copy = await self._ask(pool, NO_CURSOR, 0.0, PULL_LIMIT_S)
        except (ExchangeError, RecordInvalid) as error:
            _log.warning(
                "Could not fetch the records of peer %s: %s",
                digest.name,
                error,
            )
            self._distrust(digest)
            return
        finally:
            pool.close()
        apply_copy(self._belief, copy, read_monotonic())
        _log.info("Applied the records of peer %s.", digest.name)
