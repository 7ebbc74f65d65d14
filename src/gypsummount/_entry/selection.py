"""Selection of upstreams by slots, health, queues and headroom."""

from asyncio import CancelledError
from asyncio import Future
from asyncio import get_running_loop
from asyncio import wait
from dataclasses import dataclass
from dataclasses import field
from random import Random

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.balancing import Candidate
from gypsummount._core.balancing import Policy
from gypsummount._core.balancing import TwoChoices
from gypsummount._core.fairness import FairQueue
from gypsummount._core.fairness import WaitingRequest
from gypsummount._core.health import MAX_EJECTED_FRACTION
from gypsummount._core.health import UpstreamHealth
from gypsummount._core.membership import ServiceLoad
from gypsummount._core.naming import UpstreamName
from gypsummount._core.slots import SlotShare
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.connections import LastTimeout
from gypsummount._entry.requests import SteeredRequest
from gypsummount._entry.snapshot import Snapshot
from gypsummount.errors import NoCapacity

# Time after which an upstream that said that it is leaving gets requests
# again.
LEAVING_TTL_S = 600.0
UNCLEAN_RELEASE_DELAY_S = 0.25


@dataclass(slots=True)
class Upstream:
    """An upstream with the state that this entry keeps for it.

    ``leaving_at`` is when the upstream last said that it is leaving
    (boot clock, s); None if it did not.
    """

    name: UpstreamName
    slots: SlotShare
    health: UpstreamHealth
    pool: ConnectionPool
    leaving_at: float | None = None


@dataclass(slots=True)
class _Group:
    """Upstreams of one service and version, and the queue for them."""

    upstreams: list[Upstream] = field(default_factory=list)
    queue: FairQueue[Future[Upstream]] = field(default_factory=FairQueue)


@dataclass(slots=True, frozen=True)
class GroupName:
    """Key of a group: a service and one of its versions."""

    service: str
    version: str


