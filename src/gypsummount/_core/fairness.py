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

# Waiting requests for each workspace.
MAX_WAITING = 256
# Every request costs the same.
COST = 1.0

T = TypeVar("T")


@dataclass(slots=True)
class Waiting(Generic[T]):
    """A waiting request and the time (s) by which it must start."""

    item: T
    workspace: str
    expires_at: float


@dataclass(slots=True)
class _Lane(Generic[T]):
    weight: float
    deficit: float = 0.0
    waiting: deque[Waiting[T]] = field(default_factory=deque)


class FairQueue(Generic[T]):
    """Queue of waiting requests, bounded for each workspace.

    Requests that cannot start in time are moved to ``expired``.
    """

    __slots__ = ("_lanes", "_max_waiting", "expired")

    def __init__(self, *, max_waiting: int = MAX_WAITING) -> None:
        self._lanes: OrderedDict[str, _Lane[T]] = OrderedDict()
        self._max_waiting = max_waiting
        self.expired: list[T] = []

    def __len__(self) -> int:
        return sum(len(lane.waiting) for lane in self._lanes.values())

    def push(self, entry: Waiting[T], weight: float) -> bool:
        """Add a request; return False if its workspace's queue is full."""
        lane = self._lanes.get(entry.workspace)
        if lane is None:
            lane = _Lane(weight)
            self._lanes[entry.workspace] = lane
        lane.weight = weight
        if len(lane.waiting) >= self._max_waiting:
            return False
        lane.waiting.append(entry)
        return True

    def remove(self, item: T, workspace: str) -> bool:
        """Remove a request; return False if it is not in the queue."""
        lane = self._lanes.get(workspace)
        if lane is None:
            return False
        for entry in lane.waiting:
            if entry.item is item:
                lane.waiting.remove(entry)
                return True
        return False

    def pop(self, now: float) -> T | None:
        """Remove and return the next request; None if none waits.

        Expired requests on the way are added to ``expired``.
        """
        while self._lanes:
            name, lane = next(iter(self._lanes.items()))
            self._drop_expired(lane, now)
            if not lane.waiting:
                del self._lanes[name]
                continue
            if lane.deficit < COST:
                lane.deficit += lane.weight
                if lane.deficit < COST:
                    self._lanes.move_to_end(name)
                    continue
            lane.deficit -= COST
            entry = lane.waiting.popleft()
            if not lane.waiting:
                del self._lanes[name]
            elif lane.deficit < COST:
                self._lanes.move_to_end(name)
            return entry.item
        return None

    def _drop_expired(self, lane: _Lane[T], now: float) -> None:
        while lane.waiting and lane.waiting[0].expires_at <= now:
            self.expired.append(lane.waiting.popleft().item)
