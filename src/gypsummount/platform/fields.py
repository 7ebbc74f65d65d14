"""Typed fields of the store's JSON documents.

Empty, zero, null and missing are four different values.  Each function
states which of them it takes for which.  A ``ValueError`` whose text is one
word names the invalid field.
"""

from math import isfinite
from typing import Any

Document = dict[str, Any]


def read_text(raw: Document, name: str) -> str:
    """Return a field that must be a text and not empty."""
    value = raw[name]
    if not isinstance(value, str) or not value:
        raise ValueError(name)
    return value


def read_int(raw: Document, name: str, *, lowest: int, highest: int) -> int:
    """Return a field that must be an integer within limits.

    A JSON boolean is none.
    """
    value = raw[name]
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(name)
    if not lowest <= value <= highest:
        raise ValueError(f"{name} is not between {lowest} and {highest}")
    return value


def read_list(raw: Document, name: str) -> list[Any]:
    """Return a list; it is empty if it is null or missing.

    A text or an object is no list, though Python can iterate over it.
    """
    value = raw.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise ValueError(name)
    return value


def read_texts(raw: Document, name: str) -> list[str]:
    """Return a list of texts that are not empty."""
    texts = read_list(raw, name)
    if not all(isinstance(text, str) and text for text in texts):
        raise ValueError(name)
    return texts


def read_flag(raw: Document, name: str) -> bool:
    """Return whether a field is JSON's ``true``; no other value counts."""
    return raw.get(name) is True


def read_limit(raw: Document, name: str) -> float | None:
    """Return a number that is not negative, None if it is missing.

    Null is no number, so that it can't be taken for "no limit".
    """
    return read_amount(raw, name) if name in raw else None


def read_amount(raw: Document, name: str) -> float:
    """Return a number that must be there and not negative."""
    value = raw[name]
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(name)
    if not isfinite(value) or value < 0:
        raise ValueError(f"{name} is {value}; it must be 0 or more")
    return float(value)


def read_number(raw: Document, name: str, default: float) -> float:
    """Return a number, the default if it is null or missing, but not if 0."""
    value = raw.get(name)
    return default if value is None else float(value)
