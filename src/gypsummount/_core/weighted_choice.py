"""Weighted distribution of requests over the destinations of a route."""

from random import Random

from gypsummount._core.catalog import Destination

# The fractional part of the golden ratio.  Its multiples, modulo 1, fill
# the unit interval more evenly than those of any other number.
GOLDEN_RATIO_STEP = 0.6180339887498949


class WeightedChoice:
    """Chooses destinations evenly in proportion to their weights.

    Each route has a sequence of points in [0, 1), an additive recurrence
    that does not depend on the weights.  A change of the weights or of
    their scale therefore applies from the next request on.  Each
    instance starts at a random point, so that the weights also hold for
    a few requests at each of many instances.

    Source: H. Niederreiter, "Random Number Generation and Quasi-Monte
    Carlo Methods", 1992, chapter 3.
    """

    __slots__ = ("_points", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._points: dict[str, float] = {}

    def choose(self, route: str, destinations: tuple[Destination, ...]) -> str:
        """Return the service that takes a route's next request."""
        if len(destinations) == 1:
            return destinations[0].service
        point = self._points.get(route)
        if point is None:
            point = self._random.random()
        self._points[route] = (point + GOLDEN_RATIO_STEP) % 1.0
        remaining = point * sum(
            destination.weight for destination in destinations
        )
        for destination in destinations:
            remaining -= destination.weight
            if remaining < 0:
                return destination.service
        return destinations[-1].service
