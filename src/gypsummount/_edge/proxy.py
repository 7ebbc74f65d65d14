"""Execution of a request: selection, exchange, retries and answer."""

from dataclasses import dataclass

from gypsummount._common.callers import Caller
from gypsummount._common.clocks import read_monotonic
from gypsummount._edge.admission import Admission
from gypsummount._edge.admission import Case
from gypsummount._edge.admission import Send
from gypsummount._edge.backends import Backend
from gypsummount._edge.belief import Belief
from gypsummount._edge.repeats import Repeats
from gypsummount._edge.selection import Selection
from gypsummount._edge.waiting import Pick
from gypsummount._edge.wire import Arrival
from gypsummount._edge.wire import Verdict
from gypsummount._edge.wire import Wire
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount.errors import NoCapacity
from gypsummount.errors import OutcomeUnknown
from gypsummount.errors import UpstreamFailed

LEAST_SEND_S = 0.02
SHED_PAUSE_S = 0.1
REFUSED_RETRY_S = 0.05
SERVER_ERROR = 500


@dataclass(slots=True, frozen=True)
class ProxyOutcome:
    """An upstream's answer and the context of its request."""

    answer: UpstreamAnswer
    case: Case


class Proxy:
    """Sends each request at most as often as its route allows."""

    def __init__(
        self,
        belief: Belief,
        selection: Selection,
        admission: Admission,
        repeats: Repeats,
        wire: Wire,
        region: str,
    ) -> None:
        self._belief = belief
        self._selection = selection
        self._admission = admission
        self._repeats = repeats
        self._wire = wire
        self._region = region

    async def run(
        self, arrival: Arrival, caller: Caller, started: float
    ) -> ProxyOutcome:
        """Return the upstream's answer to a request.

        ``started`` is when the request arrived (boot clock, s).

        :raises RequestError: with the outcome of the request.
        :raises CallerLeft: if the caller disconnected before a send.
        """
        case = self._admission.open(arrival, caller, started)
        if case.canary is not None and not case.is_new:
            case.canary.in_flight_old += 1
        try:
            await self._admission.admit(case)
            answer = await self._run_tries(case)
            return ProxyOutcome(answer, case)
        finally:
            if case.canary is not None and not case.is_new:
                case.canary.in_flight_old -= 1
            self._admission.put_back(case)

    async def _run_tries(self, case: Case) -> UpstreamAnswer:
        tried: frozenset[str] = frozenset()
        self._repeats.note_first(case.need.service)
        while True:
            pick = await self._take(case, tried)
            tried = tried | {pick.backend.record.name}
            try:
                answer = await self._send(case, pick)
            except ExchangeError as error:
                self._judge_failure(case, pick.backend, error)
                continue
            verdict = self._wire.read_verdict(answer)
            if self._is_final(case, answer, verdict):
                return answer

    async def _take(self, case: Case, tried: frozenset[str]) -> Pick:
        try:
            return await self._selection.take(case.need, tried, case.deadline)
        except NoCapacity:
            if case.is_new and not case.sends:
                return await self._take_old(case, tried)
            if case.may_have_run:
                raise UpstreamFailed(
                    "the upstream failed and no other has room; send the "
                    "request again"
                ) from None
            raise

    async def _take_old(self, case: Case, tried: frozenset[str]) -> Pick:
        """Select an upstream of the old version when the new one is full.

        :raises NoCapacity: if the old version may not be used or is full.
        """
        canary = case.canary
        if canary.has_moved(read_monotonic()):
            raise NoCapacity("the new version has no room; come back later")
        canary.withdraw_new()
        case.is_new = False
        canary.in_flight_old += 1
        case.need = case.old_need
        return await self._selection.take(case.need, tried, case.deadline)

    async def _send(self, case: Case, pick: Pick) -> UpstreamAnswer:
        now = read_monotonic()
        backend = pick.backend
        closed_early = backend.pool.closed_early
        try:
            self._check_sendable(case, backend, case.deadline - now)
            answer = await backend.pool.send_built(
                lambda left_s: self._build(case, pick, left_s),
                case.deadline - now,
                repeatable=case.route.repeatable,
            )
        finally:
            if backend.pool.closed_early != closed_early:
                self._selection.note_broken(backend, read_monotonic())
            self._selection.release(backend)
        self._note_answer(case, pick, answer, read_monotonic() - now)
        return answer

    def _build(self, case: Case, pick: Pick, left_s: float) -> UpstreamRequest:
        """Return the request to send, after a last check.

        Runs when the connection is ready, so that ``left_s`` and the
        checks apply to the moment of the send.
        """
        backend = pick.backend
        self._check_sendable(case, backend, left_s)
        case.sends += 1
        case.last_send = Send(
            backend.record.name,
            backend.region,
            pick.position,
            pick.load,
            read_monotonic() - case.started,
        )
        return self._wire.build_request(
            case.arrival, backend.record.name, case.workspace_name, left_s
        )

    def _check_sendable(
        self, case: Case, backend: Backend, left_s: float
    ) -> None:
        """Check again what may have changed while the request waited.

        :raises RequestError: if it may not run, as its key was withdrawn.
        :raises CallerLeft: if the caller has disconnected.
        :raises ExchangeError: if it cannot be sent to this upstream.
        """
        self._admission.check_again(case)
        if left_s < LEAST_SEND_S or not backend.is_usable:
            raise ExchangeError(
                "the request was not sent: too little time is left or the "
                "upstream is out of use",
                sent=False,
            )

    def _note_answer(
        self,
        case: Case,
        pick: Pick,
        answer: UpstreamAnswer,
        latency_s: float,
    ) -> None:
        now = read_monotonic()
        backend = pick.backend
        verdict = self._wire.read_verdict(answer)
        backend.load.note_heard(now)
        if verdict.load is not None:
            report = verdict.load
            backend.load.note_report(report.running, report.waiting, now)
        if not verdict.ran:
            self._note_shed(backend, verdict, now)
            return
        failed = answer.status >= SERVER_ERROR
        if failed:
            backend.load.note_fault(now)
        else:
            backend.load.note_success(latency_s, case.need.hashed)
            self._selection.note_work(case.need.service, pick, latency_s)
        self._observe(case, failed=failed, latency_s=latency_s)

    def _note_shed(
        self, backend: Backend, verdict: Verdict, now: float
    ) -> None:
        """Pause an upstream that refused because it is full or replaced.

        An upstream that refuses although it reports free slots has a
        partial fault.  It may accept the next request, so it isn't paused.
        """
        load = verdict.load
        if load is not None and not verdict.is_other:
            if load.running + load.waiting < backend.record.slots:
                return
        backend.load.note_shed(now, SHED_PAUSE_S)

    def _observe(self, case: Case, *, failed: bool, latency_s: float) -> None:
        if case.canary is not None:
            case.canary.observe(
                case.route.name,
                is_new=case.is_new,
                failed=failed,
                latency_s=latency_s,
            )

    def _is_final(
        self,
        case: Case,
        answer: UpstreamAnswer,
        verdict: Verdict,
    ) -> bool:
        """Tell whether an answer is returned to the caller.

        :raises RequestError: if the request ends with an error instead.
        """
        if not verdict.ran:
            self._spend_repeat(case)
            return False
        if answer.status < SERVER_ERROR or not case.route.repeatable:
            return True
        case.may_have_run = True
        if not self._may_repeat(case):
            return True
        return False

    def _spend_repeat(self, case: Case) -> None:
        """Use a retry after an upstream refused to run the request.

        :raises RequestError: if no further send is allowed.
        """
        if self._may_repeat(case):
            return
        if case.may_have_run:
            raise UpstreamFailed(
                "the upstreams failed; send the request again"
            )
        error = NoCapacity(
            "the upstreams refused the request; come back later"
        )
        error.retry_after_s = REFUSED_RETRY_S
        raise error

    def _may_repeat(self, case: Case) -> bool:
        if case.sends >= case.route.attempts:
            return False
        if case.deadline - read_monotonic() < LEAST_SEND_S:
            return False
        return self._repeats.try_repeat(case.need.service)

    def _judge_failure(
        self, case: Case, backend: Backend, error: ExchangeError
    ) -> None:
        """Record a failed exchange; return if another upstream may be tried.

        :raises RequestError: otherwise, with the known outcome.
        """
        now = read_monotonic()
        if not error.sent:
            if backend.is_usable and case.deadline - now >= LEAST_SEND_S:
                self._selection.note_unreachable(backend, now)
            self._check_time(case, now)
            return
        case.may_have_run = True
        is_timeout = isinstance(error, ExchangeTimeout)
        self._blame(case, backend, now, is_timeout=is_timeout)
        self._observe(case, failed=True, latency_s=case.route.timeout_s)
        if not case.route.repeatable:
            raise OutcomeUnknown(f"{error}; the request may have run")
        if is_timeout:
            raise OutcomeUnknown(str(error))
        if not self._may_repeat(case):
            raise UpstreamFailed(f"{error}; send the request again")

    def _blame(
        self, case: Case, backend: Backend, now: float, *, is_timeout: bool
    ) -> None:
        """Record what a failed exchange says about the upstream.

        A timeout may be due to a short deadline of the request instead.
        An upstream that answers other requests hasn't restarted, and one
        that had less time than it usually takes isn't faulty.
        """
        if not is_timeout or backend.load.is_quiet(now):
            self._selection.note_broken(backend, now)
        sent_at = case.started + case.last_send.waited_s
        if not is_timeout or backend.load.is_fair(now - sent_at):
            backend.load.note_fault(now)

    def _check_time(self, case: Case, now: float) -> None:
        if case.deadline - now >= LEAST_SEND_S:
            return
        if case.may_have_run:
            raise OutcomeUnknown(
                "the deadline passed; the request may have run"
            )
        raise NoCapacity("no upstream accepted the request in time")
