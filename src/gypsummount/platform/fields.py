"""Typed fields of the store's JSON documents.

A ``ValueError`` whose text is one
word names the invalid field.
"""

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
