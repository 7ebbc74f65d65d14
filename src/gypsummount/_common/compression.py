"""Decompression of data from peers, with a limit on its size."""

from zlib import decompressobj


def decompress_bounded(data: bytes, max_bytes: int) -> bytes:
    """Return the decompressed data.

    :raises ValueError: when it is cut short or over ``max_bytes``.
    :raises zlib.error: when it is malformed.
    """
    stream = decompressobj()
    text = stream.decompress(data, max_bytes)
    if not stream.eof:
        raise ValueError("the data is cut short or too large")
    return text
