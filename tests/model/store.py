"""Models of the platform's store and of an instance's feed from it."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import wait_for
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from json import dumps

from gypsummount._core.positions import combine_position
from gypsummount._core.positions import get_era
from gypsummount._core.positions import get_revision
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import Origin
from gypsummount._edge.store_feed import Record
from gypsummount._edge.store_feed import StoreFeed
from gypsummount.errors import HistoryDiscarded
from gypsummount.errors import StoreUnavailable
from gypsummount.platform.documents import decode_record

CALL_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 0.8
SERVICE_TIME_S = 0.004


@dataclass(slots=True)
class StoreEvent:
    """One change of an object, and when it was made."""

    revision: int
    record: Record
    at: float


class ModelStore:
    """Objects with revisions, and their history of changes.

    While ``is_silent`` is set, calls get no answer; while
    ``is_refusing`` is set, they fail.  Until ``mute_until`` watches get
    no events.
    """

    def __init__(self):
        self.revision = 10
        self.objects = defaultdict(dict)
        self.events = []
        self.compacted = 0
        self.changed = Event()
        self.is_silent = False
        self.is_refusing = False
        self.mute_until = 0.0
        self.calls = 0
        self.era = 0
        self._history = []

    def restore(self, age_s):
        """Return to a copy that is ``age_s`` seconds old, in a new era."""
        copied_at = get_running_loop().time() - age_s
        self._history = [
            event for event in self._history if event.at <= copied_at
        ]
        self.objects.clear()
        for event in self._history:
            record = event.record
            if record.is_deleted:
                del self.objects[record.kind][record.name]
            else:
                self.objects[record.kind][record.name] = record
        self.revision = self._history[-1].revision
        self.events = [
            event for event in self.events if event.revision <= self.revision
        ]
        self.compacted = min(self.compacted, self.revision)
        self.era += 1
        self._notify_watches()

    @property
    def is_down(self):
        return self.is_silent or self.is_refusing

    def put(self, kind, name, specification):
        self.revision += 1
        previous = self.objects[kind].get(name)
        created = previous.revision if previous else self.revision
        raw = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
            },
            "specification": specification,
            "status": None,
        }
        record = Record(kind, name, self.revision, dumps(raw).encode())
        self.objects[kind][name] = record
        self._append_event(record)

    def delete(self, kind, name):
        if name not in self.objects[kind]:
            return
        self.revision += 1
        del self.objects[kind][name]
        self._append_event(Record(kind, name, self.revision, b"", True))

    def compact(self):
        self.compacted = self.revision
        self.events.clear()
        self._notify_watches()

    def list_events(self, kind, revision):
        if get_running_loop().time() < self.mute_until:
            return ()
        return tuple(
            event.record
            for event in self.events
            if event.revision > revision and event.record.kind is kind
        )

    def _append_event(self, record):
        now = get_running_loop().time()
        event = StoreEvent(record.revision, record, now)
        self.events.append(event)
        self._history.append(event)
        self._notify_watches()

    def _notify_watches(self):
        self.changed.set()
        self.changed = Event()


class ModelFeed(StoreFeed):
    """The store as one instance reaches it over its links."""

    def __init__(self, store, links):
        self._store = store
        self._links = links

    async def list(self, kind):
        return await self._apply_timeout(self._list(kind), CALL_TIMEOUT_S)

    async def watch(self, kind, revision, wait_s):
        return await self._apply_timeout(
            self._watch(kind, revision, wait_s), wait_s + WATCH_MARGIN_S
        )

    async def write_rollout_state(self, order, state):
        await self._apply_timeout(self._deliver_request(), CALL_TIMEOUT_S)

    async def register(self, record):
        await self._apply_timeout(self._deliver_request(), CALL_TIMEOUT_S)
        name = record.name
        self._store.put(Kind.INSTANCE, name, {"host": record.host})

    def decode(self, record):
        return decode_record(record)

    async def close(self):
        return

    async def _apply_timeout(self, call, limit_s):
        self._store.calls += 1
        try:
            return await wait_for(call, limit_s)
        except TimeoutError:
            raise StoreUnavailable(
                "the store did not answer in time"
            ) from None

    async def _deliver_request(self):
        """Deliver a request to the store, or fail as the links say.

        :raises StoreUnavailable: if the store or the link refuses it.
        """
        links = self._links
        if links.use_silent_connection() or not links.reaches_store:
            await Event().wait()
        await sleep(links.get_store_delay() + SERVICE_TIME_S)
        if self._store.is_silent or not links.reaches_store:
            await Event().wait()
        if self._store.is_refusing or links.is_refused:
            raise StoreUnavailable("the store refused the request")

    async def _deliver_answer(self, started_at):
        """Deliver an answer; wait forever if its connection was lost."""
        links = self._links
        await sleep(links.get_store_delay())
        is_lost = self._store.is_silent or links.silenced_at > started_at
        if is_lost or not links.hears_store:
            await Event().wait()

    async def _list(self, kind):
        started_at = get_running_loop().time()
        await self._deliver_request()
        objects = tuple(self._store.objects[kind].values())
        listing = self._build_listing(objects, self._store.revision)
        await self._deliver_answer(started_at)
        return listing

    async def _watch(self, kind, revision, wait_s):
        started_at = get_running_loop().time()
        await self._deliver_request()
        era = get_era(revision)
        revision = get_revision(revision)
        if not self._store.compacted <= revision <= self._store.revision:
            raise HistoryDiscarded("the history is gone")
        events = await self._wait_events(kind, revision, started_at + wait_s)
        if self._store.era != era:
            raise HistoryDiscarded("the store was restored")
        listed_revision = self._store.revision
        if get_running_loop().time() < self._store.mute_until:
            listed_revision = revision
        await self._deliver_answer(started_at)
        return self._build_listing(events, listed_revision, Origin.WATCH)

    def _build_listing(self, records, revision, origin=Origin.LIST):
        """Return a listing with positions in the store's era."""
        era = self._store.era
        found = [
            replace(record, revision=combine_position(era, record.revision))
            for record in records
        ]
        position = combine_position(era, revision)
        return Listing(tuple(found), position, origin)

    async def _wait_events(self, kind, revision, ends_at):
        era = self._store.era
        while True:
            events = self._store.list_events(kind, revision)
            remaining_s = ends_at - get_running_loop().time()
            if events or remaining_s <= 0:
                return events
            try:
                await wait_for(self._store.changed.wait(), remaining_s)
            except TimeoutError:
                return ()
            if self._store.era != era or revision < self._store.compacted:
                raise HistoryDiscarded("the history is gone")
