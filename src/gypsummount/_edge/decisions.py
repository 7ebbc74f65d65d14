"""Rate-limited log lines about the results of requests."""

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.metrics import Metrics
from gypsummount._edge.admission import Case
from gypsummount._edge.belief import Belief
from gypsummount._edge.wire import Arrival
from gypsummount.errors import RequestError

REFUSED_LINES_PER_S = 10.0
LATE_LINES_PER_S = 10.0
GOOD_LINES_PER_S = 2.0
BURST_S = 2.0  # of lines at the full rate
SERVER_ERROR = 500
MS_PER_S = 1000

_log = get_logger("decisions")


class LineBudget:
    """Token bucket for log lines of one kind; counts those left out."""

    __slots__ = ("_filled_at", "_rate", "_tokens", "left_out")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_S
        self._filled_at = now
        self.left_out = 0

    def take(self, now: float) -> bool:
        """Return True if a line may be written, else count it as left out."""
        gained = (now - self._filled_at) * self._rate
        self._filled_at = now
        self._tokens = min(self._rate * BURST_S, self._tokens + gained)
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Writes one line per request, up to a rate for each kind.

    Refused and late requests have budgets of their own, so that good
    ones never use up their lines.  Each line states how many lines of
    its kind have been left out so far.
    """

    def __init__(self, belief: Belief, metrics: Metrics) -> None:
        now = read_monotonic()
        self._belief = belief
        self._metrics = metrics
        self._refused = LineBudget(REFUSED_LINES_PER_S, now)
        self._late = LineBudget(LATE_LINES_PER_S, now)
        self._good = LineBudget(GOOD_LINES_PER_S, now)

    def note_answer(
        self, case: Case, status: int, unread_s: float, held_s: float
    ) -> None:
        """Log where a request ran and how long that took.

        ``unread_s`` is the read delay: how long it waited in its socket,
        at most.  ``held_s`` is the time since its arrival.
        """
        now = read_monotonic()
        is_late = now > case.need.due
        is_poor = is_late or status >= SERVER_ERROR
        budget = self._late if is_poor else self._good
        if not self._take(budget, now):
            return
        send = case.last_send
        _log.info(
            "Request %s was answered with %d%s.",
            case.arrival.request_id,
            status,
            ", late" if is_late else "",
            extra={
                "request": case.arrival.request_id,
                "path": case.arrival.path,
                "workspace": case.workspace_name,
                "service": case.need.service,
                "upstream": send.upstream if send else None,
                "region": send.region if send else None,
                "position": send.position if send else None,
                "load": round(send.load, 1) if send else None,
                "waited_ms": _to_ms(send.waited_s) if send else None,
                "unread_ms": _to_ms(unread_s),
                "held_ms": _to_ms(held_s),
                "objective_ms": _to_ms(case.need.objective_s),
                "sends": case.sends,
                "configuration": self._belief.catalog_revision,
                "left_out": budget.left_out,
            },
        )

    def note_refusal(
        self,
        arrival: Arrival | None,
        error: RequestError,
        unread_s: float,
        held_s: float,
    ) -> None:
        """Log why a request was not answered by an upstream."""
        now = read_monotonic()
        if not self._take(self._refused, now):
            return
        age_s = self._belief.proof.find_age(now)
        _log.info(
            "Request %s ended with status %d.",
            arrival.request_id if arrival else "?",
            error.status,
            extra={
                "request": arrival.request_id if arrival else None,
                "path": arrival.path if arrival else None,
                "code": error.code,
                "reason": str(error),
                "outcome": error.outcome.value,
                "unread_ms": _to_ms(unread_s),
                "held_ms": _to_ms(held_s),
                "configuration": self._belief.catalog_revision,
                "proof_age_s": None if age_s is None else round(age_s, 2),
                "left_out": self._refused.left_out,
            },
        )

    def note_busy(
        self, request_id: str, error: RequestError, unread_s: float
    ) -> None:
        """Log that a request was refused because the process is overloaded."""
        if not self._take(self._refused, read_monotonic()):
            return
        _log.info(
            "Request %s ended with status %d.",
            request_id,
            error.status,
            extra={
                "request": request_id,
                "code": error.code,
                "outcome": error.outcome.value,
                "unread_ms": _to_ms(unread_s),
                "left_out": self._refused.left_out,
            },
        )

    def note_fault(self, arrival: Arrival | None) -> None:
        """Log the exception of a request that failed unexpectedly."""
        self._metrics.count("faults.internal")
        if not self._take(self._refused, read_monotonic()):
            return
        _log.exception(
            "Request %s failed unexpectedly.",
            arrival.request_id if arrival else "?",
            extra={"left_out": self._refused.left_out},
        )

    def _take(self, budget: LineBudget, now: float) -> bool:
        if budget.take(now):
            return True
        self._metrics.count("log_lines.left_out")
        return False


def _to_ms(span_s: float) -> float:
    return round(span_s * MS_PER_S, 1)
