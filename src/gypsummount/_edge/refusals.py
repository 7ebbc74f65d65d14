"""Refusals of requests that no upstream can serve in time."""

from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._core.completion_rate import CompletionRate
from gypsummount._core.completion_rate import ReturnTimes
from gypsummount._edge.backends import Need
from gypsummount._edge.selection_policy import build_no_capacity
from gypsummount.errors import NoCapacity

# Callers of late requests that are refused return after this time at least,
# as free slots go to others first.
LATE_RETURN_S = 0.5
REFUSAL_LINES_PER_S = 0.5
MS_PER_S = 1000

_log = get_logger("selection")


class Refusals:
    """Counts refusals and tells callers when to return.

    ``early`` were refused at once or soon, ``late`` after a longer wait.
    ``rate`` is the rate at which requests of the service end.
    """

    def __init__(self, service: str, now: float) -> None:
        self._service = service
        self._returns = ReturnTimes()
        self._lines = LineLimiter(REFUSAL_LINES_PER_S, now)
        self.rate = CompletionRate(now)
        self.early = 0
        self.late = 0

    def build_error(
        self,
        need: Need,
        wait_s: float,
        waiting: int,
        now: float,
        *,
        is_early: bool,
    ) -> NoCapacity:
        """Return the error that tells when capacity will be available.

        ``wait_s`` is the expected wait and ``waiting`` the number of
        requests in the queue.
        """
        if is_early:
            self.early += 1
        else:
            self.late += 1
        if now > need.due_at:
            wait_s = max(wait_s, LATE_RETURN_S)
        rate = self.rate.read(now)
        error = build_no_capacity(need)
        error.retry_after_s = self._returns.book(wait_s, rate, now)
        if self._lines.try_take(now):
            _log.info(
                "A request to %s is refused: no upstream is free in time.",
                self._service,
                extra={
                    "wait_ms": round(wait_s * MS_PER_S, 1),
                    "retry_after_ms": round(error.retry_after_s * MS_PER_S),
                    "waiting": waiting,
                    "completions_per_s": round(rate, 1),
                    "refused_early": self.early,
                    "refused_late": self.late,
                    "left_out": self._lines.dropped,
                },
            )
        return error
