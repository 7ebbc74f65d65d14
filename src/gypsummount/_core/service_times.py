"""Service times of a service's requests, learned from responses.

A time is normalised: it is the time on a machine whose speed figure is
normal.  It depends on the route, the size class of the request body, on
whether the upstream knows the object, and on the upstream's version.
"""

from collections import OrderedDict
from enum import IntEnum

# Times assumed before any response, as fractions of the latency objective,
# in the order of Familiarity.
INITIAL_FRACTIONS = (0.45, 0.55, 1.0, 1.1)
# Upper quantile that is assumed before any response, relative to the mean.
INITIAL_UPPER_RATIO = 1.5
# Smallest weight of an observation; the first ones count more.
MIN_WEIGHT = 0.04
FULL_COUNT = 25
# The quantile that is kept beside the mean, and the step by which it moves,
# relative to the mean.
UPPER_QUANTILE = 0.9
QUANTILE_STEP = 0.08
# An unknown object takes at least this multiple of the time of a known one,
# so that noise in the times does not spread objects over the upstreams.
MIN_SPREAD_RATIO = 1.3
# Rows and versions kept before the least recently used one is dropped.
MAX_ROWS = 256
MAX_VERSIONS = 16
VERSION_WEIGHT = 0.02
MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
# Shorter or longer times (s) are not credible and are ignored.
MIN_TIME_S = 0.0005
MAX_TIME_S = 600.0


# Bodies up to this size (bytes, log2) are of class 0; each further class is
# four times as large.
SMALL_BODY_BITS = 12


def classify_body(size: int) -> int:
    """Return the size class of a request body of ``size`` bytes."""
    return ((size >> SMALL_BODY_BITS).bit_length() + 1) // 2


class Familiarity(IntEnum):
    """How likely an upstream knows the object of a request.

    It has answered for it recently, it is the first or the second choice
    for it, or neither.
    """

    KNOWN = 0
    FIRST_CHOICE = 1
    SECOND_CHOICE = 2
    OTHER = 3


class ClassTimes:
    """Mean and upper quantile (s) of one class of requests.

    Both lists are indexed by :class:`Familiarity`.
    """

    __slots__ = ("_counts", "means_s", "uppers_s")

    def __init__(self, objective_s: float) -> None:
        self._counts = [0, 0, 0, 0]
        self.means_s = [
            objective_s * fraction for fraction in INITIAL_FRACTIONS
        ]
        self.uppers_s = [
            mean_s * INITIAL_UPPER_RATIO for mean_s in self.means_s
        ]

    def observe(self, familiarity: int, time_s: float) -> None:
        """Record a normalised service time (s)."""
        count = self._counts[familiarity]
        self._counts[familiarity] = count + 1
        previous_s = self.means_s[familiarity]
        weight = max(MIN_WEIGHT, 1 / (count + 2))
        mean_s = previous_s + (time_s - previous_s) * weight
        self.means_s[familiarity] = mean_s
        self._move_upper(familiarity, time_s, mean_s)
        if count < FULL_COUNT:
            self._scale_unseen(mean_s / previous_s)
        known_s, first_s, second_s, other_s = self.means_s
        first_s = max(known_s, first_s)
        second_s = max(first_s * MIN_SPREAD_RATIO, second_s)
        self.means_s[1:] = first_s, second_s, max(second_s, other_s)

    def _move_upper(
        self, familiarity: int, time_s: float, mean_s: float
    ) -> None:
        upper_s = self.uppers_s[familiarity]
        step_s = mean_s * QUANTILE_STEP
        if time_s > upper_s:
            upper_s += step_s * UPPER_QUANTILE
        else:
            upper_s -= step_s * (1 - UPPER_QUANTILE)
        self.uppers_s[familiarity] = max(mean_s, upper_s)

    def _scale_unseen(self, factor: float) -> None:
        """Scale the times of which no observation exists yet."""
        for index, count in enumerate(self._counts):
            if count == 0:
                self.means_s[index] *= factor
                self.uppers_s[index] *= factor


class ServiceTimes:
    """Learned service times (s) of one service, bounded in memory.

    ``usual_s`` is the average over all requests.
    """

    __slots__ = ("_rows", "_versions", "usual_s")

    def __init__(self, usual_s: float) -> None:
        self._rows: OrderedDict[tuple[str, int], ClassTimes] = OrderedDict()
        self._versions: OrderedDict[str, float] = OrderedDict()
        self.usual_s = usual_s

    def find(
        self, route: str, body_class: int, objective_s: float
    ) -> ClassTimes:
        """Return the times of a class, assumed if none is known yet."""
        key = (route, body_class)
        row = self._rows.get(key)
        if row is None:
            row = self._rows[key] = ClassTimes(objective_s)
            if len(self._rows) > MAX_ROWS:
                self._rows.popitem(last=False)
        return row

    def get_version_factor(self, version: str) -> float:
        """Return how much longer than usual requests take on a version."""
        return self._versions.get(version, 1.0)

    def observe(
        self,
        row_key: tuple[str, int],
        familiarity: int,
        time_s: float,
        *,
        is_bound: bool = False,
    ) -> None:
        """Record a normalised service time (s), upstream factor removed.

        A time with ``is_bound`` includes a wait, so it only shows that the
        service time is not longer.
        """
        row = self._rows.get(row_key)
        if row is None or not MIN_TIME_S <= time_s <= MAX_TIME_S:
            return
        if is_bound and time_s >= row.means_s[familiarity]:
            return
        self._rows.move_to_end(row_key)
        row.observe(familiarity, time_s)
        self.usual_s += (time_s - self.usual_s) * MIN_WEIGHT

    def observe_version(self, version: str, ratio: float) -> None:
        """Record a time on a version relative to the expected one."""
        factor = self._versions.get(version, 1.0)
        factor *= 1 + (ratio - 1) * VERSION_WEIGHT
        self._versions[version] = min(MAX_FACTOR, max(MIN_FACTOR, factor))
        self._versions.move_to_end(version)
        if len(self._versions) > MAX_VERSIONS:
            self._versions.popitem(last=False)
