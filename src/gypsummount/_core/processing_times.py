"""Processing times of a service, and what a later choice costs."""

# Smoothing factor of the average processing times.
WORK_SMOOTHING = 0.02
# Processing time of the first choice for an object that is assumed before
# the first answers: at least this, or this fraction of the latency objective;
# and the factor by which it is longer on other upstreams.
INITIAL_WORK_S = 0.2
INITIAL_OBJECTIVE_FRACTION = 0.6
INITIAL_RATIO = 2.0
# At this many requests per slot an upstream gets no further ones.
MAX_LOAD_PER_SLOT = 2.0
# Fraction of the extra processing time that counts as cost of the second
# choice; it counts in full for all later choices.
SECOND_CHOICE_FRACTION = 0.7
# Smallest extra processing time of an upstream that is not the first choice.
MIN_EXTRA_S = 0.02


class ProcessingTimes:
    """Average processing times (s) of the upstreams of a service.

    For each object the upstreams have an order.  The first one, the first
    choice, usually has the object in its cache, so the difference between
    its time and that of the others is the cost of choosing another one.
    """

    __slots__ = ("_is_assumed", "first_s", "other_choice_s")

    def __init__(self) -> None:
        self._is_assumed = True
        self.first_s = INITIAL_WORK_S
        self.other_choice_s = INITIAL_WORK_S * INITIAL_RATIO

    def assume(self, objective_s: float) -> None:
        """Assume a processing time from a latency objective (s).

        It has no effect once answers have been observed.
        """
        if self._is_assumed:
            self.first_s = max(
                INITIAL_WORK_S, objective_s * INITIAL_OBJECTIVE_FRACTION
            )
            self.other_choice_s = self.first_s * INITIAL_RATIO

    def observe(self, position: int, work_s: float) -> None:
        """Record the processing time (s) of one request.

        ``position`` is the upstream's position in the order for the
        object, 0 for the first choice.
        """
        self._is_assumed = False
        if position == 0:
            self.first_s += (work_s - self.first_s) * WORK_SMOOTHING
        else:
            self.other_choice_s += (
                work_s - self.other_choice_s
            ) * WORK_SMOOTHING

    def compute_cost(
        self, position: int, load: float, slots: int, remaining_s: float
    ) -> float | None:
        """Return the delay (s) compared with an idle first choice.

        ``position`` is the upstream's position in the order for the object,
        ``load`` its requests, and ``remaining_s`` the time until the request
        is late.  Returns None if the upstream is overloaded, or if the
        request would queue there and still be late: it would only delay
        other requests.
        """
        if load >= slots * MAX_LOAD_PER_SLOT:
            return None
        waiting = max(0.0, load + 1 - slots)
        cost_s = waiting * self.first_s / slots
        if waiting >= 1 and cost_s + self.first_s > remaining_s:
            return None
        if position == 0:
            return cost_s
        extra_s = max(MIN_EXTRA_S, self.other_choice_s - self.first_s)
        return cost_s + extra_s * (
            SECOND_CHOICE_FRACTION if position == 1 else 1.0
        )
