"""Reading of the store: lists, watches and freshness proofs."""

from asyncio import sleep
from random import Random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._core.charts import Machine
from gypsummount._core.readers import Contact
from gypsummount._edge.belief import Belief
from gypsummount._edge.feed import Feed
from gypsummount._edge.feed import Kind
from gypsummount.errors import HistoryGone
from gypsummount.errors import StoreError

WATCH_S = {
    Kind.CATALOG: 5.0,
    Kind.UPSTREAM: 1.5,
    Kind.EVACUATION: 2.5,
    Kind.ROLLOUT: 8.0,
}
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
PROOF_AGE_S = 1.0
PROOF_STEP_S = 0.15
IDLE_LOOK_S = 0.05
FAILURES_TO_LOSE = 3

_log = get_logger("mirror")


class StoreContact:
    """Tracks whether the store answers, and logs loss and recovery."""

    def __init__(self, belief: Belief) -> None:
        self._belief = belief
        self._machine = Machine("contact")
        self._failures = 0
        self.answered_at = float("-inf")

    @property
    def is_connected(self) -> bool:
        """Tell whether the store has answered and is not lost."""
        return self._machine.state == "connected"

    def note_answer(self) -> None:
        """Record that the store answered a call."""
        self._failures = 0
        self.answered_at = read_monotonic()
        if self._machine.state == "lost":
            self._belief.note_regained(self.answered_at)
            _log.info("The store answers again.")
        if self._machine.can_fire("answered"):
            self._machine.fire("answered")

    @property
    def is_lost(self) -> bool:
        """Tell whether the store is lost: several calls in a row failed."""
        return self._machine.state == "lost"

    def note_failure(self, error: StoreError) -> None:
        """Record a failed call; several in a row mean a lost store."""
        self._failures += 1
        if self._failures < FAILURES_TO_LOSE:
            return
        if self._machine.can_fire("failed"):
            self._machine.fire("failed")
            _log.warning("The store is unreachable: %s", error)


class Mirror:
    """Keeps the replica up to date by lists and watches of the store.

    New calls begin only while ``is_reading`` is true.  When it becomes
    false, an open watch still runs until its time limit.
    """

    def __init__(self, feed: Feed, belief: Belief, random: Random) -> None:
        self._feed = feed
        self._belief = belief
        self._random = random
        self.contact = StoreContact(belief)
        self.is_reading = True

    def find_contact(self) -> Contact:
        """Return the contact with the store that digests announce."""
        if self.contact.is_lost:
            return Contact.LOST
        if self.is_reading and self.contact.is_connected:
            return Contact.CONNECTED
        return Contact.IDLE

    async def follow(self, kind: Kind) -> None:
        """List the records of a kind, then watch them, until cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            if not self.is_reading:
                await sleep(IDLE_LOOK_S)
                continue
            try:
                await self._list(kind)
                pause_s = FIRST_PAUSE_S
                await self._watch(kind)
            except HistoryGone:
                _log.info(
                    "History of %s was discarded by the store; listing.",
                    kind.value,
                )
            except StoreError as error:
                self.contact.note_failure(error)
                pause_s = await self._pause(pause_s)
            except Exception:
                _log.exception(
                    "Unexpected error while reading %s; retrying.", kind.value
                )
                pause_s = await self._pause(pause_s)

    async def _pause(self, pause_s: float) -> float:
        """Sleep for about ``pause_s`` with jitter; return the next delay."""
        await sleep(pause_s * (0.5 + self._random.random()))
        return min(LONGEST_PAUSE_S, pause_s * 2)

    async def prove(self, rank: int) -> None:
        """Read the catalog if its freshness proof is too old.

        Instances of higher rank wait longer, so that normally only the
        first one reads, and the others use its proof.
        """
        if not self.is_reading:
            return
        now = read_monotonic()
        age_s = self._belief.proof.find_age(now)
        limit_s = PROOF_AGE_S + PROOF_STEP_S * rank
        if age_s is not None and age_s < limit_s:
            return
        try:
            await self._list(Kind.CATALOG)
        except StoreError as error:
            self.contact.note_failure(error)

    async def _list(self, kind: Kind) -> None:
        started_at = read_monotonic()
        listing = await self._feed.list(kind)
        self.contact.note_answer()
        self._belief.take_listing(kind, listing, read_monotonic())
        if kind is Kind.CATALOG and self._belief.has_newest_catalog:
            self._belief.proof.note_read(
                self._belief.catalog_revision, started_at
            )

    async def _watch(self, kind: Kind) -> None:
        while self.is_reading:
            revision = self._belief.revisions[kind]
            changes = await self._feed.watch(kind, revision, WATCH_S[kind])
            self.contact.note_answer()
            self._belief.take_changes(kind, changes, read_monotonic())
