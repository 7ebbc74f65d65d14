"""Admission of requests: route, key, rate limit and version."""

from asyncio import sleep
from dataclasses import dataclass
from dataclasses import replace
from random import Random

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.disconnects import CallerConnection
from gypsummount._core.caller_deadlines import CallerDeadlines
from gypsummount._core.canaries import Canary
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import EdgeRoute
from gypsummount._core.catalog import EdgeWorkspace
from gypsummount._core.draining import Drain
from gypsummount._core.placement import hash_object
from gypsummount._core.service_times import classify_body
from gypsummount._core.weighted_choice import WeightedChoice
from gypsummount._edge.authorization import Authorization
from gypsummount._edge.authorization import find_home_regions
from gypsummount._edge.backends import Need
from gypsummount._edge.replica import Replica
from gypsummount._edge.rollouts import Rollouts
from gypsummount._edge.token_messages import TokenGrant
from gypsummount._edge.tokens import Tokens
from gypsummount._edge.wire import Arrival
from gypsummount.errors import CallerDisconnected
from gypsummount.errors import ConfigurationChanged
from gypsummount.errors import InstanceLeaving
from gypsummount.errors import NoCapacity
from gypsummount.errors import NotReady
from gypsummount.errors import RateExceeded
from gypsummount.errors import UpstreamFailed

DEFAULT_CALLER_TIMEOUT_S = 30.0  # for callers that state no deadline
# An answer has to reach callers up to 10 ms away before their deadline.
DEADLINE_MARGIN_S = 0.03
RANKS_PER_PRIORITY = 100  # ranks within one workspace priority
# The longest wait for a token, relative to the latency objective.
WAIT_FRACTION = 0.4
# Most requests end within this many latency objectives.
USUAL_OBJECTIVES = 2.0
# A caller that has waited longer than this fraction of the latency objective
# was probably refused before; less may be variation of its deadlines.
RETURNING_FRACTION = 0.05


@dataclass(slots=True, frozen=True)
class Send:
    """Where and how a request was sent.

    ``position`` is the upstream's position in the object's order,
    ``load`` its estimated number of requests, and ``waited_s`` the time
    from the arrival to the send.
    """

    upstream: str
    region: str
    position: int
    load: float
    waited_s: float


@dataclass(slots=True)
class RequestContext:
    """A request in progress and the decisions made about it.

    ``arrived_at`` and ``deadline`` are in seconds of the boot clock.
    ``usage_window`` is the window in which the last send was counted, and
    ``catalog`` the configuration under which the request was last checked.
    """

    arrival: Arrival
    caller: CallerConnection
    route: EdgeRoute
    workspace: EdgeWorkspace | None
    arrived_at: float
    deadline: float
    need: Need
    old_need: Need
    canary: Canary | None = None
    is_new: bool = False
    has_token: bool = False
    sends: int = 0
    may_have_run: bool = False
    last_send: Send | None = None
    usage_window: int | None = None
    catalog: Catalog | None = None

    @property
    def workspace_name(self) -> str | None:
        """Return the workspace name sent to upstreams, None on open routes."""
        return self.workspace.name if self.workspace else None


