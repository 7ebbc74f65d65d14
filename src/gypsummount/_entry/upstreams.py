"""The upstreams of an entry's domain: slots, health and exchanges."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import FIRST_COMPLETED
from asyncio import Future
from asyncio import get_running_loop
from asyncio import Task
from asyncio import wait
from dataclasses import dataclass
from dataclasses import field
from random import Random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.logs import get_logger
from gypsummount._common.metrics import Metrics
from gypsummount._core.balancing import Candidate
from gypsummount._core.balancing import Policy
from gypsummount._core.balancing import TwoChoices
from gypsummount._core.fairness import FairQueue
from gypsummount._core.fairness import Waiting
from gypsummount._core.health import MAX_EJECTED_SHARE
from gypsummount._core.health import Report
from gypsummount._core.health import UpstreamHealth
from gypsummount._core.membership import ServiceLoad
from gypsummount._core.naming import UpstreamName
from gypsummount._core.outcomes import StoredAnswer
from gypsummount._core.retries import RetryBudget
from gypsummount._core.sanitizing import clean_answer_headers
from gypsummount._core.sanitizing import Header
from gypsummount._core.slots import SlotShare
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.connections import ExchangeError
from gypsummount._entry.connections import ExchangeTimeout
from gypsummount._entry.connections import Suspicion
from gypsummount._entry.connections import UpstreamAnswer
from gypsummount._entry.connections import UpstreamRequest
from gypsummount._entry.requests import SteeredRequest
from gypsummount._entry.snapshot import Snapshot
from gypsummount.errors import KeyRefused
from gypsummount.errors import NoCapacity
from gypsummount.errors import OutcomeUnknown
from gypsummount.errors import RequestError
from gypsummount.errors import UpstreamFailed

HEDGE_FLOOR_S = 0.05
HEDGE_FACTOR = 4.0
UNCLEAN_HOLD_S = 0.25
MAX_TRIES = 3
LEAVING_LIMIT_S = 600.0
SHED_STATUS = 503
LOAD_HEADER = "x-upstream-load"
STATE_HEADER = "x-upstream-state"
DEADLINE_HEADER = "X-Deadline-Ms"
WORKSPACE_HEADER = "X-Workspace"
MS_PER_S = 1000

_log = get_logger("upstreams")


@dataclass(slots=True)
class Upstream:
    """One upstream server as this entry sees it."""

    name: UpstreamName
    slots: SlotShare
    health: UpstreamHealth
    pool: ConnectionPool
    leaving_at: float | None = None


@dataclass(slots=True)
class _Group:
    """The upstreams of one service and version."""

    upstreams: list[Upstream] = field(default_factory=list)
    queue: FairQueue[Future[Upstream]] = field(default_factory=FairQueue)


@dataclass(slots=True, frozen=True)
class GroupName:
    """A service and one of its versions."""

    service: str
    version: str


class Upstreams:
    """Chooses an upstream, takes a slot of it and exchanges."""

    def __init__(
        self, snapshot: Snapshot, metrics: Metrics, random: Random
    ) -> None:
        self._snapshot = snapshot
        self._metrics = metrics
        self._policy: Policy = TwoChoices(random)
        self._retries = RetryBudget()
        self._known: dict[UpstreamName, Upstream] = {}
        self._groups: dict[GroupName, _Group] = {}
        self._suspicion = Suspicion()
        self._is_first = True

    def follow(self, slots: dict[UpstreamName, SlotShare]) -> None:
        """Take over new and dropped upstreams and the drained ones."""
        now = read_monotonic()
        for name, share in slots.items():
            if name not in self._known:
                self._add(name, share, now)
        self._is_first = self._is_first and not slots
        for upstream in self._known.values():
            if upstream.name.server in self._snapshot.draining:
                upstream.health.note_leaving()
            elif _has_returned(upstream, now):
                upstream.leaving_at = None
                upstream.health.note_restored(now)
        for name in self._groups:
            self._serve_queue(name)

    def close(self) -> None:
        """Close all connections."""
        for upstream in self._known.values():
            upstream.pool.close()

    def count_opened(self) -> int:
        """Return how many connections were opened since the start."""
        return sum(entry.pool.opened for entry in self._known.values())

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return free and owned slots by service, for callers abroad."""
        loads = []
        for service in self._snapshot.rules.services:
            groups = [name for name in self._groups if name.service == service]
            free = sum(self._count_foreign(name) for name in groups)
            total = sum(self._count_owned(name) for name in groups)
            loads.append(ServiceLoad(service, free, total))
        return tuple(loads)

    def has_free(self, service: str, version: str) -> bool:
        """Tell whether an upstream could take a request at once."""
        group = self._groups.get(GroupName(service, version))
        return group is not None and bool(
            self._list_candidates(group, read_monotonic())
        )

    def has_version(self, service: str, version: str) -> bool:
        """Tell whether this entry owns slots of a version."""
        group = self._groups.get(GroupName(service, version))
        return group is not None and any(
            entry.slots.owned > 0 for entry in group.upstreams
        )

    def _allows(self, request: SteeredRequest, name: GroupName) -> bool:
        """Tell whether a request from elsewhere keeps to the headroom."""
        return not request.is_foreign or self._count_foreign(name) > 0

    def _count_owned(self, name: GroupName) -> int:
        return sum(
            upstream.slots.owned for upstream in self._groups[name].upstreams
        )

    def _count_foreign(self, name: GroupName) -> int:
        """Return the slots that callers from elsewhere may take now."""
        group = self._groups.get(name)
        service = self._snapshot.rules.services.get(name.service)
        if group is None or service is None:
            return 0
        now = read_monotonic()
        able = [one for one in group.upstreams if one.health.can_take(now)]
        free = sum(one.slots.free for one in able)
        owned = sum(one.slots.owned for one in able)
        used = sum(one.slots.in_use for one in able)
        return max(0, min(free, int(owned * service.headroom) - used))

    async def run(
        self, request: SteeredRequest, version: str, *, may_wait: bool
    ) -> StoredAnswer:
        """Run a request on an upstream of this entry's domain.

        :raises NoCapacity: when no byte was sent.
        :raises OutcomeUnknown: when a request that may not be repeated
            may have run.
        :raises UpstreamFailed: when every try of another request failed.
        """
        self._retries.note_first_try()
        group = GroupName(request.route.service, version)
        tries = 0
        sent = False
        while True:
            tries += 1
            try:
                upstream = await self._take(group, request, may_wait=may_wait)
                return await self._try_once(upstream, request, group)
            except ExchangeError as error:
                sent = sent or error.sent
                self._judge_failure(request, error, tries, sent=sent)
            except RequestError as error:
                if not sent:
                    raise
                raise UpstreamFailed(f"{error}; send it again") from None

    def _judge_failure(
        self,
        request: SteeredRequest,
        error: ExchangeError,
        tries: int,
        *,
        sent: bool,
    ) -> None:
        if sent and not request.route.repeatable:
            raise OutcomeUnknown(
                f"{error}; the request may have run, so look it up "
                "before you send a new one"
            ) from None
        if tries < MAX_TRIES and self._retries.try_retry():
            self._metrics.count("upstreams.retries")
            return
        if sent:
            raise UpstreamFailed(f"{error}; send it again") from None
        raise NoCapacity(f"{error}; try again in 1 s") from None

    async def _try_once(
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
                (line.name, line.value)
                for line in clean_answer_headers(answer.headers)
            ),
            answer.body,
        )

    async def _exchange_hedged(
        self, upstream: Upstream, request: SteeredRequest, group: GroupName
    ) -> UpstreamAnswer:
        first = create_task(self._exchange(upstream, request))
        tasks: set[Task[UpstreamAnswer]] = {first}
        delay_s = max(HEDGE_FLOOR_S, upstream.health.latency_s * HEDGE_FACTOR)
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
        if self._retries.saved < 1 or not self._allows(request, group):
            return None
        other = self._take_now(self._groups[group])
        if other is None:
            return None
        self._retries.try_retry()
        self._metrics.count("upstreams.hedges")
        return create_task(self._exchange(other, request, new_only=True))

    async def _exchange(
        self,
        upstream: Upstream,
        request: SteeredRequest,
        *,
        new_only: bool = False,
    ) -> UpstreamAnswer:
        started = read_monotonic()
        limit_s = request.deadline - started
        is_clean = False
        try:
            self._check_key(request)
            self._check_deadline(request, started)
            answer = await upstream.pool.send(
                _build_request(request, limit_s),
                limit_s,
                repeatable=request.route.repeatable,
                new_only=new_only,
            )
            is_clean = True
        except ExchangeError as error:
            is_clean = not error.sent
            self._note_fault(upstream, error)
            raise
        except (CancelledError, KeyRefused):
            upstream.health.note_release()
            raise
        finally:
            self._release(upstream, is_clean=is_clean)
        self._note_answer(upstream, answer, read_monotonic() - started)
        return answer

    def _check_key(self, request: SteeredRequest) -> None:
        digest = request.key_digest
        if digest and not self._snapshot.keys.has_digest(digest):
            raise KeyRefused("the key was withdrawn; ask for a new one")

    def _check_deadline(self, request: SteeredRequest, now: float) -> None:
        if now >= request.deadline:
            raise ExchangeError(
                "the deadline passed before the request was sent",
                sent=False,
            )

    def _note_answer(
        self, upstream: Upstream, answer: UpstreamAnswer, latency_s: float
    ) -> None:
        now = read_monotonic()
        if answer.status >= 500:
            upstream.health.note_fault(
                now, may_eject=self._may_eject(upstream)
            )
        else:
            upstream.health.note_success(latency_s, now)
        for line in answer.headers:
            self._note_header(upstream, line, now)

    def _note_header(
        self, upstream: Upstream, line: Header, now: float
    ) -> None:
        name = line.name.lower()
        if name == LOAD_HEADER:
            try:
                load = float(line.value)
            except ValueError:
                return
            upstream.health.note_report(Report(load, now))
        elif name == STATE_HEADER and line.value == "leaving":
            upstream.leaving_at = now
            upstream.health.note_leaving()

    def _note_fault(self, upstream: Upstream, error: ExchangeError) -> None:
        kind = "timeout" if isinstance(error, ExchangeTimeout) else "broken"
        self._metrics.count(f"upstreams.{kind}")
        before = upstream.health.state
        upstream.health.note_fault(
            read_monotonic(), may_eject=self._may_eject(upstream)
        )
        if upstream.health.state != before:
            _log.warning("Ejected %s: %s", upstream.name.server, error)

    def _may_eject(self, upstream: Upstream) -> bool:
        group = self._find_group(upstream.name)
        ejected = sum(
            1
            for entry in group.upstreams
            if entry.health.state in ("ejected", "probing")
        )
        return ejected + 1 <= len(group.upstreams) * MAX_EJECTED_SHARE

    def _find_group(self, name: UpstreamName) -> _Group:
        group = GroupName(name.service, name.version)
        return self._groups.setdefault(group, _Group())

    def _add(self, name: UpstreamName, share: SlotShare, now: float) -> None:
        health = UpstreamHealth(now, cold=not self._is_first)
        pool = ConnectionPool(name.server, self._suspicion)
        upstream = Upstream(name, share, health, pool)
        self._known[name] = upstream
        self._find_group(name).upstreams.append(upstream)

    def _list_candidates(self, group: _Group, now: float) -> list[Upstream]:
        return [
            entry
            for entry in group.upstreams
            if entry.slots.free > 0
            and entry.health.can_take(now)
            and _has_warmth(entry, now)
        ]

    def _take_now(self, group: _Group) -> Upstream | None:
        now = read_monotonic()
        ready = {
            entry.name.server: entry
            for entry in self._list_candidates(group, now)
        }
        if not ready:
            return None
        chosen = self._policy.choose(
            [
                Candidate(
                    server,
                    entry.slots.in_use,
                    entry.health.find_reported(now),
                    entry.slots.owned,
                    entry.health.latency_s,
                )
                for server, entry in ready.items()
            ]
        )
        upstream = ready[chosen.upstream]
        if not upstream.slots.try_take(now):
            return None
        upstream.health.note_start()
        return upstream

    async def _take(
        self, name: GroupName, request: SteeredRequest, *, may_wait: bool
    ) -> Upstream:
        group = self._groups.get(name)
        if group is None or not self._allows(request, name):
            raise _build_no_capacity(name)
        if not group.queue:
            upstream = self._take_now(group)
            if upstream is not None:
                return upstream
        if not may_wait:
            raise _build_no_capacity(name)
        return await self._wait_slot(group, name, request)

    async def _wait_slot(
        self, group: _Group, name: GroupName, request: SteeredRequest
    ) -> Upstream:
        place: Future[Upstream] = get_running_loop().create_future()
        entry = Waiting(place, request.workspace, request.deadline)
        rules = self._snapshot.rules.workspaces
        known = rules.get(request.workspace)
        if not group.queue.push(entry, known.weight if known else 1.0):
            raise _build_no_capacity(name)
        try:
            left_s = request.deadline - read_monotonic()
            done, _ = await wait({place}, timeout=max(0.0, left_s))
        except CancelledError:
            self._leave_queue(group, place, request.workspace)
            raise
        if done:
            return place.result()
        self._leave_queue(group, place, request.workspace)
        raise _build_no_capacity(name)

    def _leave_queue(
        self, group: _Group, place: Future[Upstream], workspace: str
    ) -> None:
        if place.done() and not place.cancelled():
            upstream = place.result()
            upstream.health.note_release()
            self._release(upstream, is_clean=True)
            return
        place.cancel()
        group.queue.remove(place, workspace)

    def _release(self, upstream: Upstream, *, is_clean: bool) -> None:
        if is_clean:
            self._free_slot(upstream)
            return
        # The upstream may go on for a moment after a cancellation.
        get_running_loop().call_later(
            UNCLEAN_HOLD_S, self._free_slot, upstream
        )

    def _free_slot(self, upstream: Upstream) -> None:
        upstream.slots.release()
        name = GroupName(upstream.name.service, upstream.name.version)
        self._serve_queue(name)

    def _serve_queue(self, name: GroupName) -> None:
        group = self._groups[name]
        while group.queue:
            upstream = self._take_now(group)
            if upstream is None:
                return
            place = group.queue.pop(read_monotonic())
            while place is not None and place.done():
                place = group.queue.pop(read_monotonic())
            group.queue.expired.clear()
            if place is None:
                upstream.health.note_release()
                upstream.slots.release()
                return
            place.set_result(upstream)


def _has_returned(upstream: Upstream, now: float) -> bool:
    if upstream.leaving_at is None:
        return True
    return now - upstream.leaving_at > LEAVING_LIMIT_S


def _has_warmth(upstream: Upstream, now: float) -> bool:
    warmth = upstream.health.find_warmth(now)
    allowed = max(1, int(upstream.slots.owned * warmth))
    return upstream.slots.in_use < allowed


def _build_no_capacity(name: GroupName) -> NoCapacity:
    return NoCapacity(
        f"no slot of {name.service} {name.version} is free; try again in 1 s"
    )


def _build_request(request: SteeredRequest, limit_s: float) -> UpstreamRequest:
    headers = list(request.headers)
    left_ms = max(1, int(limit_s * MS_PER_S))
    headers.append(Header(DEADLINE_HEADER, str(left_ms)))
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
    """Return the first good answer, or raise the gravest failure.

    A failure after bytes were sent outweighs one before.
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
