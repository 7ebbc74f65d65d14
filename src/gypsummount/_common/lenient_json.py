"""Decoding of JSON in which single values may be hostile.

A value that is nested too deeply, or a number with too many digits, does
not spoil the rest of the document: it is decoded as None.
"""

from json import loads
import re
from typing import Any

MAX_DEPTH = 64
# Digits of the largest integer that is decoded; 64-bit numbers fit.
MAX_DIGITS = 20
_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def load_lenient(body: bytes) -> Any:
    """Return the decoded document.

    Bytes that are no UTF-8 are replaced.

    :raises ValueError: when the document as a whole is malformed.
    """
    text = body.decode("utf-8", "replace")
    try:
        return loads(text, parse_int=_parse_int)
    except RecursionError:
        return loads(_prune(text), parse_int=_parse_int)


def _parse_int(digits: str) -> int | None:
    return int(digits) if len(digits) <= MAX_DIGITS else None


def _prune(text: str) -> str:
    """Return the text with values below :data:`MAX_DEPTH` as ``null``."""
    parts = []
    depth = 0
    kept_from = 0
    for match in _TOKEN.finditer(text):
        token = match[0]
        if token in ("[", "{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts.append(text[kept_from : match.start()])
                parts.append("null")
        elif token in ("]", "}"):
            if depth == MAX_DEPTH + 1:
                kept_from = match.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError("the document ends inside a value")
    parts.append(text[kept_from:])
    return "".join(parts)
