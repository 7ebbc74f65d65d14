"""Stand-in of the platform's store, after PROTOCOL.md.

It keeps objects by kind and name with one revision counter, and answers
lists, watches and conditional writes over HTTP.  The operator and the
servers write to it by method calls.
"""

import asyncio
from functools import partial
from json import dumps
from json import loads
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

from review.standins2.http import build_message
from review.standins2.http import Message
from review.standins2.http import serve_connection

FIRST_REVISION = 100
PAGE_ITEMS = 500
MS_PER_S = 1000
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict"}

Object = dict[str, Any]


class Store:
    """The objects and their history; nothing is lost.

    ``answer_delay_s`` delays every answer, as a calm store takes some
    milliseconds.
    """

    def __init__(self, answer_delay_s: float = 0.004) -> None:
        self.revision = FIRST_REVISION
        self._objects: dict[str, dict[str, Object]] = {}
        self._events: list[tuple[int, str, Object, bool]] = []
        self._changed = asyncio.Event()
        self._answer_delay_s = answer_delay_s
        self._servers: list[asyncio.Server] = []

    async def listen(self, host: str, one_way_s: float = 0.0) -> str:
        """Listen on a free port of a loopback address; return the address.

        A call to it, and its answer, take ``one_way_s`` seconds each on the
        way, as between two regions.
        """
        answer = partial(self._answer_from_afar, one_way_s)
        server = await asyncio.start_server(
            lambda reader, writer: serve_connection(reader, writer, answer),
            host,
            0,
        )
        self._servers.append(server)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(
        self, kind: str, name: str, specification: Any, status: Any = None
    ) -> Object:
        """Create or replace an object; the return acknowledges it."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None:
            same = known["specification"] == specification
            if same and (status is None or known["status"] == status):
                return known
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": (
                    known["metadata"]["created"] if known else self.revision
                ),
                "finalizers": [],
                "deleting": False,
            },
            "specification": specification,
            "status": status if status is not None else _status_of(known),
        }
        self._objects[kind][name] = stored
        self._record(kind, stored, is_deleted=False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object; the return acknowledges it."""
        removed = self._objects.get(kind, {}).pop(name, None)
        if removed is None:
            return
        self.revision += 1
        metadata = {**removed["metadata"], "revision": self.revision}
        self._record(kind, {**removed, "metadata": metadata}, is_deleted=True)

    def find(self, kind: str, name: str) -> Object | None:
        """Return an object, or None."""
        return self._objects.get(kind, {}).get(name)

    def _record(self, kind: str, stored: Object, *, is_deleted: bool) -> None:
        self._events.append((self.revision, kind, stored, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer_from_afar(
        self, one_way_s: float, request: Message
    ) -> bytes:
        await asyncio.sleep(one_way_s)
        answer = await self._answer(request)
        await asyncio.sleep(one_way_s)
        return answer

    async def _answer(self, request: Message) -> bytes:
        await asyncio.sleep(self._answer_delay_s)
        parts = urlsplit(request.second.decode("ascii"))
        query = {
            name: values[-1] for name, values in parse_qs(parts.query).items()
        }
        path = [unquote(part) for part in parts.path.split("/")[3:]]
        if request.first == b"GET":
            return await self._read(path, query)
        return self._write(request, path, query)

    async def _read(self, path: list[str], query: dict[str, str]) -> bytes:
        if len(path) > 1:
            found = self.find(path[0], path[1])
            return self._encode(404 if found is None else 200, found or {})
        if "watch" in query:
            wait_s = int(query.get("waitMs", "0")) / MS_PER_S
            return await self._watch(path[0], int(query["watch"]), wait_s)
        found = self._objects.get(path[0], {})
        names = sorted(name for name in found if name > query.get("after", ""))
        page = [found[name] for name in names[:PAGE_ITEMS]]
        body = {
            "items": page,
            "hasMore": len(names) > PAGE_ITEMS,
            "at": self.revision,
        }
        return self._encode(200, body)

    async def _watch(self, kind: str, revision: int, wait_s: float) -> bytes:
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [
                {"object": stored, "deleted": is_deleted}
                for at, event_kind, stored, is_deleted in self._events
                if event_kind == kind and at > revision
            ]
            left_s = ends_at - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return self._encode(
                    200, {"events": events, "at": self.revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(
        self, request: Message, path: list[str], query: dict[str, str]
    ) -> bytes:
        body = loads(request.body) if request.body else {}
        metadata = body.get("metadata") or {}
        name = path[1] if len(path) > 1 else metadata.get("name", "")
        known = self.find(path[0], name)
        if request.first == b"POST":
            if known is not None:
                return self._encode(409, known)
            created = self.put(path[0], name, body.get("specification"))
            return self._encode(201, created)
        if known is None:
            return self._encode(404, {})
        expected = metadata.get("revision", query.get("revision"))
        if expected not in (None, known["metadata"]["revision"]):
            return self._encode(409, known)
        if request.first == b"DELETE":
            self.delete(path[0], name)
            return self._encode(200, known)
        if path[2:] == ["status"]:
            specification = known["specification"]
            return self._encode(
                200, self.put(path[0], name, specification, body.get("status"))
            )
        return self._encode(
            200, self.put(path[0], name, body["specification"])
        )

    def _encode(self, status: int, body: Any) -> bytes:
        headers = {"Content-Type": "application/json"}
        reason = REASONS.get(status, "Other")
        return build_message(
            f"HTTP/1.1 {status} {reason}".encode(),
            headers,
            dumps(body).encode(),
        )


def _status_of(known: Object | None) -> Any:
    return known["status"] if known is not None else None
