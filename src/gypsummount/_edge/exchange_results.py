"""What the end of an exchange shows about its upstream."""

from gypsummount._edge.selector import ExchangeEnd
from gypsummount._edge.selector import ExchangeResult
from gypsummount._edge.wire import AnswerReport
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout

SERVER_ERROR_STATUS = 500


def build_result(
    status: int, report: AnswerReport, span_s: float
) -> ExchangeResult:
    """Return what an answer showed; its status and headers are given."""
    if not report.ran:
        end = ExchangeEnd.REFUSED
    elif status >= SERVER_ERROR_STATUS:
        end = ExchangeEnd.FAILED
    else:
        end = ExchangeEnd.SUCCEEDED
    return ExchangeResult(
        end,
        span_s,
        None if report.is_other_upstream else report.load,
        report.is_leaving,
        report.retry_after_s,
    )


def build_failure(
    error: ExchangeError, span_s: float, *, could_send: bool, is_due: bool
) -> ExchangeResult:
    """Return what a failed exchange showed.

    ``could_send`` tells that an unsent request had the time and the
    permission to be sent, and ``is_due`` that an answer was due.
    """
    if not error.sent:
        end = ExchangeEnd.UNANSWERED if could_send else ExchangeEnd.UNKNOWN
    elif not isinstance(error, ExchangeTimeout):
        end = ExchangeEnd.BROKEN
    else:
        end = ExchangeEnd.UNANSWERED if is_due else ExchangeEnd.UNKNOWN
    return ExchangeResult(end, span_s)
