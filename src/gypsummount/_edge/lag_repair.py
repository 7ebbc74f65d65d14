"""Copies from peers that have been ahead for too long."""

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.lags import Lag
from gypsummount._core.readers import Contact
from gypsummount._edge.copies import apply_copy
from gypsummount._edge.copy_client import CopyClient
from gypsummount._edge.digests import Digest
from gypsummount._edge.replica import Replica
from gypsummount._edge.replica import REQUIRED_KINDS
from gypsummount._edge.restored_catalogs import KeeperSearch
from gypsummount._edge.settings import EdgeSettings
from gypsummount._edge.sources import Sources
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_reader import StoreReader
from gypsummount._entry.exchanges import ExchangeError
from gypsummount.errors import RecordInvalid

FETCH_TIMEOUT_S = 1.0
# Fraction of the time within which a configuration has to be in force: when
# a peer has been ahead for so long, its records are fetched.
LAG_FRACTION = 0.16
RETRY_DELAY_S = 2.0
# In a large fleet, digests come no more often.
GROUPED_INTERVAL_S = 0.4

_log = get_logger("following")


class LagRepair:
    """Fetches all records of a peer that has been ahead for too long."""

    def __init__(
        self,
        settings: EdgeSettings,
        replica: Replica,
        store_reader: StoreReader,
        sources: Sources,
    ) -> None:
        self._own = settings.instance
        self._port = settings.peer_port
        self._max_lag_s = settings.bounds.config_apply_s * LAG_FRACTION
        self._replica = replica
        self._store_reader = store_reader
        self._sources = sources
        self._lags: dict[Kind, Lag] = {}
        self._keepers = KeeperSearch(replica)
        self._due_at = float("-inf")

    async def catch_up(self) -> None:
        """Fetch the records of a peer that has been ahead for too long.

        While the store is unreachable, the records are fetched at once.
        """
        if not self._replica.is_ready:
            return
        now = read_monotonic()
        if self._sources.is_grouped and now < self._due_at:
            return
        self._due_at = now + GROUPED_INTERVAL_S
        is_lost = self._store_reader.get_contact() is Contact.LOST
        for kind in REQUIRED_KINDS:
            peer = self._find_peer_ahead(kind, now)
            if peer is None:
                continue
            behind_s = self._measure_lag(kind, peer, now)
            if is_lost or behind_s >= self._max_lag_s:
                self._log_lag(kind, peer, behind_s)
                await self._fetch_all(peer)
                return
        await self._compare_catalogs(now)

    async def _compare_catalogs(self, now: float) -> None:
        """Fetch a configuration that the store has lost from a peer."""
        is_reading = self._store_reader.is_reading
        keeper = self._keepers.find(
            self._sources.live, now, is_reading=is_reading
        )
        if keeper is not None:
            _log.info(
                "Peer %s has a configuration that the store may have lost; "
                "fetching its records.",
                keeper.name,
            )
            await self._fetch_all(keeper)
        if self._has_heard_all() and not self._keepers.is_pending:
            self._store_reader.has_compared_peers = True

    def _has_heard_all(self) -> bool:
        """Tell whether all other registered instances have sent a digest.

        One that has just started cannot tell what the store has lost.
        """
        if not self._replica.is_known(Kind.INSTANCE):
            return False
        heard = {peer.name for peer in self._sources.live}
        others = self._replica.instances.keys() - {self._own}
        return bool(heard) and others <= heard

    def _get_known_revision(self, kind: Kind) -> int:
        if not self._replica.is_known(kind):
            return -1
        return self._replica.changed.get(kind, 0)

    def _find_peer_ahead(self, kind: Kind, now: float) -> Digest | None:
        """Return the peer with the latest change, unless it is known here."""
        peers = [
            peer
            for peer in self._sources.live
            if self._sources.is_available(peer.host, now)
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
        client = CopyClient(f"{digest.host}:{self._port}")
        try:
            copy = await client.request(0.0, FETCH_TIMEOUT_S)
        except (ExchangeError, RecordInvalid) as error:
            _log.warning(
                "Could not fetch the records of peer %s: %s",
                digest.name,
                error,
            )
            now = read_monotonic()
            self._sources.mark_failed(digest.host, now + RETRY_DELAY_S)
            return
        finally:
            client.close()
        apply_copy(self._replica, copy, read_monotonic())
        _log.info("Applied the newer records of peer %s.", digest.name)
