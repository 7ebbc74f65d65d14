"""Stand-in of a server (an upstream) with slots and a short queue."""

from asyncio import create_task
from asyncio import FIRST_COMPLETED
from asyncio import gather
from asyncio import Semaphore
from asyncio import Server as ListenerSocket
from asyncio import sleep
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import wait
from collections.abc import Callable
from dataclasses import dataclass

from standins.http import BROKEN
from standins.http import build_answer
from standins.http import Message
from standins.http import read_message
from standins.record import Record

HEALTH_PATH = "/health"
QUEUE_PER_SLOT = 3
ID_HEADER = "Gypsummount-Request-Id"
NOT_EXECUTED = {"Gypsummount-Not-Executed": "1"}


@dataclass(slots=True)
class Run:
    """One run of a request: when it began and ended (clock of the record, s).

    ``ended_at`` is None while it runs; ``is_answered`` tells whether the
    complete answer was written.
    """

    server: str
    request_id: str
    began_at: float
    ended_at: float | None = None
    is_answered: bool = False


class Server:
    """A sound server; ``work_s`` gives the time that a request takes.

    ``body_bytes`` is the size of a good answer's body.  ``runs`` lists all
    runs, in order.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        work_s: Callable[[], float],
        record: Record,
        body_bytes: int = 1500,
    ) -> None:
        self.name = name
        self.slots = slots
        self.body_bytes = body_bytes
        self.runs: list[Run] = []
        self._work_s = work_s
        self._record = record
        self._free = Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._listener: ListenerSocket | None = None
        self._writers: set[StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        """Serve requests at an address."""
        self._listener = await start_server(self._serve, host, port)

    def stop(self) -> None:
        """Stop at once: close the listener and all connections."""
        self._listener.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while request := await read_message(reader):
                if not await self._handle(request, reader, writer):
                    return
        except BROKEN:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: Message, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        """Answer one request; return False if its caller has left."""
        if request.target == HEALTH_PATH:
            headers = {"Gypsummount-Instance-Id": self.name}
            writer.write(build_answer(200, headers))
            await writer.drain()
            return True
        request_id = request.headers.get(ID_HEADER.lower(), "")
        expected = request.headers.get("gypsummount-expected-instance")
        if expected not in (None, self.name):
            headers = {ID_HEADER: request_id, **NOT_EXECUTED}
            writer.write(build_answer(421, headers))
            return True
        if self._waiting >= self.slots * QUEUE_PER_SLOT:
            headers = {ID_HEADER: request_id, **NOT_EXECUTED}
            writer.write(build_answer(503, headers))
            return True
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            return await self._run(request_id, reader, writer)

    async def _run(
        self, request_id: str, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        """Work on a request until it is done or its caller has left."""
        run = Run(self.name, request_id, self._record.now())
        self.runs.append(run)
        self._record.write(f"run {request_id} begins at {self.name}")
        self._running += 1
        try:
            is_done = await self._work(reader)
            if is_done:
                await self.write_answer(request_id, writer)
                run.is_answered = True
        finally:
            self._running -= 1
            run.ended_at = self._record.now()
            outcome = "is answered" if run.is_answered else "loses its caller"
            self._record.write(f"run {request_id} {outcome} at {self.name}")
        return is_done

    async def _work(self, reader: StreamReader) -> bool:
        """Wait for the work time; return False if the caller leaves first."""
        done = create_task(sleep(self._work_s()))
        left = create_task(reader.read(1))
        await wait({done, left}, return_when=FIRST_COMPLETED)
        has_left = left.done()
        done.cancel()
        left.cancel()
        await gather(done, left, return_exceptions=True)
        return not has_left

    async def write_answer(
        self, request_id: str, writer: StreamWriter
    ) -> None:
        """Write the good answer to a request."""
        headers = {
            ID_HEADER: request_id,
            "Gypsummount-Server-Stamp": f"stamp-{self.name}-{request_id}",
            "Gypsummount-Server-Load": f"{self._running},{self._waiting},"
            f"{self.slots}",
        }
        writer.write(build_answer(200, headers, b"x" * self.body_bytes))
        await writer.drain()
