"""Selection by the number of requests at the upstreams."""

from typing import final

from gypsummount._edge.backends import Backend
from gypsummount._edge.backends import Need
from gypsummount._edge.selection_policy import build_no_capacity
from gypsummount._edge.selection_policy import PolicyTools
from gypsummount._edge.selection_policy import SelectionPolicy
from gypsummount._edge.service_state import ServiceState
from gypsummount._edge.waiting import Criteria
from gypsummount._edge.waiting import Pick
from gypsummount._edge.waiting import WaitingQueue

# The longest wait for free capacity, relative to the latency objective.
MAX_WAIT_FRACTION = 0.6
LATE_RANK_OFFSET = 1_000_000  # serves late requests after all others
MAX_PREFERRED = 2  # upstreams that an object prefers to all others


@final
class LoadPolicy(SelectionPolicy):
    """Chooses by affinity and load; used where no speed is reported."""

    def __init__(self, state: ServiceState, tools: PolicyTools) -> None:
        super().__init__(state, tools)
        self._waiting = WaitingQueue(tools.release_pick)

    async def acquire(
        self, need: Need, tried: frozenset[str], deadline: float, now: float
    ) -> Pick:
        """Return an upstream with free capacity; wait if all are full.

        :raises NoCapacity: when none is free at the deadline or after
            :data:`MAX_WAIT_FRACTION` of the latency objective.
        """
        pick = self._choose(need, tried, now)
        if pick is not None:
            pick.backend.load.record_start(now)
            return pick
        limit_s = min(need.objective_s * MAX_WAIT_FRACTION, deadline - now)
        if limit_s <= 0 or not self.state.has_fitting(need):
            raise build_no_capacity(need)
        pick = await self._waiting.wait(
            Criteria(need, tried), self._compute_rank(need, now), limit_s
        )
        if pick is None:
            raise build_no_capacity(need)
        return pick

    def release(self, backend: Backend, pick: Pick | None, now: float) -> None:
        """Serve waiting requests after the end of an exchange."""
        self.update(now)

    def update(self, now: float) -> None:
        """Assign free upstreams to waiting requests."""

        def choose(criteria: Criteria) -> Pick | None:
            pick = self._choose(criteria.need, criteria.tried, now)
            if pick is not None:
                pick.backend.load.record_start(now)
            return pick

        self._waiting.serve(choose)

    def _compute_rank(self, need: Need, now: float) -> int:
        """Return the rank of a request, behind all others if it is late."""
        is_late = now + self.state.work.first_s > need.due_at
        return need.rank + (LATE_RANK_OFFSET if is_late else 0)

    def _choose_in(
        self, region: str, need: Need, tried: frozenset[str], now: float
    ) -> Pick | None:
        """Return the upstream that is expected to answer first.

        The first upstream in an object's order usually knows the object
        (has answered for it recently) and so answers fast; the second may
        relieve it at the cost of extra work.  Others are considered only
        while neither knows the object.  An upstream that does not know it
        is used only while far from full: the extra work takes the place
        of several requests for objects that it knows.
        """
        state = self.state
        best: Pick | None = None
        min_cost_s = 0.0
        position = -1
        is_known = False
        for backend in self._tools.orders.get(state, need, region):
            load = backend.load
            if not backend.fits(need, tried) or not load.is_available(now):
                continue
            position += 1
            if position >= MAX_PREFERRED and (is_known or best is not None):
                break
            knows = load.has_answered_for(need.object_hash)
            is_known = is_known or knows
            estimate = load.estimate_load(now, state.work.first_s)
            if position > 0 and not knows and not load.has_spare(estimate):
                continue
            cost_s = state.work.compute_cost(
                position, estimate, load.record.slots, need.due_at - now
            )
            if cost_s is None or (best is not None and cost_s >= min_cost_s):
                continue
            if not self._tools.cold_limits.permits(
                backend, state.work.first_s, now, need.sender
            ):
                continue
            best = Pick(backend, position, estimate)
            min_cost_s = cost_s
        return best
