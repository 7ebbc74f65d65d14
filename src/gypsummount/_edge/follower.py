"""Replication of a peer's records, which saves calls to the store."""

from asyncio import sleep
from random import random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._edge.copies import apply_copy
from gypsummount._edge.copies import Copy
from gypsummount._edge.copy_client import CopyClient
from gypsummount._edge.replica import Replica
from gypsummount._edge.settings import EdgeSettings
from gypsummount._edge.sources import Source
from gypsummount._edge.sources import Sources
from gypsummount._edge.store_reader import StoreReader
from gypsummount._entry.exchanges import ExchangeError
from gypsummount.errors import RecordInvalid

# Fractions of the time within which a configuration has to be in force: how
# long a peer may wait with its answer, when it counts as silent, and the age
# of the freshness proof at which the store is read.
LONG_POLL_FRACTION = 0.24
SILENCE_FRACTION = 0.44
PROOF_AGE_FRACTION = 0.72
CHECK_INTERVAL_S = 0.1
RETRY_DELAY_S = 2.0
# At the start, peers may begin to listen only a little later.
START_RETRY_DELAY_S = 0.3
# An instance that starts reads the store if no peer sends complete records
# for this long.
START_WAIT_S = 1.5
# By then, the peers of the region have sent a digest.
SETTLE_S = 4.0
MIN_PROBE_DELAY_S = 0.6
MAX_PROBE_DELAY_S = 2.0
# When the store has the configuration in force again, the reader's proof
# takes some time to arrive; meanwhile followers do not read the store.
PROOF_ARRIVAL_S = 1.0

_log = get_logger("following")


class Follower:
    """Replicates the records of the region's reader.

    The reader is the instance that reads the store for its region.  Any
    other instance reads the store itself only when it starts and finds no
    peer, while it chooses no peer, and while its freshness proof is too
    old although the store answers.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        replica: Replica,
        store_reader: StoreReader,
        sources: Sources,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._store_reader = store_reader
        self._sources = sources
        apply_s = settings.bounds.config_apply_s
        self._long_poll_s = apply_s * LONG_POLL_FRACTION
        self._silence_s = apply_s * SILENCE_FRACTION
        self._max_proof_age_s = apply_s * PROOF_AGE_FRACTION
        self._source = Source("", "")
        self._client: CopyClient | None = None
        self._started_at = read_monotonic()
        self._complete_at = self._started_at
        self._is_stale = False
        self._probe_at = float("-inf")
        self._probe_delay_s = MIN_PROBE_DELAY_S
        self._proof_expected_until = float("-inf")
        seeds = settings.seeds
        store_reader.is_reading = not seeds or settings.host in seeds

    def close(self) -> None:
        """Close the connection to the source."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def run(self) -> None:
        """Replicate from the chosen sources until cancelled."""
        while True:
            now = read_monotonic()
            if not self._replica.is_ready:
                await self._start_up(now)
                continue
            contact = self._store_reader.get_contact()
            is_reading = self._store_reader.is_reading
            source = self._sources.choose(contact, now, is_reading=is_reading)
            if source is None and not is_reading and self._is_settling(now):
                source = self._source
            if source is None:
                self._store_reader.is_reading = True
                await sleep(CHECK_INTERVAL_S)
                continue
            await self._replicate_from(source, RETRY_DELAY_S)
            if self._client is not None:
                self._store_reader.is_reading = not self._is_proof_recent()

    def _is_settling(self, now: float) -> bool:
        """Tell whether the first source is kept for want of other peers.

        Soon after the start, few peers have sent a digest yet.
        """
        is_new = now - self._started_at < SETTLE_S
        return is_new and self._client is not None

    async def _start_up(self, now: float) -> None:
        """Get the first records, from a peer that has them if possible."""
        if now - self._complete_at > START_WAIT_S:
            self._store_reader.is_reading = True
        source = None
        if not self._store_reader.is_reading:
            source = self._sources.choose_for_start(now)
        if source is not None:
            await self._replicate_from(source, START_RETRY_DELAY_S)
        if not self._replica.is_ready:
            await sleep(CHECK_INTERVAL_S)

    async def _replicate_from(
        self, source: Source, retry_delay_s: float
    ) -> None:
        if source != self._source or self._client is None:
            self.close()
            self._source = source
            self._client = CopyClient(
                f"{source.host}:{self._settings.peer_port}"
            )
        try:
            await self._pull_changes(self._client)
        except (ExchangeError, RecordInvalid) as error:
            _log.warning(
                "No records from %s; trying another instance: %s",
                source.name or source.host,
                error,
            )
            self._leave_source(retry_delay_s)

    async def _pull_changes(self, client: CopyClient) -> None:
        requested_at = read_monotonic()
        copy = await client.request(self._long_poll_s, self._silence_s)
        now = read_monotonic()
        apply_copy(self._replica, copy, now)
        self._record_proof(copy, requested_at)
        if copy.is_complete:
            self._complete_at = now
        was_stale = self._is_stale
        self._is_stale = not self._is_proof_recent()
        if self._replica.is_ready and self._is_stale:
            self._leave_source(RETRY_DELAY_S)
            # Several stale sources in a row mean that the store is down.
            if was_stale:
                await sleep(self._long_poll_s)

    def _leave_source(self, retry_delay_s: float) -> None:
        """Choose another source for a while."""
        self._sources.mark_failed(
            self._source.host, read_monotonic() + retry_delay_s
        )
        self.close()

    def _record_proof(self, copy: Copy, requested_at: float) -> None:
        if copy.catalog_revision == self._replica.catalog_revision:
            self._replica.proof.record_peer_proof(
                copy.catalog_revision, requested_at, copy.proof_age_s
            )

    async def check_proof(self) -> None:
        """Begin to read the store when the freshness proof is too old.

        This also runs while a request to the source is pending: waiting
        for the answer could delay a change for too long.  In a large fleet
        one call first tells whether the store answers, so that an outage
        costs few calls.
        """
        if self._store_reader.is_reading or not self._replica.is_ready:
            return
        if self._is_proof_recent():
            self._probe_delay_s = MIN_PROBE_DELAY_S
            return
        if read_monotonic() < self._probe_at:
            return
        _log.info("The freshness proof is too old; reading the store.")
        is_small = not self._sources.is_grouped
        if is_small or await self._store_reader.try_read():
            self._store_reader.is_reading = True
            return
        delay_s = self._probe_delay_s * (0.5 + random())
        self._probe_at = read_monotonic() + delay_s
        self._probe_delay_s = min(MAX_PROBE_DELAY_S, 2 * self._probe_delay_s)

    def _is_proof_recent(self) -> bool:
        """Tell whether reading the store would give no newer proof.

        While the store lacks the configuration in force, none does, and
        soon after that the reader's proof arrives.
        """
        now = read_monotonic()
        if self._replica.is_catalog_withheld:
            self._proof_expected_until = now + PROOF_ARRIVAL_S
        if now < self._proof_expected_until:
            return True
        age_s = self._replica.proof.get_age(now)
        return age_s is not None and age_s <= self._max_proof_age_s
