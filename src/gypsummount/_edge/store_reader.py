"""Reading of the store: lists, watches and freshness proofs."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Timeout
from asyncio import timeout
from random import Random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.charts import StateMachine
from gypsummount._core.pacing import Pace
from gypsummount._core.positions import get_era
from gypsummount._core.readers import Contact
from gypsummount._edge.replica import Replica
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import StoreFeed
from gypsummount.errors import HistoryDiscarded
from gypsummount.errors import StoreError
from gypsummount.errors import StoreUnavailable

WATCH_WAIT_S = {
    Kind.CATALOG: 5.0,
    Kind.UPSTREAM: 1.5,
    Kind.EVACUATION: 2.5,
    Kind.ROLLOUT: 8.0,
    Kind.INSTANCE: 15.0,
}
# A watch ends with the first change.  In a stream of changes, of hundreds of
# upstreams for instance, the later ones are read together.
MAX_WATCHES_PER_S = 2.5
MAX_WATCH_BURST = 4.0
# A takeover continues from the records of the previous reader.  If it lasts
# longer, the records are listed once, in case that copy was incomplete.
CONFIRM_AFTER_S = 3.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
PROOF_RENEWAL_AGE_S = 1.0
PROOF_STAGGER_S = 0.15
# While the store lacks the configuration in force, no read renews the proof.
WITHHELD_READ_INTERVAL_S = 1.0
# A process that starts reads a store with eras for this long before a read
# proves anything: peers may hold a configuration that a restore lost.
START_PROOF_WAIT_S = 1.5
IDLE_CHECK_S = 0.05
FAILURES_UNTIL_LOST = 3

_log = get_logger("mirror")


class StoreContact:
    """Tracks whether the store answers, and logs loss and recovery."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._machine = StateMachine("contact")
        self._failures = 0
        self.answered_at = float("-inf")

    @property
    def is_connected(self) -> bool:
        """Tell whether the store has answered and is not lost."""
        return self._machine.state == "connected"

    def record_answer(self) -> None:
        """Record that the store answered a call."""
        self._failures = 0
        self.answered_at = read_monotonic()
        if self._machine.state == "lost":
            self._replica.record_store_recovery(self.answered_at)
            _log.info("The store answers again.")
        if self._machine.can_fire("answered"):
            self._machine.fire("answered")

    @property
    def is_lost(self) -> bool:
        """Tell whether the store is lost: several calls in a row failed."""
        return self._machine.state == "lost"

    def record_failure(self, error: StoreError) -> None:
        """Record a failed call; after several in a row the store is lost."""
        self._failures += 1
        if self._failures < FAILURES_UNTIL_LOST:
            return
        if self._machine.can_fire("failed"):
            self._machine.fire("failed")
            _log.warning("The store is unreachable: %s", error)


