"""Division of requests over the destinations of a route by weight."""

from gypsummount._core.catalog import Destination


class WeightedTurns:
    """Smooth weighted round robin, exact for each route."""

    __slots__ = ("_current",)

    def __init__(self) -> None:
        self._current: dict[str, dict[str, float]] = {}

    def choose(self, route: str, destinations: tuple[Destination, ...]) -> str:
        """Return the service of the next request of a route."""
        if len(destinations) == 1:
            return destinations[0].service
        current = self._current.setdefault(route, {})
        total = 0.0
        best = destinations[0].service
        for one in destinations:
            total += one.weight
            current[one.service] = current.get(one.service, 0.0) + one.weight
            if current[one.service] > current.get(best, 0.0):
                best = one.service
        current[best] = current.get(best, 0.0) - total
        return best
