"""Datagrams by which instances ask a dispatcher for upstreams.

A request takes three: the request, its answer, and the release when the
exchange has ended.  An answer also acknowledges earlier releases.
"""

from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache
from math import isfinite
from struct import error as StructError
from struct import Struct

from gypsummount._edge.backends import Need
from gypsummount._edge.selector import ExchangeEnd
from gypsummount._edge.selector import ExchangeResult
from gypsummount._edge.wire import LoadReport
from gypsummount.errors import RecordInvalid

REQUEST_MARK = b"\xffD"
ANSWER_MARK = b"\xffO"
RELEASE_MARK = b"\xffE"
HELD_MARK = b"\xffH"
MARK_BYTES = 2
# Datagrams up to this size fit into one packet.
MAX_BYTES = 1200
MAX_ACKNOWLEDGED = 8
MAX_HELD = 24
MAX_SPAN_S = 3600.0
MAX_COUNT = 0xFFFF
MAX_BODY_CLASS = 0xFF
MAX_SPEED_FIGURE = 100_000
MAX_RANK = 0x7FFFFFFF
_REQUEST = Struct("!QIifffB?H")
_ANSWER = Struct("!QIBHffB")
_RELEASE = Struct("!QBBfHHIf")
_HELD = Struct("!QIfH")
_LENGTH = Struct("!H")
_NUMBER = Struct("!Q")
_FIELD = "\x1f"
_ITEM = "\x1e"
_HAS_LOAD = 1
_HAS_SPEED = 2
_IS_LEAVING = 4
_HAS_RETRY = 8


class AnswerKind(IntEnum):
    """What a dispatcher answers."""

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2
    # The instance does not dispatch, as it stops or lacks the service.
    UNAVAILABLE = 3


@dataclass(slots=True, frozen=True)
class DispatchRequest:
    """Asks for an upstream.

    ``number`` identifies the request at its sender.  ``remaining_s`` is its
    remaining time.  ``need`` has times relative to its arrival.
    """

    number: int
    need: Need
    tried: frozenset[str]
    remaining_s: float


@dataclass(slots=True, frozen=True)
class Answer:
    """A dispatcher's answer to the request with a number.

    ``incarnation`` differs after each start of the dispatcher.
    ``acknowledged`` are the numbers of requests whose releases have arrived.
    """

    number: int
    incarnation: int
    kind: AnswerKind
    upstream: str = ""
    position: int = 0
    load: float = 0.0
    retry_after_s: float = 0.0
    acknowledged: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class Held:
    """An upstream that a request holds, for ``remaining_s`` at most."""

    number: int
    object_hash: int
    remaining_s: float
    upstream: str


def encode_request(request: DispatchRequest, due_in_s: float) -> bytes:
    """Return a request as a datagram; ``due_in_s`` replaces the due time."""
    need = request.need
    scope = _encode_scope(
        need.service, need.route, need.versions, need.regions
    )
    scope += (_FIELD + need.workspace).encode()
    head = _REQUEST.pack(
        request.number,
        need.object_hash,
        max(-MAX_RANK, min(MAX_RANK, need.rank)),
        _limit(request.remaining_s),
        _limit(due_in_s),
        _limit(need.objective_s),
        min(MAX_BODY_CLASS, need.body_class),
        need.is_returning,
        len(scope),
    )
    tried = _FIELD.join(request.tried).encode() if request.tried else b""
    return REQUEST_MARK + head + scope + tried


def decode_request(data: bytes) -> DispatchRequest:
    """Return the request in a datagram; its due time is relative.

    :raises RecordInvalid: when it cannot be decoded.
    """
    try:
        (
            number,
            object_hash,
            rank,
            remaining_s,
            due_in_s,
            objective_s,
            body_class,
            is_returning,
            size,
        ) = _REQUEST.unpack_from(data, MARK_BYTES)
        start = MARK_BYTES + _REQUEST.size
        if start + size > len(data):
            raise ValueError("it is cut off")
        # The workspace is last, as it has the most values.
        scope_data, _, name = data[start : start + size].rpartition(
            _FIELD.encode()
        )
        scope = _decode_scope(scope_data)
        workspace = name.decode()
        text = data[start + size :].decode()
    except (StructError, ValueError) as error:
        raise _build_invalid(error) from None
    _check_spans(remaining_s, objective_s)
    if not isfinite(due_in_s):
        raise _build_invalid(ValueError("its due time is no number"))
    service, route, versions, regions = scope
    need = Need(
        service,
        versions,
        regions,
        object_hash,
        rank,
        due_in_s,
        objective_s,
        route,
        workspace,
        body_class,
        is_returning,
    )
    tried = frozenset(text.split(_FIELD)) if text else frozenset()
    return DispatchRequest(number, need, tried, remaining_s)


def encode_answer(answer: Answer) -> bytes:
    """Return an answer as a datagram."""
    acknowledged = answer.acknowledged[:MAX_ACKNOWLEDGED]
    head = _ANSWER.pack(
        answer.number,
        answer.incarnation,
        answer.kind,
        min(MAX_COUNT, answer.position),
        answer.load,
        _limit(answer.retry_after_s),
        len(acknowledged),
    )
    numbers = b"".join(map(_NUMBER.pack, acknowledged))
    return ANSWER_MARK + head + numbers + answer.upstream.encode()


