"""Selection by the dispatcher of a service, in a large fleet."""

from collections.abc import Callable
from dataclasses import replace

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.line_limiter import LineLimiter
from gypsummount._common.logs import get_logger
from gypsummount._core.catalog import Catalog
from gypsummount._core.groups import Member
from gypsummount._edge.backends import Need
from gypsummount._edge.digests import Digest
from gypsummount._edge.dispatch_messages import Answer
from gypsummount._edge.dispatch_messages import ANSWER_MARK
from gypsummount._edge.dispatch_messages import AnswerKind
from gypsummount._edge.dispatch_messages import encode_release
from gypsummount._edge.dispatch_messages import HELD_MARK
from gypsummount._edge.dispatch_messages import RELEASE_MARK
from gypsummount._edge.dispatch_messages import REQUEST_MARK
from gypsummount._edge.dispatch_releases import UnacknowledgedReleases
from gypsummount._edge.dispatch_requests import PendingRequest
from gypsummount._edge.dispatch_requests import PendingRequests
from gypsummount._edge.dispatcher import Dispatcher
from gypsummount._edge.dispatcher import Sender
from gypsummount._edge.dispatcher_ranks import DispatcherRanks
from gypsummount._edge.held_upstreams import HeldUpstream
from gypsummount._edge.held_upstreams import HeldUpstreams
from gypsummount._edge.selection import Selection
from gypsummount._edge.selector import ExchangeResult
from gypsummount._edge.selector import Selector
from gypsummount._edge.waiting import Pick
from gypsummount.errors import NoCapacity
from gypsummount.errors import RecordInvalid

# Upstreams that a dispatcher may offer to one request; each one that this
# instance may not use costs a further exchange of messages.
MAX_OFFERS = 3
LINES_PER_S = 1.0

_log = get_logger("dispatch")

DatagramHandler = Callable[[bytes, str], None]


