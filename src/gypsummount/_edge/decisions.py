"""Rate-limited log lines about the results of requests."""

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._common.metrics import Metrics
from gypsummount._core.positions import get_revision
from gypsummount._edge.admission import RequestContext
from gypsummount._edge.replica import Replica
from gypsummount._edge.wire import Arrival
from gypsummount.errors import RequestError

REFUSED_LINES_PER_S = 10.0
LATE_LINES_PER_S = 10.0
GOOD_LINES_PER_S = 2.0
SERVER_ERROR_STATUS = 500
MS_PER_S = 1000

_log = get_logger("decisions")


class DecisionLog:
    """Writes one line per request, up to a rate for each kind.

    The kinds are refused requests, late or failed requests, and all
    others (good).  Each kind has a limit of its own, so that good requests
    never use up the lines of the other kinds.  Each line states how many
    lines of its kind have been dropped so far.
    """

    def __init__(self, replica: Replica, metrics: Metrics) -> None:
        now = read_monotonic()
        self._replica = replica
        self._metrics = metrics
        self._refused = LineLimiter(REFUSED_LINES_PER_S, now)
        self._late = LineLimiter(LATE_LINES_PER_S, now)
        self._good = LineLimiter(GOOD_LINES_PER_S, now)

    def log_answer(
        self,
        context: RequestContext,
        status: int,
        read_delay_s: float,
        duration_s: float,
    ) -> None:
        """Log where a request ran and how long that took.

        ``read_delay_s`` is the longest time for which the request may have
        waited in its socket, ``duration_s`` the time since its arrival.
        """
        now = read_monotonic()
        is_late = now > context.need.due_at
        is_late_or_failed = is_late or status >= SERVER_ERROR_STATUS
        limiter = self._late if is_late_or_failed else self._good
        if not self._may_write(limiter, now):
            return
        send = context.last_send
        _log.info(
            "Request %s was answered with %d%s.",
            context.arrival.request_id,
            status,
            ", late" if is_late else "",
            extra={
                "request": context.arrival.request_id,
                "path": context.arrival.path,
                "workspace": context.workspace_name,
                "service": context.need.service,
                "upstream": send.upstream if send else None,
                "region": send.region if send else None,
                "position": send.position if send else None,
                "load": round(send.load, 1) if send else None,
                "waited_ms": _to_ms(send.waited_s) if send else None,
                "unread_ms": _to_ms(read_delay_s),
                "held_ms": _to_ms(duration_s),
                "objective_ms": _to_ms(context.need.objective_s),
                "sends": context.sends,
                "configuration": get_revision(self._replica.catalog_revision),
                "left_out": limiter.dropped,
            },
        )

    def log_refusal(
        self,
        arrival: Arrival | None,
        error: RequestError,
        read_delay_s: float,
        duration_s: float,
    ) -> None:
        """Log why a request was not answered by an upstream."""
        now = read_monotonic()
        if not self._may_write(self._refused, now):
            return
        age_s = self._replica.proof.get_age(now)
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
                "unread_ms": _to_ms(read_delay_s),
                "held_ms": _to_ms(duration_s),
                "configuration": get_revision(self._replica.catalog_revision),
                "proof_age_s": None if age_s is None else round(age_s, 2),
                "left_out": self._refused.dropped,
            },
        )

    def log_overload(
        self, request_id: str, error: RequestError, read_delay_s: float
    ) -> None:
        """Log that a request was refused because the process is overloaded."""
        if not self._may_write(self._refused, read_monotonic()):
            return
        _log.info(
            "Request %s ended with status %d.",
            request_id,
            error.status,
            extra={
                "request": request_id,
                "code": error.code,
                "reason": str(error),
                "outcome": error.outcome.value,
                "unread_ms": _to_ms(read_delay_s),
                "left_out": self._refused.dropped,
            },
        )

    def log_internal_error(self, arrival: Arrival | None) -> None:
        """Log the exception of a request that failed unexpectedly."""
        self._metrics.count("faults.internal")
        if not self._may_write(self._refused, read_monotonic()):
            return
        _log.exception(
            "Request %s failed unexpectedly.",
            arrival.request_id if arrival else "?",
            extra={"left_out": self._refused.dropped},
        )

    def _may_write(self, limiter: LineLimiter, now: float) -> bool:
        if limiter.try_take(now):
            return True
        self._metrics.count("log_lines.left_out")
        return False


def _to_ms(span_s: float) -> float:
    return round(span_s * MS_PER_S, 1)
