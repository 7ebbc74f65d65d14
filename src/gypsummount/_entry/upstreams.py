"""Attempts, retries and hedged requests on upstreams.

The results update the health of the upstreams.
"""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import FIRST_COMPLETED
from asyncio import Task
from asyncio import wait

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.metrics import Metrics
from gypsummount._core.health import ReportedLoad
from gypsummount._core.outcomes import StoredAnswer
from gypsummount._core.retries import RetryBudget
from gypsummount._core.sanitizing import clean_answer_headers
from gypsummount._core.sanitizing import Header
from gypsummount._core.send_holds import parse_retry_after
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import ExchangeTimeout
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamRequest
from gypsummount._entry.requests import SteeredRequest
from gypsummount._entry.selection import GroupName
from gypsummount._entry.selection import Selection
from gypsummount._entry.selection import Upstream
from gypsummount._entry.snapshot import Snapshot
from gypsummount.errors import KeyRefused
from gypsummount.errors import NoCapacity
from gypsummount.errors import OutcomeUnknown
from gypsummount.errors import RequestError
from gypsummount.errors import UpstreamFailed

# A hedged request starts after a multiple of the upstream's latency, and
# not before this delay.
MIN_HEDGE_DELAY_S = 0.05
HEDGE_LATENCY_FACTOR = 4.0
MAX_ATTEMPTS = 3
SHED_STATUS = 503
LOAD_HEADER = "x-upstream-load"
STATE_HEADER = "x-upstream-state"
RETRY_AFTER_HEADER = "retry-after"
DEADLINE_HEADER = "X-Deadline-Ms"
WORKSPACE_HEADER = "X-Workspace"
MS_PER_S = 1000

_log = get_logger("upstreams")


