"""Requests to dispatchers that wait for their answers."""

from asyncio import Future
from asyncio import get_running_loop
from dataclasses import dataclass
from random import getrandbits

from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.backends import Need
from gypsummount._edge.dispatch_messages import Answer
from gypsummount._edge.dispatch_messages import AnswerKind
from gypsummount._edge.dispatch_messages import decode_answer
from gypsummount._edge.dispatch_messages import DispatchRequest
from gypsummount._edge.dispatch_messages import encode_request
from gypsummount._edge.dispatch_messages import MAX_BYTES
from gypsummount._edge.dispatcher import Sender
from gypsummount._edge.tokens import NUMBER_BITS
from gypsummount._edge.tokens import REQUEST_TIMEOUTS_S

# A queued request asks again after this time, so that a lost answer or a
# lost dispatcher is noticed.
QUEUED_REPEAT_S = 0.2


@dataclass(slots=True)
class PendingRequest:
    """A request; ``is_heard`` tells that it was queued since last sent."""

    number: int
    host: str
    need: Need
    tried: frozenset[str]
    deadline: float
    answer: Answer | None = None
    is_heard: bool = False
    waiting: Future[None] | None = None


class PendingRequests:
    """Sends requests, repeats lost messages and hands out the answers.

    ``asked`` counts the requests, ``answered`` those that got an upstream
    or a refusal, ``queued`` those that waited, and ``timed_out`` those that
    got no answer.
    """

    def __init__(self, send: Sender) -> None:
        self._send = send
        self._open: dict[int, PendingRequest] = {}
        # Numbers of an earlier start of this instance are not used again.
        self._number = getrandbits(NUMBER_BITS)
        self.asked = 0
        self.answered = 0
        self.queued = 0
        self.timed_out = 0

    def take_number(self) -> int:
        """Return a number that no other request has."""
        self._number += 1
        return self._number

    def is_open(self, number: int) -> bool:
        """Tell whether a request waits for the answer with a number."""
        return number in self._open

    def open(
        self, host: str, need: Need, tried: frozenset[str], deadline: float
    ) -> PendingRequest | None:
        """Send a request; return None if it does not fit into a packet."""
        number = self.take_number()
        pending = PendingRequest(number, host, need, tried, deadline)
        data = self._encode(pending, read_monotonic())
        if len(data) > MAX_BYTES:
            return None
        self.asked += 1
        self._open[number] = pending
        self._send(data, host)
        return pending

    def close(self, pending: PendingRequest) -> None:
        """Forget a request; a later answer to it is a late one."""
        del self._open[pending.number]

    async def wait(self, pending: PendingRequest) -> Answer | None:
        """Return the answer, or None if none comes in time."""
        unanswered = 0
        was_queued = False
        while True:
            timeout_s = REQUEST_TIMEOUTS_S[unanswered]
            if not await self._wait_once(pending, timeout_s):
                if not pending.is_heard:
                    unanswered += 1
                elif not await self._wait_once(pending, QUEUED_REPEAT_S):
                    unanswered = 0
            was_queued = was_queued or pending.is_heard
            now = read_monotonic()
            if pending.answer is not None:
                self.answered += 1
                self.queued += was_queued
                return pending.answer
            if now >= pending.deadline:
                return None
            if unanswered >= len(REQUEST_TIMEOUTS_S):
                self.timed_out += 1
                return None
            pending.is_heard = False
            self._send(self._encode(pending, now), pending.host)

    def receive(self, data: bytes, host: str) -> Answer:
        """Hand an answer to the request that waits for it, if any.

        :raises RecordInvalid: when it cannot be decoded.
        """
        answer = decode_answer(data)
        pending = self._open.get(answer.number)
        if pending is None or pending.host != host:
            return answer
        if answer.kind is AnswerKind.QUEUED:
            pending.is_heard = True
        elif pending.answer is None:
            pending.answer = answer
            _wake(pending.waiting)
        return answer

    async def _wait_once(self, pending: PendingRequest, span_s: float) -> bool:
        """Wait for the answer; return whether it has come."""
        if pending.answer is not None:
            return True
        left_s = pending.deadline - read_monotonic()
        loop = get_running_loop()
        waiting: Future[None] = loop.create_future()
        pending.waiting = waiting
        timer = loop.call_later(max(0.0, min(span_s, left_s)), _wake, waiting)
        try:
            await waiting
        finally:
            timer.cancel()
        return pending.answer is not None

    def _encode(self, pending: PendingRequest, now: float) -> bytes:
        need = pending.need
        request = DispatchRequest(
            pending.number,
            need,
            pending.tried,
            max(0.0, pending.deadline - now),
        )
        return encode_request(request, need.due_at - now)


def _wake(waiting: Future[None] | None) -> None:
    if waiting is not None and not waiting.done():
        waiting.set_result(None)