class StoreReader:
    """Keeps the replica up to date by lists and watches of the store.

    A takeover from another reader continues after the records that the
    replica holds, so that it costs no list of thousands of records.  New
    calls begin only while ``is_reading`` is true.  When it becomes false,
    an open watch still runs until its time limit.

    After a restore of the store, which starts a new era, open watches end
    and every kind is listed again.
    """

    def __init__(
        self, feed: StoreFeed, replica: Replica, random: Random
    ) -> None:
        self._feed = feed
        self._replica = replica
        self._random = random
        self.contact = StoreContact(replica)
        self._reading = Event()
        self._reading.set()
        # Kinds to be listed after a failure, and kinds that were listed since
        # reading began.
        self._failed: set[Kind] = set()
        self._confirmed: set[Kind] = set()
        self._open_watches: dict[Kind, Timeout] = {}
        self._era = 0
        self._read_due_at = float("-inf")
        self._created_at = read_monotonic()
        # Whether peers were asked for a configuration that a restore lost.
        self.has_compared_peers = False

    @property
    def is_reading(self) -> bool:
        """Tell whether new calls to the store may begin."""
        return self._reading.is_set()

    @is_reading.setter
    def is_reading(self, value: bool) -> None:
        if value:
            self._reading.set()
        else:
            self._reading.clear()

    def get_contact(self) -> Contact:
        """Return the contact with the store that digests announce."""
        if self.contact.is_lost:
            return Contact.LOST
        if self.is_reading and self.contact.is_connected:
            return Contact.CONNECTED
        return Contact.IDLE

    async def replicate(self, kind: Kind) -> None:
        """List the records of a kind, then watch them, until cancelled."""
        delay_s = INITIAL_BACKOFF_S
        while True:
            if not self.is_reading:
                self._confirmed.discard(kind)
                await self._reading.wait()
            if not self._may_read(kind):
                await sleep(IDLE_CHECK_S)
                continue
            try:
                if self._must_list(kind):
                    await self._list(kind)
                self._failed.discard(kind)
                delay_s = INITIAL_BACKOFF_S
                await self._watch(kind)
            except HistoryDiscarded:
                self._failed.add(kind)
                _log.info(
                    "History of %s was discarded by the store; listing.",
                    kind.value,
                )
            except StoreError as error:
                self._failed.add(kind)
                self.contact.record_failure(error)
                delay_s = await self._back_off(delay_s)
            except Exception:
                self._failed.add(kind)
                _log.exception(
                    "Unexpected error while reading %s; retrying.", kind.value
                )
                delay_s = await self._back_off(delay_s)

    def _must_list(self, kind: Kind) -> bool:
        """Tell whether the records of a kind cannot be watched onwards."""
        if kind in self._failed or not self._replica.is_known(kind):
            return True
        return get_era(self._replica.revisions[kind]) < self._era

    def note_era(self, era: int) -> None:
        """End the watches of earlier eras if an era is newer than known."""
        if era <= self._era:
            return
        self._era = era
        now = get_running_loop().time()
        for kind, scope in self._open_watches.items():
            if get_era(self._replica.revisions[kind]) < era:
                scope.reschedule(now)

    def _check_era(self, listing: Listing) -> None:
        """Check that a listing is not older than what is known.

        :raises StoreUnavailable: when it is of an earlier era.
        """
        era = get_era(listing.revision)
        self.note_era(max(era, self._replica.era))
        if era < self._era:
            raise StoreUnavailable(
                f"the store answered from its earlier era {era}; check that "
                "no replica of it runs on an old copy"
            )

    def _may_read(self, kind: Kind) -> bool:
        """Tell whether to read a kind.

        While the store is lost, reads of the configuration alone find out
        when it answers again.
        """
        if not self.is_reading:
            return False
        return kind is Kind.CATALOG or not self.contact.is_lost

    async def _back_off(self, delay_s: float) -> float:
        """Sleep for about ``delay_s`` with jitter; return the next delay."""
        await sleep(delay_s * (0.5 + self._random.random()))
        return min(MAX_BACKOFF_S, delay_s * 2)

    async def renew_proof(self, preceding: int) -> None:
        """Read the configuration if its freshness proof is too old.

        ``preceding`` is the number of instances connected to the store
        that precede this one by name.  The higher it is, the later this
        instance reads, so that normally only the first one reads and the
        others use its proof.
        """
        if not self.is_reading or self.contact.is_lost:
            return
        self.note_era(max(self._feed.era, self._replica.era))
        now = read_monotonic()
        if self._replica.is_catalog_withheld:
            if now < self._read_due_at:
                return
            self._read_due_at = now + WITHHELD_READ_INTERVAL_S
        age_s = self._replica.proof.get_age(now)
        limit_s = PROOF_RENEWAL_AGE_S + PROOF_STAGGER_S * preceding
        if age_s is not None and age_s < limit_s:
            return
        await self.try_read()

    async def try_read(self) -> bool:
        """Read the configuration; tell whether the store answered."""
        try:
            await self._list(Kind.CATALOG)
        except StoreError as error:
            self.contact.record_failure(error)
            return False
        return True

    async def _list(self, kind: Kind) -> None:
        started_at = read_monotonic()
        listing = await self._feed.list(kind)
        self._check_era(listing)
        self.contact.record_answer()
        self._replica.apply_listing(kind, listing, read_monotonic())
        self._confirmed.add(kind)
        if kind is Kind.CATALOG and self._replica.has_newest_catalog:
            self._record_proof(listing, started_at)

    def _record_proof(self, listing: Listing, started_at: float) -> None:
        if get_era(listing.revision) and not self.has_compared_peers:
            if started_at < self._created_at + START_PROOF_WAIT_S:
                return
        self._replica.proof.record_read(
            self._replica.catalog_revision, started_at
        )

    async def _watch(self, kind: Kind) -> None:
        confirm_at = read_monotonic() + CONFIRM_AFTER_S
        pace = Pace(MAX_WATCHES_PER_S, MAX_WATCH_BURST, read_monotonic())
        while self.is_reading:
            is_due = read_monotonic() >= confirm_at
            if is_due and kind not in self._confirmed:
                await self._list(kind)
            changes = await self._watch_once(kind)
            self._check_era(changes)
            self.contact.record_answer()
            self._replica.apply_changes(kind, changes, read_monotonic())
            await sleep(pace.take(read_monotonic()))

    async def _watch_once(self, kind: Kind) -> Listing:
        """Watch a kind from the known records on, within their era.

        :raises HistoryDiscarded: when the store was restored.
        """
        if self._must_list(kind):
            raise HistoryDiscarded("the store was restored; list again")
        revision = self._replica.revisions[kind]
        try:
            async with timeout(None) as scope:
                self._open_watches[kind] = scope
                return await self._feed.watch(
                    kind, revision, WATCH_WAIT_S[kind]
                )
        except TimeoutError:
            if not scope.expired():
                raise
            raise HistoryDiscarded(
                "the store was restored; list again"
            ) from None
        finally:
            self._open_watches.pop(kind, None)