class UpstreamRunner:
    """Runs requests on upstreams of the own domain.

    Retries and hedged requests share one budget, which limits them to a
    fraction of the first attempts.
    """

    def __init__(
        self, snapshot: Snapshot, selection: Selection, metrics: Metrics
    ) -> None:
        self._snapshot = snapshot
        self._selection = selection
        self._metrics = metrics
        self._retries = RetryBudget()

    async def run(
        self, request: SteeredRequest, version: str, *, may_wait: bool
    ) -> StoredAnswer:
        """Run a request on an upstream of this entry's domain.

        :raises NoCapacity: when no byte of it was sent.
        :raises OutcomeUnknown: when it may have run and may not be
            repeated.
        :raises UpstreamFailed: when it may be repeated and all attempts
            failed.
        """
        self._retries.record_first_attempt()
        group = GroupName(request.route.service, version)
        attempts = 0
        sent = False
        while True:
            attempts += 1
            try:
                upstream = await self._selection.acquire_slot(
                    group, request, may_wait=may_wait
                )
                return await self._attempt(upstream, request, group)
            except ExchangeError as error:
                sent = sent or error.sent
                self._raise_if_final(request, error, attempts, sent=sent)
            except RequestError as error:
                if not sent:
                    raise
                raise UpstreamFailed(f"{error}; send it again") from None

    def _raise_if_final(
        self,
        request: SteeredRequest,
        error: ExchangeError,
        attempts: int,
        *,
        sent: bool,
    ) -> None:
        if sent and not request.route.repeatable:
            raise OutcomeUnknown(
                f"{error}; the request may have run, so check its outcome "
                "before you send a new one"
            ) from None
        if attempts < MAX_ATTEMPTS and self._retries.try_retry():
            self._metrics.count("upstreams.retries")
            return
        if sent:
            raise UpstreamFailed(f"{error}; send it again") from None
        raise NoCapacity(f"{error}; try again in 1 s") from None

    async def _attempt(
        self, upstream: Upstream, request: SteeredRequest, group: GroupName
    ) -> StoredAnswer:
        if not request.route.repeatable:
            answer = await self._exchange(upstream, request)
        else:
            answer = await self._exchange_hedged(upstream, request, group)
        return StoredAnswer(
            answer.status,
            answer.reason,
            tuple(
                (header.name, header.value)
                for header in clean_answer_headers(answer.headers)
            ),
            bytes(answer.body),
        )

    async def _exchange_hedged(
        self, upstream: Upstream, request: SteeredRequest, group: GroupName
    ) -> UpstreamAnswer:
        first = create_task(self._exchange(upstream, request))
        tasks: set[Task[UpstreamAnswer]] = {first}
        delay_s = max(
            MIN_HEDGE_DELAY_S, upstream.health.latency_s * HEDGE_LATENCY_FACTOR
        )
        try:
            await wait(tasks, timeout=delay_s)
            if not first.done():
                hedge = self._start_hedge(request, group)
                if hedge is not None:
                    tasks.add(hedge)
            return await _await_first(tasks)
        finally:
            for task in tasks:
                task.cancel()

    def _start_hedge(
        self, request: SteeredRequest, group: GroupName
    ) -> Task[UpstreamAnswer] | None:
        if self._retries.saved < 1 or not self._selection.has_headroom(
            request, group
        ):
            return None
        upstream = self._selection.try_acquire_slot(group)
        if upstream is None:
            return None
        self._retries.try_retry()
        self._metrics.count("upstreams.hedges")
        return create_task(self._exchange(upstream, request, new_only=True))

    async def _exchange(
        self,
        upstream: Upstream,
        request: SteeredRequest,
        *,
        new_only: bool = False,
    ) -> UpstreamAnswer:
        started = read_monotonic()
        timeout_s = request.deadline - started
        is_clean = False
        try:
            self._check_deadline(timeout_s)
            answer = await upstream.pool.build_and_send(
                lambda remaining_s: self._build(request, remaining_s),
                timeout_s,
                repeatable=request.route.repeatable,
                new_only=new_only,
            )
            is_clean = True
        except ExchangeError as error:
            is_clean = not error.sent
            self._record_fault(upstream, error)
            raise
        except (CancelledError, KeyRefused):
            upstream.health.record_release()
            raise
        finally:
            self._selection.release(upstream, is_clean=is_clean)
        self._record_answer(upstream, answer, read_monotonic() - started)
        return answer

    def _build(
        self, request: SteeredRequest, remaining_s: float
    ) -> UpstreamRequest:
        """Check the key and the deadline again and build the request.

        Either may have changed while the request waited for a slot or a
        connection.
        """
        self._check_key(request)
        self._check_deadline(remaining_s)
        return _build_request(request, remaining_s)

    def _check_key(self, request: SteeredRequest) -> None:
        digest = request.key_digest
        if digest and not self._snapshot.keys.has_digest(digest):
            raise KeyRefused("the key was withdrawn; ask for a new one")

    def _check_deadline(self, remaining_s: float) -> None:
        if remaining_s <= 0:
            raise ExchangeError(
                "the deadline passed before the request was sent",
                sent=False,
            )

    def _record_answer(
        self, upstream: Upstream, answer: UpstreamAnswer, latency_s: float
    ) -> None:
        now = read_monotonic()
        if answer.status >= 500:
            upstream.health.record_fault(
                now, may_eject=self._selection.may_eject(upstream)
            )
        else:
            upstream.health.record_success(latency_s, now)
        for header in answer.headers:
            self._apply_header(upstream, header, now)
            if answer.status == SHED_STATUS:
                self._apply_retry_after(upstream, header, now)

    def _apply_retry_after(
        self, upstream: Upstream, header: Header, now: float
    ) -> None:
        """Send nothing to an upstream for the time that it names."""
        if header.name.lower() != RETRY_AFTER_HEADER:
            return
        span_s = parse_retry_after(header.value)
        if span_s is not None:
            upstream.health.hold.record_retry_after(now, span_s)

    def _apply_header(
        self, upstream: Upstream, header: Header, now: float
    ) -> None:
        name = header.name.lower()
        if name == LOAD_HEADER:
            try:
                load = float(header.value)
            except ValueError:
                return
            upstream.health.record_load_report(ReportedLoad(load, now))
        elif name == STATE_HEADER and header.value == "leaving":
            upstream.leaving_at = now
            upstream.health.mark_leaving()

    def _record_fault(self, upstream: Upstream, error: ExchangeError) -> None:
        kind = "timeout" if isinstance(error, ExchangeTimeout) else "broken"
        self._metrics.count(f"upstreams.{kind}")
        state_before = upstream.health.state
        upstream.health.record_fault(
            read_monotonic(), may_eject=self._selection.may_eject(upstream)
        )
        if upstream.health.state != state_before:
            _log.warning(
                "Ejected upstream %s: %s", upstream.name.server, error
            )


def _build_request(
    request: SteeredRequest, remaining_s: float
) -> UpstreamRequest:
    headers = list(request.headers)
    remaining_ms = max(1, int(remaining_s * MS_PER_S))
    headers.append(Header(DEADLINE_HEADER, str(remaining_ms)))
    headers.append(Header(WORKSPACE_HEADER, request.workspace))
    return UpstreamRequest(
        request.method,
        request.target,
        tuple(headers),
        request.body,
        request.request_id,
    )


async def _await_first(
    tasks: set[Task[UpstreamAnswer]],
) -> UpstreamAnswer:
    """Return the first complete answer; raise if all exchanges fail.

    A failure after bytes were sent takes precedence over one before.
    """
    pending = set(tasks)
    failures: list[BaseException] = []
    while pending:
        done, pending = await wait(pending, return_when=FIRST_COMPLETED)
        for task in done:
            failure = task.exception()
            if failure is None:
                return task.result()
            failures.append(failure)
    raise max(failures, key=lambda error: getattr(error, "sent", False))
