"""Stand-in of a server of a service, after PROTOCOL.md.

It registers itself in the store, renews its entry, answers the health path
and runs requests.  A case may replace :meth:`Server.run`.
"""

import asyncio
from dataclasses import dataclass
from time import time

from review.standins2.http import build_message
from review.standins2.http import Message
from review.standins2.http import serve_connection
from review.standins2.record import Record
from review.standins2.store import Store

HEARTBEAT_S = 1.5
WORK_S = 0.02
SLOTS = 9
MS_PER_S = 1000
REASONS = {200: "OK", 421: "Misdirected Request", 503: "Unavailable"}


@dataclass(slots=True)
class Run:
    """A request that the server has run; times are Unix seconds."""

    request_id: str
    method: bytes
    target: bytes
    body: bytes
    at: float


class Server:
    """One server; ``runs`` are the requests that it has run."""

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str
    ) -> None:
        self.name = name
        self.zone = zone
        self.state = "ready"
        self.runs: list[Run] = []
        self._store = store
        self._record = record
        self._service = service
        self._born = int(time() * MS_PER_S)
        self._sequence = 0
        self._running = 0
        self._address = ""
        self._server: asyncio.Server | None = None
        self._heart: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port, register and renew the entry."""
        self._server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self._address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._heart = asyncio.create_task(self._beat())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        await serve_connection(reader, writer, self._answer)

    def stop(self) -> None:
        """End the server; its entry stays until it is removed."""
        if self._heart is not None:
            self._heart.cancel()
        if self._server is not None:
            self._server.close()

    def write_entry(self) -> None:
        """Write the entry; the store acknowledges it at once."""
        self._sequence += 1
        self._store.put("servers", self.name, self.describe())

    def describe(self) -> dict:
        """Return the specification of the entry."""
        return {
            "service": self._service,
            "address": self._address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingS": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _answer(self, request: Message) -> bytes | None:
        if request.second == b"/health":
            return self.build(200, "", {"Gypsummount-Instance-Id": self.name})
        request_id = request.headers.get("gypsummount-request-id", "")
        expected = request.headers.get("gypsummount-expected-instance")
        if expected not in (None, self.name):
            return self.build(421, request_id)
        self._running += 1
        try:
            return await self.run(request, request_id)
        finally:
            self._running -= 1

    async def run(self, request: Message, request_id: str) -> bytes | None:
        """Run a request and return its answer."""
        self.note_run(request, request_id)
        await asyncio.sleep(WORK_S)
        return self.build(200, request_id, body=b"done")

    def note_run(self, request: Message, request_id: str) -> None:
        """Record that a request runs here."""
        run = Run(
            request_id, request.first, request.second, request.body, time()
        )
        self.runs.append(run)
        self._record.write(
            f"server {self.name} ({self.zone}) runs {request_id} "
            f"{run.method!r} {run.target!r} body of {len(run.body)} bytes"
        )

    def build(
        self,
        status: int,
        request_id: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> bytes:
        """Return an answer with the headers that every answer has."""
        lines = dict(headers or {})
        if request_id:
            lines["Gypsummount-Request-Id"] = request_id
            lines["Gypsummount-Server-Stamp"] = f"{self.name}.{request_id}"
        lines["Gypsummount-Server-Load"] = f"{self._running},0,{SLOTS}"
        first = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"
        return build_message(first.encode(), lines, body)
