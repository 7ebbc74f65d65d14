"""The way of one request: admission, selection, exchange, answer."""

from asyncio import sleep
from dataclasses import dataclass

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.canaries import Canary
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import EdgeRoute
from gypsummount._core.catalog import EdgeWorkspace
from gypsummount._core.catalog import NO_HOMES
from gypsummount._core.patience import Patience
from gypsummount._core.placement import hash_object
from gypsummount._core.quotas import QuotaShares
from gypsummount._core.spreading import WeightedTurns
from gypsummount._edge.belief import Belief
from gypsummount._edge.repeats import Repeats
from gypsummount._edge.rollouts import Rollouts
from gypsummount._edge.selection import Backend
from gypsummount._edge.selection import Need
from gypsummount._edge.selection import Pick
from gypsummount._edge.selection import Selection
from gypsummount._edge.wire import Arrival
from gypsummount._edge.wire import Verdict
from gypsummount._edge.wire import Wire
from gypsummount._entry.connections import ExchangeError
from gypsummount._entry.connections import ExchangeTimeout
from gypsummount._entry.connections import UpstreamAnswer
from gypsummount.errors import KeyMissing
from gypsummount.errors import KeyRefused
from gypsummount.errors import KeyStale
from gypsummount.errors import NoCapacity
from gypsummount.errors import NotReady
from gypsummount.errors import OutcomeUnknown
from gypsummount.errors import RateExceeded
from gypsummount.errors import RequestError
from gypsummount.errors import RouteMissing
from gypsummount.errors import UpstreamFailed

DEFAULT_PATIENCE_S = 30.0
DEADLINE_MARGIN_S = 0.005
LEAST_SEND_S = 0.02
SHED_PAUSE_S = 0.1
REFUSED_RETRY_S = 0.05
RANK_SPAN = 100
TOKEN_WAIT_PART = 0.4
SERVER_ERROR = 500
CERTAIN_AGE_S = 2.0


@dataclass(slots=True)
class Case:
    """A request under way with what was decided about it."""

    arrival: Arrival
    route: EdgeRoute
    workspace: EdgeWorkspace | None
    deadline: float
    need: Need
    old_need: Need
    canary: Canary | None = None
    is_new: bool = False
    has_token: bool = False
    sends: int = 0
    may_have_run: bool = False

    @property
    def workspace_name(self) -> str | None:
        """Return the name that upstreams are told."""
        return self.workspace.name if self.workspace else None


@dataclass(slots=True, frozen=True)
class ProxyOutcome:
    """An upstream's answer and what it was given for."""

    answer: UpstreamAnswer
    route: str
    workspace: str | None


