"""Stand-in of a client that keeps its connection between requests."""

from asyncio import open_connection
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import wait_for
from dataclasses import dataclass

from standins.http import BROKEN
from standins.http import build_request
from standins.http import Message
from standins.http import read_message
from standins.record import Record

CALL_TIMEOUT_S = 1.0
# What a client allows beyond its deadline before it gives a request up.
PATIENCE_S = 0.5
COMPLETE = "complete"
CUT = "cut"
UNANSWERED = "unanswered"


@dataclass(slots=True)
class Attempt:
    """One client attempt; times are those of the record (s).

    ``outcome`` is ``complete`` with a status, ``cut`` if the connection
    ended without a complete answer, or ``unanswered`` at the deadline.
    """

    request_id: str
    machine: str
    sent_at: float
    ended_at: float = 0.0
    outcome: str = UNANSWERED
    status: int = 0


async def call(host: str, port: int, target: str) -> Message | None:
    """Return the answer to a GET on a new connection, None without one."""
    try:
        reader, writer = await wait_for(
            open_connection(host, port), CALL_TIMEOUT_S
        )
    except (OSError, TimeoutError):
        return None
    try:
        writer.write(build_request("GET", target, {"Host": host}))
        return await wait_for(read_message(reader), CALL_TIMEOUT_S)
    except (*BROKEN, TimeoutError):
        return None
    finally:
        writer.close()


class Client:
    """Sends requests to one machine over one connection that it keeps."""

    def __init__(
        self,
        record: Record,
        machine: str,
        host: str,
        port: int,
        headers: dict[str, str],
    ) -> None:
        self._record = record
        self._machine = machine
        self.address = (host, port)
        self._headers = headers
        self.reader: StreamReader | None = None
        self.writer: StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection.

        :raises OSError: when the machine does not accept it.
        """
        self.reader, self.writer = await open_connection(*self.address)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def send(
        self,
        method: str,
        target: str,
        request_id: str,
        deadline_s: float,
        body: bytes = b"",
    ) -> Attempt:
        """Send a request and read its whole answer."""
        headers = {
            **self._headers,
            "Gypsummount-Request-Id": request_id,
            "Gypsummount-Deadline-Milliseconds": str(int(deadline_s * 1000)),
        }
        attempt = Attempt(request_id, self._machine, self._record.now())
        self._record.write(f"request {request_id} goes to {self._machine}")
        try:
            answer = await wait_for(
                self.exchange(build_request(method, target, headers, body)),
                deadline_s + PATIENCE_S,
            )
            self._judge(attempt, answer)
        except TimeoutError:
            attempt.outcome = UNANSWERED
        except BROKEN:
            attempt.outcome = CUT
        if attempt.outcome != COMPLETE:
            self.close()
        attempt.ended_at = self._record.now()
        self._record.write(
            f"request {request_id} is {attempt.outcome}, "
            f"status {attempt.status}"
        )
        return attempt

    async def exchange(self, request: bytes) -> Message | None:
        """Write a request and return its answer, None if there is none."""
        self.writer.write(request)
        return await self.read_answer(self.reader)

    async def read_answer(self, reader: StreamReader) -> Message | None:
        """Return the answer, None if the connection ended before it."""
        return await read_message(reader)

    def _judge(self, attempt: Attempt, answer: Message | None) -> None:
        if answer is None:
            attempt.outcome = CUT
            return
        attempt.outcome = COMPLETE
        attempt.status = answer.status
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
