"""What the proxy reports of each exchange to the selector."""

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.upstream_load import UpstreamLoad
from gypsummount._edge.backends import Backend
from gypsummount._edge.exchange_results import build_failure
from gypsummount._edge.exchange_results import build_result
from gypsummount._edge.proxy import Proxy
from gypsummount._edge.selector import ExchangeEnd
from gypsummount._edge.waiting import Pick
from gypsummount._edge.wire import AnswerReport
from gypsummount._edge.wire import LoadReport
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount.errors import CallerDisconnected
from tests.edge.test_front import create_context

LOAD = LoadReport(3, 0, 135)


class _Selector:
    """Records what is returned to it; also the selection's statistics."""

    def __init__(self):
        self.finished = []
        self.loads = []

    def finish(self, pick, result):
        self.finished.append(result)

    def record_load(self, backend, report, now):
        self.loads.append(report)

    def record_latency(self, need, pick, latency_s):
        pass


class _Pool:
    closed_early = 0

    def __init__(self, outcome):
        self._outcome = outcome

    async def build_and_send(self, build, timeout_s, *, repeatable):
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome


class _Wire:
    def read_verdict(self, answer):
        return AnswerReport(True, False, LOAD)


class _Admission:
    def recheck(self, context):
        pass


async def send(outcome):
    """Send one request; return the selector that it went through."""
    selector = _Selector()
    proxy = Proxy(
        None, selector, _Admission(), None, _Wire(), "r", selector=selector
    )
    record = UpstreamRecord("i-1", "s", "127.0.0.1:1", "d", "v1", 4, True)
    backend = Backend(UpstreamLoad(record), _Pool(outcome), "r")
    context = create_context(None, read_monotonic(), due_s=1.0)
    try:
        await proxy._send(context, Pick(backend, 0, 1.0))
    except (ExchangeError, CallerDisconnected):
        pass
    return selector


class TestProxy:
    @pytest.mark.parametrize(
        ("outcome", "end"),
        [
            (UpstreamAnswer(200, "OK", [], b""), ExchangeEnd.SUCCEEDED),
            (UpstreamAnswer(500, "No", [], b""), ExchangeEnd.FAILED),
            (ExchangeError("reset", sent=True), ExchangeEnd.BROKEN),
            (ExchangeError("refused", sent=False), ExchangeEnd.UNANSWERED),
            (CallerDisconnected("gone"), ExchangeEnd.UNKNOWN),
        ],
    )
    async def test_each_upstream_is_returned_once(self, outcome, end):
        """Guards against slots that are freed twice or never."""
        selector = await send(outcome)
        assert [result.end for result in selector.finished] == [end]

    async def test_speed_of_an_upstream_switches_dispatching_on(self):
        selector = await send(UpstreamAnswer(200, "OK", [], b""))
        assert selector.loads == [LOAD]
        assert selector.finished[0].load == LOAD


class TestResults:
    def test_refusal_by_another_upstream_tells_no_load(self):
        """Guards against the load of whoever took over the address."""
        report = AnswerReport(False, True, LOAD)
        result = build_result(421, report, 0.1)
        assert result.end is ExchangeEnd.REFUSED
        assert result.load is None

    def test_holds_are_passed_on(self):
        report = AnswerReport(False, False, LOAD, True, 2.0)
        result = build_result(503, report, 0.1)
        assert result.is_leaving
        assert result.retry_after_s == 2.0

    @pytest.mark.parametrize(
        ("error", "could_send", "is_due", "end"),
        [
            (ExchangeTimeout("t", sent=True), True, True, "UNANSWERED"),
            (ExchangeTimeout("t", sent=True), True, False, "UNKNOWN"),
            (ExchangeError("e", sent=False), False, True, "UNKNOWN"),
        ],
    )
    def test_little_time_is_no_fault_of_the_upstream(
        self, error, could_send, is_due, end
    ):
        """Guards against upstreams ejected for requests that were late."""
        result = build_failure(
            error, 0.1, could_send=could_send, is_due=is_due
        )
        assert result.end.name == end
