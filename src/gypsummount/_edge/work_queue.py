"""Queue of requests that wait for capacity, ordered by loss to callers."""

from asyncio import CancelledError
from asyncio import Future
from asyncio import get_running_loop
from asyncio import wait
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from gypsummount._core.queue_order import QueueEntry
from gypsummount._core.queue_order import QueueKey
from gypsummount._core.queue_order import QueueOrder
from gypsummount._edge.backends import Need
from gypsummount._edge.waiting import Pick

# Waiting requests of a service: at one instance, at a dispatcher for each
# instance of its region, and at most.
MAX_WAITING = 256
MAX_WAITING_PER_INSTANCE = 24
MAX_WAITING_IN_REGION = 512


@dataclass(slots=True)
class QueueLimit:
    """The limit of the queues of all services; it may change."""

    waiting: int = MAX_WAITING

    def scale(self, instances: int) -> None:
        """Set the limit for the requests of a number of instances."""
        scaled = MAX_WAITING_PER_INSTANCE * instances
        self.waiting = max(MAX_WAITING, min(MAX_WAITING_IN_REGION, scaled))


@dataclass(slots=True, eq=False)
class Waiter:
    """A waiting request.

    ``target`` is the pick that was expected to be best for it, and ``key``
    its place in the order, when each was last computed.
    """

    need: Need
    tried: frozenset[str]
    entry: QueueEntry
    assigned: Future[Pick | None]
    target: Pick
    key: QueueKey


class WorkQueue:
    """A bounded queue whose order is computed again for each free slot.

    ``release_pick`` releases an upstream that was assigned to a request
    just as its caller disconnected.
    """

    def __init__(
        self,
        order: QueueOrder,
        release_pick: Callable[[Pick], None],
        limit: QueueLimit,
    ) -> None:
        self._limit = limit
        self._order = order
        self._release_pick = release_pick
        self._waiting: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def sort(self, now: float) -> list[Waiter]:
        """Return the waiting requests in their current order."""
        for waiter in self._waiting:
            waiter.key = self._order.compute_key(waiter.entry, now)
        self._waiting.sort(key=_get_key)
        return list(self._waiting)

    def count_targets(self, key: QueueKey) -> Counter[str]:
        """Return how many requests before ``key`` wait for each upstream."""
        return Counter(
            waiter.target.backend.record.name
            for waiter in self._waiting
            if waiter.key <= key
        )

    async def wait(
        self,
        need: Need,
        tried: frozenset[str],
        entry: QueueEntry,
        target: Pick,
        now: float,
        limit_s: float,
    ) -> Pick | None:
        """Return an upstream, or None if none is free within a limit (s).

        When the queue is full, the last request in the order gets None.
        """
        assigned: Future[Pick | None] = get_running_loop().create_future()
        key = self._order.compute_key(entry, now)
        waiter = Waiter(need, tried, entry, assigned, target, key)
        self._waiting.append(waiter)
        if len(self._waiting) > self._limit.waiting:
            self.settle(self.sort(now)[-1], None)
        try:
            await wait({assigned}, timeout=limit_s)
        except CancelledError:
            if assigned.done() and assigned.result() is not None:
                self._release_pick(assigned.result())
            raise
        finally:
            if not assigned.done():
                self._waiting.remove(waiter)
        return assigned.result() if assigned.done() else None

    def settle(self, waiter: Waiter, pick: Pick | None) -> None:
        """Give a request its upstream, or None to refuse it."""
        self._waiting.remove(waiter)
        waiter.assigned.set_result(pick)


def _get_key(waiter: Waiter) -> QueueKey:
    return waiter.key
