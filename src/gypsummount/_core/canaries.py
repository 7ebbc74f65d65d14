"""Canary release of a service's new version on an edge instance.

Every instance gives the new version an exact, small share of its own
requests, so the fleet keeps to the share as well.  Instances pool their
evidence, and one veto on any instance ends the rollout on all.  Late in
the time that the order allows, all instances send all requests to the
new version: this is the move.  The order is complete once no request
runs on the old version.
"""

from dataclasses import replace

from gypsummount._core.canary_analysis import Baseline
from gypsummount._core.canary_analysis import Evidence
from gypsummount._core.canary_analysis import FleetAnalyser
from gypsummount._core.canary_analysis import Veto
from gypsummount._core.catalog import RolloutOrder

# Fraction of the requests that the new version gets before the move.
CANARY_SHARE = 0.07
# Fraction of the order's time after which all requests move to the new
# version.
MOVE_FRACTION = 0.68
# Time between the move and the earliest completion.
COMPLETE_AFTER_S = 1.0
# Fraction of the order's time after which a rollout that is still incomplete
# is ended.
GIVE_UP_FRACTION = 0.92
# Answers of the new version, fleet-wide, that the move requires.
MIN_ANSWERS = 25
# Creations of one order that count as the same, over several restores.
MAX_CREATIONS = 4


class _RouteCounts:
    """Answers of both versions on one route at this instance."""

    __slots__ = ("answers", "baseline", "failures", "slow", "timed")

    def __init__(self) -> None:
        self.baseline = Baseline()
        self.answers = 0
        self.failures = 0
        self.timed = 0
        self.slow = 0


class Canary:
    """State of one rollout order that is under way on this instance.

    ``started_at`` is the time (s, boot clock) at which any instance
    first saw the order.  ``in_flight_old`` counts this instance's
    requests on the old version.
    """

    __slots__ = (
        "_analyser",
        "_attempt",
        "_creations",
        "_new_requests",
        "_requests",
        "_routes",
        "in_flight_old",
        "order",
        "started_at",
        "veto",
    )

    def __init__(self, order: RolloutOrder, started_at: float) -> None:
        self.order = order
        self.started_at = started_at
        self.veto: Veto | None = None
        self.in_flight_old = 0
        self._analyser = FleetAnalyser(order.service, order.created)
        self._attempt = order.created
        self._creations = (order.created,)
        self._routes: dict[str, _RouteCounts] = {}
        self._requests = 0
        self._new_requests = 0

    def resume(self, order: RolloutOrder) -> None:
        """Go on with the entry of the order that is now in the store.

        After a restore of the store, it may have been created anew.
        """
        self.order = order
        if order.created not in self._creations:
            creations = (*self._creations, order.created)
            self._creations = creations[-MAX_CREATIONS:]

    def is_created_at(self, created: int) -> bool:
        """Tell whether a creation is one of this order."""
        return created in self._creations

    def compute_elapsed(self, now: float) -> float:
        """Return the seconds since any instance first saw the order."""
        return max(0.0, now - self.started_at)

    def has_moved(self, now: float) -> bool:
        """Tell whether all requests are sent to the new version."""
        if self.veto is not None:
            return False
        if self._analyser.answers < MIN_ANSWERS:
            return False
        return (
            self.compute_elapsed(now) >= MOVE_FRACTION * self.order.duration_s
        )

    def may_complete(self, now: float) -> bool:
        """Tell whether the rollout may complete.

        The old version then has had time to finish its requests.
        """
        earliest_s = MOVE_FRACTION * self.order.duration_s + COMPLETE_AFTER_S
        return self.has_moved(now) and self.compute_elapsed(now) >= earliest_s

    def is_near_deadline(self, now: float) -> bool:
        """Tell whether the order's time is nearly over."""
        limit_s = GIVE_UP_FRACTION * self.order.duration_s
        return self.compute_elapsed(now) >= limit_s

    def choose_new(self, now: float) -> bool:
        """Tell whether the next request goes to the new version."""
        if self.veto is not None:
            return False
        if self.has_moved(now):
            return True
        self._requests += 1
        if self._new_requests + 1 > CANARY_SHARE * self._requests:
            return False
        self._new_requests += 1
        return True

    def withdraw_new(self) -> None:
        """Undo a choice whose request never reached the new version."""
        self._new_requests = max(0, self._new_requests - 1)

    def observe(
        self, route: str, *, is_new: bool, failed: bool, latency_s: float
    ) -> None:
        """Record an answer of either version."""
        counts = self._routes.setdefault(route, _RouteCounts())
        if not is_new:
            counts.baseline.observe(failed=failed, latency_s=latency_s)
            return
        counts.answers += 1
        counts.failures += failed
        if counts.baseline.is_ready and not failed:
            counts.timed += 1
            counts.slow += latency_s > counts.baseline.slow_limit_s

    def list_evidence(self) -> list[Evidence]:
        """Return this instance's counts, one item per route."""
        return [
            Evidence(
                self.order.service,
                self.order.created,
                route,
                counts.answers,
                counts.failures,
                counts.slow,
                counts.timed,
                counts.baseline.answers,
                counts.baseline.failures,
            )
            for route, counts in self._routes.items()
        ]

    def add_evidence(self, instance: str, evidence: Evidence) -> None:
        """Add the counts of an instance; set a veto if they show a fault."""
        if evidence.attempt != self._attempt:
            if not self.is_created_at(evidence.attempt):
                return
            evidence = replace(evidence, attempt=self._attempt)
        veto = self._analyser.observe(instance, evidence)
        if veto is not None and self.veto is None:
            self.veto = veto
