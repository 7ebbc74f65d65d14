"""Stand-in of a client: one attempt on a connection of its own."""

import asyncio
from dataclasses import dataclass
from itertools import count

from review.standins2.http import Message
from review.standins2.http import read_message
from review.standins2.record import Record

HOST = "jepu9.example"
KEY = "tnfzs989anu6wsjnbanf"
DEADLINE_MS = 2000
MS_PER_S = 1000
# Clients wait a little longer than their deadline for the last answer.
ANSWER_MARGIN_S = 0.5


@dataclass(slots=True)
class Attempt:
    """One attempt and its answer, None if the connection ended without."""

    request_id: str
    answer: Message | None

    @property
    def status(self) -> int:
        """Return the answer's status, 0 without an answer."""
        return self.answer.status if self.answer is not None else 0

    @property
    def is_served(self) -> bool:
        """Tell whether the answer is a success with a server's stamp."""
        if self.answer is None or self.answer.is_cut:
            return False
        if not 200 <= self.answer.status < 300:
            return False
        return "gypsummount-server-stamp" in self.answer.headers


class Client:
    """Sends attempts to one front address, each with an id of its own."""

    def __init__(
        self, address: str, record: Record, name: str, key: str = KEY
    ) -> None:
        self._key = key
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._record = record
        self._ids = (f"{name}-{number:05}" for number in count(1))

    async def send(
        self,
        method: bytes,
        target: bytes,
        framing: bytes = b"",
        body: bytes = b"",
    ) -> Attempt:
        """Send one attempt; ``framing`` are the header lines of its body."""
        request_id = next(self._ids)
        head = (
            method + b" " + target + b" HTTP/1.1\r\n"
            b"Host: " + HOST.encode() + b"\r\n"
            b"Gypsummount-Request-Id: " + request_id.encode() + b"\r\n"
            b"Gypsummount-Deadline-Milliseconds: "
            + str(DEADLINE_MS).encode()
            + b"\r\nApi-Key: "
            + self._key.encode()
            + b"\r\n"
            + framing
            + b"\r\n"
        )
        self._record.write(
            f"client sends {request_id} {method!r} {target!r} with the key "
            f"{self._key!r}, {len(body)} bytes after the head"
        )
        answer = await self._exchange(head + body)
        attempt = Attempt(request_id, answer)
        stamp = answer and answer.headers.get("gypsummount-server-stamp")
        self._record.write(
            f"client gets {attempt.status or 'no answer'} for {request_id}, "
            f"stamp {stamp or 'none'}"
        )
        return attempt

    async def _exchange(self, data: bytes) -> Message | None:
        limit_s = DEADLINE_MS / MS_PER_S + ANSWER_MARGIN_S
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(
                    self._host, self._port
                )
                writer.write(data)
                return await read_message(reader, is_answer=True)
        except (EOFError, OSError, TimeoutError):
            return None
        finally:
            if writer is not None:
                writer.close()
