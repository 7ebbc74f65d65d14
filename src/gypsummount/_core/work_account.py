"""Account of the work that an upstream has to do and of its speed.

The work of a request is its likely normalised service time less the time
that it has run.  The sums that are kept make an estimate independent of
the number of requests.
"""

from collections import OrderedDict

# Figure of a machine of normal speed; a larger one means longer times.
NORMAL_FIGURE = 100.0
MIN_SPEED = 0.1
MAX_SPEED = 50.0
# The last figure counts less as it ages and not at all after this time;
# the average of the upstream's figures takes its place.
FIGURE_LIFE_S = 0.6
AVERAGE_WEIGHT = 0.25
# After this time without figures the upstream counts as one of normal speed,
# so that it is tried again.
AVERAGE_LIFE_S = 2.0
# Objects that an upstream is assumed to remember.
MAX_KNOWN_OBJECTS = 16
# They are forgotten after this time or, if that is longer, after the time of
# so many requests, as other instances use the upstream too.
KNOWN_LIFE_S = 1.5
KNOWN_LIFE_REQUESTS = 10.0
# Fraction of the likely work that a request still takes at least.
MIN_REMAINING_FRACTION = 0.25
FACTOR_WEIGHT = 0.05
MIN_FACTOR = 0.25
MAX_FACTOR = 4.0


def compute_known_since(usual_s: float, now: float) -> float:
    """Return since when an answer shows that an object is known.

    ``usual_s`` is the usual service time.
    """
    return now - max(KNOWN_LIFE_S, KNOWN_LIFE_REQUESTS * usual_s)


class WorkAccount:
    """Outstanding work, speed and known objects of one upstream.

    ``factor`` is how much longer than usual requests take there at the
    same speed figure.
    """

    __slots__ = (
        "_average_speed",
        "_costs_s",
        "_known",
        "_requests",
        "_speed",
        "_speed_at",
        "_starts_s",
        "factor",
    )

    def __init__(self, factor: float = 1.0) -> None:
        self.factor = factor
        self._requests = 0
        self._costs_s = 0.0
        self._starts_s = 0.0
        self._speed = 1.0
        self._average_speed = 1.0
        self._speed_at = float("-inf")
        self._known: OrderedDict[int, float] = OrderedDict()

    def add(self, cost_s: float, now: float) -> None:
        """Record that a request of a likely service time (s) is sent."""
        self._requests += 1
        self._costs_s += cost_s
        self._starts_s += now

    def remove(self, cost_s: float, started_at: float) -> None:
        """Record the end of a request that was added at ``started_at``."""
        self._requests -= 1
        self._costs_s -= cost_s
        self._starts_s -= started_at
        if self._requests <= 0:
            self._requests = 0
            self._costs_s = self._starts_s = 0.0

    def remove_average(self) -> None:
        """Record the end of a request of which nothing is known."""
        if self._requests:
            self.remove(
                self._costs_s / self._requests,
                self._starts_s / self._requests,
            )

    def estimate_wait(
        self,
        load: float,
        slots: int,
        usual_s: float,
        speed: float,
        now: float,
    ) -> float:
        """Return the wait (s) of one more request at the current speed.

        ``load`` is the estimated number of requests there, of all
        instances, and ``usual_s`` the service time of those of others.
        """
        if load + 1 <= slots or load <= 0:
            return 0.0
        own = self._requests
        running = min(load, slots)
        if own:
            span_s = own * now - self._starts_s
            elapsed_s = span_s * running / (load * speed)
            work_s = max(
                self._costs_s - elapsed_s,
                self._costs_s * MIN_REMAINING_FRACTION,
            )
            mean_s = self._costs_s / own
        else:
            work_s = 0.0
            mean_s = usual_s
        others = load - own
        if others > 0:
            # Those that run have half of their work left on average.
            work_s += others * usual_s * (1 - 0.5 * running / load)
        # A slot frees while the others still run, half of their work left.
        wait_s = (work_s - (slots - 1) * 0.5 * mean_s) / slots
        return wait_s * speed if wait_s > 0 else 0.0

    def record_speed(self, figure: float, now: float) -> None:
        """Record the machine's current speed figure."""
        speed = min(MAX_SPEED, max(MIN_SPEED, figure / NORMAL_FIGURE))
        is_new = now - self._speed_at > AVERAGE_LIFE_S
        weight = 1.0 if is_new else AVERAGE_WEIGHT
        self._average_speed += (speed - self._average_speed) * weight
        self._speed = speed
        self._speed_at = now

    def estimate_speed(self, now: float) -> float:
        """Return by how much work takes longer than on a normal machine."""
        age_s = now - self._speed_at
        if age_s <= 0:
            return self._speed
        average = self._average_speed
        if age_s < FIGURE_LIFE_S:
            weight = 1 - age_s / FIGURE_LIFE_S
            return average + (self._speed - average) * weight
        if age_s >= AVERAGE_LIFE_S:
            return 1.0
        return 1.0 + (average - 1.0) * (1 - age_s / AVERAGE_LIFE_S)

    def average_speed(self, at_start: float) -> float:
        """Return the speed during an exchange that has just ended.

        ``at_start`` was the estimate when it began.
        """
        return 0.5 * (at_start + self._speed)

    def observe_ratio(self, ratio: float) -> None:
        """Record a service time relative to the expected one."""
        factor = self.factor * (1 + (ratio - 1) * FACTOR_WEIGHT)
        self.factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))

    def knows(self, object_hash: int, since: float) -> bool:
        """Tell whether the upstream has answered for an object since then."""
        answered_at = self._known.get(object_hash)
        return answered_at is not None and answered_at >= since

    def record_object(self, object_hash: int, now: float) -> None:
        """Record that the upstream has answered for an object."""
        self._known[object_hash] = now
        self._known.move_to_end(object_hash)
        if len(self._known) > MAX_KNOWN_OBJECTS:
            self._known.popitem(last=False)
