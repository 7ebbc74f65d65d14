"""Execution of a request: selection, exchange, retries and answer."""

from dataclasses import dataclass

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.disconnects import CallerConnection
from gypsummount._edge.admission import Admission
from gypsummount._edge.admission import RequestContext
from gypsummount._edge.admission import Send
from gypsummount._edge.backends import Backend
from gypsummount._edge.exchange_results import build_failure
from gypsummount._edge.exchange_results import build_result
from gypsummount._edge.exchange_results import SERVER_ERROR_STATUS
from gypsummount._edge.hold_records import HoldRecorder
from gypsummount._edge.replica import Replica
from gypsummount._edge.retry_budgets import RetryBudgets
from gypsummount._edge.selection import Selection
from gypsummount._edge.selector import ExchangeResult
from gypsummount._edge.selector import Selector
from gypsummount._edge.send_counter import SendCounter
from gypsummount._edge.waiting import Pick
from gypsummount._edge.wire import AnswerReport
from gypsummount._edge.wire import Arrival
from gypsummount._edge.wire import Wire
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.errors import NoCapacity
from gypsummount.errors import OutcomeUnknown
from gypsummount.errors import UpstreamFailed

# A request with less time left is not sent.
MIN_SEND_TIME_S = 0.02
# An upstream that refused a request gets no other one for this time.
SHED_PAUSE_S = 0.1
REFUSED_RETRY_AFTER_S = 0.05


@dataclass(slots=True, frozen=True)
class ProxyOutcome:
    """An upstream's answer and the context of its request."""

    answer: UpstreamAnswer
    context: RequestContext


@dataclass(slots=True, frozen=True)
class _Reply:
    """An upstream's answer and what its headers state."""

    answer: UpstreamAnswer
    report: AnswerReport


