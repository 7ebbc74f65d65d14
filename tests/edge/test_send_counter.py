"""Which sends of the proxy count as usage."""

from asyncio import CancelledError
from dataclasses import dataclass
from dataclasses import field

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.clocks import read_wall
from gypsummount._core.catalog import EdgeWorkspace
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.upstream_load import UpstreamLoad
from gypsummount._core.usage import UsageCounts
from gypsummount._core.usage import UsageRules
from gypsummount._edge.backends import Backend
from gypsummount._edge.proxy import Proxy
from gypsummount._edge.send_counter import SendCounter
from gypsummount._edge.waiting import Pick
from gypsummount._edge.wire import AnswerReport
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout
from gypsummount._entry.exchanges import UpstreamAnswer
from tests.edge.test_front import create_context

WORKSPACE = EdgeWorkspace("w", 10.0, 10.0, 0)
# Windows are longer than a test takes.
RULES = UsageRules(1e6, 0.05, 10.0)
RAN = AnswerReport(True, False, None)
REFUSED = AnswerReport(False, False, None)
OTHER_UPSTREAM = AnswerReport(False, True, None)


@dataclass(slots=True)
class _Pool:
    """Connections whose exchanges end as a test says."""

    closed_early: int = 0
    is_connected: bool = True
    error: BaseException | None = None
    sent: list = field(default_factory=list)

    async def build_and_send(self, build, timeout_s, *, repeatable):
        if not self.is_connected:
            raise ExchangeError("cannot connect", sent=False)
        self.sent.append(build(timeout_s))
        if self.error is not None:
            raise self.error
        return UpstreamAnswer(200, "OK", [], b"")


class _Wire:
    verdict = RAN

    def build_request(self, arrival, upstream, workspace, left_s):
        return workspace

    def read_verdict(self, answer):
        return self.verdict


class _Admission:
    error = None

    def recheck(self, context):
        if self.error is not None:
            raise self.error


class _Selection:
    def finish(self, pick, result):
        pass

    def record_latency(self, need, pick, latency_s):
        pass


class _Harness:
    """A proxy that counts its sends, with one upstream."""

    def __init__(self):
        self.counts = UsageCounts(RULES, read_wall())
        self.wire = _Wire()
        self.pool = _Pool()
        self.admission = _Admission()
        self.proxy = Proxy(
            None,
            _Selection(),
            self.admission,
            None,
            self.wire,
            "r",
            SendCounter(self.counts),
        )
        record = UpstreamRecord("i-1", "s", "127.0.0.1:1", "d", "v1", 4, True)
        self.backend = Backend(UpstreamLoad(record), self.pool, "r")

    async def send(self, context, verdict=RAN, load=0.0):
        self.wire.verdict = verdict
        await self.proxy._send(context, Pick(self.backend, 0, load))

    def read(self):
        counts = {}
        for window in self.counts.list_windows():
            part = self.counts.get_part(window, 0, read_wall())
            counts.update(part.counts)
        return counts


@pytest.fixture
def harness():
    return _Harness()


@pytest.fixture
def context():
    created = create_context(None, read_monotonic())
    created.workspace = WORKSPACE
    return created


class TestCounting:
    async def test_executed_request_counts(self, harness, context):
        await harness.send(context)
        assert harness.read() == {"w": 1}

    async def test_retry_counts_again(self, harness, context):
        """Guards against one count for two executions."""
        await harness.send(context)
        await harness.send(context)
        assert harness.read() == {"w": 2}

    @pytest.mark.parametrize("verdict", [REFUSED, OTHER_UPSTREAM])
    async def test_request_that_was_not_executed_is_reverted(
        self, harness, context, verdict
    ):
        """Guards against refusals that are billed."""
        await harness.send(context, verdict)
        assert harness.read() == {"w": 0}
        await harness.send(context)
        await harness.send(context, verdict)
        assert harness.read() == {"w": 1}

    @pytest.mark.parametrize(
        "error",
        [
            ExchangeTimeout("late", sent=True),
            ExchangeError("cut", sent=True),
            CancelledError(),
        ],
    )
    async def test_request_that_may_have_run_counts(
        self, harness, context, error
    ):
        """Guards against timeouts and cancelled requests left out."""
        harness.pool.error = error
        with pytest.raises(type(error)):
            await harness.send(context)
        assert harness.read() == {"w": 1}

    async def test_request_without_a_connection_does_not_count(
        self, harness, context
    ):
        harness.pool.is_connected = False
        with pytest.raises(ExchangeError):
            await harness.send(context)
        assert harness.read() == {}

    async def test_request_that_the_last_check_stops_does_not_count(
        self, harness, context
    ):
        harness.admission.error = ExchangeError("withdrawn", sent=False)
        with pytest.raises(ExchangeError):
            await harness.send(context)
        assert harness.read() == {}

    async def test_route_without_a_workspace_does_not_count(
        self, harness, context
    ):
        context.workspace = None
        await harness.send(context)
        await harness.send(context, REFUSED)
        assert harness.read() == {}

    async def test_request_counts_when_a_slot_is_expected(
        self, harness, context
    ):
        """Guards against queued requests counted at the time of the send."""
        harness.backend.load.record_success(0.5, 1)
        times = []
        harness.counts.record_send = lambda name, at: times.append(at)
        began = read_wall()
        await harness.send(context, load=3.0)
        await harness.send(context, load=7.0)
        assert times[0] - began < 0.4
        assert 0.4 < times[1] - began < 0.9
