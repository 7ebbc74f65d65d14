"""Checks of deadline, caller and rate before a request is sent."""

from asyncio import sleep
from dataclasses import replace

import pytest

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.catalog import EdgeWorkspace
from gypsummount._core.draining import Drain
from gypsummount._core.freshness import FreshnessProof
from gypsummount._core.quotas import QuotaShares
from gypsummount._edge.admission import Admission
from gypsummount._edge.peers import Peers
from gypsummount._edge.replica import Replica
from gypsummount._edge.tokens import Tokens
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.errors import CallerDisconnected
from gypsummount.errors import InstanceLeaving
from gypsummount.errors import NoCapacity
from gypsummount.errors import RateExceeded
from gypsummount.errors import UpstreamFailed
from tests.edge.test_front import create_context
from tests.entry.wires import build_answer
from tests.entry.wires import read_request
from tests.entry.wires import ScriptedUpstream


class _Upstream(ScriptedUpstream):
    def __init__(self):
        super().__init__(self._serve)
        self.requests = 0

    async def _serve(self, reader, writer):
        while True:
            head = await read_request(reader)
            self.requests += 1
            writer.write(build_answer(head, b"whole"))


@pytest.fixture
async def upstream():
    async with _Upstream() as created:
        yield created


class _Caller:
    def __init__(self, *, is_disconnected):
        self._is_disconnected = is_disconnected

    def has_disconnected(self):
        return self._is_disconnected


class TestRecheck:
    @pytest.fixture
    def admission(self):
        replica = Replica(None, FreshnessProof(4.0))
        return Admission(replica, None, None, None, Drain())

    def test_caller_that_disconnected_while_waiting_is_found(self, admission):
        """Guards against sends for callers that disconnected while waiting."""
        context = create_context(None, read_monotonic())
        context.caller = _Caller(is_disconnected=True)
        with pytest.raises(CallerDisconnected):
            admission.recheck(context)

    def test_caller_that_waits_is_served(self, admission):
        context = create_context(None, read_monotonic())
        context.caller = _Caller(is_disconnected=False)
        admission.recheck(context)


class TestStop:
    """A stopping instance sends no request that may outlast it."""

    @pytest.fixture
    def context(self):
        context = create_context(None, read_monotonic())
        context.caller = _Caller(is_disconnected=False)
        return context

    def recheck(self, context, *, spare_s, notice_s=0.0):
        """Check again a request that may end ``spare_s`` before the drain.

        Callers notice the stop after ``notice_s``.
        """
        drain = Drain()
        drain.begin(context.deadline + spare_s, read_monotonic() + notice_s)
        replica = Replica(None, FreshnessProof(4.0))
        Admission(replica, None, None, None, drain).recheck(context)

    def test_request_that_ends_in_time_is_sent(self, context):
        self.recheck(context, spare_s=0.1)

    def test_request_that_waited_too_long_is_not_sent(self, context):
        """Guards against sends after a wait that the stop cuts off."""
        with pytest.raises(InstanceLeaving):
            self.recheck(context, spare_s=-0.1)

    def test_long_limit_is_no_reason_to_refuse_at_once(self, context):
        """Guards against stops that refuse all where limits are long."""
        context.route = replace(context.route, objective_s=0.1)
        self.recheck(context, spare_s=-0.1, notice_s=1.0)

    def test_long_limit_of_what_may_not_be_repeated_is_kept(self, context):
        context.route = replace(
            context.route, objective_s=0.1, repeatable=False
        )
        with pytest.raises(InstanceLeaving):
            self.recheck(context, spare_s=-0.1, notice_s=1.0)

    def test_retry_that_may_be_cut_is_not_sent(self, context):
        """Guards against "not run" for a request that may have run."""
        context.may_have_run = True
        with pytest.raises(UpstreamFailed):
            self.recheck(context, spare_s=-0.1)


class TestTokens:
    @pytest.fixture
    def quotas(self):
        return QuotaShares(1.0)

    def admit(self, quotas, *, remaining_s):
        """Admit a request of a workspace that has spent its tokens."""
        now = read_monotonic()
        replica = Replica(None, FreshnessProof(4.0))
        context = create_context(None, now, due_s=1.0)
        context.workspace = EdgeWorkspace("w", 10.0, 2.0, 0)
        context.deadline = now + remaining_s
        for _ in range(2):
            quotas.take_token("w", 10.0, 2.0, now, max_wait_s=0.0)
        tokens = Tokens("n1", quotas, replica, Peers("r1"), None)
        admission = Admission(replica, tokens, None, None, Drain())
        return admission.admit(context)

    async def test_token_that_comes_after_the_deadline_is_not_awaited(
        self, quotas
    ):
        """Guards against requests held past their deadline for a token."""
        with pytest.raises(RateExceeded):
            await self.admit(quotas, remaining_s=0.02)

    async def test_token_that_comes_in_time_is_awaited(self, quotas):
        await self.admit(quotas, remaining_s=0.5)

    async def test_request_whose_time_is_over_is_refused_at_once(self, quotas):
        """Guards against work on requests read after their deadline."""
        with pytest.raises(NoCapacity, match="too late"):
            await self.admit(quotas, remaining_s=-0.1)


class TestBuildAtTheSend:
    async def test_caller_that_disconnects_during_the_connect_gets_no_send(
        self, upstream
    ):
        """Guards against sends for callers that disconnect meanwhile."""
        pool = ConnectionPool(upstream.address)

        def build(remaining_s):
            raise CallerDisconnected("the caller has left")

        with pytest.raises(CallerDisconnected):
            await pool.build_and_send(build, 1.0, repeatable=True)
        assert pool.opened == 1
        assert pool.idle == 1
        await sleep(0.05)
        assert upstream.requests == 0
        pool.close()

    async def test_remaining_time_is_computed_at_the_send(self, upstream):
        """Guards against sending a deadline that was computed too early.

        Opening the connection takes some of the remaining time.
        """
        pool = ConnectionPool(upstream.address)
        remaining = []

        def build(remaining_s):
            remaining.append(remaining_s)
            return UpstreamRequest("GET", "/x", (), b"", "id-1")

        answer = await pool.build_and_send(build, 1.0, repeatable=True)
        assert answer.body == b"whole"
        assert 0.5 < remaining[0] < 1.0
        pool.close()
