"""Planned stop of an edge process within its grace time."""

from asyncio import Event
from asyncio import sleep

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._core.draining import Drain
from gypsummount._edge.front import EdgeFront
from gypsummount._edge.settings import EdgeBounds

# Time (s) after the stop for which new connections are accepted.
ACCEPT_S = 3.5
ACCEPT_CHECK_PERIOD_S = 0.1
# Callers may use an address this much longer than the directory allows.
NOTICE_MARGIN_S = 1.0
# Times (s) before the end of the grace time: when the last request ends,
# and when the connections are closed.
LAST_REQUEST_MARGIN_S = 0.6
CLOSE_MARGIN_S = 0.3


class Shutdown:
    """The stop of one process; ``drain`` has the limits of its requests."""

    def __init__(self, loop_timer: LoopTimer) -> None:
        self._loop_timer = loop_timer
        self._requested = Event()
        self._close_at = 0.0
        self._accept_until = 0.0
        self.drain = Drain()

    @property
    def is_requested(self) -> bool:
        """Tell whether the stop has begun."""
        return self._requested.is_set()

    def request(self, bounds: EdgeBounds) -> None:
        """Begin the stop.

        The grace time counts from the signal, which a busy event loop may
        have handled late.
        """
        now = read_monotonic()
        stopped_at = now - self._loop_timer.get_max_read_delay(now)
        grace_ends_at = stopped_at + bounds.grace_s
        last_request_at = grace_ends_at - LAST_REQUEST_MARGIN_S
        self.drain.begin(
            last_request_at,
            stopped_at + bounds.lookup_ttl_s + NOTICE_MARGIN_S,
        )
        self._accept_until = min(stopped_at + ACCEPT_S, last_request_at)
        self._close_at = grace_ends_at - CLOSE_MARGIN_S
        self._requested.set()

    async def wait(self) -> None:
        """Wait until the stop begins."""
        await self._requested.wait()

    async def finish_requests(self, front: EdgeFront) -> None:
        """Accept callers for a while, then drain within the grace time."""
        while read_monotonic() < self._accept_until:
            await sleep(ACCEPT_CHECK_PERIOD_S)
        await front.drain(self._close_at)
