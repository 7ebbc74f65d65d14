"""Stand-in for the platform's object store, with switches for faults."""

from asyncio import sleep
from dataclasses import asdict
from dataclasses import dataclass
from json import loads
from urllib.parse import unquote

from tornado.httputil import HTTPServerRequest

from gypsummount._standin.http import Reply
from gypsummount._store.memory import MemoryStore
from gypsummount.errors import StoreConflict

_OBJECTS_PATH = "/objects/"


@dataclass(slots=True)
class StoreSwitches:
    """Faults that the stand-in injects.

    ``outage`` answers with status 503.  ``hang`` leaves calls and
    watches without an answer.  ``delay_s`` delays each call.
    ``lose_answers`` is the number of further writes that take effect
    while their connection is closed without an answer.
    """

    outage: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


@dataclass(slots=True)
class StoreCounts:
    """Calls since the start; a watch counts once, however long it waits."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class StoreStandin:
    """Serves the store's HTTP interface from memory."""

    def __init__(self) -> None:
        self.switches = StoreSwitches()
        self.counts = StoreCounts()
        self.objects = MemoryStore()

    async def answer(self, request: HTTPServerRequest) -> Reply | None:
        """Answer a request; None closes the connection without an answer."""
        if request.path == "/switches":
            return self._switch(request)
        if request.path == "/counts":
            return Reply.from_json(asdict(self.counts))
        if not request.path.startswith(_OBJECTS_PATH):
            return Reply(404)
        if self.switches.hang:
            await sleep(3600)
        if self.switches.outage:
            return Reply(503)
        if self.switches.delay_s:
            await sleep(self.switches.delay_s)
        name = unquote(request.path[len(_OBJECTS_PATH) :])
        if request.method == "GET":
            return await self._read(name, request)
        return await self._write(name, request)

    def _switch(self, request: HTTPServerRequest) -> Reply:
        for name, value in loads(request.body or b"{}").items():
            setattr(self.switches, name, value)
        return Reply.from_json(asdict(self.switches))

    async def _read(self, name: str, request: HTTPServerRequest) -> Reply:
        if not name:
            self.counts.reads += 1
            prefix = request.arguments.get("prefix", [b""])[0].decode()
            return Reply.from_json(await self.objects.list_names(prefix))
        preference = request.headers.get("Prefer", "")
        known_version = request.headers.get("If-None-Match")
        if preference.startswith("wait=") and known_version:
            self.counts.watches += 1
            version = None if known_version == "none" else known_version
            stored = await self.objects.watch(
                name, version, float(preference[len("wait=") :])
            )
            if self.switches.outage:
                return Reply(503)
        else:
            self.counts.reads += 1
            stored = await self.objects.get(name)
        if stored is None:
            return Reply(404)
        headers = {"ETag": stored.version}
        if stored.version == known_version:
            return Reply(304, headers=headers)
        return Reply(200, stored.value, headers)

    async def _write(
        self, name: str, request: HTTPServerRequest
    ) -> Reply | None:
        self.counts.writes += 1
        try:
            version = await self._apply(name, request)
        except StoreConflict:
            return Reply(412)
        if self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            return None
        return Reply(200, b"", {"ETag": version})

    async def _apply(self, name: str, request: HTTPServerRequest) -> str:
        expected_version = request.headers.get("If-Match")
        if request.method == "DELETE":
            await self.objects.delete(name, expected_version or "")
            return ""
        if expected_version is None:
            return await self.objects.create(name, request.body)
        return await self.objects.replace(name, request.body, expected_version)
