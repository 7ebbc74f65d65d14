"""Division of requests over the destinations of a route by weight."""

from random import Random

from gypsummount._core.catalog import Destination

# The fractional part of the golden ratio: its multiples, modulo 1, fill
# the unit interval more evenly than those of any other number.
STEP = 0.6180339887498949


class WeightedTurns:
    """Takes destinations in turn, each by its share of the weights.

    The turns of a route are points of an additive recurrence, whatever
    the weights are, so a change of weights or of their scale holds from
    the next request on.  Each instance starts at a point of its own:
    few requests at each of many instances are divided by weight, too.

    Source: H. Niederreiter, "Random Number Generation and Quasi-Monte
    Carlo Methods", 1992, chapter 3.
    """

    __slots__ = ("_points", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._points: dict[str, float] = {}

    def choose(self, route: str, destinations: tuple[Destination, ...]) -> str:
        """Return the service of the next request of a route."""
        if len(destinations) == 1:
            return destinations[0].service
        point = self._points.get(route)
        if point is None:
            point = self._random.random()
        self._points[route] = (point + STEP) % 1.0
        left = point * sum(one.weight for one in destinations)
        for one in destinations:
            left -= one.weight
            if left < 0:
                return one.service
        return destinations[-1].service
