"""Stand-in for the platform's list of instances, which lags behind."""

from collections import deque
from dataclasses import asdict
from dataclasses import dataclass
from json import loads
from time import monotonic

from tornado.httputil import HTTPServerRequest

from gypsummount._standin.http import Reply


@dataclass(slots=True, frozen=True)
class ListedInstance:
    """An instance or upstream in the platform's list."""

    name: str
    domain: str
    address: str
    state: str = "live"
    kind: str = "instance"


@dataclass(slots=True, frozen=True)
class _Snapshot:
    taken_at: float
    instances: tuple[ListedInstance, ...]


class PlatformStandin:
    """Serves the list as it was ``lag_s`` seconds earlier."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self._instances: dict[str, ListedInstance] = {}
        self._history: deque[_Snapshot] = deque([_Snapshot(-1e9, ())])

    def put(self, instance: ListedInstance) -> None:
        """Add an instance, or replace the listed one of the same name."""
        self._instances[instance.name] = instance
        self._record_snapshot()

    def remove(self, name: str) -> None:
        """Remove an instance; an unknown name changes nothing."""
        self._instances.pop(name, None)
        self._record_snapshot()

    def read(self) -> tuple[ListedInstance, ...]:
        """Return the list as it was ``lag_s`` seconds ago, at first empty."""
        cutoff = monotonic() - self.lag_s
        while len(self._history) > 1 and self._history[1].taken_at <= cutoff:
            self._history.popleft()
        return self._history[0].instances

    async def answer(self, request: HTTPServerRequest) -> Reply:
        """Serve the list at ``/live``; ``/set`` and ``/remove`` change it."""
        if request.path == "/live":
            return Reply.from_json([asdict(entry) for entry in self.read()])
        if request.path == "/set":
            for row in loads(request.body):
                self.put(ListedInstance(**row))
            return Reply(200)
        if request.path == "/remove":
            for name in loads(request.body):
                self.remove(name)
            return Reply(200)
        return Reply(404)

    def _record_snapshot(self) -> None:
        instances = tuple(self._instances.values())
        self._history.append(_Snapshot(monotonic(), instances))
