"""Models of the platform's store and of an instance's feed from it."""

from asyncio import Event
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import wait_for
from collections import defaultdict
from dataclasses import dataclass
from json import dumps

from gypsummount._edge.feed import Feed
from gypsummount._edge.feed import Kind
from gypsummount._edge.feed import Listing
from gypsummount._edge.feed import Origin
from gypsummount._edge.feed import Record
from gypsummount.errors import HistoryGone
from gypsummount.errors import StoreUnavailable
from gypsummount.platform.documents import decode_record

CALL_LIMIT_S = 1.0
WATCH_MARGIN_S = 0.8
ANSWER_S = 0.004


@dataclass(slots=True)
class StoreEvent:
    """One change of an object."""

    revision: int
    record: Record


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

    @property
    def is_down(self):
        return self.is_silent or self.is_refusing

    def put(self, kind, name, specification):
        self.revision += 1
        known = self.objects[kind].get(name)
        created = known.revision if known else self.revision
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
        self._note(record)

    def delete(self, kind, name):
        if name not in self.objects[kind]:
            return
        self.revision += 1
        del self.objects[kind][name]
        self._note(Record(kind, name, self.revision, b"", True))

    def compact(self):
        self.compacted = self.revision
        self.events.clear()
        self._wake()

    def list_events(self, kind, revision):
        if get_running_loop().time() < self.mute_until:
            return ()
        return tuple(
            one.record
            for one in self.events
            if one.revision > revision and one.record.kind is kind
        )

    def _note(self, record):
        self.events.append(StoreEvent(record.revision, record))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = Event()


class ModelFeed(Feed):
    """The store as one instance reaches it over its links."""

    def __init__(self, store, links):
        self._store = store
        self._links = links

    async def list(self, kind):
        return await self._limit(self._list(kind), CALL_LIMIT_S)

    async def watch(self, kind, revision, wait_s):
        return await self._limit(
            self._watch(kind, revision, wait_s), wait_s + WATCH_MARGIN_S
        )

    async def write_rollout_state(self, order, state):
        await self._limit(self._ask(), CALL_LIMIT_S)

    async def register(self, record):
        await self._limit(self._ask(), CALL_LIMIT_S)
        name = record.name
        self._store.put(Kind.INSTANCE, name, {"host": record.host})

    def decode(self, record):
        return decode_record(record)

    async def close(self):
        return

    async def _limit(self, call, limit_s):
        self._store.calls += 1
        try:
            return await wait_for(call, limit_s)
        except TimeoutError:
            raise StoreUnavailable(
                "the store did not answer in time"
            ) from None

    async def _ask(self):
        """Deliver a request to the store, or fail as the links say.

        :raises StoreUnavailable: if the store or the link refuses it.
        """
        links = self._links
        if links.take_silent_connection() or not links.reaches_store:
            await Event().wait()
        await sleep(links.find_store_delay() + ANSWER_S)
        if self._store.is_silent or not links.reaches_store:
            await Event().wait()
        if self._store.is_refusing or links.is_refused:
            raise StoreUnavailable("the store refused the request")

    async def _answer(self, began):
        """Deliver an answer; wait forever if its connection was lost."""
        links = self._links
        await sleep(links.find_store_delay())
        is_lost = self._store.is_silent or links.silenced_at > began
        if is_lost or not links.hears_store:
            await Event().wait()

    async def _list(self, kind):
        began = get_running_loop().time()
        await self._ask()
        found = tuple(self._store.objects[kind].values())
        listing = Listing(found, self._store.revision)
        await self._answer(began)
        return listing

    async def _watch(self, kind, revision, wait_s):
        began = get_running_loop().time()
        await self._ask()
        if revision < self._store.compacted:
            raise HistoryGone("the history is gone")
        events = await self._wait_events(kind, revision, began + wait_s)
        at = self._store.revision
        if get_running_loop().time() < self._store.mute_until:
            at = revision
        await self._answer(began)
        return Listing(events, at, Origin.WATCH)

    async def _wait_events(self, kind, revision, until):
        while True:
            events = self._store.list_events(kind, revision)
            left_s = until - get_running_loop().time()
            if events or left_s <= 0:
                return events
            try:
                await wait_for(self._store.changed.wait(), left_s)
            except TimeoutError:
                return ()
            if revision < self._store.compacted:
                raise HistoryGone("the history is gone")
