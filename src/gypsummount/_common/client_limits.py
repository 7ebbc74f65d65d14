"""Limits on what one client may cost, beyond the size of its requests."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits that only wasteful clients reach.

    A head has at most ``head_bytes`` and ``fields``, and is complete
    ``head_s`` after its first byte.  Bodies and answers make at least
    ``bytes_per_s`` of progress, or end after ``stall_s`` without it.
    Of the chunks of a body, ``free_chunks`` may be of any size; beyond them,
    the mean is at least ``chunk_bytes``.  ``pipelined`` requests may follow
    each other without waiting for an answer, and one address may hold
    ``address_connections`` connections (0: all that a listener has).
    """

    head_bytes: int = 65_536
    fields: int = 4096
    head_s: float = 10.0
    bytes_per_s: int = 1024
    stall_s: float = 10.0
    free_chunks: int = 8192
    chunk_bytes: int = 256
    pipelined: int = 8
    address_connections: int = 0

    def get_address_connections(self, max_connections: int) -> int:
        """Return how many connections one address may hold."""
        return self.address_connections or max_connections

    def allows_chunks(self, chunks: int, received: int) -> bool:
        """Tell whether ``received`` bytes may come in so many chunks."""
        return chunks <= self.free_chunks + received // self.chunk_bytes