def decode_answer(data: bytes) -> Answer:
    """Return the answer in a datagram.

    :raises RecordInvalid: when it cannot be decoded.
    """
    try:
        number, incarnation, kind, position, load, retry_after_s, count = (
            _ANSWER.unpack_from(data, MARK_BYTES)
        )
        start = MARK_BYTES + _ANSWER.size
        end = start + count * _NUMBER.size
        acknowledged = tuple(
            _NUMBER.unpack_from(data, at)[0]
            for at in range(start, end, _NUMBER.size)
        )
        upstream = data[end:].decode()
        kind = AnswerKind(kind)
    except (StructError, ValueError) as error:
        raise _build_invalid(error) from None
    _check_spans(load, retry_after_s)
    return Answer(
        number,
        incarnation,
        kind,
        upstream,
        position,
        load,
        retry_after_s,
        acknowledged,
    )


def encode_release(number: int, result: ExchangeResult) -> bytes:
    """Return the end of a request as a datagram."""
    load = result.load
    flags = _IS_LEAVING if result.is_leaving else 0
    if result.retry_after_s is not None:
        flags |= _HAS_RETRY
    running = waiting = speed = 0
    if load is not None:
        flags |= _HAS_LOAD
        running = min(MAX_COUNT, load.running)
        waiting = min(MAX_COUNT, load.waiting)
        if load.speed is not None:
            flags |= _HAS_SPEED
            speed = min(MAX_SPEED_FIGURE, load.speed)
    return RELEASE_MARK + _RELEASE.pack(
        number,
        result.end,
        flags,
        _limit(result.duration_s),
        running,
        waiting,
        speed,
        _limit(result.retry_after_s or 0.0),
    )


def decode_release(data: bytes) -> tuple[int, ExchangeResult]:
    """Return the number of a request and what its exchange showed.

    :raises RecordInvalid: when the datagram cannot be decoded.
    """
    try:
        number, end, flags, duration_s, running, waiting, speed, retry_s = (
            _RELEASE.unpack_from(data, MARK_BYTES)
        )
        end = ExchangeEnd(end)
    except (StructError, ValueError) as error:
        raise _build_invalid(error) from None
    _check_spans(duration_s, retry_s)
    if speed > MAX_SPEED_FIGURE:
        raise _build_invalid(ValueError(f"{speed} is out of range"))
    load = None
    if flags & _HAS_LOAD:
        load = LoadReport(
            running, waiting, speed if flags & _HAS_SPEED else None
        )
    return number, ExchangeResult(
        end,
        duration_s,
        load,
        bool(flags & _IS_LEAVING),
        retry_s if flags & _HAS_RETRY else None,
    )


def encode_held(service: str, held: list[Held]) -> bytes:
    """Return up to :data:`MAX_HELD` upstreams in use as a datagram."""
    parts = [HELD_MARK, _encode_text(service)]
    for item in held[:MAX_HELD]:
        name = item.upstream.encode()
        parts.append(
            _HELD.pack(
                item.number,
                item.object_hash,
                _limit(item.remaining_s),
                len(name),
            )
        )
        parts.append(name)
    return b"".join(parts)


def decode_held(data: bytes) -> tuple[str, list[Held]]:
    """Return a service and the upstreams that requests for it hold.

    :raises RecordInvalid: when the datagram cannot be decoded.
    """
    try:
        start = MARK_BYTES + _LENGTH.size
        at = start + _LENGTH.unpack_from(data, MARK_BYTES)[0]
        service = data[start:at].decode()
        held = []
        while at < len(data):
            number, object_hash, remaining_s, size = _HELD.unpack_from(
                data, at
            )
            at += _HELD.size
            if at + size > len(data):
                raise ValueError("it is cut off")
            name = data[at : at + size].decode()
            at += size
            _check_spans(remaining_s)
            held.append(Held(number, object_hash, remaining_s, name))
    except (StructError, ValueError) as error:
        raise _build_invalid(error) from None
    return service, held[:MAX_HELD]


def _encode_text(text: str) -> bytes:
    data = text.encode()
    return _LENGTH.pack(len(data)) + data


# A deployment has few combinations; both caches are bounded.
@lru_cache(maxsize=512)
def _encode_scope(
    service: str,
    route: str,
    versions: frozenset[str],
    regions: frozenset[str],
) -> bytes:
    return _FIELD.join(
        (
            service,
            route,
            _ITEM.join(sorted(versions)),
            _ITEM.join(sorted(regions)),
        )
    ).encode()


@lru_cache(maxsize=512)
def _decode_scope(
    data: bytes,
) -> tuple[str, str, frozenset[str], frozenset[str]]:
    service, route, versions, regions = data.decode().split(_FIELD)
    return (
        service,
        route,
        frozenset(versions.split(_ITEM)) if versions else frozenset(),
        frozenset(regions.split(_ITEM)) if regions else frozenset(),
    )


def _limit(span_s: float) -> float:
    return max(-MAX_SPAN_S, min(MAX_SPAN_S, span_s))


def _check_spans(*spans: float) -> None:
    """Check times and loads.

    :raises RecordInvalid: when one is negative, huge or no number.
    """
    for span in spans:
        if not 0.0 <= span <= MAX_SPAN_S:
            raise _build_invalid(ValueError(f"{span} is out of range"))


def _build_invalid(error: Exception) -> RecordInvalid:
    return RecordInvalid(
        f"a dispatch message cannot be decoded ({error!r}); check which "
        "program sends to the gossip port"
    )
