"""HTTP test doubles of the platform's servers, and documents for them."""

from asyncio import sleep
from json import dumps
from random import Random

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

# Time from the answer of a "closing" server until it closes the connection.
CLOSING_S = 0.05


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