class Selection:
    """Chooses upstreams of the own domain and assigns their slots."""

    def __init__(self, snapshot: Snapshot, random: Random) -> None:
        self._snapshot = snapshot
        self._policy: Policy = TwoChoices(random)
        self._upstreams: dict[UpstreamName, Upstream] = {}
        self._groups: dict[GroupName, _Group] = {}
        self._last_timeout = LastTimeout()
        self._is_first_update = True

    def apply_slots(self, slots: dict[UpstreamName, SlotShare]) -> None:
        """Add new upstreams and update which ones are leaving.

        The upstreams of the first non-empty update begin warm; those
        added later begin with a slow start.  Then free slots are given
        to the requests that wait in queues.
        """
        now = read_monotonic()
        for name, share in slots.items():
            if name not in self._upstreams:
                self._add_upstream(name, share, now)
        self._is_first_update = self._is_first_update and not slots
        for upstream in self._upstreams.values():
            if upstream.name.server in self._snapshot.draining:
                upstream.health.mark_leaving()
            elif _may_be_restored(upstream, now):
                upstream.leaving_at = None
                upstream.health.mark_restored(now)
        for name in self._groups:
            self._serve_queue(name)

    def close(self) -> None:
        """Close all idle connections to upstreams."""
        for upstream in self._upstreams.values():
            upstream.pool.close()

    def count_opened_connections(self) -> int:
        """Return how many connections to upstreams were opened so far."""
        return sum(
            upstream.pool.opened for upstream in self._upstreams.values()
        )

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load report of each service for entries elsewhere.

        A report holds the slots free for offloaded requests and the
        slots owned.
        """
        loads = []
        for service in self._snapshot.rules.services:
            groups = [name for name in self._groups if name.service == service]
            free = sum(self._count_headroom(name) for name in groups)
            total = sum(self._count_owned(name) for name in groups)
            loads.append(ServiceLoad(service, free, total))
        return tuple(loads)

    def has_free_slot(self, service: str, version: str) -> bool:
        """Tell whether an upstream can accept a request without waiting."""
        group = self._groups.get(GroupName(service, version))
        return group is not None and bool(
            self._list_candidates(group, read_monotonic())
        )

    def owns_version_slots(self, service: str, version: str) -> bool:
        """Tell whether this entry owns slots of a version, free or not."""
        group = self._groups.get(GroupName(service, version))
        return group is not None and any(
            upstream.slots.owned > 0 for upstream in group.upstreams
        )

    def has_headroom(self, request: SteeredRequest, name: GroupName) -> bool:
        """Tell whether the headroom has room for a request.

        The headroom limits offloaded requests only.
        """
        return not request.is_offloaded or self._count_headroom(name) > 0

    def _count_owned(self, name: GroupName) -> int:
        return sum(
            upstream.slots.owned for upstream in self._groups[name].upstreams
        )

    def _count_headroom(self, name: GroupName) -> int:
        """Return how many more slots offloaded requests may use.

        They get a slot only while the slots in use, by any request, are
        fewer than the service's ``headroom`` fraction of those owned.
        """
        group = self._groups.get(name)
        service = self._snapshot.rules.services.get(name.service)
        if group is None or service is None:
            return 0
        now = read_monotonic()
        available = [
            upstream
            for upstream in group.upstreams
            if upstream.health.check_available(now)
        ]
        free = sum(upstream.slots.free for upstream in available)
        owned = sum(upstream.slots.owned for upstream in available)
        used = sum(upstream.slots.in_use for upstream in available)
        return max(0, min(free, int(owned * service.headroom) - used))

    def may_eject(self, upstream: Upstream) -> bool:
        """Tell whether ejecting an upstream leaves enough of its group.

        At most ``MAX_EJECTED_FRACTION`` of a group may be ejected.
        """
        group = self._get_group(upstream.name)
        ejected = sum(
            1
            for member in group.upstreams
            if member.health.state in ("ejected", "probing")
        )
        return ejected + 1 <= len(group.upstreams) * MAX_EJECTED_FRACTION

    def _get_group(self, name: UpstreamName) -> _Group:
        group = GroupName(name.service, name.version)
        return self._groups.setdefault(group, _Group())

    def _add_upstream(
        self, name: UpstreamName, share: SlotShare, now: float
    ) -> None:
        health = UpstreamHealth(now, cold=not self._is_first_update)
        pool = ConnectionPool(name.server, self._last_timeout)
        upstream = Upstream(name, share, health, pool)
        self._upstreams[name] = upstream
        self._get_group(name).upstreams.append(upstream)

    def _list_candidates(self, group: _Group, now: float) -> list[Upstream]:
        return [
            upstream
            for upstream in group.upstreams
            if upstream.slots.free > 0
            and upstream.health.check_available(now)
            and _is_within_slow_start(upstream, now)
        ]

    def try_acquire_slot(self, name: GroupName) -> Upstream | None:
        """Take a slot of the preferred upstream; None if none is free.

        :raises KeyError: when the group does not exist.
        """
        now = read_monotonic()
        group = self._groups[name]
        ready = {
            candidate.name.server: candidate
            for candidate in self._list_candidates(group, now)
        }
        if not ready:
            return None
        chosen = self._policy.choose(
            [
                Candidate(
                    server,
                    candidate.slots.in_use,
                    candidate.health.compute_reported_load(now),
                    candidate.slots.owned,
                    candidate.health.latency_s,
                )
                for server, candidate in ready.items()
            ]
        )
        upstream = ready[chosen.upstream]
        if not upstream.slots.try_acquire(now):
            return None
        upstream.health.record_start()
        return upstream

    async def acquire_slot(
        self, name: GroupName, request: SteeredRequest, *, may_wait: bool
    ) -> Upstream:
        """Take a slot, waiting until the request's deadline if allowed.

        :raises NoCapacity: when no slot is free in time, the queue is
            full or the headroom is used up.
        """
        group = self._groups.get(name)
        if group is None or not self.has_headroom(request, name):
            raise _build_no_capacity(name)
        if not group.queue:
            upstream = self.try_acquire_slot(name)
            if upstream is not None:
                return upstream
        if not may_wait:
            raise _build_no_capacity(name)
        return await self._wait_for_slot(group, name, request)

    async def _wait_for_slot(
        self, group: _Group, name: GroupName, request: SteeredRequest
    ) -> Upstream:
        waiter: Future[Upstream] = get_running_loop().create_future()
        waiting = WaitingRequest(waiter, request.workspace, request.deadline)
        rules = self._snapshot.rules.workspaces
        workspace_rule = rules.get(request.workspace)
        if not group.queue.push(
            waiting, workspace_rule.weight if workspace_rule else 1.0
        ):
            raise _build_no_capacity(name)
        try:
            remaining_s = request.deadline - read_monotonic()
            done, _ = await wait({waiter}, timeout=max(0.0, remaining_s))
        except CancelledError:
            self._cancel_waiting(group, waiter, request.workspace)
            raise
        if done:
            return waiter.result()
        self._cancel_waiting(group, waiter, request.workspace)
        raise _build_no_capacity(name)

    def _cancel_waiting(
        self, group: _Group, waiter: Future[Upstream], workspace: str
    ) -> None:
        if waiter.done() and not waiter.cancelled():
            upstream = waiter.result()
            upstream.health.record_release()
            self.release(upstream, is_clean=True)
            return
        waiter.cancel()
        group.queue.remove(waiter, workspace)

    def release(self, upstream: Upstream, *, is_clean: bool) -> None:
        """Release a slot, with a delay unless ``is_clean`` is set.

        Set it only if the upstream is known not to be working on the
        request.
        """
        if is_clean:
            self._free_slot(upstream)
            return
        # The upstream may continue to work for a moment after a cancellation.
        get_running_loop().call_later(
            UNCLEAN_RELEASE_DELAY_S, self._free_slot, upstream
        )

    def _free_slot(self, upstream: Upstream) -> None:
        upstream.slots.release()
        name = GroupName(upstream.name.service, upstream.name.version)
        self._serve_queue(name)

    def _serve_queue(self, name: GroupName) -> None:
        group = self._groups[name]
        while group.queue:
            upstream = self.try_acquire_slot(name)
            if upstream is None:
                return
            waiter = group.queue.pop(read_monotonic())
            while waiter is not None and waiter.done():
                waiter = group.queue.pop(read_monotonic())
            group.queue.expired.clear()
            if waiter is None:
                upstream.health.record_release()
                upstream.slots.release()
                return
            waiter.set_result(upstream)


def _may_be_restored(upstream: Upstream, now: float) -> bool:
    if upstream.leaving_at is None:
        return True
    return now - upstream.leaving_at > LEAVING_TTL_S


def _is_within_slow_start(upstream: Upstream, now: float) -> bool:
    slow_start_fraction = upstream.health.compute_slot_fraction(now)
    allowed = max(1, int(upstream.slots.owned * slow_start_fraction))
    return upstream.slots.in_use < allowed


def _build_no_capacity(name: GroupName) -> NoCapacity:
    return NoCapacity(
        f"no slot of {name.service} {name.version} is free; try again in 1 s"
    )
