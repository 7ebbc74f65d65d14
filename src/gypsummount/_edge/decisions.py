"""Log lines for the decisions that touch requests, bounded in volume."""

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.metrics import Metrics
from gypsummount._edge.belief import Belief
from gypsummount._edge.wire import Arrival
from gypsummount.errors import RequestError

LINES_PER_S = 10.0
LARGEST_BURST = 20.0
MS_PER_S = 1000

_log = get_logger("decisions")


class DecisionLog:
    """Writes one line a refused or failed request, up to a rate.

    Lines over the rate are counted and the count goes into the next
    line, so that nothing is left out silently.
    """

    def __init__(self, belief: Belief, metrics: Metrics) -> None:
        self._belief = belief
        self._metrics = metrics
        self._tokens = LARGEST_BURST
        self._filled_at = read_monotonic()
        self.left_out = 0

    def note_refusal(
        self, arrival: Arrival | None, error: RequestError, held_s: float
    ) -> None:
        """Log why a request was not answered by an upstream."""
        if not self._take_token():
            self._leave_out()
            return
        age_s = self._belief.proof.find_age(read_monotonic())
        _log.info(
            "Request %s ended with %d.",
            arrival.request_id if arrival else "?",
            error.status,
            extra={
                "request": arrival.request_id if arrival else None,
                "path": arrival.path if arrival else None,
                "code": error.code,
                "reason": str(error),
                "outcome": error.outcome.value,
                "held_ms": round(held_s * MS_PER_S, 1),
                "configuration": self._belief.catalog_revision,
                "proof_age_s": None if age_s is None else round(age_s, 2),
                "left_out": self.left_out,
            },
        )

    def note_fault(self, arrival: Arrival | None) -> None:
        """Log the exception of a request that failed unexpectedly."""
        self._metrics.count("faults.internal")
        if not self._take_token():
            self._leave_out()
            return
        _log.exception(
            "Request %s failed unexpectedly.",
            arrival.request_id if arrival else "?",
            extra={"left_out": self.left_out},
        )

    def _leave_out(self) -> None:
        self.left_out += 1
        self._metrics.count("log_lines.left_out")

    def _take_token(self) -> bool:
        now = read_monotonic()
        gained = (now - self._filled_at) * LINES_PER_S
        self._filled_at = now
        self._tokens = min(LARGEST_BURST, self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
