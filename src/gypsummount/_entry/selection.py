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
from gypsummount._core.fairness import Waiting
from gypsummount._core.health import MAX_EJECTED_SHARE
from gypsummount._core.health import UpstreamHealth
from gypsummount._core.membership import ServiceLoad
from gypsummount._core.naming import UpstreamName
from gypsummount._core.slots import SlotShare
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.connections import Suspicion
from gypsummount._entry.requests import SteeredRequest
from gypsummount._entry.snapshot import Snapshot
from gypsummount.errors import NoCapacity

LEAVING_LIMIT_S = 600.0
UNCLEAN_HOLD_S = 0.25


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
        self._known: dict[UpstreamName, Upstream] = {}
        self._groups: dict[GroupName, _Group] = {}
        self._suspicion = Suspicion()
        self._is_first = True

    def follow(self, slots: dict[UpstreamName, SlotShare]) -> None:
        """Add new upstreams and update which ones are leaving.

        The upstreams of the first non-empty update begin warm; those
        added later begin with a slow start.  Then free slots are given
        to the requests that wait in queues.
        """
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
        """Close all idle connections to upstreams."""
        for upstream in self._known.values():
            upstream.pool.close()

    def count_opened(self) -> int:
        """Return how many connections to upstreams were opened so far."""
        return sum(entry.pool.opened for entry in self._known.values())

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load report of each service for entries elsewhere.

        A report holds the slots free for forwarded requests and the
        slots owned.
        """
        loads = []
        for service in self._snapshot.rules.services:
            groups = [name for name in self._groups if name.service == service]
            free = sum(self._count_foreign(name) for name in groups)
            total = sum(self._count_owned(name) for name in groups)
            loads.append(ServiceLoad(service, free, total))
        return tuple(loads)

    def has_free(self, service: str, version: str) -> bool:
        """Tell whether an upstream can accept a request without waiting."""
        group = self._groups.get(GroupName(service, version))
        return group is not None and bool(
            self._list_candidates(group, read_monotonic())
        )

    def has_version(self, service: str, version: str) -> bool:
        """Tell whether this entry owns slots of a version, free or not."""
        group = self._groups.get(GroupName(service, version))
        return group is not None and any(
            entry.slots.owned > 0 for entry in group.upstreams
        )

    def allows(self, request: SteeredRequest, name: GroupName) -> bool:
        """Tell whether the headroom has room for a request.

        The headroom limits forwarded requests only.
        """
        return not request.is_foreign or self._count_foreign(name) > 0

    def _count_owned(self, name: GroupName) -> int:
        return sum(
            upstream.slots.owned for upstream in self._groups[name].upstreams
        )

    def _count_foreign(self, name: GroupName) -> int:
        """Return how many slots forwarded requests may use now.

        They may use only the service's ``headroom`` fraction of the
        slots; all slots in use count against it.
        """
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

    def may_eject(self, upstream: Upstream) -> bool:
        """Tell whether ejecting an upstream leaves enough of its group.

        At most ``MAX_EJECTED_SHARE`` of a group may be ejected.
        """
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

    def take_now(self, name: GroupName) -> Upstream | None:
        """Take a slot of the preferred upstream; None if none is free.

        :raises KeyError: when the group does not exist.
        """
        now = read_monotonic()
        group = self._groups[name]
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

    async def take(
        self, name: GroupName, request: SteeredRequest, *, may_wait: bool
    ) -> Upstream:
        """Take a slot, waiting until the request's deadline if allowed.

        :raises NoCapacity: when no slot is free in time, the queue is
            full or the headroom is used up.
        """
        group = self._groups.get(name)
        if group is None or not self.allows(request, name):
            raise _build_no_capacity(name)
        if not group.queue:
            upstream = self.take_now(name)
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
            self.release(upstream, is_clean=True)
            return
        place.cancel()
        group.queue.remove(place, workspace)

    def release(self, upstream: Upstream, *, is_clean: bool) -> None:
        """Release a slot; with a delay if the exchange was not clean."""
        if is_clean:
            self._free_slot(upstream)
            return
        # The upstream may continue to work for a moment after a cancellation.
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
            upstream = self.take_now(name)
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