class Proxy:
    """Sends each request at most as often as its route allows."""

    def __init__(
        self,
        replica: Replica,
        selection: Selection,
        admission: Admission,
        retry_budgets: RetryBudgets,
        wire: Wire,
        region: str,
        usage: SendCounter | None = None,
        *,
        selector: Selector | None = None,
    ) -> None:
        self._usage = usage
        self._replica = replica
        self._selection = selection
        self._selector = selector or selection
        self._admission = admission
        self._retry_budgets = retry_budgets
        self._wire = wire
        self._region = region
        self._holds = HoldRecorder()

    async def run(
        self, arrival: Arrival, caller: CallerConnection, arrived_at: float
    ) -> ProxyOutcome:
        """Return the upstream's answer to a request.

        ``arrived_at`` is when the request arrived (boot clock, s).

        :raises RequestError: with the outcome of the request.
        :raises CallerDisconnected: if the caller disconnected before a send.
        """
        context = self._admission.create_context(arrival, caller, arrived_at)
        if context.canary is not None and not context.is_new:
            context.canary.in_flight_old += 1
        try:
            self._check_capacity(context)
            await self._admission.admit(context)
            answer = await self._run_attempts(context)
            return ProxyOutcome(answer, context)
        finally:
            if context.canary is not None and not context.is_new:
                context.canary.in_flight_old -= 1
            self._admission.return_token(context)

    def _check_capacity(self, context: RequestContext) -> None:
        """Check for capacity first, so that no token is taken in vain.

        :raises NoCapacity: if no upstream is expected to be free in time.
        """
        if not context.is_new:
            self._selector.check_capacity(context.need, context.deadline)

    async def _run_attempts(self, context: RequestContext) -> UpstreamAnswer:
        tried: frozenset[str] = frozenset()
        self._retry_budgets.record_first_send(context.need.service)
        while True:
            pick = await self._select(context, tried)
            tried = tried | {pick.backend.record.name}
            try:
                reply = await self._send(context, pick)
            except ExchangeError as error:
                self._handle_failure(context, pick.backend, error)
                continue
            if self._is_final(context, reply):
                return reply.answer

    async def _select(
        self, context: RequestContext, tried: frozenset[str]
    ) -> Pick:
        try:
            return await self._selector.acquire(
                context.need, tried, context.deadline
            )
        except NoCapacity:
            if context.is_new and not context.sends:
                return await self._select_old_version(context, tried)
            if context.may_have_run:
                raise UpstreamFailed(
                    "the upstream failed and no other has room; send again"
                ) from None
            raise

    async def _select_old_version(
        self, context: RequestContext, tried: frozenset[str]
    ) -> Pick:
        """Select an upstream of the old version when the new one is full.

        :raises NoCapacity: if the old version may not be used or is full.
        """
        canary = context.canary
        if canary.has_moved(read_monotonic()):
            raise NoCapacity("the new version has no room; come back later")
        canary.withdraw_new()
        context.is_new = False
        canary.in_flight_old += 1
        context.need = context.old_need
        return await self._selector.acquire(
            context.need, tried, context.deadline
        )

    async def _send(self, context: RequestContext, pick: Pick) -> _Reply:
        now = read_monotonic()
        backend = pick.backend
        closed_early = backend.pool.closed_early
        result = ExchangeResult()
        try:
            self._check_sendable(context, backend, context.deadline - now)
            answer = await backend.pool.build_and_send(
                lambda left_s: self._build_request(context, pick, left_s),
                context.deadline - now,
                repeatable=context.route.repeatable,
            )
            reply = _Reply(answer, self._wire.read_verdict(answer))
            result = build_result(
                answer.status, reply.report, read_monotonic() - now
            )
        except ExchangeError as error:
            result = _build_failure(context, backend, error, now)
            raise
        finally:
            if backend.pool.closed_early != closed_early:
                self._selection.record_broken_exchange(
                    backend, read_monotonic()
                )
            self._selector.finish(pick, result)
        self._record_reply(context, pick, reply, read_monotonic() - now)
        return reply

    def _build_request(
        self, context: RequestContext, pick: Pick, left_s: float
    ) -> UpstreamRequest:
        """Return the request to send, after a last check.

        Runs when the connection is ready, so that ``left_s`` and the
        checks apply to the moment of the send.
        """
        backend = pick.backend
        self._check_sendable(context, backend, left_s)
        context.sends += 1
        context.last_send = Send(
            backend.record.name,
            backend.region,
            pick.position,
            pick.load,
            read_monotonic() - context.arrived_at,
        )
        if self._usage is not None:
            self._usage.record_send(context, pick)
        return self._wire.build_request(
            context.arrival,
            backend.record.name,
            context.workspace_name,
            left_s,
        )

    def _check_sendable(
        self, context: RequestContext, backend: Backend, left_s: float
    ) -> None:
        """Check again what may have changed while the request waited.

        :raises RequestError: if it may not run, as its key was withdrawn.
        :raises CallerDisconnected: if the caller has disconnected.
        :raises ExchangeError: if it cannot be sent to this upstream.
        """
        self._admission.recheck(context)
        may_send = backend.may_send(read_monotonic())
        if left_s < MIN_SEND_TIME_S or not may_send:
            raise ExchangeError(
                "the request can no longer be sent there", sent=False
            )

    def _record_reply(
        self,
        context: RequestContext,
        pick: Pick,
        reply: _Reply,
        latency_s: float,
    ) -> None:
        now = read_monotonic()
        backend = pick.backend
        report = reply.report
        backend.load.record_answer(now)
        self._holds.record(backend, report, now)
        if report.load is not None:
            self._selection.record_load(backend, report.load, now)
        if not report.ran:
            if self._usage is not None:
                self._usage.record_not_run(context)
            self._record_refusal(backend, report, now)
            return
        failed = reply.answer.status >= SERVER_ERROR_STATUS
        if failed:
            backend.load.record_fault(now)
        else:
            backend.load.record_success(latency_s, context.need.object_hash)
            self._selection.record_latency(context.need, pick, latency_s)
        self._record_evidence(context, failed=failed, latency_s=latency_s)

    def _record_refusal(
        self, backend: Backend, answer_report: AnswerReport, now: float
    ) -> None:
        """Pause an upstream that refused because it is full or replaced.

        An upstream that refuses although it reports free slots has a
        partial fault.  It may accept the next request, so it isn't paused.
        """
        load = answer_report.load
        if load is not None and not answer_report.is_other_upstream:
            if load.running + load.waiting < backend.record.slots:
                return
        backend.load.record_refusal(now, SHED_PAUSE_S)

    def _record_evidence(
        self, context: RequestContext, *, failed: bool, latency_s: float
    ) -> None:
        if context.canary is not None:
            context.canary.observe(
                context.route.name,
                is_new=context.is_new,
                failed=failed,
                latency_s=latency_s,
            )

    def _is_final(
        self,
        context: RequestContext,
        reply: _Reply,
    ) -> bool:
        """Tell whether an answer is returned to the caller.

        :raises RequestError: if the request ends with an error instead.
        """
        if not reply.report.ran:
            self._require_retry(context)
            return False
        failed = reply.answer.status >= SERVER_ERROR_STATUS
        if not failed or not context.route.repeatable:
            return True
        context.may_have_run = True
        if not self._may_retry(context):
            return True
        return False

    def _require_retry(self, context: RequestContext) -> None:
        """Use a retry after an upstream refused to run the request.

        :raises RequestError: if no further send is allowed.
        """
        if self._may_retry(context):
            return
        if context.may_have_run:
            raise UpstreamFailed("the upstreams failed; send it again")
        error = NoCapacity("the upstreams refused it; come back later")
        error.retry_after_s = REFUSED_RETRY_AFTER_S
        raise error

    def _may_retry(self, context: RequestContext) -> bool:
        if context.sends >= context.route.attempts:
            return False
        if context.deadline - read_monotonic() < MIN_SEND_TIME_S:
            return False
        return self._retry_budgets.try_retry(context.need.service)

    def _handle_failure(
        self, context: RequestContext, backend: Backend, error: ExchangeError
    ) -> None:
        """Record a failed exchange; return if another upstream may be tried.

        :raises RequestError: otherwise, with the known outcome.
        """
        now = read_monotonic()
        if not error.sent:
            is_in_time = context.deadline - now >= MIN_SEND_TIME_S
            if is_in_time and backend.may_send(now):
                self._selection.mark_unreachable(backend, now)
            self._check_deadline(context, now)
            return
        context.may_have_run = True
        is_timeout = isinstance(error, ExchangeTimeout)
        self._record_upstream_failure(
            context, backend, now, is_timeout=is_timeout
        )
        self._record_evidence(
            context, failed=True, latency_s=context.route.timeout_s
        )
        if not context.route.repeatable:
            raise OutcomeUnknown(f"{error}; the request may have run")
        if is_timeout:
            raise OutcomeUnknown(str(error))
        if not self._may_retry(context):
            raise UpstreamFailed(f"{error}; send it again")

    def _record_upstream_failure(
        self,
        context: RequestContext,
        backend: Backend,
        now: float,
        *,
        is_timeout: bool,
    ) -> None:
        """Record what a failed exchange says about the upstream.

        A timeout may be due to a short deadline of the request instead.
        An upstream that answers other requests hasn't restarted, and one
        that had less time than it usually takes isn't faulty.
        """
        is_silent = self._selection.has_no_recent_answer(backend, now)
        if not is_timeout or is_silent:
            self._selection.record_broken_exchange(backend, now)
        sent_at = context.arrived_at + context.last_send.waited_s
        if not is_timeout or backend.load.is_answer_due(now - sent_at):
            backend.load.record_fault(now)

    def _check_deadline(self, context: RequestContext, now: float) -> None:
        if context.deadline - now >= MIN_SEND_TIME_S:
            return
        if context.may_have_run:
            raise OutcomeUnknown("the time is over; the request may have run")
        raise NoCapacity("no upstream took the request in time")


def _build_failure(
    context: RequestContext,
    backend: Backend,
    error: ExchangeError,
    began_at: float,
) -> ExchangeResult:
    now = read_monotonic()
    has_time = context.deadline - now >= MIN_SEND_TIME_S
    return build_failure(
        error,
        now - began_at,
        could_send=has_time and backend.may_send(now),
        is_due=backend.load.is_answer_due(now - began_at),
    )
