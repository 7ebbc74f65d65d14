"""What all clients of a process cost, and whose connection ends first."""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import final

from gypsummount._common.body_account import BodyAccount
from gypsummount._common.client_limits import ClientLimits
from gypsummount._common.client_stream import ClientStream
from gypsummount._common.clocks import read_monotonic
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger

CHECK_PERIOD_S = 0.5
# Checks later than this (s) tell of a busy process, not of slow clients.
MAX_CHECK_INTERVAL_S = 2.0
# A connection without progress for this long (s) ends if memory is short.
MIN_STALL_S = 2.0
# Fraction of the memory for bodies above which memory is short.
SHORTAGE_FRACTION = 0.5
# Fraction of the memory for bodies that incomplete heads may use, and its
# limits (bytes).
HEAD_FRACTION = 0.125
MIN_HEAD_BYTES = 2_000_000
MAX_HEAD_BYTES = 64_000_000
LOGGED_PER_S = 1.0
# Rate at which all refused bodies together are read and discarded.
DISCARDED_BYTES_PER_S = 100_000_000

_log = get_logger("clients")


@final
class ClientAccount(BodyAccount):
    """Counts heads, bodies and unread answers by connection and in all.

    ``closed`` counts the connections that a limit ended, by its name, and
    ``discarding`` the refused bodies that are still being received.
    """

    __slots__ = (
        "_checked_at",
        "_lines",
        "closed",
        "discarding",
        "head_bytes",
        "limits",
        "max_head_bytes",
        "streams",
    )

    def __init__(
        self,
        limit_bytes: float = inf,
        request_fraction: float = 1.0,
        limits: ClientLimits | None = None,
    ) -> None:
        super().__init__(limit_bytes, request_fraction)
        self.limits = limits or ClientLimits()
        self.closed: Counter[str] = Counter()
        self.streams: set[ClientStream] = set()
        self.head_bytes = 0
        self.discarding = 0
        self.max_head_bytes = min(
            MAX_HEAD_BYTES, max(MIN_HEAD_BYTES, limit_bytes * HEAD_FRACTION)
        )
        self._checked_at = read_monotonic()
        self._lines = LineLimiter(LOGGED_PER_S, self._checked_at)

    def add_stream(self, stream: ClientStream) -> None:
        """Count a new connection."""
        self.streams.add(stream)

    def remove_stream(self, stream: ClientStream) -> None:
        """Count a closed connection no more."""
        self.streams.discard(stream)
        self.add_head_bytes(stream, -stream.head_bytes)

    def add_head_bytes(self, stream: ClientStream, size: int) -> None:
        """Count bytes of an incomplete head.

        Above the limit, the connections with the longest heads end.
        """
        if stream not in self.streams and size > 0:
            return
        stream.head_bytes += size
        self.head_bytes += size
        while size > 0 and self.head_bytes > self.max_head_bytes:
            largest = max(self.streams, key=lambda other: other.head_bytes)
            self.close_stream(largest, "heads")
            self.remove_stream(largest)

    def compute_discard_delay(self, size: int) -> float:
        """Return how long (s) to wait after discarding ``size`` bytes."""
        return size * self.discarding / DISCARDED_BYTES_PER_S

    def close_stream(self, stream: ClientStream, reason: str) -> None:
        """Close a connection because of a limit, unless it is closed."""
        if stream.closed():
            return
        self.count_closed(reason)
        if self._lines.try_take(read_monotonic()):
            _log.warning(
                "Closed a connection of %s (%s).",
                stream.address,
                reason,
                extra={
                    "cost_bytes": stream.cost_bytes,
                    "left_out": self._lines.dropped,
                },
            )
        stream.close()

    def count_closed(self, reason: str) -> None:
        """Count a connection that a limit ends."""
        self.closed[reason] += 1

    async def check(self) -> None:
        """End connections that are too slow, and costly ones if needed."""
        now = read_monotonic()
        elapsed_s = now - self._checked_at
        self._checked_at = now
        is_late = elapsed_s > MAX_CHECK_INTERVAL_S
        stalled = []
        for stream in [one for one in self.streams if not one.closed()]:
            self._check_progress(stream, now, elapsed_s, is_late=is_late)
            if stream.stalled_since is None:
                continue
            if now - stream.stalled_since > self.limits.stall_s:
                self.close_stream(stream, "stalled")
            elif now - stream.stalled_since > MIN_STALL_S:
                stalled.append(stream)
        self._relieve(stalled)

    def _check_progress(
        self,
        stream: ClientStream,
        now: float,
        elapsed_s: float,
        *,
        is_late: bool,
    ) -> None:
        moved = stream.count_moved()
        progress = moved - stream.checked_bytes
        stream.checked_bytes = moved
        if not stream.is_transferring or is_late:
            stream.stalled_since = stream.head_since = None
            return
        if progress >= self.limits.bytes_per_s * elapsed_s:
            stream.stalled_since = None
        elif stream.stalled_since is None:
            stream.stalled_since = now - elapsed_s
        if not stream.is_reading_head:
            return
        if stream.head_since is None:
            stream.head_since = now
        elif now - stream.head_since > self.limits.head_s:
            self.close_stream(stream, "head")

    def _relieve(self, stalled: list[ClientStream]) -> None:
        """End the costliest connections without progress on a shortage."""
        excess = self.held_bytes - self.limit_bytes * SHORTAGE_FRACTION
        stalled.sort(key=lambda stream: stream.cost_bytes, reverse=True)
        for stream in stalled:
            if excess <= 0:
                return
            excess -= stream.cost_bytes
            self.close_stream(stream, "costly")