class Admission:
    """Decides whether a request may run, and with which requirements."""

    def __init__(
        self,
        replica: Replica,
        tokens: Tokens,
        rollouts: Rollouts,
        random: Random,
        drain: Drain,
    ) -> None:
        self._drain = drain
        self._replica = replica
        self._authorization = Authorization(replica)
        self._tokens = tokens
        self._rollouts = rollouts
        self._weighted_choice = WeightedChoice(random)
        self._caller_deadlines = CallerDeadlines()

    def create_context(
        self, arrival: Arrival, caller: CallerConnection, arrived_at: float
    ) -> RequestContext:
        """Return the context of a request that arrived at ``arrived_at``.

        :raises RequestError: if it may not run, with the reason.
        """
        catalog = self._replica.catalog
        if catalog is None or not self._replica.is_ready:
            raise NotReady("no configuration has arrived; try again in 1 s")
        route = self._authorization.find_route(catalog, arrival)
        workspace = self._authorization.find_workspace(catalog, route, arrival)
        remaining_s = arrival.remaining_s or DEFAULT_CALLER_TIMEOUT_S
        deadline = arrived_at + min(
            remaining_s - DEADLINE_MARGIN_S, route.timeout_s
        )
        waited_s = self._caller_deadlines.estimate_waited(
            route.name, remaining_s
        )
        first_sent_at = arrived_at - waited_s
        need = self._build_need(
            route, workspace, arrival, first_sent_at, waited_s
        )
        context = RequestContext(
            arrival,
            caller,
            route,
            workspace,
            arrived_at,
            deadline,
            need,
            need,
            catalog=catalog,
        )
        self._check_drain(context)
        self._choose_version(context)
        return context

    def _build_need(
        self,
        route: EdgeRoute,
        workspace: EdgeWorkspace | None,
        arrival: Arrival,
        first_sent_at: float,
        waited_s: float,
    ) -> Need:
        service = self._weighted_choice.choose(route.name, route.destinations)
        homes = find_home_regions(route, workspace)
        affinity_key = (
            arrival.affinity if arrival.affinity else arrival.request_id
        )
        priority = workspace.priority if workspace else 0
        return Need(
            service,
            self._rollouts.get_versions(service),
            homes,
            hash_object(affinity_key),
            priority * RANKS_PER_PRIORITY + route.priority,
            first_sent_at + route.objective_s,
            route.objective_s,
            route.name,
            workspace.name if workspace else "",
            classify_body(len(arrival.body)),
            waited_s > route.objective_s * RETURNING_FRACTION,
        )

    def _check_drain(self, context: RequestContext) -> None:
        """Check that a request ends before this instance has stopped.

        The stop must not cut a request, so its time limit counts.  Limits
        may be longer than the whole drain; until callers have noticed the
        stop, a request that may be repeated is taken if it usually ends.

        :raises InstanceLeaving: if it may outlast the instance.
        :raises UpstreamFailed: in that case too, if it may have run.
        """
        if self._drain.covers(context.deadline):
            return
        route = context.route
        now = read_monotonic()
        usual_end = now + route.objective_s * USUAL_OBJECTIVES
        if route.repeatable and now < self._drain.noticed_at:
            if self._drain.covers(usual_end):
                return
        if context.may_have_run:
            raise UpstreamFailed(
                "the upstream failed and the instance is leaving; send again"
            )
        raise InstanceLeaving("the instance is leaving; try another one")

    def _choose_version(self, context: RequestContext) -> None:
        need = context.need
        canary = self._rollouts.get_canary(need.service)
        if canary is None:
            return
        context.canary = canary
        context.is_new = canary.choose_new(read_monotonic())
        if not context.is_new:
            return
        context.need = replace(
            need,
            versions=frozenset((canary.order.target,)),
            object_hash=self._get_canary_hash(context, canary),
        )

    def _get_canary_hash(self, context: RequestContext, canary: Canary) -> int:
        """Return the object hash of a request to the new version.

        Before the move, the few requests for the new version all go to one
        upstream, so that faults that need some load can show.
        """
        if canary.has_moved(read_monotonic()):
            return context.need.object_hash
        return hash_object(canary.order.service)

    async def admit(self, context: RequestContext) -> None:
        """Take a token of the workspace's rate; wait if none is available.

        :raises RateExceeded: if none becomes available before the deadline
            and within :data:`WAIT_FRACTION` of the latency objective.
        :raises NoCapacity: if the request's deadline has passed.
        """
        now = read_monotonic()
        left_s = context.deadline - now
        if left_s <= 0:
            raise NoCapacity("the request was read too late; come back later")
        workspace = context.workspace
        if workspace is None:
            return
        max_wait_s = min(context.route.objective_s * WAIT_FRACTION, left_s)
        grant = await self._tokens.take(workspace, max_wait_s)
        if grant.wait_s is None:
            raise _build_rate_exceeded(workspace, grant)
        context.has_token = True
        if grant.wait_s > 0:
            await sleep(grant.wait_s)

    def recheck(self, context: RequestContext) -> None:
        """Check caller, key and time again just before the request is sent.

        :raises CallerDisconnected: if the caller has disconnected.
        :raises InstanceLeaving: if it may outlast this instance.
        :raises UpstreamFailed: in that case too, if it may have run.
        :raises RequestError: if another configuration has arrived meanwhile
            that does not allow it, for example as the key was withdrawn.
        :raises KeyStale: if a withdrawal may have been missed.
        """
        if context.caller.has_disconnected():
            raise CallerDisconnected(
                "the caller has left; nothing is sent for it"
            )
        self._check_drain(context)
        if self._replica.catalog is not context.catalog:
            self._check_still_allowed(context)
        if context.workspace is not None:
            self._authorization.check_keys_current()

    def _check_still_allowed(self, context: RequestContext) -> None:
        """Check a request against a configuration that has arrived since.

        A request in progress on a route that was removed may end.

        :raises ConfigurationChanged: if the request would be admitted, but
            for another workspace or for fewer home regions.
        :raises UpstreamFailed: in that case too, if it may have run.
        :raises RequestError: if it would not be admitted.
        """
        catalog = self._replica.catalog
        arrival = context.arrival
        route = catalog.find_route(arrival.host, arrival.path) or context.route
        workspace = self._authorization.find_workspace(catalog, route, arrival)
        name = workspace.name if workspace else None
        homes = find_home_regions(route, workspace)
        if name == context.workspace_name and _is_within(
            context.need.regions, homes
        ):
            context.catalog = catalog
            return
        if context.may_have_run:
            raise UpstreamFailed(
                "the upstream failed and the configuration has changed; send "
                "again"
            )
        raise ConfigurationChanged(
            "the configuration has changed meanwhile; send again"
        )

    def return_token(self, context: RequestContext) -> None:
        """Return the token of a request that was never sent."""
        if context.has_token and context.sends == 0:
            self._tokens.refund(context.workspace.name)


def _is_within(regions: frozenset[str], homes: frozenset[str]) -> bool:
    """Tell whether a request limited to regions stays in its home regions.

    An empty set means any region in both.
    """
    if not homes:
        return True
    return bool(regions) and regions <= homes


def _build_rate_exceeded(
    workspace: EdgeWorkspace, grant: TokenGrant
) -> RateExceeded:
    error = RateExceeded(
        f"workspace {workspace.name} is over its rate of "
        f"{workspace.rate:g}/s; come back later"
    )
    error.retry_after_s = grant.retry_after_s
    return error
