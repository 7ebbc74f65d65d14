"""HTTP server for callers: shutdown, arrival times and overload."""

from asyncio import Runner
from asyncio import sleep
from contextlib import AsyncExitStack
import socket
from time import sleep as block

import pytest
from tornado.netutil import bind_sockets

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.loop_timer import create_timed_loop
from gypsummount._common.loop_timer import LoopTimer
from gypsummount._common.metrics import Metrics
from gypsummount._core.catalog import EdgeRoute
from gypsummount._core.freshness import FreshnessProof
from gypsummount._core.sanitizing import Header
from gypsummount._core.shedding import MIN_ADMITTED
from gypsummount._edge.admission import RequestContext
from gypsummount._edge.backends import Need
from gypsummount._edge.decisions import DecisionLog
from gypsummount._edge.front import EdgeFront
from gypsummount._edge.proxy import ProxyOutcome
from gypsummount._edge.replica import Replica
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.platform.wire import PlatformWire

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
BUSY_S = 0.3


def create_context(arrival, arrived_at, *, due_s=1.0):
    route = EdgeRoute("r", "h", "/", (), True, True, False, 2.0, due_s, 1, 0)
    need = Need("s", frozenset(), frozenset(), 1, 1, arrived_at + due_s, due_s)
    return RequestContext(
        arrival, None, route, None, arrived_at, arrived_at + 2.0, need, need
    )


class _Proxy:
    def __init__(self):
        self.runs = 0
        self.arrival_times = []

    async def run(self, arrival, caller, arrived_at):
        self.runs += 1
        self.arrival_times.append(arrived_at)
        answer = UpstreamAnswer(200, "OK", [], b"yes")
        return ProxyOutcome(answer, create_context(arrival, arrived_at))


class FrontHarness:
    """A front whose proxy answers at once, with a connection pool."""

    def __init__(self, stack, loop_timer=None):
        self.proxy = _Proxy()
        metrics = Metrics(None, "")
        replica = Replica(None, FreshnessProof(4.0))
        decisions = DecisionLog(replica, metrics)
        self.front = EdgeFront(
            self.proxy, PlatformWire(), metrics, decisions, loop_timer
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self.front.listen(sockets)
        stack.push_async_callback(self.front.close)
        self.address = sockets[0].getsockname()
        port = self.address[1]
        self.pool = ConnectionPool(f"127.0.0.1:{port}")
        stack.callback(self.pool.close)

    async def call(self):
        request = UpstreamRequest("GET", "/x", (), b"", "")
        return await self.pool.send(request, 2.0, repeatable=True)


@pytest.fixture
async def harness():
    async with AsyncExitStack() as stack:
        yield FrontHarness(stack)


class TestForms:
    PART = b'--b\r\nContent-Disposition: form-data; name="x"\r\n\r\ny\r\n'

    async def test_form_is_not_parsed(self, harness):
        """Guards against refusals of forms that only upstreams read."""
        request = UpstreamRequest(
            "POST",
            "/x",
            (Header("Content-Type", "multipart/form-data; boundary=b"),),
            self.PART * 150 + b"--b--\r\n",
            "",
        )
        answer = await harness.pool.send(request, 2.0, repeatable=True)
        assert answer.status == 200


class TestShutdown:
    async def test_request_on_a_kept_connection_is_refused_as_not_run(
        self, harness
    ):
        assert (await harness.call()).status == 200
        harness.front.is_closing = True
        harness.front.refuse_requests()
        answer = await harness.call()
        assert answer.status == 503
        headers = {header.name: header.value for header in answer.headers}
        assert headers["Connection"] == "close"
        assert harness.proxy.runs == 1

    async def test_leaving_front_closes_after_each_answer(self, harness):
        harness.front.is_closing = True
        answer = await harness.call()
        headers = {header.name: header.value for header in answer.headers}
        assert (answer.status, headers["Connection"]) == (200, "close")


async def call_busy_front(loop_timer, *, is_kept):
    """Return the time (s) from sending a request to its recorded arrival."""
    async with AsyncExitStack() as stack:
        harness = FrontHarness(stack, loop_timer)
        caller = socket.create_connection(harness.address)
        stack.callback(caller.close)
        if is_kept:
            await sleep(0.1)
        sent = read_monotonic()
        caller.sendall(REQUEST)
        block(BUSY_S)
        await sleep(0.1)
        return harness.proxy.arrival_times[0] - sent


class TestArrivalTimes:
    @pytest.mark.parametrize("is_kept", [True, False])
    def test_time_counts_from_the_arrival_at_a_busy_process(self, is_kept):
        """Guards against deadlines that start only when a request is read.

        A busy process reads late, so the wait in the socket has to count
        for the request's time.
        """
        loop_timer = LoopTimer()
        with Runner(
            loop_factory=lambda: create_timed_loop(loop_timer)
        ) as runner:
            delay_s = runner.run(call_busy_front(loop_timer, is_kept=is_kept))
        assert delay_s < BUSY_S / 2


class _LateLoopTimer(LoopTimer):
    """Timer of an event loop that reads every request late."""

    def get_max_read_delay(self, now):
        return 1.0


class TestOverload:
    async def test_busy_process_refuses_what_it_cannot_take(self):
        """Guards against an overload that makes every request late.

        A busy process has to refuse at once what it cannot run in time.
        """
        async with AsyncExitStack() as stack:
            harness = FrontHarness(stack, _LateLoopTimer())
            answers = [await harness.call() for _ in range(MIN_ADMITTED + 2)]
        assert [answer.status for answer in answers[-3:]] == [200, 503, 503]
        headers = {header.name: header.value for header in answers[-1].headers}
        assert 0 < float(headers["Retry-After"]) < 1
        assert harness.proxy.runs == MIN_ADMITTED
