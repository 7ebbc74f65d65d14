"""Queue of a service's requests that wait for a free upstream."""

from asyncio import CancelledError
from asyncio import Future
from asyncio import get_running_loop
from asyncio import wait
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import heapify
from heapq import heappop
from heapq import heappush

from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Need

MAX_WAITING = 24


@dataclass(slots=True, frozen=True)
class Pick:
    """A selected upstream with its load and position.

    ``position`` is its position in the order of upstreams for the object.
    ``number`` is that of the request where instances ask dispatchers.
    """

    backend: Backend
    position: int
    load: float
    number: int = field(default=0, kw_only=True)


@dataclass(slots=True, frozen=True)
class Criteria:
    """What a request requires, and the upstreams it has been sent to."""

    need: Need
    tried: frozenset[str]


@dataclass(slots=True, order=True)
class _Waiter:
    rank: int
    sequence: int
    criteria: Criteria = field(compare=False)
    assigned: Future[Pick] = field(compare=False)


class WaitingQueue:
    """A bounded priority queue; the lowest rank is served first.

    ``release_pick`` releases an upstream that was assigned to a request
    just as its caller disconnected.
    """

    def __init__(self, release_pick: Callable[[Pick], None]) -> None:
        self._release_pick = release_pick
        self._waiting: list[_Waiter] = []
        self._sequence = 0

    async def wait(
        self, criteria: Criteria, rank: int, limit_s: float
    ) -> Pick | None:
        """Return an upstream, or None if none is free within a limit (s).

        When the queue is full, a more urgent request displaces the least
        urgent one, which gets None; any other gets None at once.
        """
        if len(self._waiting) >= MAX_WAITING and not self._displace(rank):
            return None
        self._sequence += 1
        assigned: Future[Pick] = get_running_loop().create_future()
        waiter = _Waiter(rank, self._sequence, criteria, assigned)
        heappush(self._waiting, waiter)
        try:
            await wait({assigned}, timeout=limit_s)
        except CancelledError:
            if assigned.done() and not assigned.cancelled():
                self._release_pick(assigned.result())
            raise
        finally:
            if not assigned.done():
                self._remove(waiter)
        return None if assigned.cancelled() else assigned.result()

    def serve(self, choose: Callable[[Criteria], Pick | None]) -> None:
        """Assign upstreams to waiting requests, the most urgent first.

        ``choose`` returns the upstream for a request, or None.
        """
        remaining: list[_Waiter] = []
        while self._waiting:
            waiter = heappop(self._waiting)
            if waiter.assigned.done():
                continue
            pick = choose(waiter.criteria)
            if pick is None:
                remaining.append(waiter)
                continue
            waiter.assigned.set_result(pick)
        self._waiting = remaining

    def _displace(self, rank: int) -> bool:
        """Remove the last request if the new one is more urgent."""
        last = max(self._waiting)
        if last.rank <= rank:
            return False
        self._remove(last)
        return True

    def _remove(self, waiter: _Waiter) -> None:
        self._waiting.remove(waiter)
        heapify(self._waiting)
        waiter.assigned.cancel()
