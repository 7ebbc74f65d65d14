"""HTTP test doubles of the platform's store and servers."""

from asyncio import Event
from asyncio import sleep
from asyncio import wait_for
from json import dumps
from json import loads
from random import Random

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

HISTORY = 1000
# Time from the answer of a "closing" server until it closes the connection.
CLOSING_S = 0.05


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


class ServerDouble:
    """Answers requests; ``behaviour`` is ``good`` or names a fault.

    ``full``: refuses each request without running it, with
    ``retry_after`` as its Retry-After header if that is set.  ``lost``:
    runs it and closes the connection without an answer.  ``crossed``:
    answers with the id of another request.  ``failing``: runs it and
    answers with status 500.  ``closing``: closes the connection
    :data:`CLOSING_S` seconds after an answer.  A run takes at least
    ``delay_s``, and a random time up to ``max_delay_s``.  ``load`` is the
    load that it reports.
    """

    def __init__(self, name):
        self.name = name
        self.behaviour = "good"
        self.delay_s = 0.0
        self.max_delay_s = 0.0
        self.answer_bytes = 0
        self.load = "1,0,4"
        self.random = Random(name)
        self.runs = []
        self.headers = []
        self.cold_ms = 0
        self.retry_after = ""
        self.is_leaving = False
        self.arrivals = 0
        self.health_checks = 0

    def choose_delay(self):
        return max(self.delay_s, self.random.uniform(0.0, self.max_delay_s))


class _ServerHandler(RequestHandler):
    def initialize(self, server):
        self.server = server

    async def get(self):
        if self.request.path == "/health":
            self._answer_health()
            return
        await self._answer()

    def _answer_health(self):
        server = self.server
        server.health_checks += 1
        if server.behaviour == "full":
            self.set_status(503)
            self.set_header("Gypsummount-Not-Executed", "1")
        self.set_header("Gypsummount-Instance-Id", server.name)
        if server.cold_ms:
            cold_ms = str(server.cold_ms)
            self.set_header("Gypsummount-Cold-Milliseconds", cold_ms)
        self.finish()

    async def post(self):
        await self._answer()

    async def _answer(self):
        server = self.server
        headers = self.request.headers
        request_id = headers["Gypsummount-Request-Id"]
        self.set_header("Gypsummount-Request-Id", request_id)
        server.arrivals += 1
        if server.is_leaving:
            self.set_header("Server-Leaving", "1")
        if headers["Gypsummount-Expected-Instance"] != server.name:
            self.set_status(421)
            self.finish()
            return
        if server.behaviour == "full":
            self.set_status(503)
            self.set_header("Gypsummount-Not-Executed", "1")
            if server.retry_after:
                self.set_header("Retry-After", server.retry_after)
            self.finish()
            return
        server.runs.append(request_id)
        server.headers.append(headers)
        await sleep(server.choose_delay())
        if server.behaviour == "lost":
            self.request.connection.stream.close()
            return
        if server.behaviour == "failing":
            self.set_status(500)
        if server.behaviour == "crossed":
            request_id = "another"
        self.set_header("Gypsummount-Request-Id", request_id)
        self.set_header("Gypsummount-Server-Stamp", f"stamp-{server.name}")
        self.set_header("Gypsummount-Server-Load", server.load)
        text = f"{server.name}:{len(self.request.body)}"
        await self.finish(text.ljust(server.answer_bytes))
        if server.behaviour == "closing":
            await sleep(CLOSING_S)
            self.request.connection.stream.close()


def serve(stack, handler, arguments, patterns, host="127.0.0.1"):
    """Serve a double on a free port; return its ``host:port``."""
    application = Application(
        [(pattern, handler, arguments) for pattern in patterns]
    )
    server = HTTPServer(application)
    sockets = bind_sockets(0, host)
    server.add_sockets(sockets)
    stack.callback(server.stop)
    return f"{host}:{sockets[0].getsockname()[1]}"


def serve_store(stack, store):
    kinds = r"/-/objects/([^/]+)"
    patterns = [kinds, kinds + r"/([^/]+)", kinds + r"/([^/]+)/(status)"]
    return serve(stack, _StoreHandler, {"store": store}, patterns)


def serve_server(stack, server):
    return serve(stack, _ServerHandler, {"server": server}, [r"/.*"])


def write_settings(
    path, node, host, store, ports, zones, zone, memory_mb=0, cloud=None
):
    path.write_text(
        dumps(
            {
                **({"cloud": cloud} if cloud is not None else {}),
                "node": node,
                "ip": host,
                "zone": zone,
                "region": zones[zone],
                "zones": zones,
                "listen": {
                    "front": f"{host}:{ports.front}",
                    "ready": f"{host}:{ports.ready}",
                    "control": f"{host}:{ports.control}",
                    "directory": f"{host}:{ports.directory}",
                },
                "limits": {"memoryMb": memory_mb},
                "internalPorts": [ports.peer, ports.peer],
                "seeds": [f"127.0.0.2:{ports.control}"],
                "bounds": ["revokeS=5", "graceS=6", "strictRevocation=true"],
                "platform": {"address": store},
            }
        )
    )


def build_config(version, keys, timeout_s=1.5):
    """Return a configuration with two routes to one service."""
    rules = [
        build_rule("safe", "/read/", timeout_s),
        build_rule("unsafe", "/book/", timeout_s),
    ]
    return {
        "version": version,
        "limits": {"idleTimeoutS": 15, "bodyBytes": 1_000_000},
        "tenants": [
            {
                "name": "w",
                "apiKeys": keys,
                "priority": 0,
                "requestsPerS": 1000,
                "burst": 1000,
                "homeRegions": [],
            }
        ],
        "listeners": [{"host": "h.example", "rules": rules}],
        "clusters": [
            {
                "name": "s",
                "healthPath": "/health",
                "coldStartS": 3.0,
                "coldPerS": 24.0,
            }
        ],
    }


def build_rule(kind, prefix, timeout_s):
    return {
        "name": kind,
        "kind": kind,
        "targetLatencyS": 0.3,
        "priority": 1,
        "public": False,
        "sticky": True,
        "match": {"pathPrefix": prefix},
        "action": {"service": "s", "timeoutS": timeout_s, "attempts": 2},
    }


def build_server(address, zone="z1", **changes):
    """Return the specification of a server's record."""
    specification = {
        "service": "s",
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingS": 0,
        "sequence": 1,
    }
    return {**specification, **changes}
