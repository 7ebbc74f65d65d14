"""Removal of keys and hop-by-hop headers from requests and answers."""

from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import unquote_plus

from gypsummount._core.keys import KEY_PATTERN
from gypsummount.errors import RequestInvalid

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
KEY_HEADERS = frozenset(("authorization", "x-api-key"))
# Headers that the entry sets itself; those of a caller are dropped as forged.
SET_BY_ENTRY = frozenset(("x-deadline-ms", "x-request-id", "x-workspace"))
# Headers of an upstream's answer that only the entry reads.
READ_BY_ENTRY = frozenset(
    ("x-request-id", "x-upstream-load", "x-upstream-state")
)
OWN_PREFIX = "gypsummount-"
# A text with this many layers of percent-encoding counts as holding a key.
MAX_ENCODING_LAYERS = 4


@dataclass(slots=True, frozen=True)
class Header:
    """Name and value of one header line."""

    name: str
    value: str


def clean_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that may be sent to an upstream.

    Removes hop-by-hop headers, headers that the entry sets itself, and
    every header that holds a key.  Cookies without a key are kept.
    """
    lines = list(headers)
    connection_names = _list_connection_names(lines)
    kept = []
    for line in lines:
        name = line.name.lower()
        if (
            name in HOP_BY_HOP
            or name in KEY_HEADERS
            or name in connection_names
        ):
            continue
        if name in SET_BY_ENTRY or name.startswith(OWN_PREFIX):
            continue
        if holds_key(line.name):
            continue
        if name == "cookie":
            line = Header(line.name, clean_cookie(line.value))
            if not line.value:
                continue
        if holds_key(line.value):
            continue
        kept.append(line)
    return kept


def clean_answer_headers(headers: Iterable[Header]) -> list[Header]:
    """Return an upstream's headers that may be sent to the caller."""
    lines = list(headers)
    connection_names = _list_connection_names(lines)
    return [
        line
        for line in lines
        if line.name.lower() not in HOP_BY_HOP
        and line.name.lower() not in connection_names
        and line.name.lower() not in READ_BY_ENTRY
        and not line.name.lower().startswith(OWN_PREFIX)
    ]


def clean_cookie(value: str) -> str:
    """Return a cookie header's value without cookies that hold a key."""
    parts = [part.strip() for part in value.split(";")]
    return "; ".join(part for part in parts if not holds_key(part))


def clean_query(query: str) -> str:
    """Return a query string without the arguments that hold a key."""
    parts = query.split("&")
    return "&".join(part for part in parts if not holds_key(part))


def check_path(path: str) -> None:
    """Check that a path holds no key.

    :raises RequestInvalid: if it does; the text says where to send it.
    """
    if holds_key(path):
        raise RequestInvalid(
            "the path holds a key; send it as 'Authorization: Bearer KEY'"
        )


def holds_key(text: str) -> bool:
    """Tell whether a text holds a key, plain or percent-encoded.

    A text with :data:`MAX_ENCODING_LAYERS` or more layers of percent-encoding
    counts as holding a key.
    """
    for _ in range(MAX_ENCODING_LAYERS):
        if KEY_PATTERN.search(text):
            return True
        decoded = unquote_plus(text)
        if decoded == text:
            return False
        text = decoded
    return True


def _list_connection_names(lines: list[Header]) -> set[str]:
    return {
        name.strip().lower()
        for line in lines
        if line.name.lower() == "connection"
        for name in line.value.split(",")
    }