class Dispatch(Selector):
    """Gets upstreams from dispatchers, or selects them here.

    In a small fleet, for services whose upstreams state no speed, and while
    the dispatchers do not answer, this instance selects by itself.
    """

    def __init__(
        self,
        own: Member,
        region: str,
        selection: Selection,
        send: Sender,
        *,
        is_enabled: bool = True,
    ) -> None:
        self._is_enabled = is_enabled
        self._selection = selection
        self._send = send
        self._ranks = DispatcherRanks(own, region)
        self._held = HeldUpstreams(send)
        self._releases = UnacknowledgedReleases()
        self._names: dict[str, str] = {}
        now = read_monotonic()
        self._silence_lines = LineLimiter(LINES_PER_S, now)
        self._invalid_lines = LineLimiter(LINES_PER_S, now)
        self.requests = PendingRequests(send)
        self.dispatcher = Dispatcher(selection, send)

    def list_handlers(self) -> dict[bytes, DatagramHandler]:
        """Return the handlers of datagrams by mark."""
        handlers = {
            REQUEST_MARK: self.dispatcher.receive_request,
            RELEASE_MARK: self.dispatcher.receive_release,
            HELD_MARK: self.dispatcher.receive_held,
            ANSWER_MARK: self._receive_answer,
        }
        return {
            mark: self._guard(handler) for mark, handler in handlers.items()
        }

    def is_dispatched(self, service: str) -> bool:
        """Tell whether dispatchers select the upstreams of a service."""
        if not self._is_enabled or service not in self._ranks:
            return False
        return self._selection.has_speed(service)

    def count_dispatched(self) -> int:
        """Return how many services this instance dispatches."""
        return sum(map(self._selection.has_speed, self._ranks.list_own()))

    def list_gauges(self) -> dict[str, float]:
        """Return the numbers of messages and grants, by metric."""
        requests = self.requests
        dispatcher = self.dispatcher
        return {
            "services_dispatched": float(self.count_dispatched()),
            "dispatch_asked": float(requests.asked),
            "dispatch_answered": float(requests.answered),
            "dispatch_queued": float(requests.queued),
            "dispatch_timed_out": float(requests.timed_out),
            "dispatch_granted": float(dispatcher.granted),
            "dispatch_granted_queued": float(dispatcher.queued),
            "dispatch_expired": float(dispatcher.expired),
            "dispatch_grants_in_use": float(dispatcher.in_use),
        }

    def apply_fleet(
        self,
        live: list[Digest],
        catalog: Catalog | None,
        *,
        is_grouped: bool,
        is_serving: bool,
    ) -> None:
        """Update the dispatchers from the live peers and all services."""
        if not self._is_enabled:
            return
        services = [] if catalog is None else list(catalog.services)
        has_changed = self._ranks.apply_fleet(
            live, services, is_grouped=is_grouped, is_serving=is_serving
        )
        if not is_grouped:
            self._selection.scale_queues(1)
        if not has_changed:
            return
        self._selection.scale_queues(len(self._ranks.hosts) + 1)
        self._names = {host: name for name, host in self._ranks.hosts.items()}
        self.dispatcher.set_names(self._names)
        self._releases.retain(set(self._names))
        self._held.retain(set(self._names))

    def update(self, now: float) -> None:
        """Renew the grants in use, and free those that have expired."""
        self.dispatcher.update(now)
        self._held.renew(self._ranks.hosts, now)

    def stop(self) -> None:
        """Dispatch no further requests; others go to the next instance."""
        self.dispatcher.stop()

    async def acquire(
        self, need: Need, tried: frozenset[str], deadline: float
    ) -> Pick:
        """Return an upstream with free capacity, or wait for one.

        :raises NoCapacity: when none becomes free in time.
        """
        if not self.is_dispatched(need.service):
            return await self._selection.acquire(need, tried, deadline)
        excluded = tried
        for _ in range(MAX_OFFERS):
            now = read_monotonic()
            name = self._ranks.choose(need.service, now)
            if name == "":
                break
            hosts = self._ranks.hosts
            self._held.introduce(need.service, name, hosts, now)
            pending = self.requests.open(hosts[name], need, excluded, deadline)
            if pending is None:
                break
            answer = await self._ask(pending)
            if answer is None or answer.kind is AnswerKind.UNAVAILABLE:
                self._suspect(name, need.service)
                break
            if answer.kind is AnswerKind.REFUSED:
                raise _build_no_capacity(need, answer.retry_after_s)
            pick = self._start(name, pending, answer, tried)
            if pick is not None:
                return pick
            excluded = excluded | {answer.upstream}
        return await self._select_here(need, tried, deadline)

    def check_capacity(self, need: Need, deadline: float) -> None:
        """Check for capacity if the upstream will be selected here.

        A dispatcher knows the whole queue and refuses at once; a refused
        request's token is returned.

        :raises NoCapacity: if no upstream is expected to be free in time.
        """
        if self.is_dispatched(need.service):
            if self._ranks.choose(need.service, read_monotonic()):
                return
        self._selection.check_capacity(need, deadline)

    def finish(self, pick: Pick, result: ExchangeResult) -> None:
        """Return an upstream after the exchange, with what it showed."""
        self._selection.finish(pick, result)
        if not pick.number:
            return
        held = self._held.pop(pick.number)
        if held.host:
            self._release(held.host, pick.number, result)

    async def _ask(self, pending: PendingRequest) -> Answer | None:
        """Return a dispatcher's answer, or None if it does not answer.

        :raises NoCapacity: when the time of the request is over.
        """
        is_settled = False
        try:
            answer = await self.requests.wait(pending)
            is_settled = answer is not None
        finally:
            self.requests.close(pending)
            if not is_settled:
                number = pending.number
                self._release(pending.host, number, ExchangeResult())
        if answer is None and read_monotonic() >= pending.deadline:
            raise _build_no_capacity(pending.need, 0.0)
        return answer

    def _start(
        self,
        name: str,
        pending: PendingRequest,
        answer: Answer,
        tried: frozenset[str],
    ) -> Pick | None:
        """Start at a granted upstream; return None if this may not use it."""
        need = pending.need
        pick = self._selection.start_granted(
            answer.upstream, answer.position, answer.load, need, tried
        )
        if pick is None:
            self._release(pending.host, answer.number, ExchangeResult())
            return None
        pick = replace(pick, number=answer.number)
        self._hold(pick, need, pending.deadline, name, pending.host)
        return pick

    async def _select_here(
        self, need: Need, tried: frozenset[str], deadline: float
    ) -> Pick:
        """Select as without dispatchers, but keep the upstream in mind."""
        pick = await self._selection.acquire(need, tried, deadline)
        kept = replace(pick, number=self.requests.take_number())
        self._hold(kept, need, deadline, "", "")
        return kept

    def _hold(
        self,
        pick: Pick,
        need: Need,
        deadline: float,
        dispatcher: str,
        host: str,
    ) -> None:
        held = HeldUpstream(
            need.service,
            pick.backend.record.name,
            need.object_hash,
            deadline,
            dispatcher,
            read_monotonic(),
            host,
        )
        self._held.add(pick.number, held)

    def _suspect(self, name: str, service: str) -> None:
        now = read_monotonic()
        self._ranks.suspect(name, now)
        if self._silence_lines.try_take(now):
            _log.info(
                "Dispatcher %s of %s gives no upstreams; selecting here.",
                name,
                service,
                extra={"left_out": self._silence_lines.dropped},
            )

    def _release(self, host: str, number: int, result: ExchangeResult) -> None:
        data = encode_release(number, result)
        self._releases.add(host, number, data, read_monotonic())
        self._send(data, host)

    def _receive_answer(self, data: bytes, host: str) -> None:
        answer = self.requests.receive(data, host)
        if host not in self._names:
            return
        now = read_monotonic()
        acknowledged = answer.acknowledged
        for release in self._releases.acknowledge(host, acknowledged, now):
            self._send(release, host)
        self._held.observe_incarnation(
            host, answer.incarnation, self._ranks.hosts, now
        )
        is_late = answer.number not in self._held
        if is_late and not self.requests.is_open(answer.number):
            if answer.kind is AnswerKind.GRANTED:
                self._release(host, answer.number, ExchangeResult())

    def _guard(self, handler: DatagramHandler) -> DatagramHandler:
        """Return a handler that logs unreadable datagrams, within bounds."""

        def handle(data: bytes, host: str) -> None:
            try:
                handler(data, host)
            except RecordInvalid as error:
                if self._invalid_lines.try_take(read_monotonic()):
                    _log.warning(
                        "Ignored a datagram from %s: %s",
                        host,
                        error,
                        extra={"left_out": self._invalid_lines.dropped},
                    )

        return handle


def _build_no_capacity(need: Need, retry_after_s: float) -> NoCapacity:
    error = NoCapacity(
        f"no upstream of {need.service} has room; come back later"
    )
    if retry_after_s > 0:
        error.retry_after_s = retry_after_s
    return error