class Proxy:
    """Runs each request at most as often as its route allows."""

    def __init__(
        self,
        belief: Belief,
        selection: Selection,
        quotas: QuotaShares,
        rollouts: Rollouts,
        repeats: Repeats,
        wire: Wire,
        region: str,
    ) -> None:
        self._belief = belief
        self._selection = selection
        self._quotas = quotas
        self._rollouts = rollouts
        self._repeats = repeats
        self._wire = wire
        self._region = region
        self._turns = WeightedTurns()
        self._patience = Patience()

    async def run(self, arrival: Arrival, started: float) -> ProxyOutcome:
        """Return the upstream's answer to a request.

        ``started`` is when the request was read (boot clock, s).

        :raises RequestError: with the outcome of the request.
        """
        case = self._open(arrival, started)
        if case.canary is not None and not case.is_new:
            case.canary.in_flight_old += 1
        try:
            await self._admit(case)
            answer = await self._run_tries(case)
            name = case.route.name
            return ProxyOutcome(answer, name, case.workspace_name)
        finally:
            if case.canary is not None and not case.is_new:
                case.canary.in_flight_old -= 1
            if case.has_token and case.sends == 0:
                self._quotas.put_back(case.workspace.name)

    def _open(self, arrival: Arrival, started: float) -> Case:
        catalog = self._belief.catalog
        if catalog is None or not self._belief.is_ready:
            raise NotReady("no configuration has arrived; try again in 1 s")
        route = self._find_route(catalog, arrival)
        workspace = self._find_workspace(catalog, route, arrival)
        patience_s = arrival.patience_s or DEFAULT_PATIENCE_S
        limit_s = min(patience_s - DEADLINE_MARGIN_S, route.timeout_s)
        began = started - self._patience.find_spent(route.name, patience_s)
        need = self._build_need(route, workspace, arrival, began)
        case = Case(arrival, route, workspace, started + limit_s, need, need)
        self._choose_version(case)
        return case

    def _find_route(self, catalog: Catalog, arrival: Arrival) -> EdgeRoute:
        route = catalog.find_route(arrival.host, arrival.path)
        if route is not None:
            return route
        self._check_certain()
        raise RouteMissing("no route has this host and path")

    def _find_workspace(
        self, catalog: Catalog, route: EdgeRoute, arrival: Arrival
    ) -> EdgeWorkspace | None:
        if route.is_open or not catalog.workspaces:
            return None
        if not arrival.key:
            raise KeyMissing("no key came; send the one you were given")
        owner = catalog.find_owner(arrival.key)
        if owner is None:
            self._check_certain()
            raise KeyRefused("the key is not in force; ask your operator")
        self._check_fresh()
        return owner

    def _check_certain(self) -> None:
        """Refuse without a verdict while the catalog may be out of date."""
        age_s = self._belief.proof.find_age(read_monotonic())
        if age_s is None or age_s > CERTAIN_AGE_S:
            raise NotReady(
                "the configuration may be out of date here; try another "
                "instance"
            )

    def _check_fresh(self) -> None:
        if not self._belief.proof.is_fresh(read_monotonic()):
            raise KeyStale(
                "key withdrawals may have been missed here; try another "
                "instance"
            )

    def _build_need(
        self,
        route: EdgeRoute,
        workspace: EdgeWorkspace | None,
        arrival: Arrival,
        began: float,
    ) -> Need:
        service = self._turns.choose(route.name, route.destinations)
        homes = _join_homes(
            route.home_regions,
            workspace.home_regions if workspace else NO_HOMES,
        )
        place = arrival.affinity if arrival.affinity else arrival.request_id
        first = workspace.priority if workspace else 0
        return Need(
            service,
            self._rollouts.find_versions(service),
            homes,
            hash_object(place),
            first * RANK_SPAN + route.priority,
            began + route.objective_s,
            route.objective_s,
        )

    def _choose_version(self, case: Case) -> None:
        need = case.need
        canary = self._rollouts.find(need.service)
        if canary is None:
            return
        case.canary = canary
        case.is_new = canary.choose_new(read_monotonic())
        if not case.is_new:
            return
        case.need = Need(
            need.service,
            frozenset((canary.order.target,)),
            need.regions,
            self._place_canary(case, canary),
            need.rank,
            need.due,
            need.objective_s,
        )

    def _place_canary(self, case: Case, canary: Canary) -> int:
        """Return the object hash of a request to the new version.

        While its share is small, all of it goes to one upstream, so
        that a fault under load can show.
        """
        if canary.has_moved(read_monotonic()):
            return case.need.hashed
        return hash_object(canary.order.service)

    async def _admit(self, case: Case) -> None:
        """Take a token of the workspace's rate, waiting a little for it.

        :raises RateExceeded: when none comes in time.
        """
        workspace = case.workspace
        if workspace is None:
            return
        wait_s = self._quotas.take(
            workspace.name,
            workspace.rate,
            workspace.burst,
            read_monotonic(),
            patience_s=case.route.objective_s * TOKEN_WAIT_PART,
        )
        if wait_s is None:
            raise self._build_over(workspace)
        case.has_token = True
        if wait_s > 0:
            await sleep(wait_s)

    def _build_over(self, workspace: EdgeWorkspace) -> RateExceeded:
        rate = workspace.rate
        share = self._quotas.find_share(workspace.name)
        error = RateExceeded(
            f"workspace {workspace.name} is over its rate of {rate:g}/s, of "
            f"which this instance has {share:.3f}; come back later"
        )
        error.retry_after_s = self._quotas.find_wait(workspace.name, rate)
        return error

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
                    "the upstream failed and no other has room; send again"
                ) from None
            raise

    async def _take_old(self, case: Case, tried: frozenset[str]) -> Pick:
        """Fall back to the old version when the new one is full."""
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
        left_s = case.deadline - now
        is_sent = False
        try:
            self._check_sendable(case, backend, left_s)
            request = self._wire.build_request(
                case.arrival,
                backend.record.name,
                case.workspace_name,
                left_s,
            )
            is_sent = True
            case.sends += 1
            answer = await backend.pool.send(
                request, left_s, repeatable=case.route.repeatable
            )
        except ExchangeError as error:
            case.sends -= not error.sent
            raise
        finally:
            self._selection.release(backend)
        if is_sent:
            self._note_answer(case, pick, answer, read_monotonic() - now)
        return answer

    def _check_sendable(
        self, case: Case, backend: Backend, left_s: float
    ) -> None:
        """Look again at what may have changed while the request waited."""
        if case.workspace is not None:
            owner = self._belief.catalog.find_owner(case.arrival.key)
            if owner is None or owner.name != case.workspace.name:
                raise KeyRefused("the key was withdrawn; ask for a new one")
            self._check_fresh()
        if left_s < LEAST_SEND_S or not backend.is_usable:
            raise ExchangeError(
                "the request can no longer be sent there", sent=False
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
        """Pause an upstream that refused because it is full or gone.

        One that refuses with slots free is faulty in part; it may take
        the next request.
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
        """Tell whether an answer goes back to the caller.

        :raises RequestError: when it ends the request otherwise.
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
        """Go on after a refusal, if one more send is allowed."""
        if self._may_repeat(case):
            return
        if case.may_have_run:
            raise UpstreamFailed("the upstreams failed; send it again")
        error = NoCapacity("the upstreams refused it; come back later")
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
        """Return if another upstream may be tried.

        :raises RequestError: otherwise, with what is known.
        """
        now = read_monotonic()
        if not error.sent:
            if backend.is_usable and case.deadline - now >= LEAST_SEND_S:
                backend.load.note_unreachable(now, self._find_cold(backend))
            self._check_time(case, now)
            return
        case.may_have_run = True
        is_timeout = isinstance(error, ExchangeTimeout)
        if not is_timeout or case.deadline - now <= LEAST_SEND_S:
            backend.load.note_fault(now)
        self._observe(case, failed=True, latency_s=case.route.timeout_s)
        if not case.route.repeatable:
            raise OutcomeUnknown(f"{error}; the request may have run")
        if is_timeout:
            raise OutcomeUnknown(str(error))
        if not self._may_repeat(case):
            raise UpstreamFailed(f"{error}; send it again")

    def _check_time(self, case: Case, now: float) -> None:
        if case.deadline - now >= LEAST_SEND_S:
            return
        if case.may_have_run:
            raise OutcomeUnknown("the time is over; the request may have run")
        raise NoCapacity("no upstream took the request in time")

    def _find_cold(self, backend: Backend) -> float:
        catalog = self._belief.catalog
        service = catalog.services.get(backend.record.service)
        return service.cold_s if service is not None else 0.0


def _join_homes(
    first: frozenset[str], second: frozenset[str]
) -> frozenset[str]:
    """Return the regions that both allow; empty stands for all."""
    if not first:
        return second
    if not second:
        return first
    both = first & second
    if not both:
        raise RequestError("the route and the workspace share no home region")
    return both
