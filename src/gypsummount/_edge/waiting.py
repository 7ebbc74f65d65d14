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
    """A selected upstream, its position in the object's order, its load."""

    backend: Backend
    position: int
    load: float


@dataclass(slots=True, frozen=True)
class Wish:
    """What a request requires, and the upstreams it has been sent to."""

    need: Need
    tried: frozenset[str]


@dataclass(slots=True, order=True)
class _Waiter:
    rank: int
    number: int
    wish: Wish = field(compare=False)
    place: Future[Pick] = field(compare=False)


class WaitingQueue:
    """A bounded priority queue; the lowest rank is served first.

    ``give_back`` releases an upstream that was assigned to a request
    as its caller disconnected.
    """

    def __init__(self, give_back: Callable[[Pick], None]) -> None:
        self._give_back = give_back
        self._waiting: list[_Waiter] = []
        self._number = 0

    async def wait(self, wish: Wish, rank: int, limit_s: float) -> Pick | None:
        """Return an upstream, or None if none is free within a limit (s).

        When the queue is full, a more urgent request displaces the least
        urgent one, which gets None; any other gets None at once.
        """
        if len(self._waiting) >= MAX_WAITING and not self._displace(rank):
            return None
        self._number += 1
        place: Future[Pick] = get_running_loop().create_future()
        waiter = _Waiter(rank, self._number, wish, place)
        heappush(self._waiting, waiter)
        try:
            await wait({place}, timeout=limit_s)
        except CancelledError:
            if place.done() and not place.cancelled():
                self._give_back(place.result())
            raise
        finally:
            if not place.done():
                self._remove(waiter)
        return None if place.cancelled() else place.result()

    def serve(self, choose: Callable[[Wish], Pick | None]) -> None:
        """Assign upstreams to waiting requests, the most urgent first.

        ``choose`` returns the upstream for a request, or None.
        """
        kept: list[_Waiter] = []
        while self._waiting:
            waiter = heappop(self._waiting)
            if waiter.place.done():
                continue
            pick = choose(waiter.wish)
            if pick is None:
                kept.append(waiter)
                continue
            waiter.place.set_result(pick)
        self._waiting = kept

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
        waiter.place.cancel()
