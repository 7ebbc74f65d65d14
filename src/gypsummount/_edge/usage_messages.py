"""Datagrams with the instances' usage counts, and their answers."""

from dataclasses import dataclass
from json import dumps
from json import loads
from math import isfinite
from struct import error as StructError
from struct import Struct
from zlib import compress
from zlib import error as ZlibError

from gypsummount._common.compression import decompress_bounded
from gypsummount._common.decoding import DECODING_ERRORS
from gypsummount._core.usage import MAX_PARTS
from gypsummount._core.usage import NO_WINDOW
from gypsummount._core.usage import PART_SIZE
from gypsummount._core.usage import UsagePart
from gypsummount._core.usage_collection import SourceId
from gypsummount._core.usage_reports import check_counts
from gypsummount._core.usage_reports import MAX_WINDOW
from gypsummount.errors import RecordInvalid

COUNTS_MARK = b"\xffU"
ACK_MARK = b"\xffK"
NEWS_MARK = b"\xffN"
MARK_BYTES = 2
COMPRESSION_LEVEL = 1
MAX_TEXT_BYTES = 1 << 16
MAX_NAME_BYTES = 255
# Requests of one workspace in one window at one instance.
MAX_COUNT = 1 << 32
MAX_INCARNATION = 1 << 53
_FINAL = 1
_LAST = 2
_WANTS_ANSWER = 1
# Incarnation, highest recorded and settled window.
_NEWS = Struct("!QqqB")
# Window, time until which it counts, sequence, part, parts, flags.
_PART = Struct("!QdIHHB")
_ACK = Struct("!QIH")


@dataclass(slots=True, frozen=True)
class UsageNews:
    """What an instance knows of recorded and settled windows.

    An instance that ``wants_answer`` has just become the holder, and asks
    for what the others know.
    """

    source: SourceId
    recorded: int
    settled: int
    wants_answer: bool = False


@dataclass(slots=True, frozen=True)
class CountsMessage:
    """One part of the sender's counts, and what the sender knows."""

    news: UsageNews
    part: UsagePart


@dataclass(slots=True, frozen=True)
class AckMessage:
    """Acknowledges a part; ``news`` is that of the receiver of the part."""

    news: UsageNews
    window: int
    part: int
    sequence: int


def encode_news(news: UsageNews) -> bytes:
    """Return the windows that an instance knows as a datagram."""
    return NEWS_MARK + _pack_news(news)


def decode_news(data: bytes) -> UsageNews:
    """Return the windows that the sender of a datagram knows.

    :raises RecordInvalid: when it cannot be decoded.
    """
    try:
        return _unpack_news(data)[0]
    except (StructError, *DECODING_ERRORS) as error:
        raise _build_invalid(error) from None


def encode_counts(message: CountsMessage) -> bytes:
    """Return a part of the counts as a datagram."""
    part = message.part
    flags = (_FINAL if part.is_final else 0) | (_LAST if part.is_last else 0)
    head = _PART.pack(
        part.window,
        part.covered_until,
        part.sequence,
        part.part,
        part.parts,
        flags,
    )
    text = dumps(part.counts, separators=(",", ":"))
    body = compress(text.encode(), COMPRESSION_LEVEL)
    return COUNTS_MARK + _pack_news(message.news) + head + body


def decode_counts(data: bytes) -> CountsMessage:
    """Return the part of the counts in a datagram.

    :raises RecordInvalid: when it cannot be decoded.
    """
    try:
        news, offset = _unpack_news(data)
        window, covered_until, sequence, part, parts, flags = (
            _PART.unpack_from(data, offset)
        )
        body = data[offset + _PART.size :]
        counts = check_counts(
            loads(decompress_bounded(body, MAX_TEXT_BYTES)), MAX_COUNT
        )
        _check_part(window, covered_until, part, parts, counts)
    except (StructError, ZlibError, *DECODING_ERRORS) as error:
        raise _build_invalid(error) from None
    return CountsMessage(
        news,
        UsagePart(
            window,
            part,
            parts,
            sequence,
            covered_until,
            bool(flags & _FINAL),
            bool(flags & _LAST),
            counts,
        ),
    )


def encode_ack(message: AckMessage) -> bytes:
    """Return an acknowledgement as a datagram."""
    head = _ACK.pack(message.window, message.sequence, message.part)
    return ACK_MARK + _pack_news(message.news) + head


def decode_ack(data: bytes) -> AckMessage:
    """Return the acknowledgement in a datagram.

    :raises RecordInvalid: when it cannot be decoded.
    """
    try:
        news, offset = _unpack_news(data)
        window, sequence, part = _ACK.unpack_from(data, offset)
    except (StructError, *DECODING_ERRORS) as error:
        raise _build_invalid(error) from None
    return AckMessage(news, window, part, sequence)


def _pack_news(news: UsageNews) -> bytes:
    name = news.source.name.encode()
    if len(name) > MAX_NAME_BYTES:
        raise ValueError("the name of an instance is too long")
    head = _NEWS.pack(
        news.source.incarnation,
        news.recorded,
        news.settled,
        _WANTS_ANSWER if news.wants_answer else 0,
    )
    return head + bytes((len(name),)) + name


def _unpack_news(data: bytes) -> tuple[UsageNews, int]:
    """Return the news in a datagram and where the rest begins."""
    incarnation, recorded, settled, flags = _NEWS.unpack_from(data, MARK_BYTES)
    begins = MARK_BYTES + _NEWS.size + 1
    # Raises ValueError if the datagram ends before the name.
    (length,) = data[begins - 1 : begins]
    ends = begins + length
    if not begins < ends <= len(data):
        raise ValueError("the name is missing")
    if incarnation > MAX_INCARNATION:
        raise ValueError("the incarnation is out of range")
    for window in (recorded, settled):
        if not NO_WINDOW <= window <= MAX_WINDOW:
            raise ValueError("a window is out of range")
    name = data[begins:ends].decode()
    source = SourceId(name, incarnation)
    return UsageNews(source, recorded, settled, bool(flags)), ends


def _check_part(
    window: int,
    covered_until: float,
    part: int,
    parts: int,
    counts: dict[str, int],
) -> None:
    """Check the head of a part.

    :raises ValueError: when a number is out of range.
    """
    if window > MAX_WINDOW or not isfinite(covered_until):
        raise ValueError("a window or time is out of range")
    if not part < parts <= MAX_PARTS or len(counts) > PART_SIZE:
        raise ValueError("a part is out of range")


def _build_invalid(error: Exception) -> RecordInvalid:
    return RecordInvalid(
        f"a usage message cannot be decoded ({error!r}); check which program "
        "sends to the gossip port"
    )
