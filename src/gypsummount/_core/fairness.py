"""Fair queue of waiting requests: deficit round robin by workspace.

Source: M. Shreedhar and G. Varghese, "Efficient fair queuing using
deficit round-robin", 1996.
"""

from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import Generic
from typing import TypeVar

# Largest number of waiting requests of one workspace.
MAX_WAITING = 256
# Deficit that a request uses up; all requests cost the same.
REQUEST_COST = 1.0

T = TypeVar("T")


@dataclass(slots=True)
class WaitingRequest(Generic[T]):
    """A waiting request and the time (s) by which it must start."""

    item: T
    workspace: str
    expires_at: float


@dataclass(slots=True)
class _WorkspaceQueue(Generic[T]):
    weight: float
    deficit: float = 0.0
    waiting: deque[WaitingRequest[T]] = field(default_factory=deque)


class FairQueue(Generic[T]):
    """Queue of waiting requests, bounded for each workspace.

    Requests that cannot start in time are moved to ``expired``.
    """

    __slots__ = ("_max_waiting", "_queues", "expired")

    def __init__(self, *, max_waiting: int = MAX_WAITING) -> None:
        self._queues: OrderedDict[str, _WorkspaceQueue[T]] = OrderedDict()
        self._max_waiting = max_waiting
        self.expired: list[T] = []

    def __len__(self) -> int:
        return sum(len(queue.waiting) for queue in self._queues.values())

    def push(self, request: WaitingRequest[T], weight: float) -> bool:
        """Add a request; return False if its workspace's queue is full."""
        queue = self._queues.get(request.workspace)
        if queue is None:
            queue = _WorkspaceQueue(weight)
            self._queues[request.workspace] = queue
        queue.weight = weight
        if len(queue.waiting) >= self._max_waiting:
            return False
        queue.waiting.append(request)
        return True

    def remove(self, item: T, workspace: str) -> bool:
        """Remove a request; return False if it is not in the queue."""
        queue = self._queues.get(workspace)
        if queue is None:
            return False
        for request in queue.waiting:
            if request.item is item:
                queue.waiting.remove(request)
                return True
        return False

    def pop(self, now: float) -> T | None:
        """Remove and return the next request; None if none waits.

        Expired requests that it meets first are moved to ``expired``.
        """
        while self._queues:
            workspace, queue = next(iter(self._queues.items()))
            self._drop_expired(queue, now)
            if not queue.waiting:
                del self._queues[workspace]
                continue
            if queue.deficit < REQUEST_COST:
                queue.deficit += queue.weight
                if queue.deficit < REQUEST_COST:
                    self._queues.move_to_end(workspace)
                    continue
            queue.deficit -= REQUEST_COST
            request = queue.waiting.popleft()
            if not queue.waiting:
                del self._queues[workspace]
            elif queue.deficit < REQUEST_COST:
                self._queues.move_to_end(workspace)
            return request.item
        return None

    def _drop_expired(self, queue: _WorkspaceQueue[T], now: float) -> None:
        while queue.waiting and queue.waiting[0].expires_at <= now:
            self.expired.append(queue.waiting.popleft().item)
