"""HTTP test double of the platform's store."""

from asyncio import Event
from asyncio import wait_for
from json import loads

from tornado.web import RequestHandler

from tests.platform.doubles import serve


class StoreDouble:
    """Objects with revisions and watches; flags inject failures.

    With ``is_down``, every call is answered with status 503; calls from
    ``refused_hosts`` always are.  With ``closes_watches``, watches end with
    a closed connection instead of an answer.

    ``era`` is stated in all answers unless it is None.
    """

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.events = []
        self.discarded_until = 0
        self.changed = Event()
        self.is_down = False
        self.refused_hosts = set()
        self.closes_watches = False
        self.calls = 0
        self.era = None
        self.kinds_read = set()

    def copy(self):
        """Return a copy to which the store can be restored."""
        objects = {kind: dict(found) for kind, found in self.objects.items()}
        return self.revision, objects, list(self.events), self.discarded_until

    def restore(self, copy):
        """Return to a copy in a new era; open watches end."""
        revision, objects, events, discarded_until = copy
        self.revision = revision
        self.objects = {kind: dict(found) for kind, found in objects.items()}
        self.events = list(events)
        self.discarded_until = discarded_until
        self.era += 1
        self._notify_watchers()

    def has_history(self, revision):
        """Tell whether the changes after a revision are known."""
        return self.discarded_until <= revision <= self.revision

    def put(self, kind, name, specification, status=None):
        self.revision += 1
        existing = self.objects.setdefault(kind, {}).get(name)
        created = (
            existing["metadata"]["created"] if existing else self.revision
        )
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "specification": specification,
            "status": status,
        }
        self.objects[kind][name] = stored
        self._record_event(kind, stored, False)
        return stored

    def delete(self, kind, name):
        self.revision += 1
        removed = self.objects[kind].pop(name)
        removed = {**removed, "metadata": {**removed["metadata"]}}
        removed["metadata"]["revision"] = self.revision
        self._record_event(kind, removed, True)

    def compact(self):
        self.discarded_until = self.revision
        self.events.clear()
        self._notify_watchers()

    def _record_event(self, kind, stored, deleted):
        self.events.append((self.revision, kind, stored, deleted))
        self._notify_watchers()

    def _notify_watchers(self):
        self.changed.set()
        self.changed = Event()

    async def watch(self, kind, revision, wait_s):
        """Return the events of a kind, or none after ``wait_s``.

        Changes of other kinds do not end the watch.
        """
        try:
            return await wait_for(self._find_events(kind, revision), wait_s)
        except TimeoutError:
            return []

    async def _find_events(self, kind, revision):
        era = self.era
        while True:
            found = self.list_events(kind, revision)
            if found or self.closes_watches or self.era != era:
                return found
            if revision < self.discarded_until:
                return found
            await self.changed.wait()

    def list_events(self, kind, revision):
        return [
            {"object": stored, "deleted": deleted}
            for event_revision, event_kind, stored, deleted in self.events
            if event_kind == kind and event_revision > revision
        ]


class _StoreHandler(RequestHandler):
    def initialize(self, store):
        self.store = store

    def prepare(self):
        self.store.calls += 1
        host = self.request.remote_ip
        if self.store.is_down or host in self.store.refused_hosts:
            self.set_status(503)
            self.finish()

    def finish(self, chunk=None):
        if self.store.era is not None:
            self.set_header("Store-Era", str(self.store.era))
        return super().finish(chunk)

    async def get(self, kind, name=None):
        watch = self.get_argument("watch", None)
        if watch is not None:
            await self._watch(kind, int(watch))
            return
        self.store.kinds_read.add(kind)
        found = self.store.objects.get(kind, {})
        self.finish(
            {
                "items": [found[key] for key in sorted(found)],
                "hasMore": False,
                "at": self.store.revision,
            }
        )

    async def _watch(self, kind, revision):
        if not self.store.has_history(revision):
            self.set_status(410)
            self.finish({})
            return
        wait_s = int(self.get_argument("waitMs")) / 1000
        events = await self.store.watch(kind, revision, wait_s)
        if self.store.closes_watches:
            self.request.connection.stream.close()
            return
        self.finish({"events": events, "at": self.store.revision})

    def post(self, kind, name=None):
        body = loads(self.request.body)
        name = body["metadata"]["name"]
        if name in self.store.objects.get(kind, {}):
            self.set_status(409)
            self.finish({})
            return
        self.finish(self.store.put(kind, name, body["specification"]))

    def put(self, kind, name, subresource=None):
        body = loads(self.request.body)
        existing = self.store.objects.get(kind, {}).get(name)
        if existing is None:
            self.set_status(404)
            self.finish({})
            return
        expected_revision = body["metadata"].get("revision")
        if expected_revision not in (None, existing["metadata"]["revision"]):
            self.set_status(409)
            self.finish(existing)
            return
        specification = body.get("specification", existing["specification"])
        status = body.get("status", existing["status"])
        self.finish(self.store.put(kind, name, specification, status))


def serve_store(stack, store):
    kinds = r"/-/objects/([^/]+)"
    patterns = [kinds, kinds + r"/([^/]+)", kinds + r"/([^/]+)/(status)"]
    return serve(stack, _StoreHandler, {"store": store}, patterns)
