"""Bodies of the platform's usage calls."""

from collections.abc import Mapping
from json import dumps


def encode_usage(window: int, counts: Mapping[str, int]) -> bytes:
    """Return the JSON body that reports the usage of a window."""
    raw = {"window": window, "counts": dict(counts)}
    return dumps(raw, separators=(",", ":")).encode()
