"""Records the holds that upstreams put on further requests."""

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._edge.backends import Backend
from gypsummount._edge.wire import AnswerReport

PUSHBACK_LINES_PER_S = 2.0

_log = get_logger("proxy")


class HoldRecorder:
    """Records holds from answers and logs them at a bounded rate."""

    def __init__(self) -> None:
        self._pushback_lines = LineLimiter(
            PUSHBACK_LINES_PER_S, read_monotonic()
        )

    def record(
        self, backend: Backend, report: AnswerReport, now: float
    ) -> None:
        """Record that an upstream wants no further requests."""
        hold = backend.load.hold
        if report.is_leaving and not hold.is_leaving:
            hold.record_leaving()
            _log.info(
                "Upstream %s is leaving; it gets no further requests.",
                backend.record.name,
            )
        if report.retry_after_s is not None:
            hold.record_retry_after(now, report.retry_after_s)
            self._log_pushback(backend, report.retry_after_s, now)

    def _log_pushback(
        self, backend: Backend, span_s: float, now: float
    ) -> None:
        if not self._pushback_lines.try_take(now):
            return
        _log.info(
            "Upstream %s wants no requests for a while.",
            backend.record.name,
            extra={
                "for_s": round(span_s, 3),
                "left_out": self._pushback_lines.dropped,
            },
        )
