"""The dispatcher's side: upstreams for the requests of other instances."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Task
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from random import getrandbits

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._core.dispatchers import compute_lease
from gypsummount._core.dispatchers import GrantKey
from gypsummount._core.dispatchers import GrantTable
from gypsummount._edge.backends import Need
from gypsummount._edge.dispatch_messages import Answer
from gypsummount._edge.dispatch_messages import AnswerKind
from gypsummount._edge.dispatch_messages import decode_held
from gypsummount._edge.dispatch_messages import decode_release
from gypsummount._edge.dispatch_messages import decode_request
from gypsummount._edge.dispatch_messages import DispatchRequest
from gypsummount._edge.dispatch_messages import encode_answer
from gypsummount._edge.dispatch_messages import Held
from gypsummount._edge.dispatch_messages import MAX_ACKNOWLEDGED
from gypsummount._edge.dispatch_results import record_result
from gypsummount._edge.selection import Selection
from gypsummount._edge.waiting import Pick
from gypsummount.errors import NoCapacity

# Requests of others that wait here at most, over all services.
MAX_WAITING_REQUESTS = 1024
# Instances whose releases are acknowledged.
MAX_HOSTS = 1024
# Requests that arrive this long after the last update were sent while this
# process was frozen or overloaded: whoever sent them selects by itself.
FREEZE_GAP_S = 0.5
INCARNATION_BITS = 32
LINES_PER_S = 1.0

_log = get_logger("dispatch")

Sender = Callable[[bytes, str], None]


@dataclass(slots=True, frozen=True)
class _Granted:
    pick: Pick
    need: Need


class Dispatcher:
    """Selects upstreams for the requests of other instances.

    They pass through the same selection and queue as this instance's own.
    ``granted`` and ``queued`` count the requests that got an upstream and
    those that had to wait.
    """

    def __init__(self, selection: Selection, send: Sender) -> None:
        self._selection = selection
        self._send = send
        self._incarnation = getrandbits(INCARNATION_BITS)
        self._names: dict[str, str] = {}
        self._waiting: dict[GrantKey, Task[None]] = {}
        self._table: GrantTable[_Granted] = GrantTable()
        self._released: OrderedDict[str, list[int]] = OrderedDict()
        self._is_stopping = False
        self._updated_at = read_monotonic()
        self._lines = LineLimiter(LINES_PER_S, self._updated_at)
        self.granted = 0
        self.queued = 0

    @property
    def expired(self) -> int:
        """Return how many grants were neither released nor renewed."""
        return self._table.expired

    @property
    def in_use(self) -> int:
        """Return how many grants are in use."""
        return len(self._table)

    def set_names(self, names: dict[str, str]) -> None:
        """Set the names of the instances that may request, by host."""
        self._names = names

    def update(self, now: float) -> None:
        """Free the upstreams of grants whose lease has expired."""
        self._updated_at = now
        expired = self._table.end_expired(now)
        for granted in expired:
            self._selection.release(granted.pick.backend, granted.pick)
        if expired and self._lines.try_take(now):
            _log.info(
                "Grants have expired without a release.",
                extra={"count": len(expired), "left_out": self._lines.dropped},
            )

    def stop(self) -> None:
        """Answer all that wait, and all later requests, as unavailable."""
        self._is_stopping = True
        for task in self._waiting.values():
            task.cancel()

    def receive_request(self, data: bytes, host: str) -> None:
        """Answer a request; a repeated one gets the same answer.

        :raises RecordInvalid: when it cannot be decoded.
        """
        request = decode_request(data)
        key = (host, request.number)
        now = read_monotonic()
        if self._is_stopping:
            self._answer(key, AnswerKind.UNAVAILABLE)
        elif key in self._waiting:
            self._answer(key, AnswerKind.QUEUED)
        elif (granted := self._table.find(key)) is not None:
            self._answer_granted(key, granted)
        elif self._table.has_ended(key):
            self._answer_ended(key)
        elif now - self._updated_at <= FREEZE_GAP_S:
            self._begin(key, request, now)

    def receive_release(self, data: bytes, host: str) -> None:
        """Free the upstream of a request, and learn from its exchange.

        :raises RecordInvalid: when it cannot be decoded.
        """
        number, result = decode_release(data)
        key = (host, number)
        task = self._waiting.pop(key, None)
        granted = self._table.end(key)
        self._acknowledge(key)
        if task is not None:
            task.cancel()
        if granted is not None:
            self._selection.release(granted.pick.backend, granted.pick)
            record_result(self._selection, granted.need, granted.pick, result)

    def receive_held(self, data: bytes, host: str) -> None:
        """Renew grants, and record those of an earlier dispatcher.

        :raises RecordInvalid: when they cannot be decoded.
        """
        service, held = decode_held(data)
        now = read_monotonic()
        for item in held:
            key = (host, item.number)
            expires_at = now + compute_lease(item.remaining_s)
            if not self._table.renew(key, expires_at):
                self._adopt(key, service, item, expires_at, now)

    def _adopt(
        self,
        key: GrantKey,
        service: str,
        item: Held,
        expires_at: float,
        now: float,
    ) -> None:
        """Record a grant that this instance did not give."""
        if self._table.has_ended(key) or self._table.is_full:
            return
        backend = self._selection.find_backend(item.upstream)
        if backend is None or backend.record.service != service:
            return
        if key in self._waiting:
            return
        load = backend.load
        load.record_start(now)
        # Only the object is known of such a request.
        need = Need(
            service, frozenset(), frozenset(), item.object_hash, 0, now, 0.0
        )
        granted = _Granted(Pick(backend, 0, float(load.in_flight)), need)
        self._table.add(key, granted, expires_at)

    def _begin(
        self, key: GrantKey, request: DispatchRequest, now: float
    ) -> None:
        if not self._selection.knows(request.need.service):
            self._answer(key, AnswerKind.UNAVAILABLE)
            return
        if len(self._waiting) >= MAX_WAITING_REQUESTS or self._table.is_full:
            self._answer(key, AnswerKind.UNAVAILABLE)
            return
        need = replace(
            request.need,
            due_at=now + request.need.due_at,
            sender=self._names.get(key[0], key[0]),
        )
        deadline = now + request.remaining_s
        task = create_task(self._select(key, need, request.tried, deadline))
        self._waiting[key] = task
        # The task runs its first step before this call.
        get_running_loop().call_soon(self._check_queued, key, task)

    def _check_queued(self, key: GrantKey, task: Task[None]) -> None:
        if not task.done() and self._waiting.get(key) is task:
            self.queued += 1
            self._answer(key, AnswerKind.QUEUED)

    async def _select(
        self,
        key: GrantKey,
        need: Need,
        tried: frozenset[str],
        deadline: float,
    ) -> None:
        try:
            pick = await self._selection.acquire(need, tried, deadline)
        except NoCapacity as error:
            self._table.end(key, error.retry_after_s)
            self._answer_ended(key)
            return
        except CancelledError:
            if self._is_stopping and key in self._waiting:
                self._answer(key, AnswerKind.UNAVAILABLE)
            raise
        finally:
            self._waiting.pop(key, None)
        granted = _Granted(pick, need)
        now = read_monotonic()
        self._table.add(key, granted, now + compute_lease(deadline - now))
        self.granted += 1
        self._answer_granted(key, granted)

    def _answer_granted(self, key: GrantKey, granted: _Granted) -> None:
        pick = granted.pick
        self._answer(
            key,
            AnswerKind.GRANTED,
            upstream=pick.backend.record.name,
            position=pick.position,
            load=pick.load,
        )

    def _answer_ended(self, key: GrantKey) -> None:
        """Answer a request that was refused; one that ended gets none."""
        retry_after_s = self._table.get_refusal(key)
        if retry_after_s is not None:
            self._answer(key, AnswerKind.REFUSED, retry_after_s=retry_after_s)

    def _answer(self, key: GrantKey, kind: AnswerKind, **values) -> None:
        host, number = key
        acknowledged = self._take_acknowledged(host)
        answer = Answer(
            number,
            self._incarnation,
            kind,
            acknowledged=acknowledged,
            **values,
        )
        self._send(encode_answer(answer), host)

    def _acknowledge(self, key: GrantKey) -> None:
        """Acknowledge a release with the next answer."""
        host, number = key
        numbers = self._released.setdefault(host, [])
        numbers.append(number)
        del numbers[:-MAX_ACKNOWLEDGED]
        if len(self._released) > MAX_HOSTS:
            self._released.popitem(last=False)

    def _take_acknowledged(self, host: str) -> tuple[int, ...]:
        numbers = self._released.pop(host, None)
        return tuple(numbers) if numbers else ()
