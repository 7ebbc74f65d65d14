"""Requests as the modules of an entry pass them on."""

from dataclasses import dataclass
from hashlib import blake2b

from gypsummount._config.model import Route
from gypsummount._core.outcomes import StoredAnswer
from gypsummount._core.sanitizing import Header

FINGERPRINT_BYTES = 16


@dataclass(slots=True)
class SteeredRequest:
    """A request that was authenticated and matched to a route.

    ``deadline`` is in seconds of the boot clock.  ``key_digest`` is empty
    on routes that need no key.  The headers contain no key.
    ``is_offloaded`` marks a request that an entry of another domain
    forwarded to run on an upstream here; it may use only the slots that
    the service's headroom leaves for such requests.  It is False for a
    request that was forwarded to the home of its key.
    """

    workspace: str
    key_digest: str
    route: Route
    method: str
    path: str
    query: str
    headers: list[Header]
    body: bytes
    deadline: float
    request_id: str
    idempotency_key: str = ""
    is_offloaded: bool = False

    @property
    def target(self) -> str:
        """Return the request target: the path and the query, if any."""
        return f"{self.path}?{self.query}" if self.query else self.path

    @property
    def size(self) -> int:
        """Return the approximate size of the request on a link (bytes)."""
        headers_size = sum(
            len(header.name) + len(header.value) + 4 for header in self.headers
        )
        return len(self.target) + headers_size + len(self.body)

    @property
    def fingerprint(self) -> bytes:
        """Return a hash of method, path, query and body.

        It detects an idempotency key that is reused for another request.
        """
        digest = blake2b(digest_size=FINGERPRINT_BYTES)
        for text in (self.method, self.path, self.query):
            digest.update(text.encode())
            digest.update(b"\0")
        digest.update(self.body)
        return digest.digest()


def estimate_answer_size(answer: StoredAnswer) -> int:
    """Return the approximate size of an answer on a link (bytes)."""
    headers_size = sum(
        len(name) + len(value) + 4 for name, value in answer.headers
    )
    return headers_size + len(answer.body)
