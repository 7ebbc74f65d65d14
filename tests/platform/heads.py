"""Heads of requests that callers of the platform send."""

from tests.platform.conftest import KEY

HOST_NAME = "h.example"


def build_head(request_id: str, deadline_ms: int, framing: str) -> bytes:
    """Return the head of a request that may not be repeated."""
    return (
        "POST /book/x HTTP/1.1\r\n"
        f"Host: {HOST_NAME}\r\n"
        f"Gypsummount-Request-Id: {request_id}\r\n"
        f"Gypsummount-Deadline-Milliseconds: {deadline_ms}\r\n"
        f"Api-Key: {KEY}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()
