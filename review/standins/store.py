"""Stand-in of the platform's metadata store: lists, watches and writes."""

from asyncio import Event
from asyncio import sleep
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import wait_for
from json import loads
from urllib.parse import parse_qsl
from urllib.parse import unquote
from urllib.parse import urlsplit

from standins.http import BROKEN
from standins.http import build_json_answer
from standins.http import Message
from standins.http import read_message

ANSWER_TIME_S = 0.004
PAGE_ITEMS = 500
PREFIX = "/-/objects/"


class Store:
    """Objects by kind and name, with one revision counter and a history.

    It is sound: every call is answered, and it loses nothing.
    """

    def __init__(self) -> None:
        self.revision = 1
        self._objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._changed = Event()

    async def listen(self, host: str, port: int) -> None:
        """Serve the store's calls at an address."""
        await start_server(self._serve, host, port)

    def write(
        self, kind: str, name: str, specification: dict, status: object = None
    ) -> dict:
        """Create or replace an object and return it."""
        self.revision += 1
        known = self._objects.setdefault(kind, {}).get(name)
        created = known["metadata"]["created"] if known else self.revision
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
        self._objects[kind][name] = stored
        self._record(kind, {"object": stored, "deleted": False})
        return stored

    def read(self, kind: str, name: str) -> dict:
        """Return an object.

        :raises KeyError: when there is none.
        """
        return self._objects[kind][name]

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        stored = self._objects[kind].pop(name)
        self._record(kind, {"object": stored, "deleted": True})

    def _record(self, kind: str, event: dict) -> None:
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = Event()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while request := await read_message(reader):
                answer = await self._answer(request)
                await sleep(ANSWER_TIME_S)
                writer.write(answer)
                await writer.drain()
        except BROKEN:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        url = urlsplit(request.target)
        kind, _, rest = url.path.removeprefix(PREFIX).partition("/")
        name, _, part = rest.partition("/")
        method = request.start[0]
        if method == "GET":
            query = dict(parse_qsl(url.query))
            return await self._read(kind, unquote(name), query)
        body = loads(request.body)
        if method == "POST":
            return self._create(kind, body)
        return self._replace(kind, unquote(name), part, body)

    async def _read(self, kind: str, name: str, query: dict) -> bytes:
        objects = self._objects.get(kind, {})
        if name:
            found = objects.get(name)
            return build_json_answer(200 if found else 404, found or {})
        if "watch" in query:
            wait_s = int(query.get("waitMs", 0)) / 1000
            events = await self._watch(kind, int(query["watch"]), wait_s)
            return build_json_answer(
                200, {"events": events, "at": self.revision}
            )
        names = sorted(key for key in objects if key > query.get("after", ""))
        page = [objects[key] for key in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        return build_json_answer(
            200, {"items": page, "hasMore": more, "at": self.revision}
        )

    async def _watch(self, kind: str, after: int, wait_s: float) -> list:
        """Return the events of a kind after a revision, waiting for one."""

        async def find() -> list:
            while True:
                found = [
                    event
                    for revision, event_kind, event in self._events
                    if event_kind == kind and revision > after
                ]
                if found:
                    return found
                await self._changed.wait()

        try:
            return await wait_for(find(), wait_s)
        except TimeoutError:
            return []

    def _create(self, kind: str, body: dict) -> bytes:
        name = body["metadata"]["name"]
        known = self._objects.get(kind, {}).get(name)
        if known is not None:
            return build_json_answer(409, known)
        return build_json_answer(
            200, self.write(kind, name, body.get("specification"))
        )

    def _replace(self, kind: str, name: str, part: str, body: dict) -> bytes:
        known = self._objects.get(kind, {}).get(name)
        if known is None:
            return build_json_answer(404, {})
        expected = body.get("metadata", {}).get("revision")
        if expected not in (None, known["metadata"]["revision"]):
            return build_json_answer(409, known)
        specification, status = known["specification"], known["status"]
        if part == "status":
            status = body["status"]
        else:
            specification = body["specification"]
        return build_json_answer(
            200, self.write(kind, name, specification, status)
        )
